package io.tansystack.cluster;

import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.StoreProtocol.Condition;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Helpers for tests that explore all possible sequences of record changes. */
final class ChangeSequences {
  private ChangeSequences() {}

  /** The cluster state of a controller that has received the whole history. */
  static ClusterState clusterState(List<Change> history) {
    ClusterState clusterState = new ClusterState(delta -> {});
    clusterState.changes(history, revision(history));
    return clusterState;
  }

  static long revision(List<Change> history) {
    return history.isEmpty() ? 0 : history.get(history.size() - 1).version();
  }

  /** The last change of each key that exists at the end of a history. */
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
