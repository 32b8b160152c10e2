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
 * Writes what a pass has decided for this controller's slots: one transaction a job, most urgent first,
 * as the write limit allows.
 */
final class RoundWriter {
  private static final Logger log = LoggerFactory.getLogger(RoundWriter.class);

  /** What is to be tried again soon is tried after this. */
  static final Duration SOON = Duration.ofMillis(40);

  private record Candidate(Job job, JobRecord next, Proofs proofs, boolean places, boolean ends) {}

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final SlotDuty slots;
  private final Function<String, View> views;
  private final JobBook book;
  private final RecordLimit limit;
  private final int maxConditions;
  private final Runnable wake;
  private final Map<String, Duration> lastWrite = new HashMap<>();
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
    this.wake = wake;
    // Several arrays run at a time: each may use a part of the write limit only.
    this.arrayGap = Duration.ofMillis((long) (20_000 / settings.store().writeRps()));
  }

  /** Writes the plan's rounds; tells after how long what was left is due, or null if nothing was. */
  Duration write(Plan next) {
    plan = next;
    lastWrite.keySet().retainAll(book.effective().keySet());
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
      Team team = book.team(spec.team());
      boolean limited =
          c.places
              && team != null
              && ((team.cpusMax() > 0 && spec.cpus() > 0)
                  || (team.gpusMax() > 0 && spec.gpus() > 0));
      if (limited && teamsInFlight.contains(spec.team())) {
        again = SOON;
        continue;
      }
      ObjectNode value = c.next.write();
      if (!store.reserve(limited ? 2 : 1)) {
        again = SOON;
        break;
      }
      commit(c, value, limited);
    }
    return again;
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
    conditions.addAll(c.job.unchanged());
    Set<String> named = new HashSet<>();
    if (c.places) {
      for (JobRecord.Assignment part : plan.placements().get(id)) {
        if (named.add(World.machineKey(part.machine()))) {
          conditions.add(world.machine(part.machine()).condition());
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
    if (conditions.size() > maxConditions) {
      log.error("job={} needs {} conditions, more than allowed", id, conditions.size());
      return;
    }
    lastWrite.put(id, loop.now());
    book.writing(c.job, c.next);
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
            book.written(id, revision);
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
                  book.dropped(id);
                  wake.run();
                });
            return;
          }
          wake.run();
        });
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
