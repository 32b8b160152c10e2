package io.tansystack.schedule;

import io.tansystack.jobs.JobRecord;
import io.tansystack.jobs.JobRecord.Assignment;
import io.tansystack.jobs.Placement;
import io.tansystack.jobs.TaskSet;
import io.tansystack.schedule.Plan.Stop;
import io.tansystack.schedule.Plan.Unmet;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
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
  private static final double EPS = 1e-6;
  private static final int MAX_MOVING = 6;

  /** A job's tasks are placed inside a moving window, so that its done set stays nearly a prefix. */
  private final int window;

  /** Bounds the size of a job's record. */
  private final int maxPlacementChars;

  /** Each machine chosen is a condition of the transaction that records the round. */
  private final int maxMachines;

  private final Snapshot snapshot;
  private final Map<String, Room> rooms = new LinkedHashMap<>();
  private final Map<String, Usage> usage = new HashMap<>();
  private final Set<String> guaranteed = new HashSet<>();
  private final Map<String, List<Assignment>> placements = new LinkedHashMap<>();
  private final Map<String, List<Stop>> stops = new LinkedHashMap<>();
  private final List<Unmet> unmet = new ArrayList<>();
  private final List<JobSpec> gpuShapes = new ArrayList<>();

  /** Waiting jobs that need accelerators: machines that could take them are kept for them. */
  private final List<JobSpec> gpuWaiting = new ArrayList<>();

  /** Machines that are booting, without accelerators: worth waiting for. */
  private final List<Room> coming = new ArrayList<>();

  private static final class Usage {
    double cpus;
    double gpus;
  }

  /** A machine's room during the pass. */
  private static final class Room {
    final MachineState machine;
    double cpus;
    double gpus;
    double mem;

    /** Room that stopping tasks are about to leave. */
    double soonCpus;

    double soonGpus;
    double soonMem;
    double queuedGb;
    final Set<String> coming;
    final List<Held> held = new ArrayList<>();

    Room(MachineState machine) {
      this.machine = machine;
      cpus = machine.type().cpus();
      gpus = machine.type().gpus();
      mem = machine.type().memGb();
      queuedGb = machine.queuedGb();
      coming = new HashSet<>(machine.coming());
    }

    int fits(JobSpec s) {
      return count(s, cpus, gpus, mem);
    }

    int fitsSoon(JobSpec s) {
      return count(s, cpus + soonCpus, gpus + soonGpus, mem + soonMem);
    }

    static int count(JobSpec s, double cpus, double gpus, double mem) {
      if (cpus < -EPS || gpus < -EPS || mem < -EPS) {
        return 0;
      }
      double n = 1e6;
      if (s.cpus() > 0) {
        n = Math.min(n, (cpus + EPS) / s.cpus());
      }
      if (s.gpus() > 0) {
        n = Math.min(n, (gpus + EPS) / s.gpus());
      }
      if (s.memGb() > 0) {
        n = Math.min(n, (mem + EPS) / s.memGb());
      }
      return (int) n;
    }

    void take(JobSpec s, int n) {
      cpus -= n * s.cpus();
      gpus -= n * s.gpus();
      mem -= n * s.memGb();
    }
  }

  /** Tasks of a job that stand on a machine and could be stopped. */
  private record Held(JobState job, Placement placement) {}

  private Planner(Snapshot snapshot, int window, int maxPlacementChars, int maxMachines) {
    this.snapshot = snapshot;
    this.window = window;
    this.maxPlacementChars = maxPlacementChars;
    this.maxMachines = maxMachines;
  }

  public static Plan plan(
      Snapshot snapshot, int window, int maxPlacementChars, int maxMachines) {
    return new Planner(snapshot, window, maxPlacementChars, maxMachines).run();
  }

  private Plan run() {
    for (MachineState machine : snapshot.machines()) {
      rooms.put(machine.name(), new Room(machine));
    }
    for (MachineState machine : snapshot.booting()) {
      if (machine.type().gpus() <= 0) {
        coming.add(new Room(machine));
      }
    }
    for (JobState job : snapshot.jobs()) {
      count(job);
    }
    List<JobState> order = new ArrayList<>();
    for (JobState job : snapshot.jobs()) {
      if (job.record().active()) {
        order.add(job);
      }
    }
    order.sort(
        Comparator.comparingLong((JobState j) -> j.record().submittedMs())
            .thenComparing(JobState::id));
    markGuaranteed(order);
    order.sort(
        Comparator.comparingInt((JobState j) -> j.record().spec().priority().ordinal())
            .thenComparing(j -> !guaranteed.contains(j.id())));
    boolean moved = false;
    for (JobState job : order) {
      if (!moved && job.record().spec().priority() == Priority.LOW) {
        moveReplicas(order);
        moved = true;
      }
      place(job);
    }
    if (!moved) {
      moveReplicas(order);
    }
    return new Plan(placements, stops, unmet);
  }

  /** Takes the room of what exists, and counts it against the team's limit. */
  private void count(JobState job) {
    JobSpec spec = job.record().spec();
    if (spec.gpus() > 0 && job.record().active()) {
      gpuShapes.add(spec);
      if (job.record().placements().isEmpty()) {
        gpuWaiting.add(spec);
      }
    }
    Usage used = usage.computeIfAbsent(spec.team(), k -> new Usage());
    for (Placement p : job.record().placements()) {
      int n = p.tasks().size();
      used.cpus += n * spec.cpus();
      used.gpus += n * spec.gpus();
      Room room = rooms.get(p.machine());
      if (room == null) {
        continue;
      }
      room.take(spec, n);
      if (p.stop() || !job.record().active()) {
        room.soonCpus += n * spec.cpus();
        room.soonGpus += n * spec.gpus();
        room.soonMem += n * spec.memGb();
      } else {
        room.held.add(new Held(job, p));
      }
    }
  }

  /** A job is within its team's guarantee if it fits with the team's earlier unfinished jobs. */
  private void markGuaranteed(List<JobState> byArrival) {
    Map<String, Usage> sums = new HashMap<>();
    for (JobState job : byArrival) {
      JobSpec spec = job.record().spec();
      Team team = snapshot.teams().get(spec.team());
      if (team == null || (team.cpus() <= 0 && team.gpus() <= 0)) {
        continue;
      }
      Usage sum = sums.computeIfAbsent(spec.team(), k -> new Usage());
      sum.cpus += spec.tasks() * spec.cpus();
      sum.gpus += spec.tasks() * spec.gpus();
      boolean uses = (team.cpus() > 0 && spec.cpus() > 0) || (team.gpus() > 0 && spec.gpus() > 0);
      if (uses
          && (team.cpus() <= 0 || sum.cpus <= team.cpus() + EPS)
          && (team.gpus() <= 0 || sum.gpus <= team.gpus() + EPS)) {
        guaranteed.add(job.id());
      }
    }
  }

  /** How many more tasks the team's limit allows. */
  private int allowance(JobSpec spec) {
    Team team = snapshot.teams().get(spec.team());
    if (team == null) {
      return 0;
    }
    Usage used = usage.computeIfAbsent(spec.team(), k -> new Usage());
    double n = 1e6;
    if (team.cpusMax() > 0 && spec.cpus() > 0) {
      n = Math.min(n, (team.cpusMax() - used.cpus + EPS) / spec.cpus());
    }
    if (team.gpusMax() > 0 && spec.gpus() > 0) {
      n = Math.min(n, (team.gpusMax() - used.gpus + EPS) / spec.gpus());
    }
    return (int) Math.max(0, n);
  }

  private void place(JobState job) {
    JobRecord record = job.record();
    JobSpec spec = record.spec();
    if (spec.shape() == Shape.GANG && !record.placements().isEmpty()) {
      return; // The next attempt starts only when all of the last is proven over.
    }
    List<Integer> tasks = new ArrayList<>();
    int last = spec.shape() == Shape.ARRAY ? record.done().firstMissing() + window : spec.tasks();
    TaskSet unplaced = record.unplaced();
    for (int t = unplaced.next(0); t >= 0 && t < last; t = unplaced.next(t + 1)) {
      tasks.add(t);
    }
    if (tasks.isEmpty()) {
      return;
    }
    int allowed = allowance(spec);
    if (spec.shape() != Shape.ARRAY && allowed < tasks.size()) {
      if (spec.shape() == Shape.GANG || allowed == 0) {
        return; // It waits for its team, not for a machine.
      }
    }
    int wanted = Math.min(allowed, tasks.size());
    if (wanted == 0 || !job.waiting()) {
      return;
    }
    tasks = tasks.subList(0, wanted);
    Map<String, BitSet> chosen =
        spec.shape() == Shape.GANG ? placeGang(job, tasks) : placeEach(job, tasks);
    int placed = 0;
    List<Assignment> round = new ArrayList<>();
    for (Map.Entry<String, BitSet> part : chosen.entrySet()) {
      placed += part.getValue().cardinality();
      Room room = rooms.get(part.getKey());
      round.add(new Assignment(part.getKey(), room.machine.session(), TaskSet.of(part.getValue())));
    }
    Usage used = usage.get(spec.team());
    used.cpus += placed * spec.cpus();
    used.gpus += placed * spec.gpus();
    if (placed > 0) {
      placements.put(job.id(), round);
    }
    int left = tasks.size() - placed;
    if (left > 0) {
      int stillLeft = makeRoom(job, left);
      if (stillLeft > 0) {
        unmet.add(new Unmet(job.id(), spec, stillLeft, guaranteed.contains(job.id())));
      }
    }
  }

  private boolean allowed(JobState job, Room room) {
    MachineState m = room.machine;
    return m.open()
        && job.record().spec().allows(m.type().name(), m.zone(), m.spot())
        && !job.avoid().contains(m.name());
  }

  /**
   * Fitting machines, best first. Machines with accelerators come after the others for tasks that
   * need none, unless what they take leaves the accelerators usable: otherwise the cheap tasks would
   * keep gangs from their only machines. Equal predictions are decided towards fuller machines.
   */
  private List<Room> candidates(JobState job) {
    JobSpec spec = job.record().spec();
    record Scored(Room room, int tier, double delivery, double slack) {}
    List<Scored> scored = new ArrayList<>();
    for (Room room : rooms.values()) {
      if (allowed(job, room) && room.fits(spec) > 0 && !keptForOthers(spec, room)) {
        scored.add(
            new Scored(
                room, spoils(spec, room) ? 1 : 0, delivery(spec, room), room.cpus - spec.cpus()));
      }
    }
    scored.sort(
        Comparator.comparingInt(Scored::tier)
            .thenComparingDouble(Scored::delivery)
            .thenComparingDouble(Scored::slack)
            .thenComparing(s -> s.room().machine.name()));
    List<Room> result = new ArrayList<>();
    scored.forEach(s -> result.add(s.room()));
    return result;
  }

  /** Whether one more such task takes the place of a task that needs this machine's accelerators. */
  private boolean spoils(JobSpec spec, Room room) {
    if (spec.gpus() > 0 || room.machine.type().gpus() <= 0) {
      return false;
    }
    for (JobSpec shape : gpuShapes) {
      if (shape.allowsType(room.machine.type().name())) {
        int before = room.fits(shape);
        int after =
            Room.count(
                shape, room.cpus - spec.cpus(), room.gpus, room.mem - spec.memGb());
        if (after < before) {
          return true;
        }
      }
    }
    return gpuShapes.isEmpty();
  }

  /**
   * Whether a waiting job needs the accelerators that the task would spoil, and no other machine is
   * left for it. Without this the first machines to boot, often those with accelerators, fill up with
   * replicas that stay for long while the jobs they were rented for go on waiting.
   */
  private boolean keptForOthers(JobSpec spec, Room room) {
    if (gpuWaiting.isEmpty() || !spoils(spec, room)) {
      return false;
    }
    for (JobSpec shape : gpuWaiting) {
      if (room.fits(shape) == 0 || !shape.allows(room.machine.type().name(), room.machine.zone(), room.machine.spot())) {
        continue;
      }
      int places = 0;
      for (Room other : rooms.values()) {
        if (other.machine.open()
            && shape.allows(other.machine.type().name(), other.machine.zone(), other.machine.spot())) {
          places += other.fits(shape);
        }
      }
      if (places <= gpuWaiting.size()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether the task had better wait for a machine that is booting than spoil one with accelerators.
   * Machines with accelerators often boot first; replicas that fill them then stay for long.
   */
  private boolean waitsForComing(JobSpec spec, Room room) {
    if (!spoils(spec, room)) {
      return false;
    }
    for (Room next : coming) {
      MachineState m = next.machine;
      if (spec.allows(m.type().name(), m.zone(), m.spot()) && next.fits(spec) > 0) {
        next.take(spec, 1);
        return true;
      }
    }
    return false;
  }

  /** Predicted time to delivery in seconds, in whole tenths so that noise does not decide. */
  private static double delivery(JobSpec spec, Room room) {
    MachineState m = room.machine;
    double fetch;
    if (m.images().contains(spec.image())) {
      fetch = 0;
    } else if (room.coming.contains(spec.image())) {
      fetch = room.queuedGb / m.fetchGbPerS();
    } else {
      fetch = (room.queuedGb + spec.imageGb()) / m.fetchGbPerS();
    }
    return Math.rint((fetch + spec.estimateS() * m.slowness()) * 10) / 10;
  }

  private void assign(Map<String, BitSet> chosen, Room room, JobSpec spec, int task) {
    room.take(spec, 1);
    if (!room.machine.images().contains(spec.image()) && room.coming.add(spec.image())) {
      room.queuedGb += spec.imageGb();
    }
    chosen.computeIfAbsent(room.machine.name(), k -> new BitSet()).set(task);
  }

  /** Copies of the job by zone, counting all that may exist. */
  private Object2IntOpenHashMap<String> zones(JobRecord record) {
    Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
    for (Placement p : record.placements()) {
      Room room = rooms.get(p.machine());
      if (room != null) {
        zones.addTo(room.machine.zone(), p.tasks().size());
      }
    }
    return zones;
  }

  private Map<String, BitSet> placeEach(JobState job, List<Integer> tasks) {
    JobSpec spec = job.record().spec();
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    Object2IntOpenHashMap<String> zones = zones(job.record());
    boolean byZone = spec.shape() == Shape.SERVICE || spec.scatter() || spec.sameZone();
    List<Room> candidates = candidates(job);
    int chars = job.record().placements().size() * 60;
    int i = 0;
    if (!byZone) {
      for (Room room : candidates) {
        while (i < tasks.size() && room.fits(spec) > 0) {
          if (waitsForComing(spec, room)) {
            i++;
            continue;
          }
          if (!chosen.containsKey(room.machine.name())) {
            chars += 60;
          }
          chars += 6;
          if (chars > maxPlacementChars
              || (chosen.size() >= maxMachines && !chosen.containsKey(room.machine.name()))) {
            return chosen;
          }
          assign(chosen, room, spec, tasks.get(i++));
        }
      }
      return chosen;
    }
    for (; i < tasks.size(); i++) {
      Room best = null;
      for (Room room : candidates) {
        String zone = room.machine.zone();
        if (room.fits(spec) == 0
            || zones.getInt(zone) >= spec.zoneCap()
            || (spec.sameZone() && !zones.isEmpty() && !zones.containsKey(zone))) {
          continue;
        }
        // Candidates come best first; a zone with fewer copies goes before a better prediction.
        if (best == null || zones.getInt(zone) < zones.getInt(best.machine.zone())) {
          best = room;
        }
      }
      if (best != null && waitsForComing(spec, best)) {
        continue;
      }
      chars += 66;
      if (best == null || chars > maxPlacementChars || chosen.size() >= maxMachines) {
        break;
      }
      assign(chosen, best, spec, tasks.get(i));
      zones.addTo(best.machine.zone(), 1);
    }
    return chosen;
  }

  /** All tasks or none; in one zone if the job asks for it, at most its share in each if it scatters. */
  private Map<String, BitSet> placeGang(JobState job, List<Integer> tasks) {
    JobSpec spec = job.record().spec();
    if (tasks.size() < spec.tasks()) {
      return Map.of();
    }
    List<Room> candidates = candidates(job);
    Set<String> zoneChoices = new TreeSet<>();
    candidates.forEach(room -> zoneChoices.add(room.machine.zone()));
    List<Room> best = null;
    double bestDelivery = Double.MAX_VALUE;
    for (String only : spec.sameZone() ? List.copyOf(zoneChoices) : List.of("")) {
      List<Room> picks = new ArrayList<>();
      Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
      double slowest = 0;
      for (Room room : candidates) {
        String zone = room.machine.zone();
        if (spec.sameZone() && !zone.equals(only)) {
          continue;
        }
        int fits = room.fits(spec);
        for (int k = 0; k < fits && picks.size() < tasks.size(); k++) {
          if (zones.getInt(zone) >= spec.zoneCap()) {
            break;
          }
          picks.add(room);
          zones.addTo(zone, 1);
          slowest = Math.max(slowest, delivery(spec, room));
        }
      }
      if (picks.size() == tasks.size() && slowest < bestDelivery) {
        best = picks;
        bestDelivery = slowest;
      }
    }
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    if (best != null) {
      for (int i = 0; i < best.size(); i++) {
        assign(chosen, best.get(i), spec, tasks.get(i));
      }
    }
    return chosen;
  }

  /**
   * For tasks that found no room: first counts on what is being stopped already, then stops work that
   * may be preempted for them. Returns how many tasks are left even so.
   */
  private int makeRoom(JobState job, int left) {
    JobSpec spec = job.record().spec();
    Object2IntOpenHashMap<String> zones = zones(job.record());
    List<Room> allowed = new ArrayList<>();
    for (Room room : rooms.values()) {
      // Room that the task was kept out of stays free for whom it is kept.
      if (allowed(job, room) && !spoils(spec, room)) {
        allowed.add(room);
      }
    }
    for (Room room : allowed) {
      while (left > 0 && room.fitsSoon(spec) > 0 && zoneOk(spec, zones, room)) {
        room.take(spec, 1);
        zones.addTo(room.machine.zone(), 1);
        left--;
      }
    }
    boolean mayPreempt =
        job.impatient() && (spec.priority() != Priority.LOW || guaranteed.contains(job.id()));
    while (left > 0 && mayPreempt) {
      Room best = null;
      List<Victim> bestVictims = null;
      double bestLoss = Double.MAX_VALUE;
      for (Room room : allowed) {
        if (!zoneOk(spec, zones, room)) {
          continue;
        }
        List<Victim> victims = victims(job, room);
        double loss = victims == null ? Double.MAX_VALUE : loss(victims);
        if (loss < bestLoss) {
          best = room;
          bestVictims = victims;
          bestLoss = loss;
        }
      }
      if (best == null) {
        break;
      }
      for (Victim victim : bestVictims) {
        stop(best, victim, job);
      }
      best.take(spec, 1);
      zones.addTo(best.machine.zone(), 1);
      left--;
    }
    return left;
  }

  private static boolean zoneOk(JobSpec spec, Object2IntOpenHashMap<String> zones, Room room) {
    String zone = room.machine.zone();
    return zones.getInt(zone) < spec.zoneCap()
        && !(spec.sameZone() && !zones.isEmpty() && !zones.containsKey(zone));
  }

  private record Victim(Held held, int tasks) {}

  private static double loss(List<Victim> victims) {
    double loss = 0;
    for (Victim v : victims) {
      JobSpec s = v.held.job().record().spec();
      // A stopped gang loses all its tasks, a task with checkpoints next to nothing of its work.
      double weight = s.checkpointS() > 0 ? 0.3 : 1;
      loss += v.tasks * (s.cpus() + 10 * s.gpus()) * weight * (4 - s.priority().ordinal());
    }
    return loss;
  }

  /** The least wanted tasks on the machine whose end makes room for one task, or null. */
  private List<Victim> victims(JobState job, Room room) {
    JobSpec spec = job.record().spec();
    double cpus = room.cpus + room.soonCpus;
    double gpus = room.gpus + room.soonGpus;
    double mem = room.mem + room.soonMem;
    List<Held> eligible = new ArrayList<>();
    for (Held held : room.held) {
      if (preemptible(job, held.job())) {
        eligible.add(held);
      }
    }
    eligible.sort(
        Comparator.comparingInt((Held h) -> -h.job().record().spec().priority().ordinal())
            .thenComparingLong(h -> -h.job().record().submittedMs())
            .thenComparingLong(h -> -h.placement().attempt()));
    List<Victim> victims = new ArrayList<>();
    for (Held held : eligible) {
      JobSpec s = held.job().record().spec();
      int n = 0;
      while (n < held.placement().tasks().size() && Room.count(spec, cpus, gpus, mem) == 0) {
        cpus += s.cpus();
        gpus += s.gpus();
        mem += s.memGb();
        n++;
      }
      if (n > 0) {
        victims.add(new Victim(held, n));
      }
      if (Room.count(spec, cpus, gpus, mem) > 0) {
        return victims;
      }
    }
    return null;
  }

  /** Lower priority, or another team's work beyond its guarantee for one that is owed its own. */
  private boolean preemptible(JobState job, JobState victim) {
    JobSpec spec = job.record().spec();
    JobSpec other = victim.record().spec();
    if (spec.gpus() <= 0 && other.gpus() > 0) {
      return false; // What needs no accelerator does not take one away.
    }
    if (other.priority().ordinal() > spec.priority().ordinal()) {
      return true;
    }
    if (!guaranteed.contains(job.id())
        || guaranteed.contains(victim.id())
        || other.team().equals(spec.team())) {
      return false;
    }
    Team team = snapshot.teams().get(other.team());
    Usage used = usage.get(other.team());
    return team != null
        && ((spec.gpus() > 0 && other.gpus() > 0 && used.gpus > team.gpus() + EPS)
            || (spec.gpus() <= 0 && other.cpus() > 0 && used.cpus > team.cpus() + EPS));
  }

  private void stop(Room room, Victim victim, JobState forJob) {
    JobSpec s = victim.held.job().record().spec();
    Placement p = victim.held.placement();
    BitSet tasks = new BitSet();
    int n = 0;
    // The last numbers of a placement were started last, as a rule: they lose the least work.
    for (int t = p.tasks().toBits().length() - 1; t >= 0 && n < victim.tasks; t--) {
      if (p.tasks().contains(t)) {
        tasks.set(t);
        n++;
      }
    }
    stops
        .computeIfAbsent(victim.held.job().id(), k -> new ArrayList<>())
        .add(new Stop(room.machine.name(), TaskSet.of(tasks), forJob.id()));
    room.held.remove(victim.held);
    BitSet rest = p.tasks().toBits();
    rest.andNot(tasks);
    if (!rest.isEmpty()) {
      room.held.add(new Held(victim.held.job(), p.withTasks(TaskSet.of(rest))));
    }
    room.soonCpus += n * s.cpus();
    room.soonGpus += n * s.gpus();
    room.soonMem += n * s.memGb();
  }

  /**
   * Moves replicas off machines that are to be emptied, and off one machine with accelerators for
   * each job that waits for them in vain. A replica is stopped only when room for it is in sight, and
   * a few at a time, so that a service never lacks more than one of its replicas on this account.
   */
  private void moveReplicas(List<JobState> order) {
    Map<String, JobState> jobs = new HashMap<>();
    order.forEach(job -> jobs.put(job.id(), job));
    int moving = 0;
    for (JobState job : snapshot.jobs()) {
      if (job.record().active() && job.record().spec().shape() == Shape.SERVICE) {
        for (Placement p : job.record().placements()) {
          moving += p.stop() ? p.tasks().size() : 0;
        }
      }
    }
    List<Room> toEmpty = new ArrayList<>();
    for (Room room : rooms.values()) {
      if (room.machine.drain()) {
        toEmpty.add(room);
      }
    }
    Set<Room> chosen = new HashSet<>();
    for (Unmet need : unmet) {
      if (need.spec().gpus() > 0) {
        Room best = clearable(need.spec(), chosen);
        if (best != null && chosen.add(best)) {
          toEmpty.add(best);
        }
      }
    }
    for (Room from : toEmpty) {
      for (Held held : List.copyOf(from.held)) {
        if (moving >= MAX_MOVING) {
          return;
        }
        JobState job = jobs.get(held.job().id());
        if (job != null && movable(job) && move(job, held, from, chosen)) {
          moving++;
        }
      }
    }
  }

  /** Only a service whose replicas are all in place may lend one to a move. */
  private boolean movable(JobState job) {
    JobRecord record = job.record();
    return record.spec().shape() == Shape.SERVICE
        && job.waiting()
        && !placements.containsKey(job.id())
        && !stops.containsKey(job.id())
        && record.placedCount() == record.spec().tasks()
        && record.placements().stream().noneMatch(Placement::stop);
  }

  /** The machine on which the fewest replicas stand in the way of the job. */
  private Room clearable(JobSpec need, Set<Room> taken) {
    Room best = null;
    int fewest = Integer.MAX_VALUE;
    for (Room room : rooms.values()) {
      MachineState m = room.machine;
      if (taken.contains(room) || !m.open() || !need.allows(m.type().name(), m.zone(), m.spot())) {
        continue;
      }
      double cpus = room.cpus + room.soonCpus;
      double gpus = room.gpus + room.soonGpus;
      double mem = room.mem + room.soonMem;
      int replicas = 0;
      for (Held held : room.held) {
        JobSpec s = held.job().record().spec();
        int n = held.placement().tasks().size();
        if (s.shape() == Shape.SERVICE && s.gpus() <= 0) {
          cpus += n * s.cpus();
          mem += n * s.memGb();
          replicas += n;
        }
      }
      if (Room.count(need, cpus, gpus, mem) > 0 && replicas > 0 && replicas < fewest) {
        best = room;
        fewest = replicas;
      }
    }
    return best;
  }

  private boolean move(JobState job, Held held, Room from, Set<Room> clearing) {
    JobSpec spec = job.record().spec();
    Object2IntOpenHashMap<String> zones = zones(job.record());
    zones.addTo(from.machine.zone(), -1);
    for (Room to : candidates(job)) {
      if (to != from
          && !clearing.contains(to)
          && !spoils(spec, to)
          && zones.getInt(to.machine.zone()) < spec.zoneCap()) {
        to.take(spec, 1);
        int task = held.placement().tasks().next(0);
        stops
            .computeIfAbsent(job.id(), k -> new ArrayList<>())
            .add(
                new Stop(
                    from.machine.name(),
                    TaskSet.EMPTY.with(task),
                    "a move to " + to.machine.name()));
        return true;
      }
    }
    return false;
  }
}
