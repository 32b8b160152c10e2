package io.tansystack.cluster;

import io.tansystack.cluster.ClusterState.ControllerRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Which controllers hold slots and plan. Each that plans reads every view and plans every job, so the
 * cost of all controllers together grows with the number of planners, and on a large cluster one is
 * enough. All controllers find the same ones from the same records.
 */
final class PlannerElection {
  /** Of so many controllers all plan, while the cluster is small: there is nothing to be saved. */
  private static final int FEW = 3;

  /** With so many machines a pass and the views behind it cost more than a second planner brings. */
  private static final int MANY = 150;

  /** Work that one planner has gathered stays there until there are so few, or it would go to and fro. */
  private static final int MANY_NO_MORE = 75;

  private PlannerElection() {}

  /**
   * All of a few, on a small cluster; else the one that registered first. One that comes back registers
   * last, so its return moves no work. How many there are to be counts, not how many live: while all of
   * them come back, one after the other, the work would be spread and gathered again.
   *
   * @param machines how many are recorded
   * @param gathered whether one controller holds all slots: told by the records like all else, since two
   *     that disagree would pass slots to and fro
   */
  static List<String> choose(
      Map<String, ControllerRecord> live, int size, int machines, boolean gathered) {
    boolean large = machines >= (gathered ? MANY_NO_MORE : MANY);
    List<String> byAge = new ArrayList<>(live.keySet());
    byAge.sort(Comparator.comparingLong(label -> live.get(label).version()));
    return size <= FEW && !large ? byAge : byAge.subList(0, Math.min(1, byAge.size()));
  }
}
