package io.tansystack.recovery;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.FailoverRecord;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.OwnershipConditions;
import io.tansystack.http.EventLoop;
import io.tansystack.store.StoreClient;
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
 * Hands all machines of a controller that has ended to the others by one write, {@link FailoverRecord}. It holds
 * only while that controller has no record, and while nobody else has named heirs since; so a
 * controller that comes back at the same moment keeps its machines, and of two that name heirs one
 * wins.
 */
public final class FailoverCoordinator {
  private static final Logger log = LoggerFactory.getLogger(FailoverCoordinator.class);
  private static final Duration WAIT = Duration.ofSeconds(2);

  /** Until the copy of the records has had time to show the outcome. */
  private static final Duration SHOWN = Duration.ofMillis(500);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final String label;
  private final Predicate<String> unfit;
  private final Set<String> underWay = new HashSet<>();

  /** @param unfit controllers to which no worker should be sent */
  public FailoverCoordinator(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      String label,
      Predicate<String> unfit) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.label = label;
    this.unfit = unfit;
  }

  /** Hands over all that was claimed by the machine's claimant. */
  public void handOver(MachineRecord machine, String why) {
    String claimant = machine.claimant();
    if (!world.alive(label) || !underWay.add(claimant)) {
      return;
    }
    Map<String, List<String>> heirs = heirs();
    store.commitUrgent(
        OwnershipConditions.left(world, machine, label),
        List.of(new Write(ClusterState.heirsKey(claimant), FailoverRecord.write(heirs), 0)),
        WAIT,
        (result, revision) -> {
          log.info(
              "heirs of={} to={} token={} result={} because={}",
              claimant,
              heirs,
              revision,
              result,
              why);
          loop.after(SHOWN, () -> underWay.remove(claimant));
        });
  }

  /** Those that act, by their zones: a worker's own zone may be cut off from others. */
  private Map<String, List<String>> heirs() {
    Map<String, List<String>> heirs = new TreeMap<>();
    List<String> all = new ArrayList<>();
    world
        .controllers()
        .forEach(
            (controller, record) -> {
              if (controller.equals(label) || !unfit.test(controller)) {
                heirs.computeIfAbsent(record.zone(), k -> new ArrayList<>()).add(controller);
                all.add(controller);
              }
            });
    heirs.put(FailoverRecord.ELSEWHERE, all);
    return heirs;
  }
}
