package io.tansystack.workers;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ClusterStateDelta;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.PlacementIndex.IndexedPlacement;
import io.tansystack.cluster.WallClockConverter;
import io.tansystack.records.JobRecord.Phase;
import io.tansystack.records.Placement;
import io.tansystack.wire.Report;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which machines' leases must be left to expire because cancelled tasks may still run
 * there.
 *
 * <p>A machine's owner stops cancelled tasks by direct commands. These may be lost or executed much
 * later, while reports still arrive and the responses to them renew the worker's lease: the tasks
 * would run on for as long as that lasts. So a report of a machine that may have such tasks is not
 * answered once the duration of a controller's lease has passed since the last moment at which the
 * cluster state cache can have been without the cancellation. Cancelled tasks therefore run for at
 * most that duration plus {@code lease_s}, whether or not the owner has seen the cancellation, and
 * whatever becomes of its commands.
 *
 * <p>A process that has just started had no cache before and would count from its own first load:
 * repeated restarts, each sooner than that duration, would extend the time of cancelled tasks every
 * time. So the job's record contains the wall-clock time at which the cancellation was sent to the
 * state service, which was before the user got the response. Each of the two clocks may be off by
 * {@code skew}, in opposite directions, so only the age that this time proves is taken into
 * account. Of the moment derived from it and the one given by the cache, the earlier one counts.
 */
final class CancellationTracker {
  private static final Logger log = LoggerFactory.getLogger(CancellationTracker.class);

  private final ClusterState clusterState;
  private final ControllerLease lease;
  private final Supplier<Duration> notCommittedBefore;
  private final WallClockConverter wallClock;
  private final Map<String, Duration> cancelledSince = new HashMap<>();

  /**
   * @param notCommittedBefore the moment as of which the cache was up to date before its newest
   *     changes: these were committed later
   */
  CancellationTracker(
      ClusterState clusterState,
      ControllerLease lease,
      Supplier<Duration> notCommittedBefore,
      WallClockConverter wallClock) {
    this.clusterState = clusterState;
    this.lease = lease;
    this.notCommittedBefore = notCommittedBefore;
    this.wallClock = wallClock;
  }

  /** Updates the set of cancelled jobs after their records have changed. */
  void onClusterStateChange(ClusterStateDelta delta) {
    for (String id : delta.jobs()) {
      Job job = clusterState.job(id);
      if (job == null || job.record().phase() != Phase.CANCELLED) {
        cancelledSince.remove(id);
      } else {
        cancelledSince.computeIfAbsent(id, k -> countsFrom(job.record().cancelledMs()));
      }
    }
  }

  /**
   * The moment from which the lease duration counts for a cancellation. The wall-clock time is
   * converted to monotonic time only once, so that a later clock adjustment does not move it.
   */
  private Duration countsFrom(long cancelledMs) {
    Duration notBefore = notCommittedBefore.get();
    Duration sent = cancelledMs > 0 ? wallClock.latest(cancelledMs) : notBefore;
    return sent.compareTo(notBefore) < 0 ? sent : notBefore;
  }

  /**
   * Whether the report must not be answered, so that the worker's lease expires.
   *
   * @param token the owner's token for the machine
   */
  boolean mustLeaveToExpire(OwnedMachine machine, Report report, long token) {
    // If true, the machine has exactly the tasks that the report lists: no command sent under this
    // token can still arrive.
    boolean reportIsComplete =
        report.token() >= token && !machine.commandsInFlight && machine.unconfirmedToken != token;
    boolean mustExpire = false;
    for (IndexedPlacement indexed :
        cancelledSince.isEmpty()
            ? List.<IndexedPlacement>of()
            : clusterState.placedOn(machine.name)) {
      Duration cancelledAt = cancelledSince.get(indexed.jobId());
      Placement placement = indexed.placement();
      // A later session than the placement's proves that its tasks have ended.
      mustExpire |=
          cancelledAt != null
              && !lease.isRecent(cancelledAt)
              && placement.session() == report.session()
              && (!reportIsComplete
                  || listsAsRunning(report, indexed.jobId(), placement.attempt()));
    }
    if (mustExpire && !machine.leftToExpire) {
      log.warn(
          "machine={} session={} shown={} token={} is left to expire: cancelled tasks may still run"
              + " there and can't be stopped",
          machine.name,
          report.session(),
          report.token(),
          token);
    }
    machine.leftToExpire = mustExpire;
    return mustExpire;
  }

  private static boolean listsAsRunning(Report report, String job, long attempt) {
    return report.tasks().stream()
        .anyMatch(t -> !t.exited() && t.attempt() == attempt && t.task().job().equals(job));
  }
}
