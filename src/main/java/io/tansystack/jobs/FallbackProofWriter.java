package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.SlotManager;
import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import io.tansystack.workers.TerminationProofs;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Proofs for jobs of other controllers' slots that nobody takes in. */
final class FallbackProofWriter {
  private static final Logger log = LoggerFactory.getLogger(FallbackProofWriter.class);
  private static final Duration FOREIGN_AFTER = Duration.ofMillis(2500);

  /**
   * A holder that acts has more proofs to write than the limit allows at times: after a fleet has lost
   * its leases, of every job at once. Help from all others only makes all their writes conflict.
   */
  private static final Duration HOLDER_ACTS = Duration.ofSeconds(30);

  private record Unabsorbed(long version, Duration since) {}

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final SlotManager slots;
  private final SchedulingState book;
  private final Predicate<String> acts;
  private final Runnable wake;
  private final Map<String, Unabsorbed> unabsorbed = new HashMap<>();

  /** @param acts whether a controller is heard of here and says that it may act */
  FallbackProofWriter(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      SlotManager slots,
      SchedulingState book,
      Predicate<String> acts,
      Runnable wake) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.slots = slots;
    this.book = book;
    this.acts = acts;
    this.wake = wake;
  }

  /**
   * Where the holder of a job's slot does not take in proofs that have been here for a while, for
   * instance because it can't be reached, they are written without it: the record's own version is
   * enough for that, and users learn that their job is done.
   */
  void absorb() {
    Duration now = loop.now();
    unabsorbed.keySet().retainAll(book.proven());
    for (String id : List.copyOf(book.proven())) {
      Job job = world.job(id);
      if (slots.holds(job.slot()) || book.isPending(id)) {
        unabsorbed.remove(id);
        continue;
      }
      Unabsorbed known = unabsorbed.get(id);
      if (known == null || known.version != job.version()) {
        unabsorbed.put(id, new Unabsorbed(job.version(), now));
        continue;
      }
      ClusterState.Holder holder = world.slot(job.slot());
      boolean held =
          holder != null && world.alive(holder.label(), holder.incarnation()) && acts.test(holder.label());
      Duration after = held ? HOLDER_ACTS : FOREIGN_AFTER;
      if (now.minus(known.since).compareTo(after) < 0 || !store.reserve(1)) {
        continue;
      }
      unabsorbed.remove(id);
      List<Condition> conditions = new ArrayList<>(job.unchanged());
      JobUpdateBuilder.addProofConditions(book.proofs(id), new HashSet<>(), conditions);
      JobRecord next = book.effective().get(id);
      log.info("taking in proofs for job={} of another's slot {}", id, job.slot());
      DroppedPlacementLog.log(id, book.proofs(id), world.revision());
      book.writing(job, next);
      store.commitReserved(
          conditions,
          List.of(new Write(ClusterState.jobKey(id), next.write(), 0)),
          (result, revision) ->
              loop.after(
                  Duration.ofMillis(300),
                  () -> {
                    book.dropped(id);
                    wake.run();
                  }));
    }
    if (!unabsorbed.isEmpty()) {
      loop.after(Duration.ofSeconds(1), wake);
    }
  }
}
