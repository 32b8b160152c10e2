package io.tansystack.cluster;

import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Removes records that nothing needs any more: those that accepted several jobs or claimed several
 * machines, and the marks of machines that are gone; and puts away what is left of jobs that are over,
 * so that a start does not have to read it. Nothing waits for it, so it takes few writes and
 * only such as are left over; the holder of the first slot does it, and two at a time would do no harm.
 */
public final class RecordGarbageCollector {
  private static final Logger log = LoggerFactory.getLogger(RecordGarbageCollector.class);
  private static final Duration EVERY = Duration.ofSeconds(1);
  private static final int MOST = 3;

  /** Outcomes are put away so many at once: fewer make more transactions, more a gap in placements. */
  private static final int AT_ONCE = 4;

  /** Up to so many wait until nothing else is to be written: reading them costs a start little. */
  private static final int MANY = 1000;

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final ControllerLease lease;
  private final SlotManager slots;

  public RecordGarbageCollector(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      ControllerLease lease,
      SlotManager slots) {
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
    for (Condition needless : world.needless()) {
      if (left-- == 0 || !store.reserve(1)) {
        return;
      }
      store.commitReserved(
          List.of(needless),
          List.of(new Write(needless.key(), null, 0)),
          (result, revision) -> log.debug("removal of {}: {}", needless.key(), result));
    }
    putAway();
  }

  /**
   * Puts outcomes away, under {@link ClusterState#endedKey}. Both writes of a job are one transaction, so it
   * stands in one of the two places at any moment, and what still writes to it under the old condition
   * fails ({@link ClusterState#unchanged}).
   */
  private void putAway() {
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    for (Map.Entry<String, FinishedJobs.UnarchivedOutcome> outcome : world.outcomes().entrySet()) {
      if (conditions.size() == AT_ONCE) {
        break;
      }
      String id = outcome.getKey();
      conditions.add(new Condition(ClusterState.jobKey(id), outcome.getValue().version()));
      writes.add(new Write(ClusterState.jobKey(id), null, 0));
      writes.add(
          new Write(
              ClusterState.endedKey(id), JobRecord.outcome(outcome.getValue().phase()).write(), 0));
    }
    boolean many = world.outcomes().size() > MANY;
    if (conditions.size() == AT_ONCE
        && (many ? store.reserveSpare(writes.size()) : store.reserveIdle(writes.size()))) {
      store.commitReserved(
          conditions,
          writes,
          (result, revision) -> log.debug("{} outcomes put away: {}", conditions.size(), result));
    }
  }
}
