package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.OwnLease;
import io.tansystack.cluster.SlotDuty;
import io.tansystack.cluster.World;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World.MachineRecord;
import io.tansystack.http.Loop;
import io.tansystack.schedule.Deadlines;
import io.tansystack.schedule.Plan;
import io.tansystack.schedule.Planner;
import io.tansystack.schedule.Snapshot;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.PlatformSettings.Objective;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.store.StoreClient;
import io.tansystack.store.StoreClient.Result;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
import io.tansystack.wire.TaskReport;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.workers.Proofs;
import io.tansystack.workers.View;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The slot holder's rounds: takes proofs into the records of its jobs, plans, and writes placements.
 * One write for a job is under way at a time; until the copy of the records shows it, the job counts
 * as it was written.
 */
public final class JobDuty {
  private static final Logger log = LoggerFactory.getLogger(JobDuty.class);
  private static final Duration MIN_GAP = Duration.ofMillis(40);

  /** A controller that doesn't plan only looks for proofs that nobody takes in. */
  private static final Duration LOOK_GAP = Duration.ofMillis(500);


  /**
   * A pass is followed by a pause of so many times its length: reports and renewals come first, and
   * all controllers together must not spend more on planning than on anything else. Shorter where
   * one of our jobs has just come.
   */
  private static final int REST = 120;

  private static final int SHORT_REST = 8;

  private static final Duration FOREIGN_AFTER = Duration.ofMillis(2500);

  private static final Snapshot NOTHING =
      new Snapshot(List.of(), List.of(), List.of(), Map.of());
  private static final Plan NO_PLAN = new Plan(Map.of(), Map.of(), List.of());

  private record Pending(JobRecord record, long baseVersion, long revision) {}

  private record Unabsorbed(long version, Duration since) {}

  private record Candidate(Job job, JobRecord next, Proofs proofs, boolean places, boolean ends) {}

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final OwnLease lease;
  private final SlotDuty slots;
  private final PlatformSettings settings;
  private final Function<String, View> views;
  private final Function<String, MachineType> types;
  private final Supplier<List<MachineState>> booting;
  private final Consumer<Runnable> measured;
  private final InstantSource clock;

  /** How long a job waits for others to end by themselves before it has them stopped. */
  private final Map<String, Long> patienceMs = new HashMap<>();

  private final Deadlines deadlines;
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Pending> pending = new HashMap<>();
  private final Map<String, Duration> lastWrite = new HashMap<>();
  private final FailureMemory failures = new FailureMemory();
  private final Map<String, Unabsorbed> unabsorbed = new HashMap<>();
  private final Set<String> teamsInFlight = new HashSet<>();

  /** Each job's record with all proofs taken in, and those proofs; kept up to date job by job. */
  private final Map<String, JobRecord> effective = new HashMap<>();

  private List<String> order = new ArrayList<>();
  private boolean orderChanged;

  /** Whether the last pass planned. */
  private boolean planned;

  private final Map<String, Proofs> proofs = new HashMap<>();
  private final Map<String, MachineState> states = new HashMap<>();
  private final Set<String> dirtyJobs = new HashSet<>();
  private final int maxProofConditions;
  private final Duration arrayGap;
  private final RecordLimit limit;
  private Duration lastPass = Duration.ZERO;
  private Duration lastPassTook = Duration.ZERO;
  private Duration nextPass;
  private Loop.Timer timer;
  private Snapshot snapshot = NOTHING;
  private Plan plan = NO_PLAN;

  public JobDuty(
      Loop loop,
      StoreClient store,
      World world,
      OwnLease lease,
      SlotDuty slots,
      PlatformSettings settings,
      Function<String, View> views,
      Function<String, MachineType> types,
      Supplier<List<MachineState>> booting,
      Consumer<Runnable> measured,
      InstantSource clock) {
    this.booting = booting;
    this.measured = measured;
    this.clock = clock;
    for (Objective aim : settings.objectives()) {
      if (aim.kind().equals("wait") && aim.jobClass() != null) {
        patienceMs.put(aim.jobClass(), Math.min(2000, aim.within().toMillis() * 2 / 5));
      }
    }
    this.deadlines = new Deadlines(settings.objectives());
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.slots = slots;
    this.settings = settings;
    this.views = views;
    this.types = types;
    settings.teams().forEach(team -> teams.put(team.name(), team));
    // Several arrays run at a time: each may use a part of the write limit only.
    this.arrayGap = Duration.ofMillis((long) (20_000 / settings.store().writeRps()));
    // Next to the machines chosen in a round, the slot, the record and the team.
    this.maxProofConditions = Math.max(1, settings.store().txnOps() * 2 - 3);
    this.limit = new RecordLimit(settings.store().valueBytes());
  }

  /** What the last pass could not place, over all jobs. */
  public Plan lastPlan() {
    return plan;
  }

  /** What the last pass looked at. */
  public Snapshot lastSnapshot() {
    return snapshot;
  }

  /** Asks for a pass soon; many causes make one pass. */
  public void wake() {
    wakeIn(gap(REST));
  }

  private Duration gap(int rest) {
    Duration gap = slots.plans() ? lastPassTook.multipliedBy(rest + 1) : LOOK_GAP;
    return (gap.compareTo(MIN_GAP) > 0 ? gap : MIN_GAP).minus(loop.now().minus(lastPass));
  }

  private void wakeIn(Duration delay) {
    Duration wait = delay.compareTo(Duration.ofMillis(2)) < 0 ? Duration.ofMillis(2) : delay;
    Duration at = loop.now().plus(wait);
    if (nextPass != null) {
      if (nextPass.compareTo(at) <= 0) {
        return;
      }
      timer.cancel();
    }
    nextPass = at;
    timer =
        loop.after(
            wait,
            () -> {
              nextPass = null;
              measured.accept(this::pass);
            });
  }

  private void pass() {
    lastPass = loop.now();
    if (!lease.valid()) {
      return;
    }
    settlePending();
    if (slots.plans() != planned) {
      planned = !planned;
      dirtyJobs.addAll(world.jobs().keySet());
    }
    dirtyJobs.forEach(this::refresh);
    dirtyJobs.clear();
    if (planned) {
      snapshot = snapshot();
      plan =
          Planner.plan(
              snapshot, limit.window(), limit.placedAtOnce(), settings.store().txnOps() * 2);
      write(candidates());
    } else {
      snapshot = NOTHING;
      plan = NO_PLAN;
    }
    absorbForeign();
    lastPassTook = loop.now().minus(lastPass);
  }

  /**
   * Records changed. Only what these changes concern is looked at again by the next pass: to go
   * through all jobs and machines each time is what a large cluster can't afford.
   */
  public void touched(World.Touched touched) {
    for (String id : touched.jobs()) {
      Job job = world.job(id);
      if (planned || job == null || proofs.containsKey(id)) {
        dirtyJobs.add(id); // Who doesn't plan only looks for proofs that nobody takes in.
      }
      if (job != null && job.record().attempt() == 0 && slots.holds(job.slot())) {
        wakeIn(gap(SHORT_REST));
      }
    }
    for (String machine : touched.machines()) {
      touchedMachine(machine);
    }
    if (touched.controllers()) {
      // Tokens, and whether a machine is open, depend on its owner's record.
      states.clear();
      if (planned) {
        dirtyJobs.addAll(world.jobs().keySet());
      }
    }
  }

  /** A machine's owner has told something new of it; {@code old} is what was known before, or null. */
  public void viewChanged(View old, View view) {
    String machine = view.report().machine();
    if (old == null
        || old.token() != view.token()
        || old.report().session() != view.report().session()) {
      touchedMachine(machine);
      wake();
      return;
    }
    states.remove(machine);
    Set<String> concerned = view.provesMoreThan(old);
    if (!concerned.isEmpty()) {
      dirtyJobs.addAll(concerned);
      wake();
    }
  }

  private void touchedMachine(String name) {
    states.remove(name);
    for (World.Placed placed : world.placedOn(name)) {
      dirtyJobs.add(placed.job().id());
    }
  }

  /** Drops own writes that the copy of the records shows by now. */
  private void settlePending() {
    pending.entrySet().removeIf(
        entry -> {
          Pending p = entry.getValue();
          boolean shown = p.revision > 0 && world.revision() >= p.revision;
          boolean over = shown || world.job(entry.getKey()) == null;
          if (over) {
            dirtyJobs.add(entry.getKey());
          }
          return over;
        });
  }

  /** Takes the newest record of a job, with all proofs that are here, as what it is planned from. */
  private void refresh(String id) {
    Job job = world.job(id);
    if (job == null) {
      orderChanged |= effective.remove(id) != null;
      proofs.remove(id);
      failures.forget(id);
      lastWrite.remove(id);
      return;
    }
    JobRecord record = current(job);
    Proofs found =
        Proofs.collect(
            id, record, views, world::machine, world::token, maxProofConditions);
    if (found.over().isEmpty()) {
      proofs.remove(id);
    } else {
      proofs.put(id, found);
      if (slots.holds(job.slot())) {
        remember(id, found);
      }
      record = record.absorbed(found.over());
    }
    orderChanged |= effective.put(id, record) == null;
  }

  /** The record as last written by this controller, while the copy doesn't show it yet. */
  private JobRecord current(Job job) {
    Pending p = pending.get(job.id());
    return p != null && job.version() == p.baseVersion ? p.record : job.record();
  }

  private Snapshot snapshot() {
    List<MachineState> machines = new ArrayList<>();
    Duration now = loop.now();
    failures.retain(world.machines().keySet());
    for (MachineRecord record : world.machines().values()) {
      boolean faulty = failures.faulty(record.name(), now);
      MachineState known = faulty ? null : states.get(record.name());
      if (known == null) {
        MachineType type = types.apply(record.type());
        if (type == null) {
          continue;
        }
        known = state(record, type, views.apply(record.name()), faulty);
        if (!faulty) {
          states.put(record.name(), known); // The suspicion ends by time alone.
        }
      }
      machines.add(known);
    }
    long wallMs = clock.millis();
    List<JobState> jobs = new ArrayList<>();
    for (Map.Entry<String, JobRecord> entry : inOrder()) {
      if (entry.getValue().spec() == null) {
        continue;
      }
      String id = entry.getKey();
      boolean waiting = !pending.containsKey(id) && !failures.pauses(id, now);
      JobRecord record = entry.getValue();
      boolean impatient =
          wallMs - record.submittedMs() >= patienceMs.getOrDefault(record.spec().jobClass(), 1000L);
      // Of a service nothing ever completes, so failures alone say too little of it.
      boolean suspected =
          failures.suspected(id)
              && record.done().isEmpty()
              && record.spec().shape() != Shape.SERVICE;
      jobs.add(
          new JobState(
              id,
              record,
              waiting,
              impatient,
              suspected,
              record.active() ? deadlines.missed(record, wallMs) : 0,
              failures.avoid(id, now)));
    }
    return new Snapshot(machines, booting.get(), jobs, teams);
  }

  /** By arrival: the planner sorts what is sorted already, which costs little. */
  private List<Map.Entry<String, JobRecord>> inOrder() {
    if (orderChanged) {
      order = new ArrayList<>(effective.keySet());
      order.sort(
          Comparator.comparingLong((String id) -> effective.get(id).submittedMs())
              .thenComparing(Comparator.naturalOrder()));
      orderChanged = false;
    }
    List<Map.Entry<String, JobRecord>> entries = new ArrayList<>(order.size());
    for (String id : order) {
      entries.add(Map.entry(id, effective.get(id)));
    }
    return entries;
  }

  private MachineState state(
      MachineRecord record, MachineType type, View view, boolean faulty) {
    Set<String> coming = new HashSet<>();
    double queued = 0;
    if (view != null) {
      for (TaskReport task : view.report().tasks()) {
        if (task.state() == TaskReport.State.FETCHING) {
          Job job = world.job(task.task().job());
          JobSpec spec = job == null ? null : job.record().spec();
          if (spec != null && !view.images().containsKey(spec.image()) && coming.add(spec.image())) {
            queued += spec.imageGb();
          }
        }
      }
    }
    long patience = settings.workers().report().toMillis() * 5 / 2 + 500;
    boolean open =
        view != null
            && !record.drain()
            && !faulty
            && world.alive(record.owner())
            && view.token() == world.token(record)
            && view.report().token() == world.token(record)
            && view.report().noticeS() == null
            && view.silentMs() < patience;
    return new MachineState(
        record.name(),
        type,
        record.zone(),
        record.spot(),
        view == null ? 0 : view.report().session(),
        open,
        record.drain(),
        view == null ? Set.of() : view.images().keySet(),
        coming,
        queued,
        view != null && view.fetchGbPerS() > 0 ? view.fetchGbPerS() : Math.max(0.01, type.fetchGbPerS()),
        view != null && view.slowness() > 0 ? view.slowness() : 1);
  }

  private void remember(String job, Proofs found) {
    Duration now = loop.now();
    for (JobRecord.Over over : found.over()) {
      if (over.done()) {
        failures.succeeded(job, over.machine());
      }
    }
    boolean before = failures.suspected(job);
    for (Proofs.Failure f : found.failures()) {
      if (failures.failed(job, f.task(), f.attempt(), f.machine(), f.cause(), now)) {
        log.debug(
            "failed task={}/{} machine={} cause={}", job, f.task(), f.machine(), f.cause());
      }
    }
    if (!before && failures.suspected(job)) {
      log.warn("suspected job={}: it fails on every machine and is tried seldom from now on", job);
    }
  }

  private List<Candidate> candidates() {
    List<Candidate> candidates = new ArrayList<>();
    for (Map.Entry<String, JobRecord> entry : effective.entrySet()) {
      Job job = world.job(entry.getKey());
      if (!slots.holds(job.slot()) || pending.containsKey(entry.getKey())) {
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
        candidates.add(
            new Candidate(job, next, proofs.get(entry.getKey()), places, ends));
      }
    }
    candidates.sort(
        // A swarm of small jobs that end must not hold up the replicas that users wait for.
        Comparator.comparing(
                (Candidate c) ->
                    !(c.places && c.job.record().spec().priority() == Priority.PRODUCTION))
            .thenComparing(c -> !c.ends)
            .thenComparing(c -> c.job.record().spec().priority())
            .thenComparing(c -> !c.places)
            .thenComparingLong(c -> c.job.record().submittedMs()));
    return candidates;
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

  private void write(List<Candidate> candidates) {
    Duration now = loop.now();
    Duration again = null;
    for (Candidate c : candidates) {
      JobSpec spec = c.job.record().spec();
      Duration last = lastWrite.get(c.job.id());
      if (spec.shape() == Shape.ARRAY && !c.ends && last != null) {
        Duration due = last.plus(c.places ? arrayGap : arrayGap.multipliedBy(2)).minus(now);
        if (!due.isNegative()) {
          again = again == null || due.compareTo(again) < 0 ? due : again;
          continue;
        }
      }
      Team team = teams.get(spec.team());
      boolean limited =
          c.places
              && team != null
              && ((team.cpusMax() > 0 && spec.cpus() > 0)
                  || (team.gpusMax() > 0 && spec.gpus() > 0));
      if (limited && teamsInFlight.contains(spec.team())) {
        again = MIN_GAP;
        continue;
      }
      ObjectNode value = c.next.write();
      if (!store.reserve(limited ? 2 : 1)) {
        again = MIN_GAP;
        break;
      }
      commit(c, value, limited);
    }
    if (again != null) {
      Duration gap = gap(REST);
      wakeIn(again.compareTo(gap) > 0 ? again : gap);
    }
  }

  /**
   * The write holds only if the slot is still ours, the record is as it was planned on, every machine
   * chosen still has the owner and token that were seen, and, for teams with a limit, if nobody else
   * has placed anything for the team since: its record is rewritten with every placement.
   */
  private void commit(Candidate c, ObjectNode value, boolean limited) {
    JobSpec spec = c.job.record().spec();
    String id = c.job.id();
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition(World.slotKey(c.job.slot()), world.slot(c.job.slot()).version()));
    conditions.add(new Condition(World.jobKey(id), c.job.version()));
    Set<String> named = new HashSet<>();
    if (c.places) {
      for (JobRecord.Assignment part : plan.placements().get(id)) {
        if (named.add(World.machineKey(part.machine()))) {
          conditions.add(
              new Condition(
                  World.machineKey(part.machine()), world.machine(part.machine()).version()));
        }
      }
    }
    addProofConditions(c.proofs, named, conditions);
    List<Write> writes = new ArrayList<>();
    writes.add(new Write(World.jobKey(id), value, 0));
    if (limited) {
      conditions.add(new Condition(World.teamKey(spec.team()), world.teamVersion(spec.team())));
      writes.add(
          new Write(
              World.teamKey(spec.team()),
              Cbor.map().put("job", id),
              0));
      teamsInFlight.add(spec.team());
    }
    if (conditions.size() > settings.store().txnOps() * 4) {
      log.error("job={} needs {} conditions, more than allowed", id, conditions.size());
      return;
    }
    lastWrite.put(id, loop.now());
    pending.put(id, new Pending(c.next, c.job.version(), 0));
    dirtyJobs.add(id);
    for (Plan.Stop stop : plan.stops().getOrDefault(id, List.of())) {
      log.info(
          "preempt job={} tasks={} machine={} for={}",
          id,
          stop.tasks(),
          stop.machine(),
          stop.forJob());
    }
    if (c.places && log.isInfoEnabled()) {
      log.info("place job={} attempt={} {}", id, c.next.attempt(), plan.placements().get(id).stream()
          .map(a -> a.machine() + "=" + a.tasks())
          .toList());
    }
    store.commitReserved(
        conditions,
        writes,
        (result, revision) -> {
          if (result == Result.DONE) {
            pending.computeIfPresent(
                id, (k, p) -> new Pending(p.record, p.baseVersion, revision));
            if (c.ends) {
              log.info("over job={} phase={}", id, c.next.phase());
            }
            loop.after(
                limited ? Duration.ofMillis(60) : Duration.ZERO,
                () -> teamsInFlight.remove(spec.team()));
          } else {
            log.debug("write of job={} result={}", id, result);
            teamsInFlight.remove(spec.team());
            // After silence the write may still come; a pause lets the copy show it first.
            loop.after(
                result == Result.UNKNOWN ? Duration.ofMillis(500) : Duration.ofMillis(30),
                () -> {
                  pending.remove(id);
                  dirtyJobs.add(id);
                  wake();
                });
            return;
          }
          wake();
        });
  }

  private static void addProofConditions(
      Proofs proofs, Set<String> named, List<Condition> conditions) {
    if (proofs != null) {
      for (Condition condition : proofs.conditions()) {
        if (named.add(condition.key())) {
          conditions.add(condition);
        }
      }
    }
  }

  /**
   * Where the holder of a job's slot does not take in proofs that have been here for a while, for
   * instance because it can't be reached, they are written without it: the record's own version is
   * enough for that, and users learn that their job is done.
   */
  private void absorbForeign() {
    Duration now = loop.now();
    unabsorbed.keySet().retainAll(proofs.keySet());
    for (Map.Entry<String, Proofs> entry : proofs.entrySet()) {
      String id = entry.getKey();
      Job job = world.job(id);
      if (slots.holds(job.slot()) || pending.containsKey(id)) {
        unabsorbed.remove(id);
        continue;
      }
      Unabsorbed known = unabsorbed.get(id);
      if (known == null || known.version != job.version()) {
        unabsorbed.put(id, new Unabsorbed(job.version(), now));
        continue;
      }
      if (now.minus(known.since).compareTo(FOREIGN_AFTER) < 0 || !store.reserve(1)) {
        continue;
      }
      unabsorbed.remove(id);
      List<Condition> conditions = new ArrayList<>();
      conditions.add(new Condition(World.jobKey(id), job.version()));
      addProofConditions(entry.getValue(), new HashSet<>(), conditions);
      JobRecord next = effective.get(id);
      log.info("taking in proofs for job={} of another's slot {}", id, job.slot());
      pending.put(id, new Pending(next, job.version(), 0));
      dirtyJobs.add(id);
      store.commitReserved(
          conditions,
          List.of(new Write(World.jobKey(id), next.write(), 0)),
          (result, revision) ->
              loop.after(
                  Duration.ofMillis(300),
                  () -> {
                    pending.remove(id);
                    dirtyJobs.add(id);
                    wake();
                  }));
    }
    if (!unabsorbed.isEmpty()) {
      loop.after(Duration.ofSeconds(1), this::wake);
    }
  }
}
