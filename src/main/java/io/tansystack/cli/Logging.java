package io.tansystack.cli;

import io.tansystack.settings.SettingsException;
import java.util.Locale;
import java.util.Set;

/** Levelled logging to standard error, in the amount that LOG_LEVEL asks for. */
final class Logging {
  private static final Set<String> LEVELS = Set.of("error", "warn", "info", "debug");

  private Logging() {}

  /** Has to run before the first logger is made. */
  static void configure(String level) throws SettingsException {
    String chosen = level == null || level.isBlank() ? "info" : level.trim().toLowerCase(Locale.ROOT);
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.logFile", "System.err");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "false");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.slf4j.simpleLogger.log.io.tansystack", LEVELS.contains(chosen) ? chosen : "info");
    if (!LEVELS.contains(chosen)) {
      throw new SettingsException("LOG_LEVEL: " + level + " is not error, warn, info or debug");
    }
  }
}
