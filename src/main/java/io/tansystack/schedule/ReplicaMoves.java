package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Plan.Eviction;
import io.tansystack.schedule.Plan.UnmetDemand;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Moves replicas off machines that are to be emptied, and off one machine with accelerators for each
 * job that waits for them in vain. Services run for long, so one bad placement costs for long. A
 * replica is stopped only when room for it is in sight, and a few at a time, so that a service never
 * lacks more than one of its replicas on this account.
 */
final class ReplicaMoves {
  /** So many replicas may move at a time, and one more for so many machines of a large cluster. */
  private static final int FEW_MOVING = 6;

  private static final int MACHINES_A_MOVE = 25;

  /** Where a job's tasks could go, best first. */
  interface TargetFinder {
    List<MachineCapacity> of(JobState job);
  }

  private final ClusterCapacity rooms;
  private final AcceleratorReservation keep;
  private final Plan plan;
  private final TargetFinder candidates;
  private final Map<String, JobState> jobs = new HashMap<>();
  private final Set<MachineCapacity> clearing = new HashSet<>();
  private final int maxMoving;

  ReplicaMoves(
      ClusterCapacity rooms, AcceleratorReservation keep, Plan plan, TargetFinder candidates) {
    this.rooms = rooms;
    this.keep = keep;
    this.plan = plan;
    this.candidates = candidates;
    this.maxMoving = Math.max(FEW_MOVING, rooms.size() / MACHINES_A_MOVE);
  }

  void run(List<JobState> active, int alreadyMoving) {
    int moving = alreadyMoving;
    if (moving >= maxMoving) {
      return;
    }
    List<MachineCapacity> toEmpty = toEmpty();
    if (toEmpty.isEmpty()) {
      return;
    }
    for (JobState job : active) {
      if (job.record().spec().shape() == JobKind.SERVICE) {
        jobs.put(job.id(), job);
      }
    }
    for (MachineCapacity from : toEmpty) {
      for (AllocatedTasks held : List.copyOf(from.held())) {
        JobState job = jobs.get(held.job());
        if (job != null && movable(job) && move(job, held, from) && ++moving >= maxMoving) {
          return;
        }
      }
    }
  }

  private List<MachineCapacity> toEmpty() {
    List<MachineCapacity> result = new ArrayList<>();
    for (MachineCapacity room : rooms.all()) {
      if (room.machine.drain()) {
        result.add(room);
      }
    }
    Set<ResourceRequest> hopeless = new HashSet<>();
    for (UnmetDemand need : plan.unmet()) {
      // No more replicas move at a time than one machine holds, as a rule.
      if (clearing.size() >= maxMoving || need.spec().gpus() <= 0) {
        continue;
      }
      ResourceRequest ask = ResourceRequest.of(need.spec());
      if (hopeless.contains(ask)) {
        continue;
      }
      MachineCapacity best = clearable(need.spec());
      if (best == null) {
        hopeless.add(ask);
      } else {
        clearing.add(best);
        result.add(best);
      }
    }
    return result;
  }

  /** Only a service whose replicas are all in place may lend one to a move. */
  private boolean movable(JobState job) {
    JobRecord record = job.record();
    return job.schedulable()
        && !plan.placements().containsKey(job.id())
        && !plan.evictions().containsKey(job.id())
        && record.placedCount() == record.spec().tasks()
        && record.placements().stream().noneMatch(Placement::stop);
  }

  /** The machine on which the fewest replicas stand in the way of the job. */
  private MachineCapacity clearable(JobSpec need) {
    MachineCapacity best = null;
    int fewest = Integer.MAX_VALUE;
    for (MachineCapacity room : rooms.all()) {
      MachineState m = room.machine;
      if (!room.holdsReplicas()
          || !m.acceptsTasks()
          || !need.allows(m.type().name(), m.zone(), m.spot())
          || clearing.contains(room)) {
        continue;
      }
      double cpus = room.cpus + room.soonCpus;
      double gpus = room.gpus + room.soonGpus;
      double mem = room.mem + room.soonMem;
      int replicas = 0;
      for (AllocatedTasks held : room.held()) {
        JobSpec s = held.spec();
        int n = held.taskCount();
        if (held.isService() && s.gpus() <= 0) {
          cpus += n * s.cpus();
          mem += n * s.memGb();
          replicas += n;
        }
      }
      if (MachineCapacity.count(need, cpus, gpus, mem) > 0 && replicas > 0 && replicas < fewest) {
        best = room;
        fewest = replicas;
      }
    }
    return best;
  }

  private boolean move(JobState job, AllocatedTasks held, MachineCapacity from) {
    JobSpec spec = job.record().spec();
    Object2IntOpenHashMap<String> zones = ZoneConstraints.tasksByZone(job.record(), rooms);
    zones.addTo(from.machine.zone(), -1);
    for (MachineCapacity to : candidates.of(job)) {
      if (to != from
          && !clearing.contains(to)
          && !keep.spoils(spec, to)
          && zones.getInt(to.machine.zone()) < spec.zoneCap()) {
        to.take(spec, 1);
        plan.evictions()
            .computeIfAbsent(job.id(), k -> new ArrayList<>())
            .add(
                Eviction.move(
                    from.machine.name(),
                    TaskSet.EMPTY.with(held.placement().tasks().next(0)),
                    to.machine.name()));
        return true;
      }
    }
    return false;
  }
}
