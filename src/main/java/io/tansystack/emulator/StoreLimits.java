package io.tansystack.emulator;

/**
 * What the state service carries out; more is refused with 429.
 *
 * @param requestsPerSecond requests; bursts of one second's worth are allowed
 * @param writesPerSecond puts and deletes, those of transactions whose conditions fail included
 * @param pageSize items in one answer to a list
 */
public record StoreLimits(double requestsPerSecond, double writesPerSecond, int pageSize) {
  /** The protocol's limit for one page. */
  public static final int MAX_PAGE = 1000;

  /** No limits, and pages so small that a copy is loaded from many. */
  public static StoreLimits none() {
    return new StoreLimits(Double.MAX_VALUE, Double.MAX_VALUE, 5);
  }

  public StoreLimits withRequests(double perSecond) {
    return new StoreLimits(perSecond, writesPerSecond, pageSize);
  }

  public StoreLimits withWrites(double perSecond) {
    return new StoreLimits(requestsPerSecond, perSecond, pageSize);
  }

  public StoreLimits withPages(int items) {
    return new StoreLimits(requestsPerSecond, writesPerSecond, items);
  }
}
