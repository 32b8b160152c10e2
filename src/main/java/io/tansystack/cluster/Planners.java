package io.tansystack.cluster;

import io.tansystack.cluster.World.ControllerRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which controllers hold slots and plan. Each that plans reads every view and plans every job, so on
 * a large cluster the cost of all controllers together grows with the number of planners: a few of
 * them, spread over zones, are enough. All controllers find the same ones from the same records.
 */
final class Planners {
  /** Up to so many controllers all plan: with them there is nothing to be saved. */
  private static final int FEW = 3;

  /** One may end or be cut off, and there is still one that plans while a third takes its place. */
  private static final int MOST = 2;

  private Planners() {}

  /**
   * Those that registered first, in turn from the zones with the fewest. A controller that comes back
   * registers last, so its return moves no work.
   */
  static List<String> choose(Map<String, ControllerRecord> live) {
    List<String> left = new ArrayList<>(live.keySet());
    left.sort(Comparator.comparingLong(label -> live.get(label).version()));
    int most = live.size() <= FEW ? FEW : MOST;
    List<String> chosen = new ArrayList<>();
    Map<String, Integer> zones = new HashMap<>();
    while (chosen.size() < most && !left.isEmpty()) {
      String next = left.get(0);
      for (String label : left) {
        if (in(zones, live, label) < in(zones, live, next)) {
          next = label;
        }
      }
      left.remove(next);
      chosen.add(next);
      zones.merge(live.get(next).zone(), 1, Integer::sum);
    }
    chosen.sort(null);
    return chosen;
  }

  private static int in(
      Map<String, Integer> zones, Map<String, ControllerRecord> live, String label) {
    return zones.getOrDefault(live.get(label).zone(), 0);
  }
}
