package io.tansystack.jobs;

import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World;
import io.tansystack.http.Loop;
import io.tansystack.records.JobRecord;
import io.tansystack.store.StoreClient.Got;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.StoreWire.Change;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds jobs as they stand now, not as a copy that may lag shows them. A job's own record is read from
 * the state service; one that was accepted together with others has none until it is acted on, so
 * only a copy of the records that holds all that was committed before the question may deny a job.
 */
final class Lookup {
  private static final Logger log = LoggerFactory.getLogger(Lookup.class);
  private static final Duration ASK_AFTER = Duration.ofMillis(200);
  private static final Duration LONGEST_WAIT = Duration.ofMillis(700);

  /** What was found. */
  interface Found {
    /** The record, and the version of the job's own key: 0 where it has none yet. */
    void take(JobRecord record, long version);

    /** There was no such job when it was asked for. */
    void absent();

    /** Nobody knows now. */
    void unsure(String why);
  }

  private record Waiting(Duration at, Consumer<Boolean> then) {}

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final Runnable confirm;
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private Duration syncedAt;

  /** @param confirm asks whether the copy is complete, where nothing changes */
  Lookup(Loop loop, StoreClient store, World world, Runnable confirm) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.confirm = confirm;
  }

  /** The copy of the records holds all that was committed before {@code at}. */
  void synced(Duration at) {
    if (syncedAt == null || at.compareTo(syncedAt) > 0) {
      syncedAt = at;
    }
    while (!waiting.isEmpty() && waiting.peek().at.compareTo(at) <= 0) {
      waiting.poll().then.accept(true);
    }
  }

  /** Calls back once the copy holds all that was committed before now, or with false after a while. */
  void whenSynced(Consumer<Boolean> then) {
    waiting.add(new Waiting(loop.now(), then));
    if (waiting.size() == 1) {
      loop.after(ASK_AFTER, this::tendLongest);
    }
  }

  /** Where nothing changes, the copy is confirmed seldom: it is asked for once, for all who wait. */
  private void tendLongest() {
    Duration now = loop.now();
    while (!waiting.isEmpty() && now.minus(waiting.peek().at).compareTo(LONGEST_WAIT) >= 0) {
      waiting.poll().then.accept(false);
    }
    if (!waiting.isEmpty()) {
      Duration left = ASK_AFTER.minus(now.minus(waiting.peek().at));
      if (!left.isNegative() && !left.isZero()) {
        loop.after(left, this::tendLongest);
        return;
      }
      confirm.run();
      loop.after(ASK_AFTER, this::tendLongest);
    }
  }

  /** @param askedAt when the question came: what was committed before that is found */
  void find(String id, Duration askedAt, Found found) {
    store.get(
        World.jobKey(id),
        new Got() {
          @Override
          public void value(Change change) {
            if (change == null) {
              withoutOwn(id, askedAt, found);
              return;
            }
            try {
              found.take(JobRecord.read(change.value()), change.version());
            } catch (BadInput e) {
              log.error("record of job={} is unreadable: {}", id, e.getMessage());
              found.unsure("the record is unreadable");
            }
          }

          @Override
          public void failed() {
            found.unsure("the state service did not answer");
          }
        });
  }

  private void withoutOwn(String id, Duration askedAt, Found found) {
    if (answered(id, askedAt, found)) {
      return;
    }
    if (syncedAt != null && syncedAt.compareTo(askedAt) >= 0) {
      found.absent();
      return;
    }
    whenSynced(
        synced -> {
          if (!answered(id, askedAt, found)) {
            if (synced) {
              found.absent();
            } else {
              found.unsure("the records are not up to date");
            }
          }
        });
    confirm.run(); // Whoever asks for what is not there need not wait for the next change.
  }

  /**
   * From the copy. A job that has no record of its own there had none when it was read either, or has
   * one that is newer than that reading. One that has ended meanwhile has a record now.
   */
  private boolean answered(String id, Duration askedAt, Found found) {
    Job job = world.job(id);
    if (job != null) {
      found.take(job.record(), job.version());
    } else if (world.finalPhase(id) != null) {
      find(id, askedAt, found);
    } else {
      return false;
    }
    return true;
  }
}
