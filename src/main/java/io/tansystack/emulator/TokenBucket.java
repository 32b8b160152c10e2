package io.tansystack.emulator;

import java.time.Duration;

/** A rate limit that allows bursts of one second's worth. */
final class TokenBucket {
  private double perSecond;
  private double level;
  private Duration refilledAt;

  TokenBucket(double perSecond, Duration now) {
    this.perSecond = perSecond;
    this.level = perSecond;
    this.refilledAt = now;
  }

  void rate(double newPerSecond, Duration now) {
    refill(now);
    perSecond = newPerSecond;
    level = Math.min(level, newPerSecond);
  }

  private void refill(Duration now) {
    double passedS = now.minus(refilledAt).toNanos() / 1e9;
    refilledAt = now;
    level = Math.min(perSecond, level + passedS * perSecond);
  }

  /** Takes so many, or nothing if there are fewer. */
  boolean take(int count, Duration now) {
    refill(now);
    if (level < count) {
      return false;
    }
    level -= count;
    return true;
  }
}
