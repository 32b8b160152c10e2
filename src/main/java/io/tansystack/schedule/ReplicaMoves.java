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
 * Moves replicas off machines that are to be drained, and off one machine with accelerators for
 * each request that waits for accelerators and finds none. Services run for long, so a bad
 * placement costs for long. A replica is stopped only when another machine has capacity for it, and
 * few at a time, so that moves never leave a service with more than one replica missing.
 */
final class ReplicaMoves {
  /** The number of replicas that may always move at a time. */
  private static final int MIN_CONCURRENT_MOVES = 6;

  /** In a larger cluster one replica may move at a time for this many machines. */
  private static final int MACHINES_PER_MOVE = 25;

  /** Finds the machines on which a job's tasks fit, best first. */
  interface TargetFinder {
    List<MachineCapacity> of(JobState job);
  }

  private final ClusterCapacity clusterCapacity;
  private final AcceleratorReservation reservation;
  private final Plan plan;
  private final TargetFinder targetFinder;
  private final Map<String, JobState> jobs = new HashMap<>();

  /** Machines with accelerators that are to be cleared of replicas for waiting jobs. */
  private final Set<MachineCapacity> machinesToClear = new HashSet<>();

  private final int maxMoves;

  ReplicaMoves(
      ClusterCapacity clusterCapacity,
      AcceleratorReservation reservation,
      Plan plan,
      TargetFinder targetFinder) {
    this.clusterCapacity = clusterCapacity;
    this.reservation = reservation;
    this.plan = plan;
    this.targetFinder = targetFinder;
    this.maxMoves = Math.max(MIN_CONCURRENT_MOVES, clusterCapacity.size() / MACHINES_PER_MOVE);
  }

  /**
   * Adds replica moves to the plan.
   *
   * @param active active jobs
   * @param alreadyMoving number of replicas that are being stopped to be placed elsewhere
   */
  void run(List<JobState> active, int alreadyMoving) {
    int moving = alreadyMoving;
    if (moving >= maxMoves) {
      return;
    }
    List<MachineCapacity> sources = sourceMachines();
    if (sources.isEmpty()) {
      return;
    }
    for (JobState job : active) {
      if (job.record().spec().kind() == JobKind.SERVICE) {
        jobs.put(job.id(), job);
      }
    }
    for (MachineCapacity source : sources) {
      for (AllocatedTasks allocated : List.copyOf(source.allocated())) {
        JobState job = jobs.get(allocated.job());
        if (job != null && movable(job) && move(job, allocated, source) && ++moving >= maxMoves) {
          return;
        }
      }
    }
  }

  /** Machines to be drained, then those to be cleared for waiting jobs. */
  private List<MachineCapacity> sourceMachines() {
    List<MachineCapacity> result = new ArrayList<>();
    for (MachineCapacity machine : clusterCapacity.all()) {
      if (machine.state.drain()) {
        result.add(machine);
      }
    }
    Set<ResourceRequest> unclearable = new HashSet<>();
    for (UnmetDemand demand : plan.unmet()) {
      // At most maxMoves replicas move at a time, which is usually no more than a single machine
      // has, so clearing more than maxMoves machines would be of no use.
      if (machinesToClear.size() >= maxMoves || demand.spec().gpus() <= 0) {
        continue;
      }
      ResourceRequest request = ResourceRequest.of(demand.spec());
      if (unclearable.contains(request)) {
        continue;
      }
      MachineCapacity best = findMachineToClear(demand.spec());
      if (best == null) {
        unclearable.add(request);
      } else {
        machinesToClear.add(best);
        result.add(best);
      }
    }
    return result;
  }

  /**
   * Whether a replica of the service may be moved: all of its replicas must be placed, and none of
   * them may be about to stop.
   */
  private boolean movable(JobState job) {
    JobRecord record = job.record();
    return job.schedulable()
        && !plan.placements().containsKey(job.id())
        && !plan.evictions().containsKey(job.id())
        && record.placedTaskCount() == record.spec().tasks()
        && record.placements().stream().noneMatch(Placement::stop);
  }

  /**
   * The machine on which the fewest replicas without accelerators have to be moved for a task of
   * the job to fit; null if moving replicas helps on none.
   */
  private MachineCapacity findMachineToClear(JobSpec spec) {
    MachineCapacity best = null;
    int fewest = Integer.MAX_VALUE;
    for (MachineCapacity machine : clusterCapacity.all()) {
      MachineState state = machine.state;
      if (!machine.hasReplicas()
          || !state.acceptsTasks()
          || !spec.allows(state.type().name(), state.zone(), state.spot())
          || machinesToClear.contains(machine)) {
        continue;
      }
      double cpus = machine.freeCpus + machine.releasingCpus;
      double gpus = machine.freeGpus + machine.releasingGpus;
      double memGb = machine.freeMemGb + machine.releasingMemGb;
      int replicas = 0;
      for (AllocatedTasks allocated : machine.allocated()) {
        JobSpec replicaSpec = allocated.spec();
        int tasks = allocated.taskCount();
        if (allocated.isService() && replicaSpec.gpus() <= 0) {
          cpus += tasks * replicaSpec.cpus();
          memGb += tasks * replicaSpec.memGb();
          replicas += tasks;
        }
      }
      if (MachineCapacity.countFitting(spec, cpus, gpus, memGb) > 0
          && replicas > 0
          && replicas < fewest) {
        best = machine;
        fewest = replicas;
      }
    }
    return best;
  }

  /** Plans the move of one replica to another machine; false if no other machine can run it. */
  private boolean move(JobState job, AllocatedTasks allocated, MachineCapacity source) {
    JobSpec spec = job.record().spec();
    Object2IntOpenHashMap<String> zones =
        ZoneConstraints.tasksByZone(job.record(), clusterCapacity);
    zones.addTo(source.state.zone(), -1);
    for (MachineCapacity target : targetFinder.of(job)) {
      if (target != source
          && !machinesToClear.contains(target)
          && !reservation.strandsAccelerators(spec, target)
          && zones.getInt(target.state.zone()) < spec.maxTasksPerZone()) {
        target.reserve(spec, 1);
        plan.evictions()
            .computeIfAbsent(job.id(), k -> new ArrayList<>())
            .add(
                Eviction.move(
                    source.state.name(),
                    TaskSet.EMPTY.with(allocated.placement().tasks().nextFrom(0)),
                    target.state.name()));
        return true;
      }
    }
    return false;
  }
}
