package io.tansystack.schedule;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.records.RecordLimit;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Plan.Unmet;
import io.tansystack.schedule.Room.Held;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The paper's broker for a whole cluster: for each job in turn, the fitting machines are compared by
 * predicted time to delivery (image fetch, with queued fetches counted, plus run time scaled by how
 * fast the machine is), and its tasks go to the best. A pure function of the snapshot.
 */
public final class Planner {
  /** Bounds the size of a job's record. */
  private final RecordLimit limit;

  /** Each machine chosen is a condition of the transaction that records the round. */
  private final int maxMachines;

  private final Snapshot snapshot;
  private final Map<String, Room> rooms = new LinkedHashMap<>();
  private final TeamUse teams;
  private final AcceleratorKeep keep;
  private final Candidates candidates;
  private final Plan plan = new Plan(new LinkedHashMap<>(), new LinkedHashMap<>(), new ArrayList<>());
  private final Preemption preemption;
  private final Turns turns;

  /** Replicas that are being stopped; they come back elsewhere. */
  private int replicasMoving;

  private final NotMade notMade = new NotMade();

  private Planner(Snapshot snapshot, RecordLimit limit, int maxMachines) {
    this.snapshot = snapshot;
    this.limit = limit;
    this.maxMachines = maxMachines;
    for (MachineState machine : snapshot.machines()) {
      rooms.put(machine.name(), new Room(machine));
    }
    this.teams = new TeamUse(snapshot.teams());
    this.keep = new AcceleratorKeep(rooms.values(), snapshot.booting());
    this.candidates = new Candidates(rooms.values(), keep);
    this.preemption = new Preemption(teams, plan);
    this.turns = new Turns(snapshot.machines());
  }

  public static Plan plan(Snapshot snapshot, RecordLimit limit, int maxMachines) {
    return new Planner(snapshot, limit, maxMachines).run();
  }

  private Plan run() {
    List<JobState> order = new ArrayList<>();
    for (JobState job : snapshot.jobs()) {
      count(job);
      if (job.record().active()) {
        order.add(job);
      }
    }
    order.sort(
        Comparator.comparingLong((JobState j) -> j.record().submittedMs())
            .thenComparing(JobState::id));
    teams.markGuaranteed(order);
    order = byPriority(order);
    ReplicaMoves moves = new ReplicaMoves(rooms, keep, plan, candidates::of);
    boolean moved = !snapshot.movable();
    for (JobState job : order) {
      if (!moved && job.record().spec().priority() == Priority.LOW) {
        moves.run(order, replicasMoving);
        moved = true;
      }
      place(job);
    }
    if (!moved) {
      moves.run(order, replicasMoving);
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

  /** Takes the room of what exists, and counts it against the team's limit. */
  private void count(JobState job) {
    JobSpec spec = job.record().spec();
    keep.count(job);
    int all = 0;
    boolean active = job.record().active();
    for (Placement p : job.record().placements()) {
      int n = p.tasks().size();
      all += n;
      Room room = rooms.get(p.machine());
      if (room == null) {
        continue;
      }
      room.take(spec, n);
      if (p.stop() || !active) {
        room.leaveSoon(spec, n);
        if (active && spec.shape() == Shape.SERVICE) {
          replicasMoving += n;
        }
      } else {
        room.hold(new Held(job, p));
      }
    }
    teams.add(spec, all);
  }

  private void place(JobState job) {
    JobRecord record = job.record();
    JobSpec spec = record.spec();
    if (!job.waiting() || (spec.shape() == Shape.GANG && !record.placements().isEmpty())) {
      return; // A gang's next attempt starts only when all of the last is proven over.
    }
    if (record.placedCount() + record.done().size() >= spec.tasks()) {
      return;
    }
    BitSet unplaced = record.unplaced().toBits();
    if (spec.shape() == Shape.ARRAY) {
      int end = record.done().firstMissing() + limit.window();
      unplaced.clear(end, Math.max(end, unplaced.length()));
    }
    int wanted = unplaced.cardinality();
    int allowed = teams.allowance(spec);
    if (wanted == 0 || allowed == 0 || (spec.shape() == Shape.GANG && allowed < wanted)) {
      return; // It waits for its team, not for a machine.
    }
    if (job.suspected() && spec.shape() != Shape.GANG) {
      allowed = record.placements().isEmpty() ? 1 : 0;
    }
    int most = Math.min(allowed, wanted);
    int[] tasks = unplaced.stream().limit(turns.passedOver(job) ? 1 : most).toArray();
    Map<String, BitSet> chosen =
        spec.shape() == Shape.GANG ? placeGang(job, tasks) : placeEach(job, tasks);
    int placed = 0;
    List<Assignment> round = new ArrayList<>();
    for (Map.Entry<String, BitSet> part : chosen.entrySet()) {
      placed += part.getValue().cardinality();
      Room room = rooms.get(part.getKey());
      round.add(new Assignment(part.getKey(), room.machine.session(), TaskSet.of(part.getValue())));
    }
    teams.add(spec, placed);
    if (placed > 0) {
      plan.placements().put(job.id(), round);
    }
    // What a round could not name follows with the next one; no room is lacking for it.
    boolean cut = spec.shape() != Shape.GANG && chosen.size() >= machinesAtOnce(job);
    if (!job.suspected() && !cut && placed < most) {
      Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
      if (byZone(spec)) {
        zones = zones(record, rooms);
        for (Assignment part : round) {
          zones.addTo(rooms.get(part.machine()).machine.zone(), part.tasks().size());
        }
      }
      int left = tasks.length - placed;
      int stillLeft = left > 0 ? makeRoom(job, left, zones) : 0;
      stillLeft += most - tasks.length; // Its turn for the rest comes with the next pass.
      if (stillLeft > 0) {
        boolean guaranteed = teams.guaranteed(job.id());
        Map<String, Integer> others = byZone(spec) ? Map.copyOf(zones) : Map.of();
        plan.unmet().add(new Unmet(job.id(), spec, stillLeft, guaranteed, others));
      }
    }
  }

  private static void assign(Map<String, BitSet> chosen, Room room, JobSpec spec, int task) {
    room.place(spec);
    chosen.computeIfAbsent(room.machine.name(), k -> new BitSet()).set(task);
  }

  /** Copies of the job by zone, counting all that may exist. */
  static Object2IntOpenHashMap<String> zones(JobRecord record, Map<String, Room> rooms) {
    Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
    for (Placement p : record.placements()) {
      Room room = rooms.get(p.machine());
      if (room != null) {
        zones.addTo(room.machine.zone(), p.tasks().size());
      }
    }
    return zones;
  }

  private int placementsLeft(JobState job) {
    int held = job.record().placements().size();
    return Math.max(0, limit.placedAtOnce(job.record().spec()) - held);
  }

  /** A round of the job can name so many machines. */
  private int machinesAtOnce(JobState job) {
    return Math.min(maxMachines, placementsLeft(job));
  }

  private Map<String, BitSet> placeEach(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    int most = machinesAtOnce(job);
    List<Room> found = candidates.of(job, tasks.length, placementsLeft(job));
    if (found.isEmpty()) {
      return chosen;
    }
    Object2IntOpenHashMap<String> zones = zones(job.record(), rooms);
    int i = 0;
    if (!byZone(spec)) {
      for (Room room : found) {
        while (i < tasks.length && room.fitsOne(spec)) {
          if (keep.waitsForComing(spec, room)) {
            i++;
            continue;
          }
          if (chosen.size() >= most && !chosen.containsKey(room.machine.name())) {
            return chosen;
          }
          assign(chosen, room, spec, tasks[i++]);
        }
      }
      return chosen;
    }
    Map<String, List<Room>> byZone = new LinkedHashMap<>();
    for (Room room : found) {
      byZone.computeIfAbsent(room.machine.zone(), k -> new ArrayList<>()).add(room);
    }
    Object2IntOpenHashMap<String> next = new Object2IntOpenHashMap<>();
    for (; i < tasks.length; i++) {
      Room best = null;
      for (Map.Entry<String, List<Room>> zone : byZone.entrySet()) {
        Room first = firstFitting(spec, zone.getValue(), next, zone.getKey());
        // Zones come best first; one with fewer copies goes before a better prediction.
        if (first != null
            && zoneOk(spec, zones, first)
            && (best == null
                || zones.getInt(zone.getKey()) < zones.getInt(best.machine.zone()))) {
          best = first;
        }
      }
      if (best != null && keep.waitsForComing(spec, best)) {
        continue;
      }
      if (best == null || chosen.size() >= most) {
        break;
      }
      assign(chosen, best, spec, tasks[i]);
      zones.addTo(best.machine.zone(), 1);
    }
    return chosen;
  }

  /** What doesn't fit any more is passed over for good: rooms only fill up. */
  private static Room firstFitting(
      JobSpec spec, List<Room> rooms, Object2IntOpenHashMap<String> next, String zone) {
    int i = next.getInt(zone);
    while (i < rooms.size() && !rooms.get(i).fitsOne(spec)) {
      i++;
    }
    next.put(zone, i);
    return i < rooms.size() ? rooms.get(i) : null;
  }

  /** All tasks or none; in one zone if the job asks for it, at most its share in each if it scatters. */
  private Map<String, BitSet> placeGang(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    if (tasks.length < spec.tasks()) {
      return Map.of();
    }
    List<Room> found = candidates.of(job);
    Set<String> zoneChoices = new TreeSet<>();
    found.forEach(room -> zoneChoices.add(room.machine.zone()));
    List<Room> best = null;
    double bestDelivery = Double.MAX_VALUE;
    for (String only : spec.sameZone() ? List.copyOf(zoneChoices) : List.of("")) {
      List<Room> picks = new ArrayList<>();
      Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
      double slowest = 0;
      for (Room room : found) {
        String zone = room.machine.zone();
        if (spec.sameZone() && !zone.equals(only)) {
          continue;
        }
        int fits = room.fits(spec);
        for (int k = 0; k < fits && picks.size() < tasks.length; k++) {
          if (zones.getInt(zone) >= spec.zoneCap()) {
            break;
          }
          picks.add(room);
          zones.addTo(zone, 1);
          slowest = Math.max(slowest, room.delivery(spec));
        }
      }
      if (picks.size() == tasks.length && slowest < bestDelivery) {
        best = picks;
        bestDelivery = slowest;
      }
    }
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    if (best != null && new HashSet<>(best).size() <= Math.min(maxMachines, limit.placedAtOnce(spec))) {
      for (int i = 0; i < best.size(); i++) {
        assign(chosen, best.get(i), spec, tasks[i]);
      }
    }
    return chosen;
  }

  /**
   * For tasks that found no room: first counts on what is being stopped already, then stops work that
   * may be preempted for them. Returns how many tasks are left even so.
   *
   * @param zones copies of the job by zone; those for which there will be room are added
   */
  private int makeRoom(JobState job, int left, Object2IntOpenHashMap<String> zones) {
    JobSpec spec = job.record().spec();
    boolean mayPreempt =
        job.impatient() && (spec.priority() != Priority.LOW || teams.guaranteed(job.id()));
    Ask ask = Ask.of(spec);
    boolean owed = teams.guaranteed(job.id());
    if (notMade.covers(ask, spec, owed)) {
      return left;
    }
    List<Room> allowed = new ArrayList<>(rooms.size());
    for (Room room : rooms.values()) {
      // Room that the task was kept out of stays free for whom it is kept.
      if ((mayPreempt || room.fitsSoon(spec)) && Candidates.allowed(job, room) && !keep.spoils(spec, room)) {
        allowed.add(room);
      }
    }
    for (Room room : allowed) {
      while (left > 0 && room.fitsSoon(spec) && zoneOk(spec, zones, room)) {
        room.take(spec, 1);
        zones.addTo(room.machine.zone(), 1);
        left--;
      }
    }
    if (left > 0 && mayPreempt) {
      left = preemption.stopFor(job, left, allowed, zones);
    }
    if (left > 0 && mayPreempt && !byZone(spec) && job.avoid().isEmpty()) {
      notMade.add(ask, spec, owed);
    }
    return left;
  }

  private static boolean byZone(JobSpec spec) {
    return spec.shape() == Shape.SERVICE || spec.scatter() || spec.sameZone();
  }

  static boolean zoneOk(JobSpec spec, Object2IntOpenHashMap<String> zones, Room room) {
    String zone = room.machine.zone();
    return zones.getInt(zone) < spec.zoneCap()
        && !(spec.sameZone() && !zones.isEmpty() && !zones.containsKey(zone));
  }
}
