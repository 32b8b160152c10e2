package io.tansystack.cluster;

import io.tansystack.http.EventLoop;
import java.time.Duration;
import java.time.InstantSource;

/**
 * Converts a wall-clock time that a process of the cluster recorded into the steady time of this
 * process. A wall-clock time can only prove that something happened before a certain moment: each
 * clock may be wrong by up to {@code skew} in either direction and varies within that range.
 */
public final class WallClockConverter {
  private final EventLoop loop;
  private final InstantSource clock;
  private final Duration skew;

  public WallClockConverter(EventLoop loop, InstantSource clock, Duration skew) {
    this.loop = loop;
    this.clock = clock;
    this.skew = skew;
  }

  /**
   * The latest steady time, now at most, at which a clock of the cluster can have shown this
   * wall-clock time.
   */
  public Duration latest(long wallClockMs) {
    Duration age = Duration.ofMillis(clock.millis() - wallClockMs).minus(skew.multipliedBy(2));
    return age.isNegative() ? loop.now() : loop.now().minus(age);
  }
}
