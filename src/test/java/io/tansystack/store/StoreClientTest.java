package io.tansystack.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.http.HttpClient;
import io.tansystack.sim.SimEventLoop;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against transactions whose callers never learn their outcome. */
class StoreClientTest {
  private static final Duration MAX_WAIT = Duration.ofSeconds(2);

  private final SimEventLoop loop = new SimEventLoop();
  private final List<CommitResult> results = new ArrayList<>();
  private final HttpClient httpClient =
      (to, method, path, body, timeout, handler) ->
          loop.after(
              Duration.ofMillis(5),
              () -> handler.onResponse(200, Cbor.encode(Cbor.map().put("Ledger", 9))));

  private final StoreClient store =
      new StoreClient(
          httpClient,
          loop,
          new InetSocketAddress("127.0.0.1", 9),
          new RateBudget(10, 1, loop.now()),
          new Random(1));

  private void commit(String text) {
    store.commitUrgent(
        List.of(new Condition("ts/a", 1)),
        List.of(new Write("ts/a", Cbor.map().put("text", text), 0)),
        MAX_WAIT,
        (result, revision) -> results.add(result));
  }

  /** Half of a surrogate pair has no form in UTF-8. */
  @Test
  void transactionThatCannotBeEncodedIsReportedAsMalformed() {
    commit("\ud83d");
    commit("valid");
    loop.runFor(MAX_WAIT);
    assertEquals(List.of(CommitResult.MALFORMED, CommitResult.DONE), results);
  }

  @Test
  void callbackThatFailsDoesNotStopTheQueue() {
    commit("first");
    store.commitUrgent(
        List.of(),
        List.of(new Write("ts/b", Cbor.map().put("text", "\ud83d"), 0)),
        MAX_WAIT,
        (result, revision) -> {
          throw new IllegalStateException("expected by this test");
        });
    commit("last");
    while (results.size() < 2 && loop.now().toSeconds() < 1010) {
      try {
        loop.runFor(Duration.ofMillis(10));
      } catch (IllegalStateException e) {
        assertEquals("expected by this test", e.getMessage());
      }
    }
    assertEquals(List.of(CommitResult.DONE, CommitResult.DONE), results);
  }
}
