package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Reference2IntOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps machines with accelerators for the work that needs those. By delivery time alone, cheap tasks
 * would fill them, and gangs would wait for their only machines.
 */
final class AcceleratorReservation {
  /** What waits for accelerators, and how many such tasks all machines together could take now. */
  private final class Waiting {
    final JobSpec shape;
    final Reference2IntOpenHashMap<MachineCapacity> placesIn = new Reference2IntOpenHashMap<>();
    int places;

    /** So many of the pass's changes are taken in; -1 before the first question. */
    int seen = -1;

    Waiting(JobSpec shape) {
      this.shape = shape;
    }

    /** Counted once in a pass, and then only where rooms have changed. */
    int places() {
      List<MachineCapacity> changes = rooms.changes();
      if (seen < 0) {
        (ResourceRequest.of(shape).needsCpus() ? rooms.free() : rooms.all()).forEach(this::count);
      } else {
        for (; seen < changes.size(); seen++) {
          count(changes.get(seen));
        }
      }
      seen = changes.size();
      return places;
    }

    private void count(MachineCapacity room) {
      if (room.machine.type().gpus() > 0 && room.machine.acceptsTasks() && allows(shape, room)) {
        int now = room.fits(shape);
        places += now - placesIn.put(room, now);
      }
    }
  }

  private final ClusterCapacity rooms;

  /** One job for each distinct thing that is asked of accelerators. */
  private final Map<ResourceRequest, JobSpec> shapes = new LinkedHashMap<>();

  /** Those of them that have nothing placed: machines that could take them are kept for them. */
  private final Map<ResourceRequest, Waiting> waiting = new LinkedHashMap<>();

  private int waitingTasks;

  /** Machines that are booting, without accelerators: worth waiting for. */
  private final List<MachineCapacity> coming = new ArrayList<>();

  AcceleratorReservation(ClusterCapacity rooms, List<MachineState> booting) {
    this.rooms = rooms;
    for (MachineState machine : booting) {
      if (machine.type().gpus() <= 0) {
        coming.add(new MachineCapacity(machine));
      }
    }
  }

  void count(JobState job) {
    JobSpec spec = job.record().spec();
    if (spec.gpus() <= 0 || !job.record().active()) {
      return;
    }
    ResourceRequest ask = ResourceRequest.of(spec);
    shapes.putIfAbsent(ask, spec);
    if (job.record().placements().isEmpty() && !job.suspected()) {
      waiting.computeIfAbsent(ask, k -> new Waiting(spec));
      waitingTasks += spec.tasks();
    }
  }

  /** Whether one more such task takes the place of a task that needs this machine's accelerators. */
  boolean spoils(JobSpec spec, MachineCapacity room) {
    if (spec.gpus() > 0 || room.machine.type().gpus() <= 0) {
      return false;
    }
    for (JobSpec shape : shapes.values()) {
      if (shape.allowsType(room.machine.type().name())) {
        int before = room.fits(shape);
        int after =
            MachineCapacity.count(
                shape, room.cpus - spec.cpus(), room.gpus, room.mem - spec.memGb());
        if (after < before) {
          return true;
        }
      }
    }
    return shapes.isEmpty();
  }

  /** Tasks that ask for more accelerators than this one, one of each kind. */
  List<JobSpec> larger(JobSpec spec) {
    List<JobSpec> larger = new ArrayList<>();
    for (JobSpec shape : shapes.values()) {
      if (spec.gpus() > 0 && shape.gpus() > spec.gpus()) {
        larger.add(shape);
      }
    }
    return larger;
  }

  /**
   * Whether a waiting job needs the accelerators that a task would spoil, and no other machine is
   * left for it. Without this the first machines to boot, often those with accelerators, fill up with
   * replicas that stay for long while the jobs they were rented for go on waiting.
   */
  boolean keptForOthers(MachineCapacity room) {
    for (Waiting others : waiting.values()) {
      if (room.fits(others.shape) > 0
          && allows(others.shape, room)
          && others.places() <= waitingTasks) {
        return true;
      }
    }
    return false;
  }

  private static boolean allows(JobSpec shape, MachineCapacity room) {
    MachineState m = room.machine;
    return shape.allows(m.type().name(), m.zone(), m.spot());
  }

  /**
   * Whether the task had better wait for a machine that is booting than spoil one with accelerators.
   * Machines with accelerators often boot first; replicas that fill them then stay for long.
   */
  boolean waitsForComing(JobSpec spec, MachineCapacity room) {
    if (!spoils(spec, room)) {
      return false;
    }
    for (MachineCapacity next : coming) {
      if (allows(spec, next) && next.fits(spec) > 0) {
        next.take(spec, 1);
        return true;
      }
    }
    return false;
  }
}
