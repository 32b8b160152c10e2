package io.tansystack.schedule;

import io.tansystack.records.Placement;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Finds machines that cost more than their work requires: all the tasks that would stay on them are
 * replicas that fit on other machines. Draining and returning such a machine saves its price. A
 * pure function of its arguments.
 */
public final class Consolidation {
  /** Tolerance of comparisons, so that rounding errors of sums don't decide. */
  private static final double EPS = 1e-6;

  private Consolidation() {}

  /** A machine's free capacity and its replicas, including those that would move to it. */
  private static final class FreeCapacity {
    final MachineState state;
    double freeCpus;
    double freeGpus;
    double freeMemGb;

    /** The service of each replica, one entry for each replica. */
    final List<JobSpec> replicas = new ArrayList<>();

    /** Whether it runs tasks that can't be moved, so that it can't be drained. */
    boolean pinned;

    /** Whether it has been selected to be drained. */
    boolean drained;

    FreeCapacity(MachineState state) {
      this.state = state;
      freeCpus = state.type().cpus();
      freeGpus = state.type().gpus();
      freeMemGb = state.type().memGb();
    }

    boolean fits(JobSpec spec) {
      return freeCpus + EPS >= spec.cpus()
          && freeGpus + EPS >= spec.gpus()
          && freeMemGb + EPS >= spec.memGb();
    }

    void reserve(JobSpec spec, int n) {
      freeCpus -= n * spec.cpus();
      freeGpus -= n * spec.gpus();
      freeMemGb -= n * spec.memGb();
    }

    double price() {
      return state.spot() ? state.type().spotPrice() : state.type().price();
    }
  }

  /**
   * Selects the most expensive machines that can be drained at the same time.
   *
   * @param mayDrain accepts machines that need not be kept idle as spare capacity
   * @param spareReplicas how many more replicas of the largest service must fit afterwards, so that
   *     replicas of the next jobs need not wait for a machine to boot
   * @param maxDraining maximum number of machines that drain at a time, including those that are
   *     draining already
   * @return names of the machines to drain in addition
   */
  public static List<String> selectMachinesToDrain(
      Snapshot snapshot, Predicate<MachineState> mayDrain, int spareReplicas, int maxDraining) {
    Map<String, FreeCapacity> byName = new HashMap<>();
    for (MachineState machine : snapshot.machines()) {
      byName.put(machine.name(), new FreeCapacity(machine));
    }
    JobSpec largestService = null;
    for (JobState job : snapshot.jobs()) {
      JobSpec spec = job.record().spec();
      for (Placement placement : job.record().placements()) {
        FreeCapacity capacity = byName.get(placement.machine());
        if (capacity == null) {
          continue;
        }
        if (spec.kind() == JobKind.SERVICE) {
          capacity.reserve(spec, placement.tasks().size());
          for (int i = 0; i < placement.tasks().size(); i++) {
            capacity.replicas.add(spec);
          }
          if (largestService == null || spec.cpus() > largestService.cpus()) {
            largestService = spec;
          }
        } else if (spec.priority() != Priority.LOW) {
          capacity.reserve(spec, placement.tasks().size());
          capacity.pinned = true;
        }
        // Tasks of the lowest priority, which are short, give way to replicas, so their capacity
        // counts as free.
      }
    }
    List<FreeCapacity> byPrice = new ArrayList<>(byName.values());
    byPrice.sort(
        Comparator.comparingDouble((FreeCapacity f) -> -f.price())
            .thenComparing(f -> f.state.name()));
    int draining = 0;
    for (FreeCapacity source : byPrice) {
      if (source.state.drain() && !source.replicas.isEmpty()) {
        draining++;
        addReplicas(reserveElsewhere(source, byPrice, source.replicas), source);
      }
    }
    List<JobSpec> spareTasks = Collections.nCopies(spareReplicas, largestService);
    List<String> selected = new ArrayList<>();
    for (FreeCapacity source : byPrice) {
      if (draining + selected.size() >= maxDraining) {
        break;
      }
      if (source.pinned
          || !source.state.acceptsTasks()
          || source.replicas.isEmpty()
          || !mayDrain.test(source.state)) {
        continue;
      }
      List<FreeCapacity> targets = reserveElsewhere(source, byPrice, source.replicas);
      List<FreeCapacity> spareTargets =
          targets == null ? null : reserveElsewhere(source, byPrice, spareTasks);
      if (spareTargets != null) {
        release(spareTargets, spareTasks);
        addReplicas(targets, source);
        source.drained = true;
        selected.add(source.state.name());
      } else if (targets != null) {
        release(targets, source.replicas);
      }
    }
    return selected;
  }

  /**
   * Reserves capacity for the tasks on other machines.
   *
   * @return the machine for each task; null, with nothing reserved, if not all tasks fit
   */
  private static List<FreeCapacity> reserveElsewhere(
      FreeCapacity source, List<FreeCapacity> byPrice, List<JobSpec> tasks) {
    List<FreeCapacity> targets = new ArrayList<>();
    for (JobSpec spec : tasks) {
      FreeCapacity target = null;
      for (FreeCapacity candidate : byPrice) {
        // The target must be cheaper, or stay rented for its other tasks anyway.
        if (candidate != source
            && !candidate.drained
            && candidate.fits(spec)
            && candidate.state.acceptsTasks()
            && (candidate.price() < source.price()
                || candidate.pinned
                || !candidate.replicas.isEmpty())
            && spec.allows(
                candidate.state.type().name(), candidate.state.zone(), candidate.state.spot())) {
          target = candidate;
          break;
        }
      }
      if (target == null) {
        release(targets, tasks);
        return null;
      }
      target.reserve(spec, 1);
      targets.add(target);
    }
    return targets;
  }

  /**
   * Adds the replicas of the source to their targets, so that they have to be moved again if a
   * target is to be drained too. Does nothing if {@code targets} is null.
   */
  private static void addReplicas(List<FreeCapacity> targets, FreeCapacity source) {
    for (int i = 0; targets != null && i < targets.size(); i++) {
      targets.get(i).replicas.add(source.replicas.get(i));
    }
  }

  private static void release(List<FreeCapacity> targets, List<JobSpec> tasks) {
    for (int i = 0; i < targets.size(); i++) {
      targets.get(i).reserve(tasks.get(i), -1);
    }
  }
}
