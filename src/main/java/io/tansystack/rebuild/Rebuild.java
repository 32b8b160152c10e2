package io.tansystack.rebuild;

import io.tansystack.cluster.Base;
import io.tansystack.cluster.Keys;
import io.tansystack.cluster.OwnLease;
import io.tansystack.cluster.SlotDuty;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World;
import io.tansystack.http.Loop;
import io.tansystack.records.JobRecord;
import io.tansystack.store.StoreClient.Got;
import io.tansystack.store.StoreClient.Result;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.StoreWire.Change;
import io.tansystack.wire.StoreWire.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes again what the state service has lost and this controller remembers: first what the
 * deployment counts from, then records of jobs that are not over, then how jobs have ended. Machines need
 * nothing: their workers come and are claimed anew. Any controller may do it, and who ends half-way is
 * followed by any other that remembers; whatever is there already is left as it is.
 */
public final class Rebuild {
  private static final Logger log = LoggerFactory.getLogger(Rebuild.class);

  /** By then every controller's copy shows all that was committed before the loss. */
  private static final Duration DRAINED = Duration.ofMillis(1500);

  /** Where the slot's holder does not do it, others do. */
  private static final Duration OTHERS = Duration.ofSeconds(6);

  /** Beyond what was known: others may have seen some thousands of changes more. */
  private static final long MARGIN = 1_000_000;

  private static final int MOST = 16;

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final OwnLease lease;
  private final SlotDuty slots;
  private final Losses losses;
  private final int atOnce;
  private final Map<String, Duration> lostSince = new HashMap<>();
  private final Set<String> underWay = new HashSet<>();
  private Iterator<Map.Entry<String, JobRecord.Phase>> outcomes = Collections.emptyIterator();
  private Duration rememberedFor;
  private boolean counting;

  /** @param atOnce how many changes a transaction may hold */
  public Rebuild(
      Loop loop,
      StoreClient store,
      World world,
      OwnLease lease,
      SlotDuty slots,
      Losses losses,
      int atOnce) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.slots = slots;
    this.losses = losses;
    this.atOnce = atOnce;
  }

  /** To be called several times a second. */
  public void turn() {
    losses.turn();
    if (!lease.valid()) {
      return;
    }
    Duration now = loop.now();
    if (losses.noticedAt() != null && now.minus(losses.noticedAt()).compareTo(DRAINED) >= 0) {
      count();
      outcomes();
    }
    // Not before tokens count anew: what is written from then on is known to be newer.
    if (losses.beyond().isEmpty()) {
      jobs(now);
    }
  }

  /** Tokens and names of rentals have to be beyond all that anybody has seen. */
  private void count() {
    if (losses.beyond().isEmpty() || counting) {
      return;
    }
    counting = true;
    Base base = world.base();
    long added = losses.beyond().getAsLong() + MARGIN;
    store.commitUrgent(
        List.of(base.condition()),
        List.of(new Write(Keys.BASE_KEY, Base.write(added), 0)),
        Duration.ofSeconds(2),
        (result, revision) -> {
          counting = false;
          if (result == Result.DONE || result == Result.CONFLICT) {
            losses.counted(); // Or another has: what is still too low is noticed again.
            log.warn("tokens count from {} on, by {}", added, result);
          }
        });
  }

  private void jobs(Duration now) {
    lostSince.keySet().retainAll(world.lost().keySet());
    int left = MOST;
    for (Map.Entry<String, Long> lost : List.copyOf(world.lost().entrySet())) {
      String id = lost.getKey();
      Duration since = lostSince.computeIfAbsent(id, k -> now);
      boolean holder = slots.holds(Keys.slotOf(id));
      if (now.minus(since).compareTo(holder ? DRAINED : OTHERS) < 0 || underWay.contains(id)) {
        continue;
      }
      if (left-- == 0 || !store.reserve(1)) {
        return;
      }
      writeAgain(id, lost.getValue());
    }
  }

  private void writeAgain(String id, long version) {
    Job job = world.job(id);
    JobRecord record = job != null ? job.record() : JobRecord.outcome(world.finalPhase(id));
    underWay.add(id);
    store.commitReserved(
        Keys.unchanged(id, version),
        List.of(new Write(Keys.jobKey(id), world.base().written(record), 0)),
        (result, revision) -> {
          log.warn("record of job={} {} written again: {}", id, record.phase(), result);
          if (result == Result.CONFLICT) {
            lookForOutcome(id);
          }
          loop.after(Duration.ofSeconds(1), () -> underWay.remove(id));
        });
  }

  /** Its record was not lost, but put away while this controller could not see it; or it is there again. */
  private void lookForOutcome(String id) {
    store.get(
        Keys.endedKey(id),
        new Got() {
          @Override
          public void value(Change change) {
            try {
              if (change != null && world.lost().containsKey(id)) {
                world.found(id, JobRecord.read(change.value()).phase());
              }
            } catch (BadInput e) {
              log.error("outcome of job={} is unreadable: {}", id, e.getMessage());
            }
          }

          @Override
          public void failed() {
            // It is tried again.
          }
        });
  }

  /** A final state never changes, so it can be written wherever it is known, whatever is there. */
  private void outcomes() {
    if (!losses.noticedAt().equals(rememberedFor)) {
      rememberedFor = losses.noticedAt();
      outcomes = new HashMap<>(world.remembered()).entrySet().iterator();
    }
    while (outcomes.hasNext() && store.reserveSpare(atOnce)) {
      List<Write> writes = new ArrayList<>();
      while (outcomes.hasNext() && writes.size() < atOnce) {
        Map.Entry<String, JobRecord.Phase> outcome = outcomes.next();
        writes.add(
            new Write(
                Keys.endedKey(outcome.getKey()),
                JobRecord.outcome(outcome.getValue()).write(),
                0));
      }
      store.commitReserved(List.of(), writes, (result, revision) -> {});
    }
  }
}
