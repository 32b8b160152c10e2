package io.tansystack.jobs;

import io.tansystack.cluster.SlotDuty;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.records.RecordLimit;
import io.tansystack.schedule.Plan;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.workers.Proofs;
import io.tansystack.workers.View;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** What a plan and the proofs found so far lead to: the next records of this controller's jobs. */
final class Drafts {
  /**
   * What is to be written of a job.
   *
   * @param needed under which conditions, as of the plan: it may be written some transactions later
   */
  record Draft(
      Job job, JobRecord next, List<Condition> needed, boolean places, boolean ends) {
    JobSpec spec() {
      return job.record().spec();
    }
  }

  private final World world;
  private final SlotDuty slots;
  private final Function<String, View> views;
  private final JobBook book;
  private final RecordLimit limit;
  private final Plan plan;

  Drafts(
      World world,
      SlotDuty slots,
      Function<String, View> views,
      JobBook book,
      RecordLimit limit,
      Plan plan) {
    this.world = world;
    this.slots = slots;
    this.views = views;
    this.book = book;
    this.limit = limit;
    this.plan = plan;
  }

  /** Most urgent first. */
  List<Draft> all() {
    List<Draft> drafts = new ArrayList<>();
    for (Map.Entry<String, JobRecord> entry : book.effective().entrySet()) {
      Job job = world.job(entry.getKey());
      if (!slots.holds(job.slot()) || book.isPending(entry.getKey())) {
        continue;
      }
      JobRecord known = entry.getValue();
      boolean ends = known.phase() != job.record().phase();
      JobRecord next = stopped(entry.getKey(), known);
      List<JobRecord.Assignment> round = plan.placements().getOrDefault(entry.getKey(), List.of());
      if (!round.isEmpty()) {
        next = next.placed(round);
      }
      boolean places = !round.isEmpty();
      if (!limit.allows(next)) {
        // Stops that split its parts have made it too long to be written; it shrinks as they end.
        next = known;
        places = false;
      }
      if (!next.equals(job.record())) {
        drafts.add(new Draft(job, next, conditions(job, places), places, ends));
      }
    }
    drafts.sort(
        // A swarm of small jobs that end must not hold up the replicas that users wait for.
        Comparator.comparing(
                (Draft c) ->
                    !(c.places && c.job.record().spec().priority() == Priority.PRODUCTION))
            .thenComparing(c -> !c.ends)
            .thenComparing(c -> c.job.record().spec().priority())
            .thenComparing(c -> !c.places)
            .thenComparingLong(c -> c.job.record().submittedMs()));
    return drafts;
  }

  private JobRecord stopped(String id, JobRecord record) {
    JobRecord next = record;
    for (Plan.Stop stop : plan.stops().getOrDefault(id, List.of())) {
      next =
          next.spec().shape() == Shape.GANG
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
      View view = views.apply(p.machine());
      if (!p.stop() && view != null && view.report().noticeS() != null) {
        next =
            record.spec().shape() == Shape.GANG
                ? next.allStopped()
                : next.stopped(p.machine(), p.tasks());
      }
    }
    return next;
  }

  private List<Condition> conditions(Job job, boolean places) {
    List<Condition> needed = new ArrayList<>();
    needed.add(new Condition(World.slotKey(job.slot()), world.slot(job.slot()).version()));
    needed.addAll(job.unchanged());
    Set<String> machines = new HashSet<>();
    if (places) {
      for (JobRecord.Assignment part : plan.placements().get(job.id())) {
        if (machines.add(World.machineKey(part.machine()))) {
          needed.add(world.machine(part.machine()).condition());
        }
      }
    }
    addProofConditions(book.proofs(job.id()), machines, needed);
    return needed;
  }

  /** The conditions under which the proofs hold, but for those on keys named already. */
  static void addProofConditions(
      Proofs proofs, Set<String> named, List<Condition> conditions) {
    if (proofs != null) {
      for (Condition condition : proofs.conditions()) {
        if (named.add(condition.key())) {
          conditions.add(condition);
        }
      }
    }
  }
}
