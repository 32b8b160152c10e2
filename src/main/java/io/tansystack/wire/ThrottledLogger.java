package io.tansystack.wire;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.slf4j.Logger;

/**
 * Logs unreadable messages, at most one in {@link #MIN_INTERVAL}. A sender of one unreadable
 * message sends thousands; logging them all would hide every other line and take CPU time from the
 * rest of the process.
 */
public final class ThrottledLogger {
  static final Duration MIN_INTERVAL = Duration.ofSeconds(5);

  private final Logger log;
  private final LongSupplier nanoTime;
  private boolean loggedBefore;
  private long lastLoggedAt;
  private long suppressed;

  public ThrottledLogger(Logger log) {
    this(log, System::nanoTime);
  }

  ThrottledLogger(Logger log, LongSupplier nanoTime) {
    this.log = log;
    this.nanoTime = nanoTime;
  }

  /**
   * Logs a warning, or only counts it if the last one is too recent.
   *
   * @param source the kind or the sender of the message
   * @param problem the field and what is wrong with it
   */
  public void warn(String source, String problem) {
    String line = nextLine(source, problem);
    if (line != null) {
      log.warn(line);
    }
  }

  /** The line to log; null if the last one is too recent. */
  String nextLine(String source, String problem) {
    long now = nanoTime.getAsLong();
    if (loggedBefore && now - lastLoggedAt < MIN_INTERVAL.toNanos()) {
      suppressed++;
      return null;
    }
    String suffix = suppressed == 0 ? "" : " (and " + suppressed + " more that could not be read)";
    loggedBefore = true;
    lastLoggedAt = now;
    suppressed = 0;
    return source + ": " + problem + suffix;
  }
}
