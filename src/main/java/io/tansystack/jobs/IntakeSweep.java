package io.tansystack.jobs;

import io.tansystack.cluster.OwnLease;
import io.tansystack.cluster.SlotDuty;
import io.tansystack.cluster.World;
import io.tansystack.http.Loop;
import io.tansystack.store.StoreClient;
import io.tansystack.store.StoreClient.Result;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Removes the records that accepted several jobs once nothing needs them any more. Nothing waits for
 * it, so it takes few writes and only such as are left over; the holder of the first slot does it, and
 * two at a time would do no harm.
 */
public final class IntakeSweep {
  private static final Logger log = LoggerFactory.getLogger(IntakeSweep.class);
  private static final Duration EVERY = Duration.ofSeconds(1);
  private static final int MOST = 2;

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final OwnLease lease;
  private final SlotDuty slots;

  public IntakeSweep(
      Loop loop, StoreClient store, World world, OwnLease lease, SlotDuty slots) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.slots = slots;
  }

  public void start() {
    loop.after(
        EVERY,
        () -> {
          start();
          if (slots.holds(0) && lease.valid()) {
            sweep();
          }
        });
  }

  private void sweep() {
    int left = MOST;
    for (Map.Entry<String, Long> over : world.intakesOver().entrySet()) {
      if (left-- == 0 || !store.reserve(1)) {
        return;
      }
      String key = World.intakeKey(over.getKey());
      store.commitReserved(
          List.of(new Condition(key, over.getValue())),
          List.of(new Write(key, null, 0)),
          (result, revision) -> {
            if (result == Result.DONE) {
              log.debug("swept {}", key);
            }
          });
    }
  }
}
