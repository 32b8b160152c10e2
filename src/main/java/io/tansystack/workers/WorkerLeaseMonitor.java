package io.tansystack.workers;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.OwnershipConditions;
import io.tansystack.http.EventLoop;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Report;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Declares machines gone whose workers' leases have expired without an answered report, by deleting
 * their records.
 */
final class WorkerLeaseMonitor {
  private static final Logger log = LoggerFactory.getLogger(WorkerLeaseMonitor.class);

  /** Workers try one controller after the other, with a timeout of 4 s for each report. */
  private static final Duration RECONNECT_TIME = Duration.ofSeconds(10);

  /** Monotonic clocks drift apart by up to 0.05%; 1/500 of a time span is four times that. */
  private static final int DRIFT_DIVISOR = 500;

  /** Timers have a coarse resolution and fire late. */
  private static final Duration TIMER_MARGIN = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final ControllerLease lease;
  private final String label;
  private final Duration workerLease;

  WorkerLeaseMonitor(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      ControllerLease lease,
      String label,
      Duration workerLease) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.lease = lease;
    this.label = label;
    this.workerLease = workerLease;
  }

  /**
   * Declares the machine gone if its worker's lease has certainly expired. A controller that was
   * cut off itself first waits for its workers to come back: their next session proves the same
   * without a write for each machine.
   *
   * @param record the machine's record, by which this controller owns it
   * @param listeningSince since when reports have been received and answered
   */
  void declareGoneIfExpired(OwnedMachine machine, MachineRecord record, Duration listeningSince) {
    if (!lease.valid() || machine.recordWriteInFlight) {
      return;
    }
    Duration leaseEndsBy = leaseEndsBy(machine);
    Duration now = loop.now();
    if (now.compareTo(leaseEndsBy) < 0 || now.minus(listeningSince).compareTo(RECONNECT_TIME) < 0) {
      return;
    }
    String evidence = evidence(machine, record, now);
    // An earlier deletion that got no response may still be applied, whatever becomes of this one.
    boolean earlierDeletionPending = machine.deletionVersion == record.version();
    machine.recordWriteInFlight = true;
    machine.deletionVersion = record.version();
    store.commitUrgent(
        OwnershipConditions.stillOwnedBy(clusterState, record, label),
        List.of(clusterState.deletion(machine.name)),
        Duration.ofSeconds(2),
        (result, revision) -> {
          machine.recordWriteInFlight = false;
          boolean refused = result == CommitResult.REFUSED || result == CommitResult.MALFORMED;
          if (result == CommitResult.CONFLICT || (refused && !earlierDeletionPending)) {
            machine.deletionVersion = -1; // It was not applied and won't be any more.
          }
          if (result == CommitResult.DONE) {
            log.warn(
                "gone machine={} because=its lease has run out unanswered {}",
                machine.name,
                evidence);
          } else if (!earlierDeletionPending) {
            log.info(
                "not known to be gone machine={} result={} {}", machine.name, result, evidence);
          }
        });
  }

  /** The facts on which the deletion is based, for its log line; collected when it is decided. */
  private String evidence(OwnedMachine machine, MachineRecord record, Duration now) {
    Report latest = machine.latest;
    WorkerLeaseStart leaseStart = machine.leaseStart;
    return "claimant="
        + record.claimant()
        + "@"
        + record.version()
        + " token="
        + clusterState.token(record)
        + " session="
        + (latest == null ? "unheard" : latest.session())
        + " shown="
        + (latest == null ? 0 : latest.token())
        + " counts from="
        + leaseStart.latestEvent()
        + " answered="
        + now.minus(leaseStart.answeredAt()).toMillis()
        + "ms first seen="
        + now.minus(leaseStart.sessionSeenAt()).toMillis()
        + "ms former="
        + now.minus(leaseStart.formerOwnerUntil()).toMillis()
        + "ms copy="
        + clusterState.revision();
  }

  /**
   * A moment by which the worker's lease has expired unless this controller answers it again, or
   * hears of a later session.
   */
  private Duration leaseEndsBy(OwnedMachine machine) {
    Duration drift = workerLease.dividedBy(DRIFT_DIVISOR);
    return machine.leaseStart.latest().plus(workerLease).plus(drift).plus(TIMER_MARGIN);
  }
}
