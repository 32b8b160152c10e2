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

/** What a plan and the proofs found so far lead to: the next records of this controller's jobs. */
final class JobUpdateBuilder {
  /**
   * What is to be written of a job.
   *
   * @param needed under which conditions, as of the plan: it may be written some transactions later
   */
  record JobUpdate(
      Job job, JobRecord next, List<Condition> needed, boolean places, boolean ends) {
    JobSpec spec() {
      return job.record().spec();
    }
  }

  /** So many placements of replicas are written before one of anything else. */
  private static final int REPLICAS_IN_A_ROW = 3;

  private final ClusterState world;
  private final SlotManager slots;
  private final Function<String, MachineView> views;
  private final SchedulingState book;
  private final RecordSizeLimit limit;
  private final Plan plan;

  JobUpdateBuilder(
      ClusterState world,
      SlotManager slots,
      Function<String, MachineView> views,
      SchedulingState book,
      RecordSizeLimit limit,
      Plan plan) {
    this.world = world;
    this.slots = slots;
    this.views = views;
    this.book = book;
    this.limit = limit;
    this.plan = plan;
  }

  /** Most urgent first. */
  List<JobUpdate> all() {
    List<JobUpdate> drafts = new ArrayList<>();
    for (String id : concerned()) {
      Job job = world.job(id);
      JobRecord known = book.effective().get(id);
      if (job == null || known == null || !slots.holds(job.slot()) || book.isPending(id)) {
        continue;
      }
      JobUpdate draft = draft(job, known);
      if (!draft.next().equals(job.record())) {
        drafts.add(draft);
      }
    }
    return inTurn(drafts);
  }

  /**
   * Replicas that users wait for come first: a swarm of small jobs that end must not hold them up. But one
   * write in a few is for what comes next in order, or where the write limit is used up for minutes by
   * many small services nothing else would begin, beside machines that stand idle for it.
   */
  static List<JobUpdate> inTurn(List<JobUpdate> drafts) {
    drafts.sort(
        Comparator.comparing((JobUpdate draft) -> !draft.ends())
            .thenComparing(draft -> draft.spec().priority())
            .thenComparing(draft -> !draft.places())
            .thenComparingLong(draft -> draft.job().record().submittedMs()));
    ArrayDeque<JobUpdate> replicas = new ArrayDeque<>();
    ArrayDeque<JobUpdate> others = new ArrayDeque<>();
    for (JobUpdate draft : drafts) {
      boolean replica = draft.places() && draft.spec().priority() == Priority.PRODUCTION;
      (replica ? replicas : others).add(draft);
    }
    List<JobUpdate> order = new ArrayList<>(drafts.size());
    while (!replicas.isEmpty()) {
      for (int i = 0; i < REPLICAS_IN_A_ROW && !replicas.isEmpty(); i++) {
        order.add(replicas.poll());
      }
      if (!others.isEmpty()) {
        order.add(others.poll());
      }
    }
    order.addAll(others);
    return order;
  }

  /** Jobs whose records may have to change: by the plan, by a proof, or since a machine is recalled. */
  private Set<String> concerned() {
    Set<String> ids = new LinkedHashSet<>(plan.placements().keySet());
    ids.addAll(plan.evictions().keySet());
    ids.addAll(book.proven());
    ids.addAll(book.recalled());
    return ids;
  }

  private JobUpdate draft(Job job, JobRecord known) {
    List<JobRecord.Assignment> round = plan.placements().getOrDefault(job.id(), List.of());
    boolean places = !round.isEmpty();
    boolean ends = known.phase() != job.record().phase();
    JobRecord next = stopped(job.id(), known);
    if (places) {
      next = next.placed(round);
    }
    if (!limit.allows(next)) {
      // Stops that split its parts have made it too long to be written; it shrinks as they end.
      next = known;
      places = false;
    }
    return new JobUpdate(job, next, conditions(job, places), places, ends);
  }

  private JobRecord stopped(String id, JobRecord record) {
    JobRecord next = record;
    for (Plan.Eviction stop : plan.evictions().getOrDefault(id, List.of())) {
      next =
          next.spec().shape() == JobKind.GANG
              ? next.allStopped()
              : next.stopped(stop.machine(), stop.tasks());
    }
    return stopBeforeRecall(next);
  }

  /** Work that can save itself is stopped in order when the cloud takes its machine away. */
  private JobRecord stopBeforeRecall(JobRecord record) {
    if (!record.active() || record.spec().checkpointS() <= 0) {
      return record;
    }
    JobRecord next = record;
    for (Placement p : record.placements()) {
      MachineView view = views.apply(p.machine());
      if (!p.stop() && view != null && view.report().noticeS() != null) {
        next =
            record.spec().shape() == JobKind.GANG
                ? next.allStopped()
                : next.stopped(p.machine(), p.tasks());
      }
    }
    return next;
  }

  private List<Condition> conditions(Job job, boolean places) {
    List<Condition> needed = new ArrayList<>();
    needed.add(new Condition(ClusterState.slotKey(job.slot()), world.slot(job.slot()).version()));
    needed.addAll(job.unchanged());
    Set<String> machines = new HashSet<>();
    if (places) {
      for (JobRecord.Assignment part : plan.placements().get(job.id())) {
        if (machines.add(ClusterState.machineKey(part.machine()))) {
          needed.add(world.machine(part.machine()).condition());
        }
      }
    }
    addProofConditions(book.proofs(job.id()), machines, needed);
    return needed;
  }

  /** The conditions under which the proofs hold, but for those on keys named already. */
  static void addProofConditions(
      TerminationProofs proofs, Set<String> named, List<Condition> conditions) {
    if (proofs != null) {
      for (Condition condition : proofs.conditions()) {
        if (named.add(condition.key())) {
          conditions.add(condition);
        }
      }
    }
  }
}
