package io.tansystack.cluster;

import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.StoreProtocol.Condition;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Changes of records in the order in which they happened, for tests that walk through what may happen. */
final class ChangeSequences {
  private ChangeSequences() {}

  /** The copy of a controller that has seen all of it. */
  static ClusterState copy(List<Change> history) {
    ClusterState world = new ClusterState(touched -> {});
    world.changes(history, revision(history));
    return world;
  }

  static long revision(List<Change> history) {
    return history.isEmpty() ? 0 : history.get(history.size() - 1).version();
  }

  /** The keys that are there at the end of a history. */
  static Map<String, Change> present(List<Change> history) {
    Map<String, Change> present = new HashMap<>();
    for (Change change : history) {
      if (change.value() == null) {
        present.remove(change.key());
      } else {
        present.put(change.key(), change);
      }
    }
    return present;
  }

  static boolean holds(Condition condition, Map<String, Change> present) {
    Change change = present.get(condition.key());
    return (change == null ? 0 : change.version()) == condition.version();
  }
}
