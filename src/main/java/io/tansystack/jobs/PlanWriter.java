package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.SlotManager;
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
 * Writes what a pass has decided for this controller's slots, most urgent first, as the write limit
 * allows: several jobs a transaction, since placements of a team with a limit share one write of its
 * record, and each such transaction waits for the one before.
 */
final class PlanWriter {
  private static final Logger log = LoggerFactory.getLogger(PlanWriter.class);

  /** What is to be tried again soon is tried after this. */
  static final Duration SOON = Duration.ofMillis(40);

  /**
   * What waits for the write limit is looked at again after this, without another pass. A budget holds one
   * second's worth, so nothing of it is lost, and every transaction is told to all controllers.
   */
  private static final Duration WRITE_AGAIN = Duration.ofMillis(500);

  /** Progress of arrays that places nothing and ends nothing may use so much of the write limit. */
  private static final double PROGRESS_SHARE = 0.08;

  /** What has ended stays in workers' reports until its progress is written, so it is before this. */
  private static final Duration LONGEST_PROGRESS_GAP = Duration.ofSeconds(15);

  /** A round that adds less than this part of what an array has running is a small one, */
  private static final int LITTLE = 10;

  /** and follows the last one after so many times the usual gap. */
  private static final int LITTLE_WAITS = 4;

  /** Where a team's record is to be written, transactions are gathered until so many writes are free. */
  private static final int ENOUGH_FOR_TEAM = 8;

  /** Of the 64 KiB that a transaction may have; the rest is for its conditions. */
  private static final int MAX_BYTES = 56 << 10;

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final SlotManager slots;
  private final Function<String, MachineView> views;
  private final SchedulingState book;
  private final RecordSizeLimit limit;
  private final int maxConditions;
  private final Runnable wake;
  private final int maxWrites;
  private final List<Team> teams;
  private final double writesPerSecond;
  private final Map<String, Duration> lastWrite = new HashMap<>();

  /** Jobs whose last transaction failed: a reason of their own must not keep those with them from theirs. */
  private final Set<String> alone = new HashSet<>();

  private final Set<String> teamsInFlight = new HashSet<>();
  private final Duration arrayGap;
  private Plan plan;
  private Duration progressGap = Duration.ZERO;
  private boolean timed;

  /** What the plan has left to write, most urgent first. */
  private List<JobUpdate> left = List.of();

  /** Revisions of this controller's last writes of teams' records; the copy shows them a little later. */
  private final Map<String, Long> teamWritten = new HashMap<>();

  /** The versions of teams' records that all placements which the plan knows of have led to. */
  private final Map<String, Long> teamPlanned = new HashMap<>();

  /** @param wake asks for another pass */
  PlanWriter(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      SlotManager slots,
      PlatformSettings settings,
      Function<String, MachineView> views,
      SchedulingState book,
      RecordSizeLimit limit,
      Runnable wake) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.slots = slots;
    this.views = views;
    this.book = book;
    this.limit = limit;
    this.maxConditions = settings.store().txnOps() * 4;
    this.maxWrites = settings.store().txnOps();
    this.teams = settings.teams();
    this.writesPerSecond = settings.store().writeRps();
    this.wake = wake;
    // Several arrays run at a time: each may use a part of the write limit only.
    this.arrayGap = Duration.ofMillis((long) (20_000 / writesPerSecond));
  }

  /** Writes the plan's rounds; tells after how long what was left is due, or null if nothing was. */
  Duration write(Plan next) {
    plan = next;
    teamPlanned.clear();
    for (Team team : teams) {
      long written = teamWritten.getOrDefault(team.name(), 0L);
      teamPlanned.put(team.name(), Math.max(written, world.teamVersion(team.name())));
    }
    lastWrite.keySet().retainAll(book.effective().keySet());
    alone.retainAll(book.effective().keySet());
    progressGap = progressGap();
    left = new JobUpdateBuilder(world, slots, views, book, limit, plan).all();
    return writeLeft();
  }

  private Duration writeLeft() {
    Duration again = null;
    List<JobUpdate> ready = new ArrayList<>();
    List<JobUpdate> later = new ArrayList<>();
    for (JobUpdate draft : left) {
      if (world.job(draft.job().id()) != draft.job() || book.isPending(draft.job().id())) {
        continue; // It has changed since: the next plan knows how.
      }
      Duration due = dueIn(draft);
      if (draft.needed().size() >= maxConditions) {
        log.error("job={} needs {} conditions, too many", draft.job().id(), draft.needed().size());
      } else if (due.isNegative()) {
        ready.add(draft);
      } else {
        again = again == null || due.compareTo(again) < 0 ? due : again;
      }
    }
    while (!ready.isEmpty()) {
      JobUpdate first = ready.get(0);
      if (limited(first) && teamsInFlight.contains(first.spec().team())) {
        later.add(ready.remove(0));
        continue;
      }
      if (store.spare() < worthwhile(ready)) {
        again = SOON;
        writeAgain();
        break;
      }
      Round round = new Round();
      round.fill(ready);
      round.send();
    }
    later.addAll(ready);
    left = later;
    return again;
  }

  /**
   * The limit leaves room for more writes before the next pass, which may be long or come late, and what was
   * not written in the meantime could not be made up for.
   */
  private void writeAgain() {
    if (!timed) {
      timed = true;
      loop.after(
          WRITE_AGAIN,
          () -> {
            timed = false;
            writeLeft();
          });
    }
  }

  /** After how long the draft may be written; negative for now. */
  private Duration dueIn(JobUpdate draft) {
    Duration last = lastWrite.get(draft.job().id());
    if (draft.spec().shape() != JobKind.ARRAY || draft.ends() || last == null) {
      return Duration.ofNanos(-1);
    }
    return last.plus(draft.places() ? placingGap(draft) : progressGap).minus(loop.now());
  }

  /**
   * So many writes have to be free for the next transaction. Where the limit is used up and each went out
   * as soon as it could, every single placement would take a write of its team's record along.
   */
  private int worthwhile(List<JobUpdate> ready) {
    if (!limited(ready.get(0))) {
      return 1;
    }
    return Math.max(2, Math.min(Math.min(ENOUGH_FOR_TEAM, store.halfSpare()), ready.size() + 1));
  }

  /** What adds little to a running array waits for more: room comes free for it task by task. */
  private Duration placingGap(JobUpdate draft) {
    int running = draft.job().record().placedCount();
    int more = draft.next().placedCount() - running;
    return more * LITTLE < running ? arrayGap.multipliedBy(LITTLE_WAITS) : arrayGap;
  }

  /**
   * All arrays together may write their progress so often. What has ended makes room and is planned with
   * at once, written or not.
   */
  private Duration progressGap() {
    long arrays =
        book.effective().values().stream()
            .filter(
                r ->
                    r.active()
                        && r.spec().shape() == JobKind.ARRAY
                        && !r.placements().isEmpty())
            .count();
    Duration gap = Duration.ofMillis((long) (arrays * 1000 / (writesPerSecond * PROGRESS_SHARE)));
    Duration shortest = arrayGap.multipliedBy(2);
    gap = gap.compareTo(shortest) < 0 ? shortest : gap;
    return gap.compareTo(LONGEST_PROGRESS_GAP) < 0 ? gap : LONGEST_PROGRESS_GAP;
  }

  /** Whether it places something for a team that has a limit. */
  private boolean limited(JobUpdate draft) {
    JobSpec spec = draft.spec();
    Team team = book.team(spec.team());
    return draft.places()
        && team != null
        && ((team.cpusMax() > 0 && spec.cpus() > 0) || (team.gpusMax() > 0 && spec.gpus() > 0));
  }

  /**
   * A transaction. It holds only if the slots are still ours, the records are as they were planned on,
   * every machine chosen still has the owner and token that were seen, and, for teams with a limit, if
   * nobody else has placed anything for the team since: its record is rewritten with every placement.
   * What this controller has written since the plan was part of it.
   */
  private final class Round {
    private final List<JobUpdate> parts = new ArrayList<>();
    private final Set<String> named = new HashSet<>();
    private final List<Condition> conditions = new ArrayList<>();
    private final Set<String> teams = new HashSet<>();
    private final int room = store.spare();
    private int bytes;

    /**
     * Takes the most urgent draft, then those of its team, which cost one write each, and of the others as
     * many as there is room for. One whose last transaction failed goes alone.
     */
    void fill(List<JobUpdate> ready) {
      JobUpdate first = ready.remove(0);
      add(first);
      if (alone.contains(first.job().id())) {
        return;
      }
      String team = first.spec().team();
      takeFrom(ready, draft -> draft.spec().team().equals(team));
      takeFrom(ready, draft -> !limited(draft) || !teamsInFlight.contains(draft.spec().team()));
    }

    private void takeFrom(List<JobUpdate> ready, Predicate<JobUpdate> which) {
      for (Iterator<JobUpdate> it = ready.iterator(); it.hasNext(); ) {
        JobUpdate draft = it.next();
        if (which.test(draft) && !alone.contains(draft.job().id()) && takes(draft)) {
          add(draft);
          it.remove();
        }
      }
    }

    /** Whether there is room for one more. */
    boolean takes(JobUpdate draft) {
      int writes = parts.size() + teams.size() + 1;
      int team = limited(draft) && !teams.contains(draft.spec().team()) ? 1 : 0;
      long more = team + draft.needed().stream().filter(k -> !named.contains(k.key())).count();
      return writes + team <= Math.min(room, maxWrites)
          && conditions.size() + more <= maxConditions
          && bytes + limit.longest(draft.next()) <= MAX_BYTES;
    }

    void add(JobUpdate draft) {
      parts.add(draft);
      bytes += limit.longest(draft.next());
      for (Condition condition : draft.needed()) {
        if (named.add(condition.key())) {
          conditions.add(condition);
        }
      }
      String team = draft.spec().team();
      if (limited(draft) && teams.add(team)) {
        conditions.add(new Condition(ClusterState.teamKey(team), teamPlanned.get(team)));
      }
    }

    void send() {
      List<Write> writes = new ArrayList<>();
      for (JobUpdate draft : parts) {
        String id = draft.job().id();
        writes.add(new Write(ClusterState.jobKey(id), draft.next().write(), 0));
        lastWrite.put(id, loop.now());
        book.writing(draft.job(), draft.next());
        report(draft);
      }
      for (String team : teams) {
        String last = parts.get(parts.size() - 1).job().id();
        writes.add(new Write(ClusterState.teamKey(team), Cbor.map().put("job", last), 0));
      }
      teamsInFlight.addAll(teams);
      store.reserve(writes.size());
      store.commitReserved(conditions, writes, this::sent);
    }

    private void sent(CommitResult result, long revision) {
      teamsInFlight.removeAll(teams);
      if (result != CommitResult.DONE) {
        if (result == CommitResult.CONFLICT || result == CommitResult.MALFORMED) {
          parts.forEach(draft -> alone.add(draft.job().id()));
        }
        log.debug("write of {} jobs result={}", parts.size(), result);
        // After silence the write may still come; a pause lets the copy show it first.
        loop.after(
            result == CommitResult.UNKNOWN ? Duration.ofMillis(500) : Duration.ofMillis(30),
            () -> {
              parts.forEach(draft -> book.dropped(draft.job().id()));
              wake.run();
            });
        return;
      }
      for (JobUpdate draft : parts) {
        alone.remove(draft.job().id());
        book.written(draft.job().id(), revision);
        if (draft.ends()) {
          log.info("over job={} phase={}", draft.job().id(), draft.next().phase());
        }
      }
      for (String team : teams) {
        teamWritten.put(team, revision);
        teamPlanned.put(team, revision);
      }
      writeLeft();
      wake.run();
    }
  }

  private void report(JobUpdate draft) {
    String id = draft.job().id();
    DroppedPlacementLog.log(id, book.proofs(id), world.revision());
    for (Plan.Eviction stop : plan.evictions().getOrDefault(id, List.of())) {
      if (stop.isMove()) {
        book.movedOff(id, stop.machine());
      }
      log.info(
          "preempt job={} tasks={} machine={} for={}",
          id,
          stop.tasks(),
          stop.machine(),
          stop.reason());
    }
    if (draft.places() && log.isInfoEnabled()) {
      log.info("place job={} attempt={} {}", id, draft.next().attempt(), plan.placements().get(id).stream()
          .map(a -> a.machine() + "=" + a.tasks())
          .toList());
    }
  }

}
