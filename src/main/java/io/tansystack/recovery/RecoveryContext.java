package io.tansystack.recovery;

import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Predicate;

/**
 * The components that a controller uses while it knows only part of what runs.
 *
 * @param ownerLiveness evaluates the owners of other machines
 * @param failoverCoordinator fails over the machines of overdue owners
 * @param fleetCoverage the part of the fleet known to this controller since it became a planner
 * @param maxStartupTime the longest time that a startup takes, given the workers' lease and reports
 */
public record RecoveryContext(
    OwnerLiveness ownerLiveness,
    FailoverCoordinator failoverCoordinator,
    FleetCoverage fleetCoverage,
    Duration maxStartupTime) {

  /**
   * The health of the other controllers by label, as observed from requests to them. These are
   * hints.
   *
   * @param unfit no worker should be sent to the controller
   * @param heardFrom the controller has been heard from since this one started
   * @param refusesConnections the controller's address refuses connections
   * @param unresponsive the controller has neither answered nor refused connections for a while
   */
  public record PeerHealth(
      Predicate<String> unfit,
      Predicate<String> heardFrom,
      Predicate<String> refusesConnections,
      Predicate<String> unresponsive) {}

  /** @param recordTtl the time for which a controller's record outlives its last renewal */
  public static RecoveryContext of(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      PlatformSettings settings,
      InstantSource clock,
      Duration recordTtl,
      PeerHealth peerHealth) {
    Duration workerLease = settings.workerTimings().leaseDuration();
    Duration reportInterval = settings.workerTimings().reportInterval();
    // Within the worker's lease its owner comes back or is replaced; the report interval allows for
    // a report to an unresponsive owner, which the worker gives up.
    Duration maxStartupTime =
        workerLease.dividedBy(2).plus(reportInterval.multipliedBy(5).dividedBy(4));
    return new RecoveryContext(
        new OwnerLiveness(
            loop, clusterState, clock, recordTtl, workerLease, reportInterval, peerHealth),
        new FailoverCoordinator(loop, store, clusterState, settings.label(), peerHealth.unfit()),
        new FleetCoverage(maxStartupTime),
        maxStartupTime);
  }
}
