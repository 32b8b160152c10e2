package io.tansystack.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.Loop;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The cloud's client: calls are spaced so that its limit is kept. */
final class Cloud {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** Status 0 stands for no answer; the body is null where it could not be read. */
  interface Answer {
    void take(int status, ObjectNode body);
  }

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

  void call(String method, String path, byte[] body, Answer then) {
    nextAt = loop.now().plus(gap);
    caller.call(
        address,
        method,
        path,
        body,
        TIMEOUT,
        new HttpCaller.Outcome() {
          @Override
          public void answer(int status, byte[] answer) {
            ObjectNode map = null;
            try {
              map = Cbor.decodeMap(answer);
            } catch (BadInput e) {
              if (status == 200) {
                then.take(0, null);
                return;
              }
            }
            then.take(status, map);
          }

          @Override
          public void silence(boolean refused) {
            then.take(0, null);
          }
        });
  }
}
