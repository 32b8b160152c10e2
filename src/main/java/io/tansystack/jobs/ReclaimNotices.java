package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.PlacementIndex.IndexedPlacement;
import io.tansystack.workers.MachineView;
import java.util.HashSet;
import java.util.Set;

/** The machines that the cloud is about to take away, according to the reports of their workers. */
final class ReclaimNotices {
  private final ClusterState clusterState;
  private final Set<String> machines = new HashSet<>();

  ReclaimNotices(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /** Updates the notice of a machine from its newest view. */
  void observe(MachineView view) {
    if (view.report().reclaimNoticeS() != null) {
      machines.add(view.report().machine());
    } else {
      machines.remove(view.report().machine());
    }
  }

  /** Called when the machine is gone. */
  void forget(String machine) {
    machines.remove(machine);
  }

  /** Returns the IDs of jobs with a recorded placement on one of these machines. */
  Set<String> affectedJobs() {
    Set<String> jobs = new HashSet<>();
    for (String machine : machines) {
      for (IndexedPlacement placement : clusterState.placedOn(machine)) {
        jobs.add(placement.jobId());
      }
    }
    return jobs;
  }
}
