package io.tansystack.cluster;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.records.Placement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** The recorded placements by machine, updated placement by placement. */
public final class PlacementIndex {
  /** A placement with its job, whose newest record is looked up on each call of {@link #job}. */
  public final class IndexedPlacement {
    private final String jobId;
    private final Placement placement;

    private IndexedPlacement(String jobId, Placement placement) {
      this.jobId = jobId;
      this.placement = placement;
    }

    public String jobId() {
      return jobId;
    }

    public Job job() {
      return jobs.apply(jobId);
    }

    public Placement placement() {
      return placement;
    }
  }

  private final Function<String, Job> jobs;
  private final Map<String, List<IndexedPlacement>> byMachine = new HashMap<>();

  /** @param jobs returns the newest record of a job by its ID */
  PlacementIndex(Function<String, Job> jobs) {
    this.jobs = jobs;
  }

  List<IndexedPlacement> placementsOn(String machine) {
    return byMachine.getOrDefault(machine, List.of());
  }

  /**
   * Replaces the placements of a job. Only machines on which the job's placements or its phase
   * changed are added to {@code changedMachines}: most writes concern few of a job's many machines.
   *
   * @param previous null if the job had no record
   * @param job null if the job has no record any more
   */
  void replace(String id, Job previous, Job job, Set<String> changedMachines) {
    boolean allChanged =
        previous == null || job == null || previous.record().phase() != job.record().phase();
    Set<Placement> removed = new HashSet<>();
    if (previous != null) {
      removed.addAll(previous.record().placements());
    }
    if (job != null) {
      for (Placement placement : job.record().placements()) {
        boolean unchanged = removed.remove(placement);
        if (!unchanged) {
          byMachine
              .computeIfAbsent(placement.machine(), k -> new ArrayList<>())
              .add(new IndexedPlacement(id, placement));
        }
        if (!unchanged || allChanged) {
          changedMachines.add(placement.machine());
        }
      }
    }
    for (Placement placement : removed) {
      changedMachines.add(placement.machine());
      List<IndexedPlacement> remaining = byMachine.get(placement.machine());
      remaining.removeIf(placed -> placed.jobId.equals(id) && placed.placement.equals(placement));
      if (remaining.isEmpty()) {
        byMachine.remove(placement.machine());
      }
    }
  }
}
