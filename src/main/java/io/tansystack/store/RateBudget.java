package io.tansystack.store;

import java.time.Duration;

/**
 * A part of another service's limit, as a token bucket: this controller's of the state service's
 * writes, or the cloud's calls. What is urgent (submissions, cancellations, claims) may empty it;
 * the rest leaves a reserve for that.
 */
public final class RateBudget {
  private double perSecond;
  private double burst;
  private double reserve;
  private double level;
  private Duration at;
  private Duration blockedUntil = Duration.ZERO;

  public RateBudget(double perSecond, double burst, Duration now) {
    this.at = now;
    rate(perSecond, burst, now);
    this.level = burst;
  }

  /** From now on the part is this one: who plans writes more than others. */
  public void rate(double perSecond, double burst, Duration now) {
    refill(now);
    this.perSecond = perSecond;
    this.burst = burst;
    this.reserve = Math.min(burst / 3, 4);
  }

  private void refill(Duration now) {
    double seconds = now.minus(at).toNanos() / 1e9;
    if (seconds > 0) {
      level = Math.min(burst, level + seconds * perSecond);
      at = now;
    }
  }

  /** Takes tokens for so many writes or calls, or nothing at all. */
  public boolean take(int count, boolean urgent, Duration now) {
    refill(now);
    if (now.compareTo(blockedUntil) < 0 || level < (urgent ? 1 : 1 + reserve)) {
      return false;
    }
    level -= count;
    return true;
  }

  /** How many could be taken now by who is not urgent, with nothing owed afterwards. */
  public int spare(Duration now) {
    return Math.max(0, (int) (available(now) - reserve));
  }

  /** What {@link #spare} is at most. */
  public int mostSpare() {
    return (int) (burst - reserve);
  }

  /** How many could be taken now by who is urgent. */
  public int available(Duration now) {
    refill(now);
    return now.compareTo(blockedUntil) < 0 ? 0 : Math.max(0, (int) level);
  }

  /** Whether next to nothing was taken lately. */
  public boolean full(Duration now) {
    return available(now) >= (int) (burst * 0.9);
  }

  /** The service said 429: others are using its limit, so this controller pauses. */
  public void refused(Duration now, Duration pause) {
    refill(now);
    level = Math.min(level, 0);
    blockedUntil = now.plus(pause);
  }
}
