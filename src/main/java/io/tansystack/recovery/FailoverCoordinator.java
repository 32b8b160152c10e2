package io.tansystack.recovery;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.FailoverRecord;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.OwnershipConditions;
import io.tansystack.http.EventLoop;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes other controllers the owners of all machines of a failed controller by writing one
 * {@link FailoverRecord}. The write succeeds only while the failed controller has no record and
 * while no other controller has written a failover record since. So a controller that comes back at
 * the same moment keeps its machines, and of two controllers that write failover records one
 * succeeds.
 */
public final class FailoverCoordinator {
  private static final Logger log = LoggerFactory.getLogger(FailoverCoordinator.class);
  private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(2);

  /** After this time the cluster state should show the outcome of the write. */
  private static final Duration VISIBILITY_DELAY = Duration.ofMillis(500);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final String label;
  private final Predicate<String> unfit;
  private final Set<String> inProgress = new HashSet<>();

  /** @param unfit whether no worker should be sent to the controller of this label */
  public FailoverCoordinator(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      String label,
      Predicate<String> unfit) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.label = label;
    this.unfit = unfit;
  }

  /**
   * Fails over all machines that were claimed by the claimant of the given machine.
   *
   * @param reason for the log
   */
  public void failOver(MachineRecord machine, String reason) {
    String claimant = machine.claimant();
    if (!clusterState.alive(label) || inProgress.contains(claimant)) {
      return;
    }
    Map<String, List<String>> successors = successorsByZone();
    List<Condition> conditions =
        OwnershipConditions.failoverAllowed(clusterState, machine, label);
    inProgress.add(claimant);
    store.commitUrgent(
        conditions,
        List.of(new Write(ClusterState.failoverKey(claimant), FailoverRecord.write(successors), 0)),
        COMMIT_TIMEOUT,
        (result, revision) -> {
          log.info(
              "heirs of={} to={} token={} result={} because={}",
              claimant,
              successors,
              revision,
              result,
              reason);
          loop.after(VISIBILITY_DELAY, () -> inProgress.remove(claimant));
        });
  }

  /**
   * The controllers that are fit to own machines, by zone: a worker's zone may be cut off from
   * other zones.
   */
  private Map<String, List<String>> successorsByZone() {
    Map<String, List<String>> byZone = new TreeMap<>();
    List<String> all = new ArrayList<>();
    clusterState
        .controllers()
        .forEach(
            (controller, record) -> {
              if (controller.equals(label) || !unfit.test(controller)) {
                byZone.computeIfAbsent(record.zone(), k -> new ArrayList<>()).add(controller);
                all.add(controller);
              }
            });
    byZone.put(FailoverRecord.OTHER_ZONES, all);
    return byZone;
  }
}
