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

/** Declares machines gone whose workers' leases have run out unanswered, by removing their records. */
final class WorkerLeaseMonitor {
  private static final Logger log = LoggerFactory.getLogger(WorkerLeaseMonitor.class);

  /** Workers try one controller after the other, and each report has 4 s. */
  private static final Duration COME_BACK = Duration.ofSeconds(10);

  /** Steady clocks drift apart by up to 0.05%: this part of a span is four times that. */
  private static final int DRIFT_PART = 500;

  /** Timers fire in steps, and late. */
  private static final Duration MARGIN = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final ControllerLease lease;
  private final String label;
  private final Duration workerLease;

  WorkerLeaseMonitor(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      ControllerLease lease,
      String label,
      Duration workerLease) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.label = label;
    this.workerLease = workerLease;
  }

  /**
   * Declares the machine gone if its worker's lease has run out for certain. A controller that was cut off
   * itself waits for its workers to come back first: their next session proves as much without a write for
   * each.
   *
   * @param record the machine's, which is this controller's own
   * @param listeningSince since when reports were heard and answered
   */
  void judge(OwnedMachine machine, MachineRecord record, Duration listeningSince) {
    if (!lease.valid() || machine.claiming) {
      return;
    }
    Duration sure = leaseEndsBefore(machine);
    Duration now = loop.now();
    if (now.compareTo(sure) < 0 || now.minus(listeningSince).compareTo(COME_BACK) < 0) {
      return;
    }
    String grounds = grounds(machine, record, now);
    // An earlier one without an answer may still be applied, whatever becomes of this one.
    boolean doubtful = machine.goneVersion == record.version();
    machine.claiming = true;
    machine.goneVersion = record.version();
    store.commitUrgent(
        OwnershipConditions.stillOwnedBy(world, record, label),
        List.of(world.deletion(machine.name)),
        Duration.ofSeconds(2),
        (result, revision) -> {
          machine.claiming = false;
          boolean refused = result == CommitResult.REFUSED || result == CommitResult.MALFORMED;
          if (result == CommitResult.CONFLICT || (refused && !doubtful)) {
            machine.goneVersion = -1; // It was not applied and won't be.
          }
          if (result == CommitResult.DONE) {
            log.warn(
                "gone machine={} because=its lease has run out unanswered {}",
                machine.name,
                grounds);
          } else if (!doubtful) {
            log.info("not known to be gone machine={} result={} {}", machine.name, result, grounds);
          }
        });
  }

  /** On what the departure rests, for its log line; written when it was decided. */
  private String grounds(OwnedMachine machine, MachineRecord record, Duration now) {
    Report latest = machine.latest;
    return "claimant="
        + record.claimant()
        + "@"
        + record.version()
        + " token="
        + world.token(record)
        + " session="
        + (latest == null ? "unheard" : latest.session())
        + " shown="
        + (latest == null ? 0 : latest.token())
        + " answered="
        + now.minus(machine.answeredAt).toMillis()
        + "ms former="
        + now.minus(machine.formerOwnerUntil()).toMillis()
        + "ms copy="
        + world.revision();
  }

  /**
   * A moment by which the worker's lease has run out unless this controller has answered it since: the lease
   * counts from when the last answered report was sent, which was before its owner received it.
   */
  private Duration leaseEndsBefore(OwnedMachine machine) {
    Duration drift = workerLease.dividedBy(DRIFT_PART);
    return machine.lastAnswerAt().plus(workerLease).plus(drift).plus(MARGIN);
  }
}
