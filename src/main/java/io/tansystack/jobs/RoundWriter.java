package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.SlotDuty;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World;
import io.tansystack.http.Loop;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.records.RecordLimit;
import io.tansystack.schedule.Plan;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient.Result;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
import io.tansystack.workers.Proofs;
import io.tansystack.workers.View;
import java.time.Duration;
import java.util.ArrayList;
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
 * Writes what a pass has decided for this controller's slots, most urgent first, as the write limit
 * allows: several jobs a transaction, since placements of a team with a limit share one write of its
 * record, and each such transaction waits for the one before.
 */
final class RoundWriter {
  private static final Logger log = LoggerFactory.getLogger(RoundWriter.class);

  /** What is to be tried again soon is tried after this. */
  static final Duration SOON = Duration.ofMillis(40);

  /** By then the copy shows a team's record as it was written. */
  private static final Duration TEAM_SHOWN = Duration.ofMillis(60);

  /** Progress of arrays that places nothing and ends nothing may use so much of the write limit. */
  private static final double PROGRESS_SHARE = 0.15;

  /** What has ended stays in workers' reports until its progress is written, so it is before this. */
  private static final Duration LONGEST_PROGRESS_GAP = Duration.ofSeconds(10);

  /** Of the 64 KiB that a transaction may have; the rest is for its conditions. */
  private static final int MAX_BYTES = 56 << 10;

  private record Candidate(Job job, JobRecord next, Proofs proofs, boolean places, boolean ends) {
    JobSpec spec() {
      return job.record().spec();
    }
  }

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final SlotDuty slots;
  private final Function<String, View> views;
  private final JobBook book;
  private final RecordLimit limit;
  private final int maxConditions;
  private final Runnable wake;
  private final int maxWrites;
  private final double writesPerSecond;
  private final Map<String, Duration> lastWrite = new HashMap<>();

  /** Jobs whose last transaction failed: a reason of their own must not keep those with them from theirs. */
  private final Set<String> alone = new HashSet<>();

  private final Set<String> teamsInFlight = new HashSet<>();
  private final Duration arrayGap;
  private Plan plan;

  /** @param wake asks for another pass */
  RoundWriter(
      Loop loop,
      StoreClient store,
      World world,
      SlotDuty slots,
      PlatformSettings settings,
      Function<String, View> views,
      JobBook book,
      RecordLimit limit,
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
    this.writesPerSecond = settings.store().writeRps();
    this.wake = wake;
    // Several arrays run at a time: each may use a part of the write limit only.
    this.arrayGap = Duration.ofMillis((long) (20_000 / writesPerSecond));
  }

  /** Writes the plan's rounds; tells after how long what was left is due, or null if nothing was. */
  Duration write(Plan next) {
    plan = next;
    lastWrite.keySet().retainAll(book.effective().keySet());
    alone.retainAll(book.effective().keySet());
    return write(candidates());
  }

  private List<Candidate> candidates() {
    List<Candidate> candidates = new ArrayList<>();
    for (Map.Entry<String, JobRecord> entry : book.effective().entrySet()) {
      Job job = world.job(entry.getKey());
      if (!slots.holds(job.slot()) || book.isPending(entry.getKey())) {
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
            new Candidate(job, next, book.proofs(entry.getKey()), places, ends));
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

  private Duration write(List<Candidate> candidates) {
    Duration now = loop.now();
    Duration progressGap = progressGap();
    Duration again = null;
    Round round = new Round();
    for (Candidate c : candidates) {
      Duration last = lastWrite.get(c.job.id());
      if (c.spec().shape() == Shape.ARRAY && !c.ends && last != null) {
        Duration due = last.plus(c.places ? arrayGap : progressGap).minus(now);
        if (!due.isNegative()) {
          again = again == null || due.compareTo(again) < 0 ? due : again;
          continue;
        }
      }
      if (limited(c) && teamsInFlight.contains(c.spec().team())) {
        again = SOON;
        continue;
      }
      boolean single = alone.contains(c.job.id());
      List<Condition> needed = conditions(c);
      if (needed.size() > maxConditions) {
        log.error("job={} needs {} conditions, more than allowed", c.job.id(), needed.size());
        continue;
      }
      if (!round.isEmpty() && (single || !round.takes(c, needed))) {
        round.send();
        round = new Round();
      }
      if (round.isEmpty() && store.spare() < (limited(c) ? 2 : 1)) {
        return SOON;
      }
      round.add(c, needed);
      if (single) {
        round.send();
        round = new Round();
      }
    }
    round.send();
    return again;
  }

  /**
   * All arrays together may write their progress so often. What has ended makes room and is planned with
   * at once, written or not.
   */
  private Duration progressGap() {
    long arrays =
        book.effective().values().stream()
            .filter(r -> r.active() && r.spec().shape() == Shape.ARRAY && !r.placements().isEmpty())
            .count();
    Duration gap = Duration.ofMillis((long) (arrays * 1000 / (writesPerSecond * PROGRESS_SHARE)));
    Duration shortest = arrayGap.multipliedBy(2);
    gap = gap.compareTo(shortest) < 0 ? shortest : gap;
    return gap.compareTo(LONGEST_PROGRESS_GAP) < 0 ? gap : LONGEST_PROGRESS_GAP;
  }

  /** Whether it places something for a team that has a limit. */
  private boolean limited(Candidate c) {
    JobSpec spec = c.spec();
    Team team = book.team(spec.team());
    return c.places
        && team != null
        && ((team.cpusMax() > 0 && spec.cpus() > 0) || (team.gpusMax() > 0 && spec.gpus() > 0));
  }

  private List<Condition> conditions(Candidate c) {
    List<Condition> needed = new ArrayList<>();
    int slot = c.job.slot();
    needed.add(new Condition(World.slotKey(slot), world.slot(slot).version()));
    needed.addAll(c.job.unchanged());
    Set<String> machines = new HashSet<>();
    if (c.places) {
      for (JobRecord.Assignment part : plan.placements().get(c.job.id())) {
        if (machines.add(World.machineKey(part.machine()))) {
          needed.add(world.machine(part.machine()).condition());
        }
      }
    }
    addProofConditions(c.proofs, machines, needed);
    if (limited(c)) {
      String team = c.spec().team();
      needed.add(new Condition(World.teamKey(team), world.teamVersion(team)));
    }
    return needed;
  }

  /**
   * A transaction. It holds only if the slots are still ours, the records are as they were planned on,
   * every machine chosen still has the owner and token that were seen, and, for teams with a limit, if
   * nobody else has placed anything for the team since: its record is rewritten with every placement.
   */
  private final class Round {
    private final List<Candidate> parts = new ArrayList<>();
    private final Set<String> named = new HashSet<>();
    private final List<Condition> conditions = new ArrayList<>();
    private final Set<String> teams = new HashSet<>();
    private final int room = store.spare();
    private int bytes;

    boolean isEmpty() {
      return parts.isEmpty();
    }

    /** Whether there is room for one more. */
    boolean takes(Candidate c, List<Condition> needed) {
      int writes = parts.size() + teams.size() + 1;
      writes += limited(c) && !teams.contains(c.spec().team()) ? 1 : 0;
      long more = needed.stream().filter(k -> !named.contains(k.key())).count();
      return writes <= Math.min(room, maxWrites)
          && conditions.size() + more <= maxConditions
          && bytes + limit.longest(c.next) <= MAX_BYTES;
    }

    void add(Candidate c, List<Condition> needed) {
      parts.add(c);
      bytes += limit.longest(c.next);
      for (Condition condition : needed) {
        if (named.add(condition.key())) {
          conditions.add(condition);
        }
      }
      if (limited(c)) {
        teams.add(c.spec().team());
      }
    }

    void send() {
      if (parts.isEmpty()) {
        return;
      }
      List<Write> writes = new ArrayList<>();
      for (Candidate c : parts) {
        String id = c.job.id();
        writes.add(new Write(World.jobKey(id), c.next.write(), 0));
        lastWrite.put(id, loop.now());
        book.writing(c.job, c.next);
        report(c);
      }
      for (String team : teams) {
        String last = parts.get(parts.size() - 1).job.id();
        writes.add(new Write(World.teamKey(team), Cbor.map().put("job", last), 0));
      }
      teamsInFlight.addAll(teams);
      store.reserve(writes.size());
      store.commitReserved(conditions, writes, this::sent);
    }

    private void sent(Result result, long revision) {
      if (result != Result.DONE) {
        teamsInFlight.removeAll(teams);
        if (result == Result.CONFLICT || result == Result.MALFORMED) {
          parts.forEach(c -> alone.add(c.job.id()));
        }
        log.debug("write of {} jobs result={}", parts.size(), result);
        // After silence the write may still come; a pause lets the copy show it first.
        loop.after(
            result == Result.UNKNOWN ? Duration.ofMillis(500) : Duration.ofMillis(30),
            () -> {
              parts.forEach(c -> book.dropped(c.job.id()));
              wake.run();
            });
        return;
      }
      for (Candidate c : parts) {
        alone.remove(c.job.id());
        book.written(c.job.id(), revision);
        if (c.ends) {
          log.info("over job={} phase={}", c.job.id(), c.next.phase());
        }
      }
      if (!teams.isEmpty()) {
        loop.after(TEAM_SHOWN, () -> teamsInFlight.removeAll(teams));
      }
      wake.run();
    }
  }

  private void report(Candidate c) {
    String id = c.job.id();
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
  }

  /** The conditions under which the proofs hold, but for those on keys named already. */
  static void addProofConditions(
      Proofs proofs, Set<String> named, List<Condition> conditions) {
    if (proofs != null) {
      for (Condition condition : proofs.conditions()) {
        if (named.add(condition.key())) {
          conditions.add(condition);
        }
      }
    }
  }
}
