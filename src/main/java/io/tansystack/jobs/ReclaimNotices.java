package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.PlacementIndex.IndexedPlacement;
import io.tansystack.workers.MachineView;
import java.util.HashSet;
import java.util.Set;

/** The machines that the cloud is about to take away, as their workers report. */
final class ReclaimNotices {
  private final ClusterState world;
  private final Set<String> machines = new HashSet<>();

  ReclaimNotices(ClusterState world) {
    this.world = world;
  }

  void observe(MachineView view) {
    if (view.report().noticeS() != null) {
      machines.add(view.report().machine());
    } else {
      machines.remove(view.report().machine());
    }
  }

  /** The machine is gone. */
  void forget(String machine) {
    machines.remove(machine);
  }

  /** Jobs with something recorded on such a machine. */
  Set<String> jobs() {
    Set<String> jobs = new HashSet<>();
    for (String machine : machines) {
      for (IndexedPlacement placed : world.placedOn(machine)) {
        jobs.add(placed.jobId());
      }
    }
    return jobs;
  }
}
