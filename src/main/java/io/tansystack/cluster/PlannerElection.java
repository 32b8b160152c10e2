package io.tansystack.cluster;

import io.tansystack.cluster.ClusterState.ControllerRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Selects the planners, the controllers that hold slots and schedule. Each planner reads all
 * machine views and plans all jobs, so the total cost of the controllers grows with the number of
 * planners, and on a large cluster one planner is enough. All controllers select the same planners
 * from the same records.
 */
final class PlannerElection {
  /** Up to 3 controllers all plan while the fleet is small: a single planner would save nothing. */
  private static final int SMALL_CONTROLLER_COUNT = 3;

  /**
   * From 150 machines on, a second scheduling pass and its machine views cost more than it gains.
   */
  private static final int LARGE_FLEET = 150;

  /**
   * The lower threshold while one controller holds all slots. The gap to {@link #LARGE_FLEET} keeps
   * slots from being transferred back and forth.
   */
  private static final int LARGE_FLEET_IF_CONCENTRATED = 75;

  private PlannerElection() {}

  /**
   * The labels of the planners: all controllers if they are few and the fleet is small, else the
   * one that registered first. A controller that comes back registers last, so its return moves no
   * work. The configured number of controllers decides, not the number of live ones: otherwise the
   * slots would be spread and concentrated again while all controllers come back one after the
   * other.
   *
   * @param controllerCount the number of controllers in the deployment
   * @param machineCount the number of recorded machines
   * @param concentrated whether one controller holds all slots. Like all arguments this is derived
   *     from the records, since controllers that disagree would transfer slots back and forth
   */
  static List<String> choose(
      Map<String, ControllerRecord> liveControllers,
      int controllerCount,
      int machineCount,
      boolean concentrated) {
    boolean large = machineCount >= (concentrated ? LARGE_FLEET_IF_CONCENTRATED : LARGE_FLEET);
    List<String> byAge = new ArrayList<>(liveControllers.keySet());
    byAge.sort(Comparator.comparingLong(label -> liveControllers.get(label).version()));
    return controllerCount <= SMALL_CONTROLLER_COUNT && !large
        ? byAge
        : byAge.subList(0, Math.min(1, byAge.size()));
  }
}
