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
    boolean emptied;

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
   * The most expensive machines that can be emptied at the same time.
   *
   * @param mayEmpty machines that are not wanted warm
   * @param spare how many more tasks of the largest service must find room afterwards, so that the
   *     next arrivals need not wait for a machine to boot
   * @param most so many at the most are emptied at a time, with those that are being emptied already
   */
  public static List<String> pick(
      Snapshot snapshot, Predicate<MachineState> mayEmpty, int spare, int most) {
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
        if (spec.shape() == JobKind.SERVICE) {
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
    int emptying = 0;
    for (Free from : order) {
      if (from.machine.drain() && !from.replicas.isEmpty()) {
        emptying++;
        moveTo(takeElsewhere(from, order, from.replicas), from);
      }
    }
    List<JobSpec> reserve = Collections.nCopies(spare, largest);
    List<String> picked = new ArrayList<>();
    for (Free from : order) {
      if (emptying + picked.size() >= most) {
        break;
      }
      if (from.pinned
          || !from.machine.acceptsTasks()
          || from.replicas.isEmpty()
          || !mayEmpty.test(from.machine)) {
        continue;
      }
      List<Free> taken = takeElsewhere(from, order, from.replicas);
      List<Free> kept = taken == null ? null : takeElsewhere(from, order, reserve);
      if (kept != null) {
        giveBack(kept, reserve);
        moveTo(taken, from);
        from.emptied = true;
        picked.add(from.machine.name());
      } else if (taken != null) {
        giveBack(taken, from.replicas);
      }
    }
    return picked;
  }

  /** Takes room for the tasks on other machines; null, and none taken, if there isn't enough. */
  private static List<Free> takeElsewhere(Free from, List<Free> order, List<JobSpec> tasks) {
    List<Free> taken = new ArrayList<>();
    for (JobSpec spec : tasks) {
      Free target = null;
      for (Free f : order) {
        // To a cheaper machine or one that is kept for its other work anyway.
        if (f != from
            && !f.emptied
            && f.fits(spec)
            && f.machine.acceptsTasks()
            && (f.price() < from.price() || f.pinned || !f.replicas.isEmpty())
            && spec.allows(f.machine.type().name(), f.machine.zone(), f.machine.spot())) {
          target = f;
          break;
        }
      }
      if (target == null) {
        giveBack(taken, tasks);
        return null;
      }
      target.take(spec, 1);
      taken.add(target);
    }
    return taken;
  }

  /** What moves to a machine is in the way when that one is to be emptied too. */
  private static void moveTo(List<Free> taken, Free from) {
    for (int i = 0; taken != null && i < taken.size(); i++) {
      taken.get(i).replicas.add(from.replicas.get(i));
    }
  }

  private static void giveBack(List<Free> taken, List<JobSpec> tasks) {
    for (int i = 0; i < taken.size(); i++) {
      taken.get(i).take(tasks.get(i), -1);
    }
  }
}
