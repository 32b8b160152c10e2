package io.tansystack.fleet;

import io.tansystack.http.CborResponseHandler;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.store.RateBudget;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The cloud's client. Its limit is kept by a budget that may be spent in a burst: what many machines
 * are waited for is asked for at once, and a call spared while nothing was wanted is worth nothing.
 */
final class CloudClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** The cloud allows bursts worth two seconds; a part is left for who held the duty before. */
  private static final double BURST_S = 1.5;

  private final HttpClient caller;
  private final EventLoop loop;
  private final InetSocketAddress address;
  private final RateBudget budget;

  CloudClient(HttpClient caller, EventLoop loop, InetSocketAddress address, double perSecond) {
    this.caller = caller;
    this.loop = loop;
    this.address = address;
    this.budget = new RateBudget(perSecond, Math.max(1, perSecond * BURST_S), loop.now());
  }

  /** Takes a call out of the budget; false if none may be made now. */
  boolean take() {
    return budget.take(1, true, loop.now());
  }

  /** How many calls may be made now. */
  int available() {
    return budget.available(loop.now());
  }

  void call(String method, String path, byte[] body, CborResponseHandler.Callback then) {
    caller.call(
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
                // Others use the limit too.
                budget.refused(loop.now(), Duration.ofMillis(500));
              }
              then.take(status, map);
            }));
  }
}
