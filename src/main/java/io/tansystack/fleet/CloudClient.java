package io.tansystack.fleet;

import io.tansystack.http.CborResponseHandler;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.store.RateBudget;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Client of the cloud's API. A token bucket keeps its calls within the cloud's rate limit. The
 * bucket may be emptied in one burst, so that a large shortage is rented for at once: calls saved
 * while nothing was needed have no other use.
 */
final class CloudClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** The cloud allows bursts of two seconds; a part is left to the previous autoscaler. */
  private static final double BURST_S = 1.5;

  private final HttpClient httpClient;
  private final EventLoop loop;
  private final InetSocketAddress address;
  private final RateBudget budget;

  CloudClient(
      HttpClient httpClient, EventLoop loop, InetSocketAddress address, double callsPerSecond) {
    this.httpClient = httpClient;
    this.loop = loop;
    this.address = address;
    this.budget = new RateBudget(callsPerSecond, Math.max(1, callsPerSecond * BURST_S), loop.now());
  }

  /** Takes one call from the budget; false if no call may be made now. */
  boolean tryAcquire() {
    return budget.tryAcquire(1, true, loop.now());
  }

  /** Number of calls that may be made now. */
  int available() {
    return budget.available(loop.now());
  }

  /**
   * Sends a request without taking it from the budget. The callback receives status 0 if there was
   * no response.
   */
  void call(String method, String path, byte[] body, CborResponseHandler.Callback callback) {
    httpClient.call(
        address,
        method,
        path,
        body,
        TIMEOUT,
        new CborResponseHandler(
            "cloud",
            0,
            (status, map) -> {
              if (status == 429) {
                // Other controllers use the same limit.
                budget.onThrottled(loop.now(), Duration.ofMillis(500));
              }
              callback.onResult(status, map);
            }));
  }
}
