package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ClusterStateDelta;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.SlotManager;
import io.tansystack.http.EventLoop;
import io.tansystack.records.RecordSizeLimit;
import io.tansystack.recovery.FleetCoverage;
import io.tansystack.schedule.Plan;
import io.tansystack.schedule.Planner;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.schedule.Snapshot;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.MachineType;
import io.tansystack.workers.MachineView;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Runs the scheduling passes of a controller: applies termination proofs to the records of the jobs
 * in its slots, plans, and writes placements. At most one write for a job is in flight; until the
 * local cache of the records shows it, the job counts as it was written.
 */
public final class JobScheduler {
  private static final Duration MIN_PASS_INTERVAL = PlanWriter.RETRY_DELAY;

  /**
   * Interval between passes of a controller that doesn't plan: it only looks for proofs that the
   * holder of a slot does not apply.
   */
  private static final Duration NON_PLANNER_INTERVAL = Duration.ofMillis(500);

  /**
   * A pass is followed by a pause of this many times its duration, because reports and lease
   * renewals come first. Every pass also causes writes and commands, so additional passes cost more
   * than their own time: with a factor of 30, days of pelamin-gallery-grown exceeded their
   * processor time budget.
   */
  private static final int PAUSE_FACTOR = 120;

  /**
   * Maximum interval between passes, however long one takes, so that tasks which wait for capacity
   * are not delayed further.
   */
  private static final Duration MAX_PASS_INTERVAL = Duration.ofMillis(1500);

  /** Factor of the shorter pause after a job has arrived in one of this controller's slots. */
  private static final int ARRIVAL_PAUSE_FACTOR = 8;

  /** A pass plans for as many jobs as can be written in this many seconds. */
  private static final double PLANNED_AHEAD_S = 2;

  /** A pass plans for at least this many jobs, whatever the write limit. */
  private static final int MIN_PLANNED_JOBS = 64;

  /** Maximum interval between passes while first reports of recorded machines are awaited. */
  private static final Duration STARTUP_INTERVAL = Duration.ofMillis(250);

  private static final Snapshot EMPTY_SNAPSHOT =
      new Snapshot(List.of(), List.of(), List.of(), Map.of());
  private static final Plan EMPTY_PLAN = new Plan(Map.of(), Map.of(), List.of());

  private final EventLoop loop;
  private final ClusterState clusterState;
  private final ControllerLease lease;
  private final SlotManager slotManager;
  private final Supplier<List<MachineState>> bootingMachines;
  private final Consumer<Runnable> passRunner;
  private final FleetCoverage coverage;
  private final RecordSizeLimit sizeLimit;
  private final Planner.Bounds bounds;
  private final SchedulingState schedulingState;
  private final PlanWriter writer;
  private final FallbackProofWriter fallbackProofWriter;

  /** Whether this controller planned in its last pass. */
  private boolean planning;

  private Duration lastPass = Duration.ZERO;
  private Duration lastPassDuration = Duration.ZERO;
  private Duration nextPass;
  private EventLoop.Timer timer;
  private Snapshot snapshot = EMPTY_SNAPSHOT;
  private Plan plan = EMPTY_PLAN;

  /**
   * @param bootingMachines rented machines that are not usable yet
   * @param passRunner runs a pass and measures how long it takes
   * @param canAct whether a controller is heard from and reports that it is able to schedule
   */
  public JobScheduler(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      ControllerLease lease,
      SlotManager slotManager,
      PlatformSettings settings,
      Function<String, MachineView> views,
      Function<String, MachineType> machineTypes,
      Supplier<List<MachineState>> bootingMachines,
      Consumer<Runnable> passRunner,
      InstantSource clock,
      FleetCoverage coverage,
      Predicate<String> canAct) {
    this.loop = loop;
    this.clusterState = clusterState;
    this.lease = lease;
    this.slotManager = slotManager;
    this.bootingMachines = bootingMachines;
    this.passRunner = passRunner;
    this.coverage = coverage;
    this.sizeLimit = new RecordSizeLimit(settings.stateServiceLimits().maxValueBytes());
    this.bounds =
        new Planner.Bounds(
            sizeLimit,
            settings.stateServiceLimits().maxTxnOps() * 2,
            Math.max(
                MIN_PLANNED_JOBS,
                (int) (settings.stateServiceLimits().writeRps() * PLANNED_AHEAD_S)));
    this.schedulingState =
        new SchedulingState(
            loop, clusterState, slotManager, settings, views, machineTypes, clock, coverage);
    this.writer =
        new PlanWriter(
            loop,
            store,
            clusterState,
            slotManager,
            settings,
            views,
            schedulingState,
            sizeLimit,
            this::requestPass);
    this.fallbackProofWriter =
        new FallbackProofWriter(
            loop, store, clusterState, slotManager, schedulingState, canAct, this::requestPass);
  }

  /** Returns the last pass's plan for all jobs; it is empty if this controller doesn't plan. */
  public Plan lastPlan() {
    return plan;
  }

  /** Returns what the last pass planned from; it is empty if this controller doesn't plan. */
  public Snapshot lastSnapshot() {
    return snapshot;
  }

  /** Requests a pass soon; several requests lead to a single pass. */
  public void requestPass() {
    schedulePass(delayToNextPass(PAUSE_FACTOR));
  }

  private Duration delayToNextPass(int pauseFactor) {
    Duration interval =
        slotManager.isPlanner()
            ? lastPassDuration.multipliedBy(pauseFactor + 1)
            : NON_PLANNER_INTERVAL;
    // During startup, each status update of a machine adds capacity that jobs have waited for, and
    // the first passes take a tenth of a second each, because the process is not warmed up yet.
    interval =
        coverage.isWaiting(loop.now()) && interval.compareTo(STARTUP_INTERVAL) > 0
            ? STARTUP_INTERVAL
            : interval;
    interval = interval.compareTo(MAX_PASS_INTERVAL) > 0 ? MAX_PASS_INTERVAL : interval;
    return (interval.compareTo(MIN_PASS_INTERVAL) > 0 ? interval : MIN_PASS_INTERVAL)
        .minus(loop.now().minus(lastPass));
  }

  private void schedulePass(Duration delay) {
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
              passRunner.accept(this::runPass);
            });
  }

  private void runPass() {
    lastPass = loop.now();
    if (!lease.valid()) {
      return;
    }
    if (slotManager.isPlanner() != planning) {
      planning = !planning;
      schedulingState.reset(planning);
      coverage.reset(planning ? clusterState.revision() : -1, lastPass);
    }
    schedulingState.refresh();
    if (planning) {
      snapshot = schedulingState.snapshot(bootingMachines.get());
      plan = Planner.plan(snapshot, schedulingState.clusterCapacity(), bounds);
      Duration retryDelay = writer.write(plan);
      if (retryDelay != null) {
        Duration passDelay = delayToNextPass(PAUSE_FACTOR);
        schedulePass(retryDelay.compareTo(passDelay) > 0 ? retryDelay : passDelay);
      }
    } else {
      snapshot = EMPTY_SNAPSHOT;
      plan = EMPTY_PLAN;
    }
    fallbackProofWriter.applyOverdueProofs();
    lastPassDuration = loop.now().minus(lastPass);
  }

  /**
   * Called when records have changed. The next pass evaluates only the affected jobs and machines
   * again, because going through all of them each time takes too long in a large cluster.
   */
  public void onClusterStateChange(ClusterStateDelta delta) {
    schedulingState.onClusterStateChange(delta, planning);
    for (String id : delta.jobs()) {
      Job job = clusterState.job(id);
      if (job != null && job.record().attempt() == 0 && slotManager.holds(job.slot())) {
        schedulePass(delayToNextPass(ARRIVAL_PAUSE_FACTOR));
      }
    }
  }

  /** Called when a machine's owner has published a view; {@code old} is the last one or null. */
  public void onViewChange(MachineView old, MachineView view) {
    if (schedulingState.onViewChange(old, view)) {
      requestPass();
    }
  }
}
