package io.tansystack.schedule;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord;
import io.tansystack.records.RecordSizeLimit;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Plan.UnmetDemand;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Plans one scheduling pass over the whole cluster, after the broker described in the paper. Jobs
 * are planned one after another. For each job, the machines that fit are compared by predicted
 * completion time (image fetch, including queued fetches, plus the run time scaled by the machine's
 * speed), and its tasks go to the best machines. The plan depends only on the snapshot and on the
 * cluster capacity, which reflects what is recorded.
 */
public final class Planner {
  /**
   * The limits of a pass.
   *
   * @param recordLimit limit on the size of a job's record
   * @param maxMachines how many machines one placement round of a job may use; each of them is a
   *     condition of the transaction that records the round
   * @param maxJobWrites how many job record changes may be planned for production jobs; half as
   *     many for all others. Changes that could be written only much later would be planned again
   *     by then, so for jobs beyond the limit only the capacity that they lack is reported
   */
  public record Bounds(RecordSizeLimit recordLimit, int maxMachines, int maxJobWrites) {}

  private final Snapshot snapshot;
  private final Bounds bounds;
  private final ClusterCapacity clusterCapacity;
  private final TeamQuotaTracker teamQuotas;
  private final AcceleratorReservation reservation;
  private final CandidateSelector candidates;
  private final TaskPlacer placer;
  private final CapacityReclaimer reclaimer;
  private final JobQueueOrder queueOrder;
  private int productionWrites;
  private int otherWrites;
  private final Plan plan =
      new Plan(new LinkedHashMap<>(), new LinkedHashMap<>(), new ArrayList<>());

  private Planner(Snapshot snapshot, ClusterCapacity clusterCapacity, Bounds bounds) {
    this.snapshot = snapshot;
    this.bounds = bounds;
    this.clusterCapacity = clusterCapacity;
    clusterCapacity.beginPass();
    this.teamQuotas = new TeamQuotaTracker(snapshot.teams(), clusterCapacity.teamUsage());
    this.reservation = new AcceleratorReservation(clusterCapacity, snapshot.booting());
    CapacityIndex index = new CapacityIndex(clusterCapacity);
    this.candidates = new CandidateSelector(clusterCapacity, index, reservation);
    this.placer =
        new TaskPlacer(
            clusterCapacity,
            index,
            reservation,
            candidates,
            bounds.recordLimit,
            bounds.maxMachines);
    Preemption preemption = new Preemption(teamQuotas, plan, clusterCapacity.releasing());
    this.reclaimer =
        new CapacityReclaimer(clusterCapacity, index, reservation, teamQuotas, preemption);
    this.queueOrder = new JobQueueOrder(clusterCapacity.totalCpus());
  }

  /** Plans for the snapshot's jobs on capacity computed from the snapshot alone. */
  public static Plan plan(Snapshot snapshot, Bounds bounds) {
    return plan(snapshot, ClusterCapacity.of(snapshot.machines(), snapshot.jobs()), bounds);
  }

  /**
   * Plans for the snapshot's jobs.
   *
   * @param clusterCapacity must reflect the records of all jobs in the snapshot
   */
  public static Plan plan(Snapshot snapshot, ClusterCapacity clusterCapacity, Bounds bounds) {
    return new Planner(snapshot, clusterCapacity, bounds).run();
  }

  private Plan run() {
    List<JobState> active = new ArrayList<>();
    for (JobState job : snapshot.jobs()) {
      if (placer.fitsOneTransaction(job)) {
        reservation.addJob(job);
      }
      if (job.record().active()) {
        active.add(job);
      }
    }
    active.sort(
        Comparator.comparingLong((JobState j) -> j.record().submittedMs())
            .thenComparing(JobState::id));
    teamQuotas.markGuaranteed(active);
    List<JobState> withUnplacedTasks = active.stream().filter(JobState::hasUnplacedTasks).toList();
    ReplicaMoves moves = new ReplicaMoves(clusterCapacity, reservation, plan, candidates::all);
    boolean movesPlanned = !snapshot.migrationAllowed();
    for (JobState job : inPlanningOrder(withUnplacedTasks)) {
      if (!movesPlanned && job.record().spec().priority() == Priority.LOW) {
        moves.run(active, clusterCapacity.stoppingReplicas());
        movesPlanned = true;
      }
      planJob(job);
    }
    if (!movesPlanned) {
      moves.run(active, clusterCapacity.stoppingReplicas());
    }
    return plan;
  }

  /**
   * Orders jobs by priority; within a priority, jobs covered by their team's guarantee come first,
   * and jobs alike in both follow the queue order.
   */
  private List<JobState> inPlanningOrder(List<JobState> byArrival) {
    List<List<JobState>> classes = new ArrayList<>();
    for (int i = 0; i < 2 * Priority.values().length; i++) {
      classes.add(new ArrayList<>());
    }
    for (JobState job : byArrival) {
      int priorityClass = 2 * job.record().spec().priority().ordinal();
      classes.get(teamQuotas.guaranteed(job.id()) ? priorityClass : priorityClass + 1).add(job);
    }
    List<JobState> order = new ArrayList<>(byArrival.size());
    classes.forEach(jobs -> order.addAll(queueOrder.order(jobs)));
    return order;
  }

  private void planJob(JobState job) {
    JobRecord record = job.record();
    JobSpec spec = record.spec();
    if (!job.schedulable() || (spec.kind() == JobKind.GANG && !record.placements().isEmpty())) {
      return; // A gang's next attempt starts only once its previous attempt has provably ended.
    }
    int wanted = placeableCount(record);
    int allowed = teamQuotas.allowance(spec);
    if (wanted == 0 || allowed == 0 || (spec.kind() == JobKind.GANG && allowed < wanted)) {
      return; // Nothing is left to place, or the job waits for its team's quota, not for a machine.
    }
    if (job.suspected() && spec.kind() != JobKind.GANG) {
      allowed = record.placements().isEmpty() ? 1 : 0;
    }
    int maxTasks = Math.min(allowed, wanted);
    if (maxTasks == 0) {
      return; // A suspected job is tried with one task at a time.
    }
    boolean production = spec.priority() == Priority.PRODUCTION;
    boolean limitReached =
        production
            ? productionWrites >= bounds.maxJobWrites
            : otherWrites * 2 >= bounds.maxJobWrites;
    if (limitReached) {
      reserveAndReport(job, maxTasks);
      return;
    }
    int writesBefore = writeCount();
    placeOrReclaim(job, maxTasks);
    int writes = writeCount() - writesBefore;
    productionWrites += production ? writes : 0;
    otherWrites += production ? 0 : writes;
  }

  /** How many job record changes the plan contains so far; each needs a write. */
  private int writeCount() {
    return plan.placements().size() + plan.evictions().size();
  }

  private void placeOrReclaim(JobState job, int maxTasks) {
    JobSpec spec = job.record().spec();
    int attempted = queueOrder.starved(job) ? 1 : maxTasks;
    Map<String, BitSet> chosen = Map.of();
    if (placer.mayFitAnywhere(job)) {
      chosen = placer.place(job, placeableTasks(job.record()).stream().limit(attempted).toArray());
    }
    List<Assignment> assignments = assignments(chosen);
    int placed = assignments.stream().mapToInt(assignment -> assignment.tasks().size()).sum();
    teamQuotas.add(spec, placed);
    if (placed > 0) {
      plan.placements().put(job.id(), assignments);
    }
    // Tasks left over because the round reached its machine limit are placed by the next round;
    // they lack no capacity.
    boolean machineLimitReached =
        spec.kind() != JobKind.GANG && chosen.size() >= placer.maxMachinesPerRound(job);
    if (!job.suspected()
        && !machineLimitReached
        && placed < maxTasks
        && placer.fitsOneTransaction(job)) {
      reclaimOrReport(job, attempted - placed, maxTasks - attempted, assignments);
    }
  }

  /**
   * The number of tasks in {@link #placeableTasks}. Computed by subtraction where possible, since a
   * task is either done, or in exactly one placement, or unplaced.
   */
  private int placeableCount(JobRecord record) {
    boolean windowed =
        record.spec().kind() == JobKind.ARRAY
            && record.spec().tasks() > bounds.recordLimit.taskWindow();
    return windowed
        ? placeableTasks(record).cardinality()
        : record.spec().tasks() - record.placedTaskCount() - record.done().size();
  }

  /** The job's unplaced tasks; for an array only those within the record's window. */
  private BitSet placeableTasks(JobRecord record) {
    BitSet unplaced = record.unplaced().toBitSet();
    if (record.spec().kind() == JobKind.ARRAY) {
      int end = record.done().firstMissing() + bounds.recordLimit.taskWindow();
      unplaced.clear(end, Math.max(end, unplaced.length()));
    }
    return unplaced;
  }

  private List<Assignment> assignments(Map<String, BitSet> chosen) {
    List<Assignment> assignments = new ArrayList<>();
    chosen.forEach(
        (machine, tasks) ->
            assignments.add(
                new Assignment(
                    machine, clusterCapacity.get(machine).state.session(), TaskSet.of(tasks))));
    return assignments;
  }

  /**
   * Reclaims capacity for tasks that found none, and reports those for which that is not enough.
   *
   * @param attempted how many tasks this pass tried to place and couldn't; capacity may be
   *     reclaimed for them
   * @param notAttempted how many more are left to the next pass
   * @param assignments what this pass has placed of the job
   */
  private void reclaimOrReport(
      JobState job, int attempted, int notAttempted, List<Assignment> assignments) {
    JobSpec spec = job.record().spec();
    Object2IntOpenHashMap<String> tasksByZone = new Object2IntOpenHashMap<>();
    if (ZoneConstraints.matterFor(spec)) {
      tasksByZone = ZoneConstraints.tasksByZone(job.record(), clusterCapacity);
      for (Assignment assignment : assignments) {
        tasksByZone.addTo(
            clusterCapacity.get(assignment.machine()).state.zone(), assignment.tasks().size());
      }
    }
    int remaining = 0;
    if (attempted > 0) {
      remaining = reclaimer.reclaim(job, attempted, tasksByZone, reclaimer.mayPreempt(job));
    }
    addUnmet(job, remaining + notAttempted, tasksByZone);
  }

  /**
   * Takes capacity for a job beyond the write limit without placing it, and reports what is
   * lacking. Without taking it, the shortages of the jobs behind it would be computed as if it were
   * free.
   */
  private void reserveAndReport(JobState job, int tasks) {
    if (job.suspected() || !placer.fitsOneTransaction(job)) {
      return;
    }
    Object2IntOpenHashMap<String> tasksByZone =
        ZoneConstraints.tasksByZone(job.record(), clusterCapacity);
    int remaining = placer.takeCapacity(job, tasks, tasksByZone);
    if (remaining > 0) {
      remaining = reclaimer.reclaim(job, remaining, tasksByZone, false);
    }
    addUnmet(job, remaining, tasksByZone);
  }

  private void addUnmet(JobState job, int tasks, Object2IntOpenHashMap<String> tasksByZone) {
    if (tasks > 0) {
      JobSpec spec = job.record().spec();
      Map<String, Integer> relevantZones =
          ZoneConstraints.matterFor(spec) ? Map.copyOf(tasksByZone) : Map.of();
      plan.unmet()
          .add(
              new UnmetDemand(
                  job.id(), spec, tasks, teamQuotas.guaranteed(job.id()), relevantZones));
    }
  }
}
