package io.tansystack.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.HttpClient;
import io.tansystack.sim.SimEventLoop;
import io.tansystack.store.RateBudget;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against record changes that block placements: when work ends, hundreds of machines become
 * idle at once, and their record changes compete with placements for the write limit.
 */
class MachineRecordWriterTest {
  private static final int WRITES_PER_SECOND = 15;
  private static final int MACHINES = 120;

  private final SimEventLoop loop = new SimEventLoop();
  private final Map<String, CommitResult> results = new HashMap<>();
  private int transactions;

  /** The record of n-7 has a newer version, so that every transaction with it fails. */
  private final HttpClient httpClient =
      (to, method, path, body, timeout, handler) -> {
        transactions++;
        boolean conflict = decode(body).toString().contains("\"ts/machines/n-7\"");
        loop.after(
            Duration.ofMillis(5),
            () ->
                handler.onResponse(
                    conflict ? 409 : 200, Cbor.encode(Cbor.map().put("Ledger", 9))));
      };

  private final StoreClient store =
      new StoreClient(
          httpClient,
          loop,
          new InetSocketAddress("127.0.0.1", 9),
          new RateBudget(WRITES_PER_SECOND, WRITES_PER_SECOND, loop.now()),
          new Random(1));
  private final MachineRecordWriter writer = new MachineRecordWriter(store);

  private static ObjectNode decode(byte[] body) {
    try {
      return Cbor.decodeMap(body);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private void enqueue(int machine) {
    String name = "n-" + machine;
    String key = "ts/machines/" + name;
    writer.add(
        name,
        new Condition(key, 3),
        new Write(key, null, 0),
        (result, revision) -> results.put(name, result));
  }

  /**
   * Without the result, a machine whose deletion was confirmed would count as removed and keep its
   * record.
   */
  @Test
  void resetReportsDroppedWritesAsRefused() {
    enqueue(1);
    writer.reset();
    writer.send();
    assertEquals(Map.of("n-1", CommitResult.REFUSED), results);
    assertEquals(0, transactions);
  }

  @Test
  void placementsProceedAndAConflictFailsOnlyItsOwnWrite() {
    for (int machine = 0; machine < MACHINES; machine++) {
      enqueue(machine);
    }
    int refused = 0;
    for (int i = 0; i < 100; i++) {
      writer.send();
      refused += store.availableWrites() >= 2 && store.reserve(2) ? 0 : 1;
      loop.runFor(Duration.ofMillis(250));
      for (int machine = 0; machine < MACHINES; machine++) {
        if (results.get("n-" + machine) == CommitResult.CONFLICT && machine != 7) {
          enqueue(machine); // As the callers do while the change is still due.
        }
      }
    }
    assertTrue(refused <= 20, refused + " of 100 placements had to wait for a later tick");
    assertEquals(CommitResult.CONFLICT, results.remove("n-7"));
    assertEquals(MACHINES - 1, results.size(), "all written with the writes that placements left");
    assertTrue(
        results.values().stream().allMatch(CommitResult.DONE::equals),
        "the conflict of n-7 fails no other write");
    assertTrue(
        transactions < results.size() / 3,
        transactions + " transactions, machines written: " + results.size());
  }
}
