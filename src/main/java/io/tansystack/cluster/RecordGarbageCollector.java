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
 * Deletes obsolete submission batches, claim batches and tombstones, and archives the outcomes of
 * finished jobs, so that a startup does not have to read them. Nothing waits for this, so it uses
 * few writes, and only from the budget that other writes leave. The holder of the first slot does
 * it; two controllers doing it at the same time would do no harm.
 */
public final class RecordGarbageCollector {
  private static final Logger log = LoggerFactory.getLogger(RecordGarbageCollector.class);
  private static final Duration INTERVAL = Duration.ofSeconds(1);
  private static final int MAX_REMOVALS = 3;

  /**
   * The number of outcomes archived in one transaction: fewer would need more transactions, more
   * would interrupt the writing of placements.
   */
  private static final int ARCHIVE_BATCH_SIZE = 4;

  /**
   * Up to this many outcomes are archived only while nothing else is to be written: reading them
   * costs a startup little.
   */
  private static final int MAX_UNARCHIVED = 1000;

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final ControllerLease lease;
  private final SlotManager slotManager;

  public RecordGarbageCollector(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      ControllerLease lease,
      SlotManager slotManager) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.lease = lease;
    this.slotManager = slotManager;
  }

  public void start() {
    loop.after(
        INTERVAL,
        () -> {
          start();
          if (slotManager.holds(0) && lease.valid()) {
            collect();
          }
        });
  }

  private void collect() {
    int remaining = MAX_REMOVALS;
    for (Condition obsolete : clusterState.obsoleteRecords()) {
      if (remaining-- == 0 || !store.reserve(1)) {
        return;
      }
      store.commitReserved(
          List.of(obsolete),
          List.of(new Write(obsolete.key(), null, 0)),
          (result, revision) -> log.debug("deleting {}: {}", obsolete.key(), result));
    }
    archive();
  }

  /**
   * Archives outcomes under {@link ClusterState#archiveKey}. Both writes of a job are in one
   * transaction, so at any moment the job is stored under exactly one of the two keys, and writes
   * to it under the old conditions fail ({@link ClusterState#unchanged}).
   */
  private void archive() {
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    for (Map.Entry<String, FinishedJobs.UnarchivedOutcome> outcome :
        clusterState.unarchivedOutcomes().entrySet()) {
      if (conditions.size() == ARCHIVE_BATCH_SIZE) {
        break;
      }
      String id = outcome.getKey();
      conditions.add(new Condition(ClusterState.jobKey(id), outcome.getValue().version()));
      writes.add(new Write(ClusterState.jobKey(id), null, 0));
      writes.add(
          new Write(
              ClusterState.archiveKey(id),
              JobRecord.outcome(outcome.getValue().phase()).write(),
              0));
    }
    boolean many = clusterState.unarchivedOutcomes().size() > MAX_UNARCHIVED;
    if (conditions.size() == ARCHIVE_BATCH_SIZE
        && (many ? store.reserveIfAmple(writes.size()) : store.reserveIfIdle(writes.size()))) {
      store.commitReserved(
          conditions,
          writes,
          (result, revision) -> log.debug("archiving {} outcomes: {}", conditions.size(), result));
    }
  }
}
