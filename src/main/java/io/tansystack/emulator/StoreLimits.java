package io.tansystack.emulator;

/**
 * Limits of the emulated state service; requests over a rate limit are answered with 429. Both
 * rates allow bursts of one second's worth.
 *
 * @param requestsPerSecond requests of all kinds
 * @param writesPerSecond puts and deletes, including those of transactions whose conditions fail
 * @param pageSize items in one response to a list request
 */
public record StoreLimits(double requestsPerSecond, double writesPerSecond, int pageSize) {
  /** The protocol's limit for the number of items in a page. */
  public static final int MAX_PAGE_SIZE = 1000;

  /** No rate limits, and pages so small that loading the cluster state takes many of them. */
  public static StoreLimits unlimited() {
    return new StoreLimits(Double.MAX_VALUE, Double.MAX_VALUE, 5);
  }

  public StoreLimits withRequests(double perSecond) {
    return new StoreLimits(perSecond, writesPerSecond, pageSize);
  }

  public StoreLimits withWrites(double perSecond) {
    return new StoreLimits(requestsPerSecond, perSecond, pageSize);
  }

  public StoreLimits withPageSize(int items) {
    return new StoreLimits(requestsPerSecond, writesPerSecond, items);
  }
}
