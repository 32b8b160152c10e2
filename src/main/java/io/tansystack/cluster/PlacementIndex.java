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

/** What is recorded on each machine, kept up to date placement by placement. */
public final class PlacementIndex {
  /** A placement together with its job, of which the newest record is looked up when it is asked for. */
  public final class IndexedPlacement {
    private final String id;
    private final Placement placement;

    private IndexedPlacement(String id, Placement placement) {
      this.id = id;
      this.placement = placement;
    }

    /** Of the job. */
    public String id() {
      return id;
    }

    public Job job() {
      return jobs.apply(id);
    }

    public Placement placement() {
      return placement;
    }
  }

  private final Function<String, Job> jobs;
  private final Map<String, List<IndexedPlacement>> byMachine = new HashMap<>();

  /** @param jobs the newest record of a job */
  PlacementIndex(Function<String, Job> jobs) {
    this.jobs = jobs;
  }

  List<IndexedPlacement> on(String machine) {
    return byMachine.getOrDefault(machine, List.of());
  }

  /**
   * Replaces what is recorded of a job (null: nothing). Only machines on which its part changed count as
   * touched: most writes concern few of a job's many machines.
   */
  void replace(String id, Job old, Job job, Set<String> touched) {
    boolean whole = old == null || job == null || old.record().phase() != job.record().phase();
    Set<Placement> gone = new HashSet<>();
    if (old != null) {
      gone.addAll(old.record().placements());
    }
    if (job != null) {
      for (Placement placement : job.record().placements()) {
        boolean known = gone.remove(placement);
        if (!known) {
          byMachine
              .computeIfAbsent(placement.machine(), k -> new ArrayList<>())
              .add(new IndexedPlacement(id, placement));
        }
        if (!known || whole) {
          touched.add(placement.machine());
        }
      }
    }
    for (Placement placement : gone) {
      touched.add(placement.machine());
      List<IndexedPlacement> on = byMachine.get(placement.machine());
      on.removeIf(placed -> placed.id.equals(id) && placed.placement.equals(placement));
      if (on.isEmpty()) {
        byMachine.remove(placement.machine());
      }
    }
  }
}
