package io.tansystack.emulator;

import java.time.Duration;

/** A rate limiter that allows bursts of one second's worth of tokens. */
final class TokenBucket {
  private double perSecond;
  private double available;
  private Duration refilledAt;

  TokenBucket(double perSecond, Duration now) {
    this.perSecond = perSecond;
    this.available = perSecond;
    this.refilledAt = now;
  }

  /** Changes the rate; tokens above one second's worth at the new rate are discarded. */
  void setRate(double newPerSecond, Duration now) {
    refill(now);
    perSecond = newPerSecond;
    available = Math.min(available, newPerSecond);
  }

  private void refill(Duration now) {
    double elapsedS = now.minus(refilledAt).toNanos() / 1e9;
    refilledAt = now;
    available = Math.min(perSecond, available + elapsedS * perSecond);
  }

  /** Takes {@code count} tokens, or none and returns false if fewer are available. */
  boolean tryTake(int count, Duration now) {
    refill(now);
    if (available < count) {
      return false;
    }
    available -= count;
    return true;
  }
}
