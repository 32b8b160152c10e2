package io.tansystack.jobs;

import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.PlacementIndex;
import io.tansystack.cluster.SlotDuty;
import io.tansystack.cluster.Touched;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World;
import io.tansystack.http.Loop;
import io.tansystack.records.JobRecord;
import io.tansystack.recovery.Coverage;
import io.tansystack.schedule.Deadlines;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.schedule.Snapshot;
import io.tansystack.settings.PlatformSettings.Objective;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Shape;
import io.tansystack.wire.TaskReport;
import io.tansystack.workers.Proofs;
import io.tansystack.workers.View;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All jobs as they are planned from: each record with all proofs taken in and own writes that the copy
 * does not show yet. Kept up to date job by job and machine by machine, as changes name them.
 */
final class JobBook {
  private static final Logger log = LoggerFactory.getLogger(JobBook.class);

  /** Users expect the largest jobs to begin within four minutes. */
  private static final Duration DUE = Duration.ofSeconds(150);

  private record Pending(JobRecord record, long baseVersion, long revision) {}

  private final Loop loop;
  private final World world;
  private final SlotDuty slots;
  private final PlatformSettings settings;
  private final Function<String, View> views;
  private final Function<String, MachineType> types;
  private final InstantSource clock;
  private final Coverage coverage;

  /** How long a job waits for others to end by themselves before it has them stopped. */
  private final Map<String, Long> patienceMs = new HashMap<>();

  private final Deadlines deadlines;
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Pending> pending = new HashMap<>();
  private final FailureMemory failures = new FailureMemory();
  private final Map<String, JobRecord> effective = new HashMap<>();
  private List<String> order = new ArrayList<>();
  private boolean orderChanged;
  private final Map<String, Proofs> proofs = new HashMap<>();
  private final Map<String, MachineState> states = new HashMap<>();
  private final Set<String> dirtyJobs = new HashSet<>();
  private final int maxProofConditions;

  JobBook(
      Loop loop,
      World world,
      SlotDuty slots,
      PlatformSettings settings,
      Function<String, View> views,
      Function<String, MachineType> types,
      InstantSource clock,
      Coverage coverage) {
    this.loop = loop;
    this.world = world;
    this.slots = slots;
    this.settings = settings;
    this.views = views;
    this.types = types;
    this.clock = clock;
    this.coverage = coverage;
    for (Objective aim : settings.objectives()) {
      if (aim.kind().equals("wait") && aim.jobClass() != null) {
        patienceMs.put(aim.jobClass(), Math.min(2000, aim.within().toMillis() * 2 / 5));
      }
    }
    this.deadlines = new Deadlines(settings.objectives());
    settings.teams().forEach(team -> teams.put(team.name(), team));
    // Next to the machines chosen in a round, the slot, the record, that it is not over, and the team.
    this.maxProofConditions = Math.max(1, settings.store().txnOps() * 2 - 4);
  }

  /**
   * Records changed. Only what these changes concern is looked at again by the next pass: to go
   * through all jobs and machines each time is what a large cluster can't afford.
   */
  void touched(Touched touched, boolean planned) {
    for (String id : touched.jobs()) {
      Job job = world.job(id);
      if (planned || job == null || proofs.containsKey(id)) {
        dirtyJobs.add(id); // Who doesn't plan only looks for proofs that nobody takes in.
      }
    }
    for (String machine : touched.machines()) {
      touchedMachine(machine);
    }
    if (touched.controllers()) {
      // Tokens, and whether a machine is open, depend on its owner's record.
      states.clear();
      if (planned) {
        markAll();
      }
    }
  }

  /**
   * A machine's owner has told something new of it; {@code old} is what was known before, or null.
   * Whether that is a reason for a pass.
   */
  boolean viewChanged(View old, View view) {
    String machine = view.report().machine();
    if (old == null
        || old.token() != view.token()
        || old.report().session() != view.report().session()) {
      touchedMachine(machine);
      return true;
    }
    states.remove(machine);
    Set<String> concerned = view.provesMoreThan(old);
    dirtyJobs.addAll(concerned);
    return !concerned.isEmpty();
  }

  private void touchedMachine(String name) {
    states.remove(name);
    for (PlacementIndex.Placed placed : world.placedOn(name)) {
      dirtyJobs.add(placed.job().id());
    }
  }

  /** All jobs are to be looked at again: this controller has come to plan, or ceased to. */
  void markAll() {
    dirtyJobs.addAll(world.jobs().keySet());
  }

  /** Looks again at what was marked, before a pass. */
  void refresh() {
    settlePending();
    dirtyJobs.forEach(this::refresh);
    dirtyJobs.clear();
  }

  /** Each job's record with all proofs taken in. */
  Map<String, JobRecord> effective() {
    return Collections.unmodifiableMap(effective);
  }

  /** The proofs that a job's effective record has taken in; null for none. */
  Proofs proofs(String id) {
    return proofs.get(id);
  }

  /** The jobs of which there are proofs that their records don't show. */
  Set<String> proven() {
    return Collections.unmodifiableSet(proofs.keySet());
  }

  Team team(String name) {
    return teams.get(name);
  }

  /** Whether a write of the job is under way. */
  boolean isPending(String id) {
    return pending.containsKey(id);
  }

  /** A write of the job is under way: until the copy shows it, the job counts as it was written. */
  void writing(Job job, JobRecord next) {
    pending.put(job.id(), new Pending(next, job.version(), 0));
    dirtyJobs.add(job.id());
  }

  /** A replica of the job is being moved off the machine. */
  void movedOff(String id, String machine) {
    failures.movedOff(id, machine, loop.now());
  }

  /** The write has come true as of a revision. */
  void written(String id, long revision) {
    pending.computeIfPresent(id, (k, p) -> new Pending(p.record, p.baseVersion, revision));
  }

  /** The write has come to nothing, or nobody knows: the job counts as the copy shows it. */
  void dropped(String id) {
    pending.remove(id);
    dirtyJobs.add(id);
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

  /** What a pass looks at; {@code booting} are machines about to come. */
  Snapshot snapshot(List<MachineState> booting) {
    List<MachineState> machines = new ArrayList<>();
    Duration now = loop.now();
    failures.retain(world.machines().keySet());
    coverage.count(world.machines().values(), name -> views.apply(name) != null, now);
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
          wallMs - record.submittedMs() >= patienceMs.getOrDefault(record.spec().jobClass(), 1000L)
              && coverage.covers(record.spec());
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
              failures.avoid(id, now),
              record.untouched() && wallMs - record.submittedMs() >= DUE.toMillis()));
    }
    return new Snapshot(machines, booting, jobs, teams, coverage.coversAll());
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
            && view.report().token() > 0 // Else a late copy of a report may be all there is of it.
            && view.report().noticeS() == null
            && !view.unhearing()
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
}
