package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.SlotManager;
import io.tansystack.http.DelayedTask;
import io.tansystack.http.EventLoop;
import io.tansystack.jobs.JobUpdateBuilder.JobUpdate;
import io.tansystack.records.RecordSizeLimit;
import io.tansystack.schedule.Plan;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import io.tansystack.workers.MachineView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes what a pass has decided for the jobs in this controller's slots, most urgent first, as the
 * write limit allows. One transaction updates several jobs, because placements for a team with a
 * limit share one write of the team's record, and each such transaction waits for the one before.
 */
final class PlanWriter {
  private static final Logger log = LoggerFactory.getLogger(PlanWriter.class);

  /** Delay until the next pass if write budget is lacking; also the minimum pass interval. */
  static final Duration RETRY_DELAY = Duration.ofMillis(40);

  /**
   * Delay after which updates that wait for write budget are tried again without another pass. The
   * budget holds one second's worth of writes, so this delay wastes none of it, and a shorter one
   * would lead to more transactions, each of which is published to all controllers.
   */
  private static final Duration BUDGET_RETRY_DELAY = Duration.ofMillis(500);

  /** Share of the write limit for updates of arrays that add no placements and end nothing. */
  private static final double PROGRESS_SHARE = 0.08;

  /** Maximum interval of progress updates: ended tasks stay in reports until one is written. */
  private static final Duration MAX_PROGRESS_INTERVAL = Duration.ofSeconds(15);

  /** A round is small if it adds less than the array's number of placed tasks divided by this. */
  private static final int SMALL_ROUND_DIVISOR = 10;

  /** A small round follows the last round after this many times the usual interval. */
  private static final int SMALL_ROUND_INTERVALS = 4;

  /** At most this many writes have to be available before a team's record is written. */
  private static final int TEAM_BATCH = 8;

  /** Maximum size of the records; the rest of a transaction's 64 KiB is for its conditions. */
  private static final int MAX_BYTES = 56 << 10;

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final SlotManager slotManager;
  private final Function<String, MachineView> views;
  private final SchedulingState schedulingState;
  private final RecordSizeLimit sizeLimit;
  private final int maxConditions;
  private final Runnable requestPass;
  private final int maxWrites;
  private final List<Team> teams;
  private final double writesPerSecond;
  private final Map<String, Duration> lastWrite = new HashMap<>();

  /** Jobs whose last transaction failed; written alone, so that no others fail with them. */
  private final Set<String> writeIndividually = new HashSet<>();

  private final Set<String> teamsInFlight = new HashSet<>();
  private final Duration arrayInterval;
  private Plan plan;
  private Duration progressInterval = Duration.ZERO;

  /** Writes what remains before the next pass, which may take long or start late. */
  private final DelayedTask retry;

  /** Updates of the plan that are not written yet, most urgent first. */
  private List<JobUpdate> remaining = List.of();

  /** Revisions of this controller's last writes of team records; the cache shows them later. */
  private final Map<String, Long> writtenTeamVersions = new HashMap<>();

  /** Versions of team records that result from all placements known to the plan. */
  private final Map<String, Long> plannedTeamVersions = new HashMap<>();

  PlanWriter(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      SlotManager slotManager,
      PlatformSettings settings,
      Function<String, MachineView> views,
      SchedulingState schedulingState,
      RecordSizeLimit sizeLimit,
      Runnable requestPass) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.slotManager = slotManager;
    this.views = views;
    this.schedulingState = schedulingState;
    this.sizeLimit = sizeLimit;
    this.maxConditions = settings.stateServiceLimits().maxTxnOps() * 4;
    this.maxWrites = settings.stateServiceLimits().maxTxnOps();
    this.teams = settings.teams();
    this.writesPerSecond = settings.stateServiceLimits().writeRps();
    this.requestPass = requestPass;
    this.retry = new DelayedTask(loop, this::writeRemaining);
    // Several arrays run at a time, so each may use only a twentieth of the write limit.
    this.arrayInterval = Duration.ofMillis((long) (20_000 / writesPerSecond));
  }

  /**
   * Writes a plan's updates as far as the write budget allows. Returns after how long updates that
   * are not due yet or lack budget need another pass; null if there are none.
   */
  Duration write(Plan next) {
    plan = next;
    plannedTeamVersions.clear();
    for (Team team : teams) {
      long written = writtenTeamVersions.getOrDefault(team.name(), 0L);
      plannedTeamVersions.put(
          team.name(), Math.max(written, clusterState.teamVersion(team.name())));
    }
    lastWrite.keySet().retainAll(schedulingState.effective().keySet());
    writeIndividually.retainAll(schedulingState.effective().keySet());
    progressInterval = progressInterval();
    remaining =
        new JobUpdateBuilder(clusterState, slotManager, views, schedulingState, sizeLimit, plan)
            .build();
    return writeRemaining();
  }

  private Duration writeRemaining() {
    Duration retryDelay = null;
    List<JobUpdate> ready = new ArrayList<>();
    List<JobUpdate> later = new ArrayList<>();
    for (JobUpdate update : remaining) {
      if (clusterState.job(update.job().id()) != update.job()
          || schedulingState.isPending(update.job().id())) {
        continue; // The job has changed since the plan; the next plan takes that into account.
      }
      Duration due = dueIn(update);
      if (update.conditions().size() >= maxConditions) {
        log.error(
            "job={} is not written: it needs {} conditions, too many for a transaction",
            update.job().id(),
            update.conditions().size());
      } else if (due.isNegative()) {
        ready.add(update);
      } else {
        retryDelay = retryDelay == null || due.compareTo(retryDelay) < 0 ? due : retryDelay;
      }
    }
    while (!ready.isEmpty()) {
      JobUpdate first = ready.get(0);
      if (hasTeamLimit(first) && teamsInFlight.contains(first.spec().team())) {
        later.add(ready.remove(0));
        continue;
      }
      if (store.availableWrites() < minBatchSize(ready)) {
        retryDelay = RETRY_DELAY;
        retry.schedule(BUDGET_RETRY_DELAY);
        break;
      }
      PlanTransaction transaction = new PlanTransaction();
      transaction.fill(ready);
      transaction.send();
    }
    later.addAll(ready);
    remaining = later;
    return retryDelay;
  }

  /** Returns after how long the update may be written; negative if it may be written now. */
  private Duration dueIn(JobUpdate update) {
    Duration last = lastWrite.get(update.job().id());
    if (update.spec().kind() != JobKind.ARRAY || update.ends() || last == null) {
      return Duration.ofNanos(-1);
    }
    return last.plus(update.places() ? placementInterval(update) : progressInterval)
        .minus(loop.now());
  }

  /**
   * Returns how many writes must be available for the next transaction. If each was sent as soon as
   * possible, at the write limit every single placement would need a write of its team's record.
   */
  private int minBatchSize(List<JobUpdate> ready) {
    if (!hasTeamLimit(ready.get(0))) {
      return 1;
    }
    return Math.max(
        2, Math.min(Math.min(TEAM_BATCH, store.halfOfMaxAvailableWrites()), ready.size() + 1));
  }

  /** Small rounds of a running array wait longer: capacity becomes free for it task by task. */
  private Duration placementInterval(JobUpdate update) {
    int running = update.job().record().placedTaskCount();
    int added = update.next().placedTaskCount() - running;
    return added * SMALL_ROUND_DIVISOR < running
        ? arrayInterval.multipliedBy(SMALL_ROUND_INTERVALS)
        : arrayInterval;
  }

  /**
   * Returns the interval between progress updates of an array, such that all arrays together keep
   * to {@link #PROGRESS_SHARE}. Plans use the capacity of ended tasks at once, whether or not the
   * progress is written.
   */
  private Duration progressInterval() {
    long arrays =
        schedulingState.effective().values().stream()
            .filter(
                r -> r.active() && r.spec().kind() == JobKind.ARRAY && !r.placements().isEmpty())
            .count();
    Duration interval =
        Duration.ofMillis((long) (arrays * 1000 / (writesPerSecond * PROGRESS_SHARE)));
    Duration minInterval = arrayInterval.multipliedBy(2);
    interval = interval.compareTo(minInterval) < 0 ? minInterval : interval;
    return interval.compareTo(MAX_PROGRESS_INTERVAL) < 0 ? interval : MAX_PROGRESS_INTERVAL;
  }

  /** Whether the update adds placements that count towards a team's limit. */
  private boolean hasTeamLimit(JobUpdate update) {
    JobSpec spec = update.spec();
    Team team = schedulingState.team(spec.team());
    return update.places()
        && team != null
        && ((team.cpusMax() > 0 && spec.cpus() > 0) || (team.gpusMax() > 0 && spec.gpus() > 0));
  }

  /**
   * A transaction with the updates of one or more jobs. It succeeds only if this controller still
   * holds the slots, the job records are those that were planned from, every chosen machine still
   * has the owner and token that the plan saw, and, for teams with a limit, no other controller has
   * placed anything for the team since: the team's record is rewritten with every placement. Writes
   * of this controller since the plan are part of that plan and don't count as changes.
   */
  private final class PlanTransaction {
    private final List<JobUpdate> updates = new ArrayList<>();
    private final Set<String> keys = new HashSet<>();
    private final List<Condition> conditions = new ArrayList<>();
    private final Set<String> teams = new HashSet<>();
    private final int availableWrites = store.availableWrites();
    private int bytes;

    /**
     * Takes the most urgent update, then those of its team, which need one write each, then as many
     * of the others as fit. An update whose last transaction failed is sent alone.
     */
    void fill(List<JobUpdate> ready) {
      JobUpdate first = ready.remove(0);
      add(first);
      if (writeIndividually.contains(first.job().id())) {
        return;
      }
      String team = first.spec().team();
      addMatching(ready, u -> u.spec().team().equals(team));
      addMatching(ready, u -> !hasTeamLimit(u) || !teamsInFlight.contains(u.spec().team()));
    }

    private void addMatching(List<JobUpdate> ready, Predicate<JobUpdate> filter) {
      for (Iterator<JobUpdate> it = ready.iterator(); it.hasNext(); ) {
        JobUpdate update = it.next();
        if (filter.test(update) && !writeIndividually.contains(update.job().id()) && fits(update)) {
          add(update);
          it.remove();
        }
      }
    }

    /** Whether the update can be added within the limits of a transaction and of the budget. */
    boolean fits(JobUpdate update) {
      int writes = updates.size() + teams.size() + 1;
      int teamWrites = hasTeamLimit(update) && !teams.contains(update.spec().team()) ? 1 : 0;
      long addedConditions =
          teamWrites + update.conditions().stream().filter(k -> !keys.contains(k.key())).count();
      return writes + teamWrites <= Math.min(availableWrites, maxWrites)
          && conditions.size() + addedConditions <= maxConditions
          && bytes + sizeLimit.maxSize(update.next()) <= MAX_BYTES;
    }

    void add(JobUpdate update) {
      updates.add(update);
      bytes += sizeLimit.maxSize(update.next());
      for (Condition condition : update.conditions()) {
        if (keys.add(condition.key())) {
          conditions.add(condition);
        }
      }
      String team = update.spec().team();
      if (hasTeamLimit(update) && teams.add(team)) {
        conditions.add(new Condition(ClusterState.teamKey(team), plannedTeamVersions.get(team)));
      }
    }

    void send() {
      List<Write> writes = new ArrayList<>();
      for (JobUpdate update : updates) {
        String id = update.job().id();
        writes.add(new Write(ClusterState.jobKey(id), update.next().write(), 0));
        DroppedPlacementLog.log(id, schedulingState.proofs(id), clusterState.revision());
        PlanLog.log(plan, update);
      }
      for (String team : teams) {
        String last = updates.get(updates.size() - 1).job().id();
        writes.add(new Write(ClusterState.teamKey(team), Cbor.map().put("job", last), 0));
      }
      // Nothing can fail from here on until the result arrives, which takes these marks back.
      for (JobUpdate update : updates) {
        recordMigrations(update);
        lastWrite.put(update.job().id(), loop.now());
        schedulingState.writeStarted(update.job(), update.next());
      }
      teamsInFlight.addAll(teams);
      store.reserve(writes.size());
      store.commitReserved(conditions, writes, this::onResult);
    }

    private void onResult(CommitResult result, long revision) {
      teamsInFlight.removeAll(teams);
      if (result != CommitResult.DONE) {
        if (result == CommitResult.CONFLICT || result == CommitResult.MALFORMED) {
          updates.forEach(update -> writeIndividually.add(update.job().id()));
        }
        log.debug("write of {} jobs result={}", updates.size(), result);
        // Without a response the write may still be applied; a pause lets the cache show it first.
        loop.after(
            result == CommitResult.UNKNOWN ? Duration.ofMillis(500) : Duration.ofMillis(30),
            () -> {
              updates.forEach(update -> schedulingState.discardWrite(update.job().id()));
              requestPass.run();
            });
        return;
      }
      for (JobUpdate update : updates) {
        writeIndividually.remove(update.job().id());
        schedulingState.writeCommitted(update.job().id(), revision);
        if (update.ends()) {
          log.info("over job={} phase={}", update.job().id(), update.next().phase());
        }
      }
      for (String team : teams) {
        writtenTeamVersions.put(team, revision);
        plannedTeamVersions.put(team, revision);
      }
      writeRemaining();
      requestPass.run();
    }
  }

  private void recordMigrations(JobUpdate update) {
    String id = update.job().id();
    for (Plan.Eviction eviction : plan.evictions().getOrDefault(id, List.of())) {
      if (eviction.isMove()) {
        schedulingState.replicaMigrated(id, eviction.machine());
      }
    }
  }
}
