package io.tansystack.wire;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.slf4j.Logger;

/**
 * Logs what can't be read, seldom: whoever sends one unreadable message sends thousands, and a log that
 * is flooded with them hides everything else and costs the processor time of the rest.
 */
public final class ThrottledLogger {
  static final Duration EVERY = Duration.ofSeconds(5);

  private final Logger log;
  private final LongSupplier nanoTime;
  private boolean said;
  private long saidAt;
  private long unsaid;

  public ThrottledLogger(Logger log) {
    this(log, System::nanoTime);
  }

  ThrottledLogger(Logger log, LongSupplier nanoTime) {
    this.log = log;
    this.nanoTime = nanoTime;
  }

  /** @param why names the field, and what is wrong with it */
  public void tell(String what, String why) {
    String line = line(what, why);
    if (line != null) {
      log.warn(line);
    }
  }

  /** The line to log; null while the last one is too recent. */
  String line(String what, String why) {
    long now = nanoTime.getAsLong();
    if (said && now - saidAt < EVERY.toNanos()) {
      unsaid++;
      return null;
    }
    String more = unsaid == 0 ? "" : " (and " + unsaid + " more that could not be read)";
    said = true;
    saidAt = now;
    unsaid = 0;
    return what + ": " + why + more;
  }
}
