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
 * The paper's broker for a whole cluster: for each job in turn, the fitting machines are compared by
 * predicted time to delivery (image fetch, with queued fetches counted, plus run time scaled by how
 * fast the machine is), and its tasks go to the best. The plan depends on nothing but the snapshot
 * and the rooms, which say what is recorded.
 */
public final class Planner {
  /**
   * What bounds a pass.
   *
   * @param record bounds the size of a job's record
   * @param machines each machine chosen is a condition of the transaction that records the round
   * @param jobs so many jobs of production are planned for, and half as many others; what could be written
   *     only much later is planned anew by then, and of jobs behind these it is only told what room they lack
   */
  public record Bounds(RecordSizeLimit record, int machines, int jobs) {}

  private final Snapshot snapshot;
  private final Bounds bounds;
  private final ClusterCapacity rooms;
  private final TeamQuotaTracker teams;
  private final AcceleratorReservation keep;
  private final CandidateSelector candidates;
  private final TaskPlacer placer;
  private final CapacityReclaimer roomMaker;
  private final JobQueueOrder turns;
  private int plannedOfProduction;
  private int plannedOthers;
  private final Plan plan =
      new Plan(new LinkedHashMap<>(), new LinkedHashMap<>(), new ArrayList<>());

  private Planner(Snapshot snapshot, ClusterCapacity rooms, Bounds bounds) {
    this.snapshot = snapshot;
    this.bounds = bounds;
    this.rooms = rooms;
    rooms.beginPass();
    this.teams = new TeamQuotaTracker(snapshot.teams(), rooms.teams());
    this.keep = new AcceleratorReservation(rooms, snapshot.booting());
    CapacityIndex index = new CapacityIndex(rooms);
    this.candidates = new CandidateSelector(rooms, index, keep);
    this.placer = new TaskPlacer(rooms, index, keep, candidates, bounds.record, bounds.machines);
    Preemption preemption = new Preemption(teams, plan, rooms.leaving());
    this.roomMaker = new CapacityReclaimer(rooms, index, keep, teams, preemption);
    this.turns = new JobQueueOrder(rooms.cpus());
  }

  /** Plans for the snapshot's jobs over rooms that were made anew. */
  public static Plan plan(Snapshot snapshot, Bounds bounds) {
    return plan(snapshot, ClusterCapacity.of(snapshot.machines(), snapshot.jobs()), bounds);
  }

  /** Plans over rooms that hold the records of all the snapshot's jobs. */
  public static Plan plan(Snapshot snapshot, ClusterCapacity rooms, Bounds bounds) {
    return new Planner(snapshot, rooms, bounds).run();
  }

  private Plan run() {
    List<JobState> active = new ArrayList<>();
    for (JobState job : snapshot.jobs()) {
      if (placer.canBeNamed(job)) {
        keep.count(job);
      }
      if (job.record().active()) {
        active.add(job);
      }
    }
    active.sort(
        Comparator.comparingLong((JobState j) -> j.record().submittedMs())
            .thenComparing(JobState::id));
    teams.markGuaranteed(active);
    List<JobState> open = active.stream().filter(JobState::open).toList();
    ReplicaMoves moves = new ReplicaMoves(rooms, keep, plan, candidates::all);
    boolean moved = !snapshot.movable();
    for (JobState job : byPriority(open)) {
      if (!moved && job.record().spec().priority() == Priority.LOW) {
        moves.run(active, rooms.replicasLeaving());
        moved = true;
      }
      place(job);
    }
    if (!moved) {
      moves.run(active, rooms.replicasLeaving());
    }
    return plan;
  }

  /** By priority, work within its team's guarantee first, and by turn within that. */
  private List<JobState> byPriority(List<JobState> byArrival) {
    List<List<JobState>> classes = new ArrayList<>();
    for (int i = 0; i < 2 * Priority.values().length; i++) {
      classes.add(new ArrayList<>());
    }
    for (JobState job : byArrival) {
      int at = 2 * job.record().spec().priority().ordinal();
      classes.get(teams.guaranteed(job.id()) ? at : at + 1).add(job);
    }
    List<JobState> order = new ArrayList<>(byArrival.size());
    classes.forEach(jobs -> order.addAll(turns.order(jobs)));
    return order;
  }

  private void place(JobState job) {
    JobRecord record = job.record();
    JobSpec spec = record.spec();
    if (!job.waiting() || (spec.shape() == JobKind.GANG && !record.placements().isEmpty())) {
      return; // A gang's next attempt starts only when all of the last is proven over.
    }
    int wanted = unplacedCount(record);
    int allowed = teams.allowance(spec);
    if (wanted == 0 || allowed == 0 || (spec.shape() == JobKind.GANG && allowed < wanted)) {
      return; // It waits for its team, not for a machine.
    }
    if (job.suspected() && spec.shape() != JobKind.GANG) {
      allowed = record.placements().isEmpty() ? 1 : 0;
    }
    int most = Math.min(allowed, wanted);
    if (most == 0) {
      return; // A job that seems to be at fault is tried with one task at a time.
    }
    boolean production = spec.priority() == Priority.PRODUCTION;
    boolean enough =
        production ? plannedOfProduction >= bounds.jobs : plannedOthers * 2 >= bounds.jobs;
    if (enough) {
      onlyTellLack(job, most);
      return;
    }
    int writesBefore = writes();
    planFor(job, most);
    int writes = writes() - writesBefore;
    plannedOfProduction += production ? writes : 0;
    plannedOthers += production ? 0 : writes;
  }

  /** Records that the plan changes, each a write. */
  private int writes() {
    return plan.placements().size() + plan.stops().size();
  }

  private void planFor(JobState job, int most) {
    JobSpec spec = job.record().spec();
    int tried = turns.passedOver(job) ? 1 : most;
    Map<String, BitSet> chosen = Map.of();
    if (placer.findsRoom(job)) {
      chosen = placer.place(job, unplaced(job.record()).stream().limit(tried).toArray());
    }
    List<Assignment> round = round(chosen);
    int placed = round.stream().mapToInt(part -> part.tasks().size()).sum();
    teams.add(spec, placed);
    if (placed > 0) {
      plan.placements().put(job.id(), round);
    }
    // What a round could not name follows with the next one; no room is lacking for it.
    boolean cut = spec.shape() != JobKind.GANG && chosen.size() >= placer.machinesAtOnce(job);
    if (!job.suspected() && !cut && placed < most && placer.canBeNamed(job)) {
      lacks(job, tried - placed, most - tried, round);
    }
  }

  /** How many tasks {@link #unplaced} names; a task is either done, or in one placement, or unplaced. */
  private int unplacedCount(JobRecord record) {
    boolean windowed =
        record.spec().shape() == JobKind.ARRAY && record.spec().tasks() > bounds.record.window();
    return windowed
        ? unplaced(record).cardinality()
        : record.spec().tasks() - record.placedCount() - record.done().size();
  }

  private BitSet unplaced(JobRecord record) {
    BitSet unplaced = record.unplaced().toBits();
    if (record.spec().shape() == JobKind.ARRAY) {
      int end = record.done().firstMissing() + bounds.record.window();
      unplaced.clear(end, Math.max(end, unplaced.length()));
    }
    return unplaced;
  }

  private List<Assignment> round(Map<String, BitSet> chosen) {
    List<Assignment> round = new ArrayList<>();
    chosen.forEach(
        (machine, tasks) ->
            round.add(
                new Assignment(
                    machine, rooms.get(machine).machine.session(), TaskSet.of(tasks))));
    return round;
  }

  /**
   * Tasks found no room.
   *
   * @param tried so many were looked for, and room may be made for them
   * @param notTried so many more have their turn with the next pass
   */
  private void lacks(JobState job, int tried, int notTried, List<Assignment> round) {
    JobSpec spec = job.record().spec();
    Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
    if (ZoneConstraints.matter(spec)) {
      zones = ZoneConstraints.of(job.record(), rooms);
      for (Assignment part : round) {
        zones.addTo(rooms.get(part.machine()).machine.zone(), part.tasks().size());
      }
    }
    int left = 0;
    if (tried > 0) {
      left = roomMaker.makeRoom(job, tried, zones, roomMaker.mayPreempt(job));
    }
    unmet(job, left + notTried, zones);
  }

  /** Takes room for a job that is not planned for, so that those behind it are not told that it is free. */
  private void onlyTellLack(JobState job, int tasks) {
    if (job.suspected() || !placer.canBeNamed(job)) {
      return;
    }
    Object2IntOpenHashMap<String> zones = ZoneConstraints.of(job.record(), rooms);
    int left = placer.reserve(job, tasks, zones);
    if (left > 0) {
      left = roomMaker.makeRoom(job, left, zones, false);
    }
    unmet(job, left, zones);
  }

  private void unmet(JobState job, int tasks, Object2IntOpenHashMap<String> zones) {
    if (tasks > 0) {
      JobSpec spec = job.record().spec();
      Map<String, Integer> others = ZoneConstraints.matter(spec) ? Map.copyOf(zones) : Map.of();
      plan.unmet().add(new UnmetDemand(job.id(), spec, tasks, teams.guaranteed(job.id()), others));
    }
  }
}
