package io.tansystack.schedule;

import io.tansystack.jobs.Placement;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Finds a machine that costs more than its work needs: all that stays on it are replicas for which
 * the other machines have room. Emptying it and giving it back saves its price. Pure.
 */
public final class Consolidation {
  private Consolidation() {}

  private static final class Free {
    final MachineState machine;
    double cpus;
    double gpus;
    double mem;
    final List<JobSpec> replicas = new ArrayList<>();
    boolean pinned;

    Free(MachineState machine) {
      this.machine = machine;
      cpus = machine.type().cpus();
      gpus = machine.type().gpus();
      mem = machine.type().memGb();
    }

    boolean fits(JobSpec s) {
      return cpus + 1e-6 >= s.cpus() && gpus + 1e-6 >= s.gpus() && mem + 1e-6 >= s.memGb();
    }

    void take(JobSpec s, int n) {
      cpus -= n * s.cpus();
      gpus -= n * s.gpus();
      mem -= n * s.memGb();
    }

    double price() {
      return machine.spot() ? machine.type().spotPrice() : machine.type().price();
    }
  }

  /**
   * The most expensive machine that can be emptied, or null.
   *
   * @param mayEmpty machines that are not wanted warm
   * @param spare how many more tasks of the largest service must find room afterwards, so that the
   *     next arrivals need not wait for a machine to boot
   */
  public static String pick(
      Snapshot snapshot, Predicate<MachineState> mayEmpty, int spare) {
    Map<String, Free> rooms = new HashMap<>();
    for (MachineState machine : snapshot.machines()) {
      rooms.put(machine.name(), new Free(machine));
    }
    JobSpec largest = null;
    for (JobState job : snapshot.jobs()) {
      JobSpec spec = job.record().spec();
      for (Placement p : job.record().placements()) {
        Free room = rooms.get(p.machine());
        if (room == null) {
          continue;
        }
        if (spec.shape() == Shape.SERVICE) {
          room.take(spec, p.tasks().size());
          for (int i = 0; i < p.tasks().size(); i++) {
            room.replicas.add(spec);
          }
          if (largest == null || spec.cpus() > largest.cpus()) {
            largest = spec;
          }
        } else if (spec.priority() != Priority.LOW) {
          room.take(spec, p.tasks().size());
          room.pinned = true;
        }
        // Short tasks of the lowest priority make way, so their room counts as free.
      }
    }
    List<Free> order = new ArrayList<>(rooms.values());
    order.sort(
        Comparator.comparingDouble((Free f) -> -f.price()).thenComparing(f -> f.machine.name()));
    for (Free from : order) {
      if (!from.pinned
          && from.machine.open()
          && !from.replicas.isEmpty()
          && mayEmpty.test(from.machine)
          && movesElsewhere(from, order, largest, spare)) {
        return from.machine.name();
      }
    }
    return null;
  }

  private static boolean movesElsewhere(
      Free from, List<Free> order, JobSpec largest, int spare) {
    List<Free> taken = new ArrayList<>();
    List<JobSpec> toPlace = new ArrayList<>(from.replicas);
    for (int i = 0; i < spare; i++) {
      toPlace.add(largest);
    }
    boolean all = true;
    for (JobSpec spec : toPlace) {
      Free target = null;
      for (Free f : order) {
        // To a cheaper machine or one that is kept for its other work anyway.
        if (f != from
            && f.fits(spec)
            && f.machine.open()
            && (f.price() < from.price() || f.pinned || !f.replicas.isEmpty())
            && spec.allows(f.machine.type().name(), f.machine.zone(), f.machine.spot())) {
          target = f;
          break;
        }
      }
      if (target == null) {
        all = false;
        break;
      }
      target.take(spec, 1);
      taken.add(target);
    }
    for (int i = 0; i < taken.size(); i++) {
      taken.get(i).take(toPlace.get(i), -1);
    }
    return all;
  }
}
