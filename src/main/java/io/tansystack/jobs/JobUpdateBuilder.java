package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.SlotManager;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.records.RecordSizeLimit;
import io.tansystack.schedule.Plan;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.workers.MachineView;
import io.tansystack.workers.TerminationProofs;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Builds the next records of this controller's jobs from a plan and the proofs known so far. */
final class JobUpdateBuilder {
  /**
   * The next record of a job, ready to be written.
   *
   * @param conditions what must still hold when it is written, as of the plan: other transactions
   *     may be written first
   * @param places whether it adds placements
   * @param ends whether it changes the job's phase
   */
  record JobUpdate(
      Job job, JobRecord next, List<Condition> conditions, boolean places, boolean ends) {
    JobSpec spec() {
      return job.record().spec();
    }
  }

  /** Number of updates that place replicas before one other update is written. */
  private static final int CONSECUTIVE_REPLICAS = 3;

  private final ClusterState clusterState;
  private final SlotManager slotManager;
  private final Function<String, MachineView> views;
  private final SchedulingState schedulingState;
  private final RecordSizeLimit sizeLimit;
  private final Plan plan;

  JobUpdateBuilder(
      ClusterState clusterState,
      SlotManager slotManager,
      Function<String, MachineView> views,
      SchedulingState schedulingState,
      RecordSizeLimit sizeLimit,
      Plan plan) {
    this.clusterState = clusterState;
    this.slotManager = slotManager;
    this.views = views;
    this.schedulingState = schedulingState;
    this.sizeLimit = sizeLimit;
    this.plan = plan;
  }

  /** Returns the updates of all jobs whose records have to change, most urgent first. */
  List<JobUpdate> build() {
    List<JobUpdate> updates = new ArrayList<>();
    for (String id : affectedJobs()) {
      Job job = clusterState.job(id);
      JobRecord effective = schedulingState.effective().get(id);
      if (job == null
          || effective == null
          || !slotManager.holds(job.slot())
          || schedulingState.isPending(id)) {
        continue;
      }
      JobUpdate update = buildUpdate(job, effective);
      if (!update.next().equals(job.record())) {
        updates.add(update);
      }
    }
    return inWriteOrder(updates);
  }

  /**
   * Sorts updates into the order in which they are written. Replicas that users wait for come
   * first, because a large number of small jobs that end must not delay them. But after
   * {@link #CONSECUTIVE_REPLICAS} of them one other update follows. Otherwise, while many small
   * services use up the write limit for minutes, no other job would begin, although machines are
   * idle.
   */
  static List<JobUpdate> inWriteOrder(List<JobUpdate> updates) {
    updates.sort(
        Comparator.comparing((JobUpdate update) -> !update.ends())
            .thenComparing(update -> update.spec().priority())
            .thenComparing(update -> !update.places())
            .thenComparingLong(update -> update.job().record().submittedMs()));
    ArrayDeque<JobUpdate> replicas = new ArrayDeque<>();
    ArrayDeque<JobUpdate> others = new ArrayDeque<>();
    for (JobUpdate update : updates) {
      boolean replica = update.places() && update.spec().priority() == Priority.PRODUCTION;
      (replica ? replicas : others).add(update);
    }
    List<JobUpdate> order = new ArrayList<>(updates.size());
    while (!replicas.isEmpty()) {
      for (int i = 0; i < CONSECUTIVE_REPLICAS && !replicas.isEmpty(); i++) {
        order.add(replicas.poll());
      }
      if (!others.isEmpty()) {
        order.add(others.poll());
      }
    }
    order.addAll(others);
    return order;
  }

  /**
   * Returns the jobs whose records may have to change: by the plan, by a proof, or because the
   * cloud takes one of their machines away.
   */
  private Set<String> affectedJobs() {
    Set<String> ids = new LinkedHashSet<>(plan.placements().keySet());
    ids.addAll(plan.evictions().keySet());
    ids.addAll(schedulingState.jobsWithProofs());
    ids.addAll(schedulingState.jobsOnReclaimedMachines());
    return ids;
  }

  private JobUpdate buildUpdate(Job job, JobRecord effective) {
    List<JobRecord.Assignment> assignments = plan.placements().getOrDefault(job.id(), List.of());
    boolean places = !assignments.isEmpty();
    boolean ends = effective.phase() != job.record().phase();
    JobRecord next = withEvictions(job.id(), effective);
    if (places) {
      next = next.placed(assignments);
    }
    if (!sizeLimit.fits(next)) {
      // Evictions that split placements in two have made the record too long to be written. It
      // shrinks as the evicted tasks end.
      next = effective;
      places = false;
    }
    return new JobUpdate(job, next, conditions(job, places), places, ends);
  }

  private JobRecord withEvictions(String id, JobRecord record) {
    JobRecord next = record;
    for (Plan.Eviction eviction : plan.evictions().getOrDefault(id, List.of())) {
      next =
          next.spec().kind() == JobKind.GANG
              ? next.allStopped()
              : next.stopped(eviction.machine(), eviction.tasks());
    }
    return stopBeforeReclaim(next);
  }

  /**
   * Stops tasks that can save a checkpoint in an orderly way when the cloud is about to take their
   * machine away.
   */
  private JobRecord stopBeforeReclaim(JobRecord record) {
    if (!record.active() || record.spec().checkpointS() <= 0) {
      return record;
    }
    JobRecord next = record;
    for (Placement p : record.placements()) {
      MachineView view = views.apply(p.machine());
      if (!p.stop() && view != null && view.report().reclaimNoticeS() != null) {
        next =
            record.spec().kind() == JobKind.GANG
                ? next.allStopped()
                : next.stopped(p.machine(), p.tasks());
      }
    }
    return next;
  }

  private List<Condition> conditions(Job job, boolean places) {
    List<Condition> conditions = new ArrayList<>();
    conditions.add(
        new Condition(ClusterState.slotKey(job.slot()), clusterState.slot(job.slot()).version()));
    conditions.addAll(job.unchanged());
    Set<String> referencedKeys = new HashSet<>();
    if (places) {
      for (JobRecord.Assignment assignment : plan.placements().get(job.id())) {
        if (referencedKeys.add(ClusterState.machineKey(assignment.machine()))) {
          conditions.add(clusterState.machine(assignment.machine()).condition());
        }
      }
    }
    addProofConditions(schedulingState.proofs(job.id()), referencedKeys, conditions);
    return conditions;
  }

  /**
   * Adds the conditions under which the proofs hold, except for keys that are referenced already.
   *
   * @param proofs null for none
   * @param referencedKeys keys that have a condition; added to
   */
  static void addProofConditions(
      TerminationProofs proofs, Set<String> referencedKeys, List<Condition> conditions) {
    if (proofs != null) {
      for (Condition condition : proofs.conditions()) {
        if (referencedKeys.add(condition.key())) {
          conditions.add(condition);
        }
      }
    }
  }
}
