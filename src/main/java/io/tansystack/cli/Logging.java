package io.tansystack.cli;

import io.tansystack.settings.SettingsException;
import java.util.Locale;
import java.util.Set;

/** Configures logging to standard error at the level given by LOG_LEVEL. */
final class Logging {
  private static final Set<String> LEVELS = Set.of("error", "warn", "info", "debug");

  private Logging() {}

  /**
   * Must run before the first logger is created. An unknown level is rejected, with logging set to
   * info.
   *
   * @param level error, warn, info or debug; null or blank for info
   */
  static void configure(String level) throws SettingsException {
    String normalized =
        level == null || level.isBlank() ? "info" : level.trim().toLowerCase(Locale.ROOT);
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.logFile", "System.err");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "false");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty(
        "org.slf4j.simpleLogger.log.io.tansystack",
        LEVELS.contains(normalized) ? normalized : "info");
    if (!LEVELS.contains(normalized)) {
      throw new SettingsException("LOG_LEVEL: " + level + " is not error, warn, info or debug");
    }
  }
}
