package io.tansystack.fleet;

import io.tansystack.http.CborOutcome;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.Loop;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The cloud's client: calls are spaced so that its limit is kept. */
final class Cloud {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpCaller caller;
  private final Loop loop;
  private final InetSocketAddress address;
  private final Duration gap;
  private Duration nextAt = Duration.ZERO;

  Cloud(HttpCaller caller, Loop loop, InetSocketAddress address, double perSecond) {
    this.caller = caller;
    this.loop = loop;
    this.address = address;
    this.gap = Duration.ofNanos((long) (1e9 / perSecond));
  }

  /** Whether a call may be made now. */
  boolean free() {
    return loop.now().compareTo(nextAt) >= 0;
  }

  void call(String method, String path, byte[] body, CborOutcome.Answer then) {
    nextAt = loop.now().plus(gap);
    caller.call(address, method, path, body, TIMEOUT, new CborOutcome("cloud", 0, then));
  }
}
