package io.tansystack.cluster;

import io.tansystack.http.EventLoop;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects pauses of this process (GC, VM or host) during which its clocks went on, by checks on the
 * event loop that come late. After a pause all timers are due at once and all peers and workers
 * seem unresponsive, although it was this process that received nothing: periods without messages
 * must be counted from {@link #runningSince} at the earliest.
 */
public final class StallDetector {
  private static final Logger log = LoggerFactory.getLogger(StallDetector.class);

  /**
   * Checks are made several times a second; an event loop that is merely busy is late by less than
   * this.
   */
  private static final Duration STALL_THRESHOLD = Duration.ofMillis(1500);

  private final EventLoop loop;
  private Duration lastCheck;
  private Duration runningSince;
  private int stallCount;

  public StallDetector(EventLoop loop) {
    this.loop = loop;
    this.lastCheck = loop.now();
    this.runningSince = lastCheck;
  }

  /**
   * Checks for a pause. Every periodic task calls this before it evaluates whether other processes
   * are responsive, so the first one after a pause detects it.
   */
  public void check() {
    Duration now = loop.now();
    Duration late = now.minus(lastCheck);
    lastCheck = now;
    if (late.compareTo(STALL_THRESHOLD) > 0) {
      runningSince = now;
      stallCount++;
      log.warn(
          "stalled for {} ms, {} times so far: silence of other processes in that time is ignored",
          late.toMillis(),
          stallCount);
    }
  }

  /** The time since which this process has run without a pause. */
  public Duration runningSince() {
    return runningSince;
  }

  /** The number of pauses detected so far. */
  public int stallCount() {
    return stallCount;
  }
}
