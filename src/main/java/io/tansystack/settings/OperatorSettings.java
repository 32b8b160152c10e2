package io.tansystack.settings;

import io.tansystack.wire.Priority;
import java.nio.file.Path;
import java.time.Duration;

/**
 * The operators' settings file: choices that the platform's settings file leaves open. Every key
 * has a default.
 *
 * @param priceFactorLow see {@link #priceFactor}; for low priority
 * @param priceFactorNormal for normal priority
 * @param priceFactorHigh for high priority and production
 * @param idleReturnDelay how long a machine is kept idle before it is returned; longer if tasks are
 *     expected to start before a new machine could boot
 * @param silentDeleteDelay a machine without reports for longer than this is deleted
 * @param refusedPause pause before renting again when the cloud had no capacity; it grows with
 *     repeated refusals
 * @param consolidateAfter how long all demand above low priority must have been met before
 *     replicas are consolidated on fewer machines; also the time between two such attempts
 * @param spareReplicas a consolidation leaves capacity for this many more tasks of the largest
 *     service, so that the next arrivals need not wait for a machine to boot
 */
public record OperatorSettings(
    double priceFactorLow,
    double priceFactorNormal,
    double priceFactorHigh,
    Duration idleReturnDelay,
    Duration silentDeleteDelay,
    Duration refusedPause,
    Duration consolidateAfter,
    int spareReplicas) {

  /** The settings that apply without an operators' file. */
  public static OperatorSettings defaults() {
    try {
      return read(TomlTable.parse("defaults", ""));
    } catch (SettingsException e) {
      throw new IllegalStateException("a default is outside its own bounds", e);
    }
  }

  /** Reads the file; the exception names the key that is wrong. */
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

  /** The most that may be paid to run a task now, as a multiple of its cheapest price. */
  public double priceFactor(Priority priority) {
    return switch (priority) {
      case LOW -> priceFactorLow;
      case NORMAL -> priceFactorNormal;
      case HIGH, PRODUCTION -> priceFactorHigh;
    };
  }
}
