package io.tansystack.store;

import java.time.Duration;

/**
 * A token bucket for a share of another service's rate limit: this controller's share of the state
 * service's writes, or calls of the cloud's API. Urgent requests (submissions, cancellations,
 * claims) may empty it; ordinary ones leave a reserve for these.
 */
public final class RateBudget {
  private double perSecond;
  private double burst;
  private double reserve;
  private double tokens;
  private Duration refilledAt;
  private Duration blockedUntil = Duration.ZERO;

  public RateBudget(double perSecond, double burst, Duration now) {
    this.refilledAt = now;
    setRate(perSecond, burst, now);
    this.tokens = burst;
  }

  /** Changes the share: controllers that schedule write more than others. */
  public void setRate(double perSecond, double burst, Duration now) {
    refill(now);
    this.perSecond = perSecond;
    this.burst = burst;
    this.reserve = Math.min(burst / 3, 4);
  }

  private void refill(Duration now) {
    double seconds = now.minus(refilledAt).toNanos() / 1e9;
    if (seconds > 0) {
      tokens = Math.min(burst, tokens + seconds * perSecond);
      refilledAt = now;
    }
  }

  /**
   * Takes {@code count} tokens and returns true, or takes none and returns false. One available
   * token is enough (one beyond the reserve if the request is not urgent), so the balance may
   * become negative.
   */
  public boolean tryAcquire(int count, boolean urgent, Duration now) {
    refill(now);
    if (now.compareTo(blockedUntil) < 0 || tokens < (urgent ? 1 : 1 + reserve)) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Number of tokens that ordinary requests may take now without a negative balance. */
  public int availableForOrdinary(Duration now) {
    return Math.max(0, (int) (available(now) - reserve));
  }

  /** The maximum of {@link #availableForOrdinary}. */
  public int maxAvailableForOrdinary() {
    return (int) (burst - reserve);
  }

  /** Number of tokens that urgent requests may take now without a negative balance. */
  public int available(Duration now) {
    refill(now);
    return now.compareTo(blockedUntil) < 0 ? 0 : Math.max(0, (int) tokens);
  }

  /** Whether hardly any tokens were taken recently. */
  public boolean nearlyFull(Duration now) {
    return available(now) >= (int) (burst * 0.9);
  }

  /** Pauses after a response 429, because others are using the service's limit too. */
  public void onThrottled(Duration now, Duration pause) {
    refill(now);
    tokens = Math.min(tokens, 0);
    blockedUntil = now.plus(pause);
  }
}
