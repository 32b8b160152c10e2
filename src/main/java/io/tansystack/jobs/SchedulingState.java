package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ClusterStateDelta;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.PlacementIndex;
import io.tansystack.cluster.SlotManager;
import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.recovery.FleetCoverage;
import io.tansystack.schedule.ClusterCapacity;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.schedule.Snapshot;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.wire.MachineType;
import io.tansystack.workers.MachineView;
import io.tansystack.workers.TerminationProofs;
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
final class SchedulingState {
  private static final Logger log = LoggerFactory.getLogger(SchedulingState.class);

  private record Pending(JobRecord record, long baseVersion, long revision) {}

  private final EventLoop loop;
  private final ClusterState world;
  private final SlotManager slots;
  private final Function<String, MachineView> views;
  private final InstantSource clock;
  private final FleetCoverage coverage;

  private final JobStateBuilder jobStates;
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Pending> pending = new HashMap<>();
  private final FailureTracker failures = new FailureTracker();
  private final Map<String, JobRecord> effective = new HashMap<>();
  private final List<String> order = new ArrayList<>();

  /** Jobs that are to be sorted in. */
  private final Set<String> arrived = new HashSet<>();

  private boolean orderChanged;
  private final Map<String, TerminationProofs> proofs = new HashMap<>();
  private final ClusterCapacity rooms = new ClusterCapacity();
  private final MachineStateBuilder machineStates;

  /** Machines whose rooms are to be derived again, by the next pass. */
  private final Set<String> dirtyMachines = new HashSet<>();

  private Set<String> faultyBefore = Set.of();
  private final ReclaimNotices recalled;
  private boolean typesMissing;
  private boolean plans;

  /** Jobs of which nothing is to be placed, as they stay until something touches them. */
  private final Map<String, JobState> settled = new HashMap<>();

  private final Set<String> dirtyJobs = new HashSet<>();
  private final int maxProofConditions;

  SchedulingState(
      EventLoop loop,
      ClusterState world,
      SlotManager slots,
      PlatformSettings settings,
      Function<String, MachineView> views,
      Function<String, MachineType> types,
      InstantSource clock,
      FleetCoverage coverage) {
    this.loop = loop;
    this.world = world;
    this.slots = slots;
    this.views = views;
    this.clock = clock;
    this.coverage = coverage;
    this.recalled = new ReclaimNotices(world);
    this.machineStates =
        new MachineStateBuilder(world, views, types, settings.workers().report());
    this.jobStates = new JobStateBuilder(settings.objectives(), failures, coverage);
    settings.teams().forEach(team -> teams.put(team.name(), team));
    // Next to the machines chosen in a round, the slot, the record, that it is not over, and the team.
    this.maxProofConditions = Math.max(1, settings.store().txnOps() * 2 - 4);
  }

  /**
   * Records changed. Only what these changes concern is looked at again by the next pass: to go
   * through all jobs and machines each time is what a large cluster can't afford.
   */
  void touched(ClusterStateDelta touched, boolean planned) {
    for (String id : touched.jobs()) {
      Job job = world.job(id);
      if (planned || job == null || proofs.containsKey(id)) {
        dirtyJobs.add(id); // Who doesn't plan only looks for proofs that nobody takes in.
      }
    }
    for (String machine : touched.machines()) {
      touchedMachine(machine);
    }
    if (touched.controllersChanged() && planned) {
      markAll(); // Tokens, and whether a machine is open, depend on its owner's record.
    }
  }

  /**
   * A machine's owner has told something new of it; {@code old} is what was known before, or null.
   * Whether that is a reason for a pass.
   */
  boolean viewChanged(MachineView old, MachineView view) {
    String machine = view.report().machine();
    recalled.observe(view);
    if (old == null
        || old.token() != view.token()
        || old.report().session() != view.report().session()) {
      touchedMachine(machine);
      return true;
    }
    markMachine(machine);
    Set<String> concerned = view.jobsWithNewProofs(old);
    dirtyJobs.addAll(concerned);
    return !concerned.isEmpty();
  }

  private void touchedMachine(String name) {
    markMachine(name);
    if (world.machine(name) == null) {
      recalled.forget(name);
    }
    for (PlacementIndex.IndexedPlacement placed : world.placedOn(name)) {
      dirtyJobs.add(placed.job().id());
    }
  }

  /** All jobs and machines are to be looked at again. */
  void markAll() {
    dirtyJobs.addAll(world.jobs().keySet());
    markMachines();
  }

  /** This controller has come to plan, or ceased to: nothing that was kept counts any more. */
  void startAnew(boolean plansNow) {
    plans = plansNow;
    rooms.clear();
    settled.clear();
    dirtyMachines.clear();
    effective.values().forEach(record -> keepRooms(null, record));
    markAll();
  }

  /** Who doesn't plan keeps no rooms. */
  private void keepRooms(JobRecord before, JobRecord after) {
    if (plans) {
      rooms.updateJob(before, after);
    }
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
  TerminationProofs proofs(String id) {
    return proofs.get(id);
  }

  /** The jobs of which there are proofs that their records don't show. */
  Set<String> proven() {
    return Collections.unmodifiableSet(proofs.keySet());
  }

  /** Jobs with something on a machine that the cloud is about to take away. */
  Set<String> recalled() {
    return recalled.jobs();
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
    settled.remove(job.id());
    dirtyJobs.add(job.id());
  }

  /** A replica of the job is being moved off the machine. */
  void movedOff(String id, String machine) {
    failures.movedOff(id, machine, loop.now());
    settled.remove(id);
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
    settled.remove(id);
    if (job == null) {
      JobRecord last = effective.remove(id);
      orderChanged |= last != null;
      keepRooms(last, null);
      proofs.remove(id);
      failures.forget(id);
      return;
    }
    JobRecord record = current(job);
    TerminationProofs found =
        TerminationProofs.collect(
            id, record, views, world::machine, world::token, maxProofConditions);
    if (found.ended().isEmpty()) {
      proofs.remove(id);
    } else {
      proofs.put(id, found);
      if (slots.holds(job.slot())) {
        remember(id, found);
      }
      record = record.absorbed(found.ended());
    }
    JobRecord before = effective.put(id, record);
    if (before == null || (before.spec() == null) != (record.spec() == null)) {
      orderChanged = true;
      arrived.add(id);
    }
    keepRooms(before, record);
  }

  /** The record as last written by this controller, while the copy doesn't show it yet. */
  private JobRecord current(Job job) {
    Pending p = pending.get(job.id());
    return p != null && job.version() == p.baseVersion ? p.record : job.record();
  }

  /** What a pass looks at; {@code booting} are machines about to come. */
  Snapshot snapshot(List<MachineState> booting) {
    Duration now = loop.now();
    failures.retain(world.machines().keySet());
    coverage.recount(world.machines().values(), name -> views.apply(name) != null, now);
    refreshMachines(now);
    long wallMs = clock.millis();
    List<JobState> jobs = new ArrayList<>();
    for (String id : inOrder()) {
      JobState state = settled.get(id);
      if (state == null) {
        state = jobStates.of(id, effective.get(id), pending.containsKey(id), now, wallMs);
        if (!state.hasUnplacedTasks() && state.schedulable() && !failures.knows(id)) {
          settled.put(id, state); // Nothing of it is to be placed, so time changes nothing.
        }
      }
      jobs.add(state);
    }
    return new Snapshot(rooms.machines(), booting, jobs, teams, coverage.coversAll());
  }

  /** The rooms that hold the records which the last snapshot shows. */
  ClusterCapacity rooms() {
    return rooms;
  }

  /** Derives what changed of the machines; a suspicion ends by time alone. */
  private void refreshMachines(Duration now) {
    Set<String> faulty = failures.faulty(now);
    dirtyMachines.addAll(faulty);
    dirtyMachines.addAll(faultyBefore);
    faultyBefore = faulty;
    for (String name : dirtyMachines) {
      MachineRecord record = world.machine(name);
      MachineState state = record == null ? null : machineStates.of(record, faulty.contains(name));
      if (state == null) {
        rooms.removeMachine(name);
        typesMissing |= record != null;
      } else {
        rooms.updateMachine(state);
      }
    }
    dirtyMachines.clear();
    if (typesMissing) {
      typesMissing = false;
      markMachines(); // Its type may be known by the next pass.
    }
  }

  private void markMachines() {
    world.machines().keySet().forEach(this::markMachine);
    rooms.machineNames().forEach(this::markMachine);
  }

  private void markMachine(String name) {
    if (plans) {
      dirtyMachines.add(name);
    }
  }

  /** By arrival: the planner sorts what is sorted already, which costs little. */
  private List<String> inOrder() {
    if (orderChanged) {
      // What was sorted stays so; only what has come is sorted in.
      order.removeIf(id -> arrived.contains(id) || !isPlannedFor(id));
      arrived.stream().filter(this::isPlannedFor).forEach(order::add);
      arrived.clear();
      order.sort(
          Comparator.comparingLong((String id) -> effective.get(id).submittedMs())
              .thenComparing(Comparator.naturalOrder()));
      orderChanged = false;
    }
    return order;
  }

  /** Whether a pass looks at the job: of one that is over only the outcome is left. */
  private boolean isPlannedFor(String id) {
    JobRecord record = effective.get(id);
    return record != null && record.spec() != null;
  }

  private void remember(String job, TerminationProofs found) {
    Duration now = loop.now();
    for (JobRecord.EndedAttempt over : found.ended()) {
      if (over.done()) {
        failures.succeeded(job, over.machine());
      }
    }
    boolean before = failures.suspected(job);
    for (TerminationProofs.Failure f : found.failures()) {
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
