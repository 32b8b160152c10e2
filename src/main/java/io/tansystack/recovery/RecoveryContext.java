package io.tansystack.recovery;

import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Predicate;

/**
 * What a controller goes by while it knows only part of what runs.
 *
 * @param owners what to make of other machines' owners
 * @param estates hands over the machines of those that are late
 * @param coverage how much of the fleet this controller has heard of since it came to plan
 * @param longest how long a start takes at most, by the workers' lease and reports
 */
public record RecoveryContext(
    OwnerLiveness owners, FailoverCoordinator estates, FleetCoverage coverage, Duration longest) {

  /**
   * What is known of the other controllers by calling them: hints.
   *
   * @param unfit no worker should be sent to it
   * @param heard it was heard of since this controller has started
   * @param refuses its address refuses connections
   * @param silent it has neither answered nor refused for a while
   */
  public record PeerHealth(
      Predicate<String> unfit,
      Predicate<String> heard,
      Predicate<String> refuses,
      Predicate<String> silent) {}

  /** @param recordLife how long a controller's record outlives its last renewal */
  public static RecoveryContext of(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      PlatformSettings settings,
      InstantSource clock,
      Duration recordLife,
      PeerHealth contact) {
    Duration lease = settings.workers().lease();
    Duration report = settings.workers().report();
    // The owner is back or replaced within the lease, and a report to a silent one is given up on.
    Duration longest = lease.dividedBy(2).plus(report.multipliedBy(5).dividedBy(4));
    return new RecoveryContext(
        new OwnerLiveness(loop, world, clock, recordLife, lease, report, contact),
        new FailoverCoordinator(loop, store, world, settings.label(), contact.unfit()),
        new FleetCoverage(longest),
        longest);
  }
}
