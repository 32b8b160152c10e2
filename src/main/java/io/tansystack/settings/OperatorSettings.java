package io.tansystack.settings;

import io.tansystack.wire.Priority;
import java.nio.file.Path;
import java.time.Duration;

/** The operators' own file: what the platform's file leaves open. Every key has a default. */
public record OperatorSettings(
    double priceFactorLow,
    double priceFactorNormal,
    double priceFactorHigh,
    Duration idleReturn,
    Duration silentDelete,
    Duration refusedPause,
    Duration consolidateAfter,
    int spareReplicas) {

  public static OperatorSettings defaults() {
    try {
      return read(TomlTable.parse("defaults", ""));
    } catch (SettingsException e) {
      throw new IllegalStateException("the defaults are within their own bounds", e);
    }
  }

  public static OperatorSettings load(Path file) throws SettingsException {
    return read(TomlTable.load(file));
  }

  public static OperatorSettings parse(String text) throws SettingsException {
    return read(TomlTable.parse("operators' settings", text));
  }

  private static OperatorSettings read(TomlTable root) throws SettingsException {
    TomlTable rent = root.tableOrEmpty("rent");
    TomlTable machines = root.tableOrEmpty("machines");
    return new OperatorSettings(
        rent.numberOr("price_factor_low", 6, 1, 1000),
        rent.numberOr("price_factor_normal", 20, 1, 1000),
        rent.numberOr("price_factor_high", 100, 1, 1000),
        machines.secondsOr("idle_return_s", 40, 1, 86_400),
        machines.secondsOr("silent_delete_s", 13, 5, 86_400),
        rent.secondsOr("refused_pause_s", 10, 1, 3600),
        machines.secondsOr("consolidate_after_s", 5, 0.1, 86_400),
        machines.integerOr("spare_replicas", 3, 0, 10_000));
  }

  /** How many times the cheapest price for a task may be paid to run it now. */
  public double priceFactor(Priority priority) {
    return switch (priority) {
      case LOW -> priceFactorLow;
      case NORMAL -> priceFactorNormal;
      case HIGH, PRODUCTION -> priceFactorHigh;
    };
  }
}
