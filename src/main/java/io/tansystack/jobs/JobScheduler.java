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
 * The slot holder's rounds: takes proofs into the records of its jobs, plans, and writes placements.
 * One write for a job is under way at a time; until the copy of the records shows it, the job counts
 * as it was written.
 */
public final class JobScheduler {
  private static final Duration MIN_GAP = PlanWriter.SOON;

  /** A controller that doesn't plan only looks for proofs that nobody takes in. */
  private static final Duration LOOK_GAP = Duration.ofMillis(500);

  /**
   * A pass is followed by a pause of so many times its length: reports and renewals come first. Shorter where
   * one of our jobs has just come. Each pass also leads to writes and orders, so that more of them cost more
   * than their own time: with 30 days of pelamin-gallery-grown went over their processor time.
   */
  private static final int REST = 120;

  /** What waits for room is not kept waiting longer for a pass, however long one takes. */
  private static final Duration LONGEST_REST = Duration.ofMillis(1500);

  private static final int SHORT_REST = 8;

  /** A pass plans for what can be written in so many seconds, */
  private static final double PLANNED_AHEAD_S = 2;

  /** and for so many jobs at least. */
  private static final int LEAST_JOBS = 64;

  private static final Duration START_GAP = Duration.ofMillis(250);

  private static final Snapshot NOTHING =
      new Snapshot(List.of(), List.of(), List.of(), Map.of());
  private static final Plan NO_PLAN = new Plan(Map.of(), Map.of(), List.of());

  private final EventLoop loop;
  private final ClusterState world;
  private final ControllerLease lease;
  private final SlotManager slots;
  private final Supplier<List<MachineState>> booting;
  private final Consumer<Runnable> measured;
  private final FleetCoverage coverage;
  private final RecordSizeLimit limit;
  private final Planner.Bounds bounds;
  private final SchedulingState book;
  private final PlanWriter writer;
  private final FallbackProofWriter foreign;

  /** Whether the last pass planned. */
  private boolean planned;

  private Duration lastPass = Duration.ZERO;
  private Duration lastPassTook = Duration.ZERO;
  private Duration nextPass;
  private EventLoop.Timer timer;
  private Snapshot snapshot = NOTHING;
  private Plan plan = NO_PLAN;

  public JobScheduler(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      ControllerLease lease,
      SlotManager slots,
      PlatformSettings settings,
      Function<String, MachineView> views,
      Function<String, MachineType> types,
      Supplier<List<MachineState>> booting,
      Consumer<Runnable> measured,
      InstantSource clock,
      FleetCoverage coverage,
      Predicate<String> acts) {
    this.loop = loop;
    this.world = world;
    this.lease = lease;
    this.slots = slots;
    this.booting = booting;
    this.measured = measured;
    this.coverage = coverage;
    this.limit = new RecordSizeLimit(settings.store().valueBytes());
    this.bounds =
        new Planner.Bounds(
            limit,
            settings.store().txnOps() * 2,
            Math.max(LEAST_JOBS, (int) (settings.store().writeRps() * PLANNED_AHEAD_S)));
    this.book = new SchedulingState(loop, world, slots, settings, views, types, clock, coverage);
    this.writer =
        new PlanWriter(loop, store, world, slots, settings, views, book, limit, this::wake);
    this.foreign = new FallbackProofWriter(loop, store, world, slots, book, acts, this::wake);
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
    Duration gap = slots.isPlanner() ? lastPassTook.multipliedBy(rest + 1) : LOOK_GAP;
    // While a start lasts, each word of the machines opens room that others have waited for; and the
    // first passes, of a process that is still cold, take a tenth of a second.
    gap = coverage.isWaiting(loop.now()) && gap.compareTo(START_GAP) > 0 ? START_GAP : gap;
    gap = gap.compareTo(LONGEST_REST) > 0 ? LONGEST_REST : gap;
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
    if (slots.isPlanner() != planned) {
      planned = !planned;
      book.startAnew(planned);
      coverage.reset(planned ? world.revision() : -1, lastPass);
    }
    book.refresh();
    if (planned) {
      snapshot = book.snapshot(booting.get());
      plan = Planner.plan(snapshot, book.rooms(), bounds);
      Duration again = writer.write(plan);
      if (again != null) {
        Duration gap = gap(REST);
        wakeIn(again.compareTo(gap) > 0 ? again : gap);
      }
    } else {
      snapshot = NOTHING;
      plan = NO_PLAN;
    }
    foreign.absorb();
    lastPassTook = loop.now().minus(lastPass);
  }

  /**
   * Records changed. Only what these changes concern is looked at again by the next pass: to go
   * through all jobs and machines each time is what a large cluster can't afford.
   */
  public void touched(ClusterStateDelta touched) {
    book.touched(touched, planned);
    for (String id : touched.jobs()) {
      Job job = world.job(id);
      if (job != null && job.record().attempt() == 0 && slots.holds(job.slot())) {
        wakeIn(gap(SHORT_REST));
      }
    }
  }

  /** A machine's owner has told something new of it; {@code old} is what was known before, or null. */
  public void viewChanged(MachineView old, MachineView view) {
    if (book.viewChanged(old, view)) {
      wake();
    }
  }
}
