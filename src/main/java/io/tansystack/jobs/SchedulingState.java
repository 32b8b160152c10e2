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
 * The jobs and machines that a pass plans from. Each job's record has all known proofs applied and
 * includes this controller's own writes that the local cache does not show yet. After a change,
 * only the affected jobs and machines are derived again.
 */
final class SchedulingState {
  private static final Logger log = LoggerFactory.getLogger(SchedulingState.class);

  /** A write that replaces {@code baseVersion} of a record; revision is 0 until it is committed. */
  private record PendingWrite(JobRecord record, long baseVersion, long revision) {}

  private final EventLoop loop;
  private final ClusterState clusterState;
  private final SlotManager slotManager;
  private final Function<String, MachineView> views;
  private final InstantSource clock;
  private final FleetCoverage coverage;

  private final JobStateBuilder jobStates;
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, PendingWrite> pendingWrites = new HashMap<>();
  private final FailureTracker failures = new FailureTracker();
  private final Map<String, JobRecord> effective = new HashMap<>();
  private final List<String> sortedJobs = new ArrayList<>();

  /** Jobs that are not yet inserted into {@link #sortedJobs}. */
  private final Set<String> newJobs = new HashSet<>();

  private boolean orderChanged;
  private final Map<String, TerminationProofs> proofs = new HashMap<>();
  private final ClusterCapacity clusterCapacity = new ClusterCapacity();
  private final MachineStateBuilder machineStates;

  /** Machines whose capacity the next pass derives again. */
  private final Set<String> dirtyMachines = new HashSet<>();

  private Set<String> previouslyFaulty = Set.of();
  private final ReclaimNotices reclaimNotices;
  private boolean hasUnknownTypes;
  private boolean planning;

  /** States of jobs that have nothing to place; they stay the same until the job is changed. */
  private final Map<String, JobState> cachedStates = new HashMap<>();

  private final Set<String> dirtyJobs = new HashSet<>();
  private final int maxProofConditions;

  SchedulingState(
      EventLoop loop,
      ClusterState clusterState,
      SlotManager slotManager,
      PlatformSettings settings,
      Function<String, MachineView> views,
      Function<String, MachineType> machineTypes,
      InstantSource clock,
      FleetCoverage coverage) {
    this.loop = loop;
    this.clusterState = clusterState;
    this.slotManager = slotManager;
    this.views = views;
    this.clock = clock;
    this.coverage = coverage;
    this.reclaimNotices = new ReclaimNotices(clusterState);
    this.machineStates =
        new MachineStateBuilder(
            clusterState, views, machineTypes, settings.workerTimings().reportInterval());
    this.jobStates = new JobStateBuilder(settings.objectives(), failures, coverage);
    settings.teams().forEach(team -> teams.put(team.name(), team));
    // Besides the machines chosen in a round, a transaction has conditions on the slot, the job's
    // record, the absence of an archived outcome, and the team's record.
    this.maxProofConditions = Math.max(1, settings.stateServiceLimits().maxTxnOps() * 2 - 4);
  }

  /**
   * Called when records have changed. The next pass evaluates only the affected jobs and machines
   * again, because going through all of them each time takes too long in a large cluster.
   */
  void onClusterStateChange(ClusterStateDelta delta, boolean nowPlanning) {
    for (String id : delta.jobs()) {
      Job job = clusterState.job(id);
      if (nowPlanning || job == null || proofs.containsKey(id)) {
        // A controller that doesn't plan only looks for proofs that a slot's holder does not apply.
        dirtyJobs.add(id);
      }
    }
    for (String machine : delta.machines()) {
      onMachineChange(machine);
    }
    if (delta.controllersChanged() && nowPlanning) {
      markAllDirty(); // Tokens, and which machines accept tasks, depend on the owners' records.
    }
  }

  /**
   * Called when a machine's owner has published a new view; {@code old} is the last one or null.
   * Returns whether a pass is needed.
   */
  boolean onViewChange(MachineView old, MachineView view) {
    String machine = view.report().machine();
    reclaimNotices.observe(view);
    if (old == null
        || old.token() != view.token()
        || old.report().session() != view.report().session()) {
      onMachineChange(machine);
      return true;
    }
    markMachineDirty(machine);
    Set<String> affected = view.jobsWithNewProofs(old);
    dirtyJobs.addAll(affected);
    return !affected.isEmpty();
  }

  private void onMachineChange(String name) {
    markMachineDirty(name);
    if (clusterState.machine(name) == null) {
      reclaimNotices.forget(name);
    }
    for (PlacementIndex.IndexedPlacement placement : clusterState.placedOn(name)) {
      dirtyJobs.add(placement.job().id());
    }
  }

  /** Makes the next pass evaluate all jobs and machines again. */
  void markAllDirty() {
    dirtyJobs.addAll(clusterState.jobs().keySet());
    markAllMachinesDirty();
  }

  /** Discards all derived states, because this controller has started or stopped planning. */
  void reset(boolean nowPlanning) {
    planning = nowPlanning;
    clusterCapacity.clear();
    cachedStates.clear();
    dirtyMachines.clear();
    effective.values().forEach(record -> updateCapacity(null, record));
    markAllDirty();
  }

  /** Updates the free capacity; a controller that doesn't plan does not track it. */
  private void updateCapacity(JobRecord before, JobRecord after) {
    if (planning) {
      clusterCapacity.updateJob(before, after);
    }
  }

  /** Evaluates the jobs that are marked as dirty again; called before each pass. */
  void refresh() {
    removeVisibleWrites();
    dirtyJobs.forEach(this::refresh);
    dirtyJobs.clear();
  }

  /** Returns each job's record with all known proofs applied. */
  Map<String, JobRecord> effective() {
    return Collections.unmodifiableMap(effective);
  }

  /** Returns the proofs that a job's effective record has applied; null for none. */
  TerminationProofs proofs(String id) {
    return proofs.get(id);
  }

  /** Returns the jobs with proofs that their stored records have not applied. */
  Set<String> jobsWithProofs() {
    return Collections.unmodifiableSet(proofs.keySet());
  }

  /** Returns the jobs with placements on machines that the cloud is about to take away. */
  Set<String> jobsOnReclaimedMachines() {
    return reclaimNotices.affectedJobs();
  }

  /** Returns the settings of a team; null if it is unknown. */
  Team team(String name) {
    return teams.get(name);
  }

  /** Whether a write of the job is in flight or not yet shown by the cache. */
  boolean isPending(String id) {
    return pendingWrites.containsKey(id);
  }

  /** Called when a write is sent: until the cache shows it, the job counts as it was written. */
  void writeStarted(Job job, JobRecord next) {
    pendingWrites.put(job.id(), new PendingWrite(next, job.version(), 0));
    cachedStates.remove(job.id());
    dirtyJobs.add(job.id());
  }

  /** Called when a replica of the job is migrated off the machine. */
  void replicaMigrated(String id, String machine) {
    failures.recordMigration(id, machine, loop.now());
    cachedStates.remove(id);
  }

  /** Called when the write was committed at a revision. */
  void writeCommitted(String id, long revision) {
    pendingWrites.computeIfPresent(
        id, (k, p) -> new PendingWrite(p.record, p.baseVersion, revision));
  }

  /** Forgets a write that failed or is of unknown outcome: the job counts as the cache shows it. */
  void discardWrite(String id) {
    pendingWrites.remove(id);
    dirtyJobs.add(id);
  }

  /** Discards pending writes that the cache shows by now or whose job is gone. */
  private void removeVisibleWrites() {
    pendingWrites.entrySet().removeIf(
        entry -> {
          PendingWrite p = entry.getValue();
          boolean visible = p.revision > 0 && clusterState.revision() >= p.revision;
          boolean obsolete = visible || clusterState.job(entry.getKey()) == null;
          if (obsolete) {
            dirtyJobs.add(entry.getKey());
          }
          return obsolete;
        });
  }

  /** Derives the effective record of a job from its newest record and all known proofs. */
  private void refresh(String id) {
    Job job = clusterState.job(id);
    cachedStates.remove(id);
    if (job == null) {
      JobRecord last = effective.remove(id);
      orderChanged |= last != null;
      updateCapacity(last, null);
      proofs.remove(id);
      failures.forget(id);
      return;
    }
    JobRecord record = currentRecord(job);
    TerminationProofs found =
        TerminationProofs.collect(
            id, record, views, clusterState::machine, clusterState::token, maxProofConditions);
    if (found.ended().isEmpty()) {
      proofs.remove(id);
    } else {
      proofs.put(id, found);
      if (slotManager.holds(job.slot())) {
        recordOutcomes(id, found);
      }
      record = record.withProofsApplied(found.ended());
    }
    JobRecord before = effective.put(id, record);
    if (before == null || (before.spec() == null) != (record.spec() == null)) {
      orderChanged = true;
      newJobs.add(id);
    }
    updateCapacity(before, record);
  }

  /** Returns the record as this controller has written it, or as the cache shows it if newer. */
  private JobRecord currentRecord(Job job) {
    PendingWrite p = pendingWrites.get(job.id());
    return p != null && job.version() == p.baseVersion ? p.record : job.record();
  }

  /** Builds the input of a pass; {@code bootingMachines} are rented and not usable yet. */
  Snapshot snapshot(List<MachineState> bootingMachines) {
    Duration now = loop.now();
    failures.retainMachines(clusterState.machines().keySet());
    coverage.recount(clusterState.machines().values(), name -> views.apply(name) != null, now);
    refreshMachines(now);
    long wallMs = clock.millis();
    List<JobState> jobs = new ArrayList<>();
    for (String id : jobsByArrival()) {
      JobState state = cachedStates.get(id);
      if (state == null) {
        state = jobStates.build(id, effective.get(id), pendingWrites.containsKey(id), now, wallMs);
        if (!state.hasUnplacedTasks() && state.schedulable() && !failures.isTracked(id)) {
          cachedStates.put(id, state); // It has nothing to place, so time does not change it.
        }
      }
      jobs.add(state);
    }
    return new Snapshot(
        clusterCapacity.machines(), bootingMachines, jobs, teams, coverage.coversAll());
  }

  /** Returns the capacity of the machines with the placements that the last snapshot shows. */
  ClusterCapacity clusterCapacity() {
    return clusterCapacity;
  }

  /** Derives changed machines and those that are or were faulty, as faults end by time alone. */
  private void refreshMachines(Duration now) {
    Set<String> faulty = failures.faulty(now);
    dirtyMachines.addAll(faulty);
    dirtyMachines.addAll(previouslyFaulty);
    previouslyFaulty = faulty;
    for (String name : dirtyMachines) {
      MachineRecord record = clusterState.machine(name);
      MachineState state =
          record == null ? null : machineStates.build(record, faulty.contains(name));
      if (state == null) {
        clusterCapacity.removeMachine(name);
        hasUnknownTypes |= record != null;
      } else {
        clusterCapacity.updateMachine(state);
      }
    }
    dirtyMachines.clear();
    if (hasUnknownTypes) {
      hasUnknownTypes = false;
      markAllMachinesDirty(); // The missing types may be known by the next pass.
    }
  }

  private void markAllMachinesDirty() {
    clusterState.machines().keySet().forEach(this::markMachineDirty);
    clusterCapacity.machineNames().forEach(this::markMachineDirty);
  }

  private void markMachineDirty(String name) {
    if (planning) {
      dirtyMachines.add(name);
    }
  }

  /** Sorted by submission time, so that the planner's own sorting costs little. */
  private List<String> jobsByArrival() {
    if (orderChanged) {
      // The other jobs stay in order, so that only new ones have to be moved into place.
      sortedJobs.removeIf(id -> newJobs.contains(id) || !isPlannedFor(id));
      newJobs.stream().filter(this::isPlannedFor).forEach(sortedJobs::add);
      newJobs.clear();
      sortedJobs.sort(
          Comparator.comparingLong((String id) -> effective.get(id).submittedMs())
              .thenComparing(Comparator.naturalOrder()));
      orderChanged = false;
    }
    return sortedJobs;
  }

  /** Whether passes plan for the job: of a finished job only the outcome is left. */
  private boolean isPlannedFor(String id) {
    JobRecord record = effective.get(id);
    return record != null && record.spec() != null;
  }

  /** Records successes and failures, which show whether jobs or machines are faulty. */
  private void recordOutcomes(String job, TerminationProofs found) {
    Duration now = loop.now();
    for (JobRecord.EndedAttempt ended : found.ended()) {
      if (ended.done()) {
        failures.recordSuccess(job, ended.machine());
      }
    }
    boolean wasSuspected = failures.isSuspected(job);
    for (TerminationProofs.Failure f : found.failures()) {
      if (failures.recordFailure(job, f.task(), f.attempt(), f.machine(), f.cause(), now)) {
        log.debug(
            "failed task={}/{} machine={} cause={}", job, f.task(), f.machine(), f.cause());
      }
    }
    if (!wasSuspected && failures.isSuspected(job)) {
      log.warn("suspected job={}: it fails on several machines and is retried less often", job);
    }
  }
}
