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
 * Cancelled work that may still be on a machine, and since when. Its owner stops it by direct commands,
 * which may not arrive, or be carried out much later, while reports do arrive and their answers renew
 * the worker's lease: it would go on for as long as that lasts. So no report is answered from a machine
 * that may have such work when {@code life} has passed since the copy of the records can last have been
 * without the cancellation. With that the sum that bounds cancelled work holds whether or not the owner
 * has heard of the cancellation, and however its commands fare: {@code life + lease_s}.
 *
 * <p>A process that has just started had no copy before, and would count from its own first reading: starts
 * in a row, each sooner than {@code life}, would give cancelled work as much again every time. So the record
 * says at which time of day the cancellation was sent to the state service, which was before its user was
 * told. Both clocks may be wrong by {@code skew}, and one may have been wrong the other way, so it is only
 * taken for as old as it must be; what proves that it is older counts.
 */
final class CancellationTracker {
  private static final Logger log = LoggerFactory.getLogger(CancellationTracker.class);

  private final ClusterState world;
  private final ControllerLease lease;
  private final Supplier<Duration> unknownUntil;
  private final WallClockConverter timeOfDay;
  private final Map<String, Duration> since = new HashMap<>();

  /** @param unknownUntil the latest moment at which nobody can have committed what the copy has just shown */
  CancellationTracker(
      ClusterState world,
      ControllerLease lease,
      Supplier<Duration> unknownUntil,
      WallClockConverter timeOfDay) {
    this.world = world;
    this.lease = lease;
    this.unknownUntil = unknownUntil;
    this.timeOfDay = timeOfDay;
  }

  /** The records of these jobs have changed. */
  void worldChanged(ClusterStateDelta touched) {
    for (String id : touched.jobs()) {
      Job job = world.job(id);
      if (job == null || job.record().phase() != Phase.CANCELLED) {
        since.remove(id);
      } else {
        since.computeIfAbsent(id, k -> sentBy(job.record().cancelledMs()));
      }
    }
  }

  /** Turned into steady time once: a time of day that is set anew later must not move it. */
  private Duration sentBy(long cancelledMs) {
    Duration unknown = unknownUntil.get();
    Duration sent = cancelledMs > 0 ? timeOfDay.latest(cancelledMs) : unknown;
    return sent.compareTo(unknown) < 0 ? sent : unknown;
  }

  /**
   * Whether the report must not be answered, so that the machine's lease runs out.
   *
   * @param token the owner's
   */
  boolean leftToItsLease(OwnedMachine machine, Report report, long token) {
    // Then the machine has what the report lists and no more: nothing sent under this token can still arrive.
    boolean quiet =
        report.token() == token && !machine.ordersInFlight && machine.doubtfulToken != token;
    boolean left = false;
    for (IndexedPlacement placed :
        since.isEmpty() ? List.<IndexedPlacement>of() : world.placedOn(machine.name)) {
      Duration at = since.get(placed.jobId());
      Placement placement = placed.placement();
      // A later session than the placement's proves that it is over.
      left |=
          at != null
              && !lease.isRecent(at)
              && placement.session() == report.session()
              && (!quiet || lists(report, placed.jobId(), placement.attempt()));
    }
    if (left && !machine.leftToItsLease) {
      log.warn(
          "machine={} session={} shown={} token={} is left to its lease: what was cancelled there can't be stopped",
          machine.name,
          report.session(),
          report.token(),
          token);
    }
    machine.leftToItsLease = left;
    return left;
  }

  private static boolean lists(Report report, String job, long attempt) {
    return report.tasks().stream()
        .anyMatch(t -> !t.exited() && t.attempt() == attempt && t.task().job().equals(job));
  }
}
