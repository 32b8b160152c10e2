package io.tansystack.cluster;

import io.tansystack.http.EventLoop;
import java.time.Duration;
import java.time.InstantSource;

/**
 * Turns a time of day that some process of the cluster wrote down into this one's steady time. What a time
 * of day can prove is only that something was earlier: each clock may be wrong by {@code skew}, either way,
 * and wanders within that.
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

  /** The latest moment, now at most, at which a clock of the cluster can have shown this time of day. */
  public Duration latest(long ms) {
    Duration age = Duration.ofMillis(clock.millis() - ms).minus(skew.multipliedBy(2));
    return age.isNegative() ? loop.now() : loop.now().minus(age);
  }
}
