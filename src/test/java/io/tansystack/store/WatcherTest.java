package io.tansystack.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.HttpClient;
import io.tansystack.sim.SimEventLoop;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.StoreProtocol.Change;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a cache that is never updated again because its listener failed once. */
class WatcherTest {
  private static final Duration LATENCY = Duration.ofMillis(5);

  private final SimEventLoop loop = new SimEventLoop();
  private final List<Long> snapshots = new ArrayList<>();
  private final List<Long> changes = new ArrayList<>();
  private long revision = 7;
  private boolean listenerFails;

  /** A state service without keys, whose revision grows with each watch. */
  private final HttpClient httpClient =
      (to, method, path, body, timeout, handler) -> {
        ObjectNode response = Cbor.map();
        response.putArray(path.startsWith("/watch") ? "Log" : "Pairs");
        response.put("Ledger", path.startsWith("/watch") ? ++revision : revision);
        loop.after(LATENCY, () -> handler.onResponse(200, Cbor.encode(response)));
      };

  private final Watcher watcher =
      new Watcher(
          new StoreClient(
              httpClient,
              loop,
              new InetSocketAddress("127.0.0.1", 9),
              new RateBudget(10, 10, loop.now()),
              new Random(1)),
          loop,
          "ts/",
          Duration.ofMillis(100),
          new Watcher.Listener() {
            @Override
            public void snapshot(List<Change> pages, List<Change> since, long asOf) {
              snapshots.add(asOf);
            }

            @Override
            public void changes(List<Change> received, long asOf) {
              if (listenerFails) {
                throw new IllegalStateException("expected by this test");
              }
              changes.add(asOf);
            }
          },
          upToDateAsOf -> {});

  @Test
  void everythingIsReadAgainAfterTheListenerFailed() {
    watcher.start();
    loop.runFor(Duration.ofSeconds(1));
    assertEquals(1, snapshots.size());
    listenerFails = true;
    assertThrows(IllegalStateException.class, () -> loop.runFor(Duration.ofSeconds(1)));
    listenerFails = false;
    Duration failedAt = loop.now();
    watcher.confirmUpToDate();
    loop.runFor(Duration.ofMillis(500));
    assertTrue(
        watcher.upToDateAsOf().compareTo(failedAt.minus(LATENCY)) < 0,
        "not up to date before everything is read again");
    int changesBefore = changes.size();
    loop.runFor(Duration.ofSeconds(2));
    assertEquals(2, snapshots.size());
    assertTrue(changes.size() > changesBefore, "later changes arrive");
    assertTrue(watcher.upToDateAsOf().compareTo(failedAt) > 0);
  }
}
