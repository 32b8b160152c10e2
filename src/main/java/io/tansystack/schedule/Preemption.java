package io.tansystack.schedule;

import io.tansystack.records.Placement;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Plan.Eviction;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Chooses tasks to preempt for a job that may preempt them, and adds the evictions to the plan. */
final class Preemption {
  /** Once this many options and two more for each task are found, no more machines are examined. */
  private static final int MIN_OPTIONS = 24;

  /** Some of the tasks of a placement, to be stopped. */
  private record Victim(AllocatedTasks allocated, int tasks) {}

  /**
   * The minimum that has to be stopped on a machine for one more task to fit.
   *
   * @param loss the weighted cost of stopping the victims
   * @param order the machine's position among the eligible ones; decides between equal losses
   */
  private record PreemptionOption(
      MachineCapacity machine, List<Victim> victims, double loss, int order) {}

  private final TeamQuotaTracker teamQuotas;
  private final Plan plan;
  private final Map<String, MachineCapacity> releasing;

  private boolean consideredAll;

  /** @param releasing machines with tasks that are being stopped; those of victims are added */
  Preemption(TeamQuotaTracker teamQuotas, Plan plan, Map<String, MachineCapacity> releasing) {
    this.teamQuotas = teamQuotas;
    this.plan = plan;
    this.releasing = releasing;
  }

  /**
   * Whether the last call to {@link #preemptFor} examined all machines that it was given, so that
   * no further preemption can help the tasks that remained.
   */
  boolean consideredAll() {
    return consideredAll;
  }

  /**
   * Preempts tasks to free capacity for the job's tasks that found none, starting on the machine
   * where the loss is smallest. Each machine is examined once, and again only after tasks were
   * stopped on it. If there are many machines to choose from, not all are examined.
   *
   * @param remaining number of tasks that need capacity
   * @param machines eligible machines
   * @param zones tasks of the job by zone; those for which capacity is reclaimed are added
   * @return number of tasks that still have no capacity
   */
  int preemptFor(
      JobState job,
      int remaining,
      List<MachineCapacity> machines,
      Object2IntOpenHashMap<String> zones) {
    JobSpec spec = job.record().spec();
    boolean guaranteed = teamQuotas.guaranteed(job.id());
    PriorityQueue<PreemptionOption> options =
        new PriorityQueue<>(
            Comparator.comparingDouble(PreemptionOption::loss)
                .thenComparingInt(PreemptionOption::order));
    int enoughOptions = MIN_OPTIONS + 2 * remaining;
    int i = 0;
    for (; i < machines.size() && options.size() < enoughOptions; i++) {
      if (guaranteed || machines.get(i).fitsWithoutLowerPriority(spec)) {
        addOption(job, machines.get(i), i, options);
      }
    }
    consideredAll = i == machines.size();
    while (remaining > 0 && !options.isEmpty()) {
      PreemptionOption best = options.poll();
      if (!ZoneConstraints.allows(spec, zones, best.machine)) {
        continue; // Not tried again: the job's tasks in a zone only increase during a pass.
      }
      for (Victim victim : best.victims) {
        stop(best.machine, victim, job);
      }
      best.machine.reserve(spec, 1);
      zones.addTo(best.machine.state.zone(), 1);
      remaining--;
      addOption(job, best.machine, best.order, options);
    }
    return remaining;
  }

  private void addOption(
      JobState job, MachineCapacity machine, int order, PriorityQueue<PreemptionOption> options) {
    List<Victim> victims = victims(job, machine);
    if (victims != null) {
      options.add(new PreemptionOption(machine, victims, loss(victims), order));
    }
  }

  /** Weighted by resources (a GPU counts as 10 CPUs), checkpoints and priority. */
  private static double loss(List<Victim> victims) {
    double loss = 0;
    for (Victim victim : victims) {
      JobSpec spec = victim.allocated.spec();
      // A gang loses all its tasks if one is stopped; a task with checkpoints loses almost no work.
      double weight = spec.checkpointS() > 0 ? 0.3 : 1;
      loss +=
          victim.tasks
              * (spec.cpus() + 10 * spec.gpus())
              * weight
              * (4 - spec.priority().ordinal());
    }
    return loss;
  }

  /**
   * Tasks on the machine, in the order of preemption, without which one task of the job fits; null
   * if it doesn't fit even without all that may be preempted.
   */
  private List<Victim> victims(JobState job, MachineCapacity machine) {
    JobSpec spec = job.record().spec();
    double cpus = machine.freeCpus + machine.releasingCpus;
    double gpus = machine.freeGpus + machine.releasingGpus;
    double memGb = machine.freeMemGb + machine.releasingMemGb;
    List<Victim> victims = new ArrayList<>();
    for (AllocatedTasks allocated : machine.allocated()) {
      if (!preemptible(job, allocated)) {
        continue;
      }
      JobSpec victimSpec = allocated.spec();
      int count = 0;
      while (count < allocated.taskCount()
          && MachineCapacity.countFitting(spec, cpus, gpus, memGb) == 0) {
        cpus += victimSpec.cpus();
        gpus += victimSpec.gpus();
        memGb += victimSpec.memGb();
        count++;
      }
      if (count > 0) {
        victims.add(new Victim(allocated, count));
      }
      if (MachineCapacity.countFitting(spec, cpus, gpus, memGb) > 0) {
        return victims;
      }
    }
    return null;
  }

  /**
   * Whether the job may preempt these tasks: they have a lower priority, or run on quota that
   * another team borrowed while the job is within its own team's guarantee.
   */
  private boolean preemptible(JobState job, AllocatedTasks victim) {
    JobSpec spec = job.record().spec();
    JobSpec victimSpec = victim.spec();
    if (spec.gpus() <= 0 && victimSpec.gpus() > 0) {
      return false; // Tasks without accelerators don't preempt tasks that use them.
    }
    return victimSpec.priority().ordinal() > spec.priority().ordinal()
        || teamQuotas.mayReclaimFrom(job, victim);
  }

  private void stop(MachineCapacity machine, Victim victim, JobState forJob) {
    Placement placement = victim.allocated.placement();
    BitSet remaining = placement.tasks().toBitSet();
    BitSet tasks = new BitSet();
    // Tasks with the highest numbers of a placement usually started last, so they lose least work.
    for (int task = remaining.length() - 1, count = 0;
        task >= 0 && count < victim.tasks;
        task = remaining.previousSetBit(task)) {
      tasks.set(task);
      remaining.clear(task);
      count++;
    }
    plan.evictions()
        .computeIfAbsent(victim.allocated.job(), k -> new ArrayList<>())
        .add(new Eviction(machine.state.name(), TaskSet.of(tasks), forJob.id()));
    machine.removeAllocated(victim.allocated);
    if (!remaining.isEmpty()) {
      machine.addAllocated(
          victim.allocated.withPlacement(placement.withTasks(TaskSet.of(remaining))));
    }
    machine.markReleasing(victim.allocated.spec(), tasks.cardinality());
    releasing.put(machine.state.name(), machine);
  }
}
