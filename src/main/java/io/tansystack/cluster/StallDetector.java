package io.tansystack.cluster;

import io.tansystack.http.EventLoop;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that this process stood still while its clocks ran on, from a turn of the loop that comes
 * late. After that every timer is due at once and everybody looks silent, though it was this process
 * that did not listen: silences are to be counted from {@link #listeningSince} at the earliest.
 */
public final class StallDetector {
  private static final Logger log = LoggerFactory.getLogger(StallDetector.class);

  /** Duties ask several times a second; a loop that is merely busy is late by less than this. */
  private static final Duration LATE = Duration.ofMillis(1500);

  private final EventLoop loop;
  private Duration lastTurn;
  private Duration listeningSince;
  private int stalls;

  public StallDetector(EventLoop loop) {
    this.loop = loop;
    this.lastTurn = loop.now();
    this.listeningSince = lastTurn;
  }

  /** To be called by every duty's turn before it judges anybody; whichever comes first notices. */
  public void turn() {
    Duration now = loop.now();
    Duration late = now.minus(lastTurn);
    lastTurn = now;
    if (late.compareTo(LATE) > 0) {
      listeningSince = now;
      stalls++;
      log.warn("stalled for {} ms, {} times by now: nobody is judged by that time", late.toMillis(), stalls);
    }
  }

  /** This process has listened from this moment on. */
  public Duration listeningSince() {
    return listeningSince;
  }

  public int stalls() {
    return stalls;
  }
}
