package io.tansystack.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.sim.SimEventLoop;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import io.tansystack.wire.StoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests responses of the emulated state service that the simulated cluster does not rely on. */
class EmulatedStoreTest {
  private final SimEventLoop loop = new SimEventLoop();
  private final EmulatedStore store = new EmulatedStore(loop, StoreLimits.unlimited(), () -> false);

  private int put(String key, long version) throws Exception {
    byte[] body =
        StoreProtocol.encodeTransaction(
            List.of(new Condition(key, version)), List.of(new Write(key, Cbor.map(), 0)));
    int[] status = {0};
    store.handle("POST", "/commit", Cbor.decodeMap(body), (s, map) -> status[0] = s);
    return status[0];
  }

  @Test
  void watchReturnsAllLaterChangesUnderThePrefix() throws Exception {
    put("ts/a", 0);
    put("other/b", 0);
    put("ts/c", 0);
    List<ObjectNode> answers = new ArrayList<>();
    store.handle("GET", "/watch?Starts=ts/&Since=1&HoldMs=0", null, (s, map) -> answers.add(map));
    assertEquals(1, answers.get(0).get("Log").size());
    assertEquals(3, answers.get(0).get("Ledger").asLong());
  }

  @Test
  void watchFromADiscardedRevisionIsAnswered410() throws Exception {
    put("ts/first", 0);
    for (int i = 0; i < 20_001; i++) {
      put("ts/" + i, 0);
    }
    int[] status = {0};
    store.handle("GET", "/watch?Starts=ts/&Since=1&HoldMs=0", null, (s, map) -> status[0] = s);
    assertEquals(410, status[0]);
    store.handle("GET", "/watch?Starts=ts/&Since=20000&HoldMs=0", null, (s, map) -> status[0] = s);
    assertEquals(200, status[0]);
  }

  @Test
  void writesOverTheLimitAreRejected() throws Exception {
    store.limits(StoreLimits.unlimited().withWrites(3));
    loop.runFor(Duration.ofSeconds(5));
    List<Integer> answers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      answers.add(put("ts/" + i, 0));
    }
    assertEquals(List.of(200, 200, 200, 429), answers);
    loop.runFor(Duration.ofSeconds(1));
    assertEquals(409, put("ts/0", 0), "a failed condition is answered with 409, not with 429");
    assertEquals(1, store.rejected());
  }
}
