package io.tansystack.cluster;

import io.tansystack.cluster.World.ControllerRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Which controllers hold slots and plan. Each that plans reads every view and plans every job, so on
 * a large cluster the cost of all controllers together grows with the number of planners, and one is
 * enough. All controllers find the same ones from the same records.
 */
final class Planners {
  /** Of so many controllers all plan: with them there is nothing to be saved. */
  private static final int FEW = 3;

  private Planners() {}

  /**
   * All of a few; of more, the one that registered first. One that comes back registers last, so its
   * return moves no work. How many there are to be counts, not how many live: while all of them come
   * back, one after the other, the work would be spread and gathered again.
   */
  static List<String> choose(Map<String, ControllerRecord> live, int size) {
    List<String> byAge = new ArrayList<>(live.keySet());
    byAge.sort(Comparator.comparingLong(label -> live.get(label).version()));
    return size <= FEW ? byAge : byAge.subList(0, Math.min(1, byAge.size()));
  }
}
