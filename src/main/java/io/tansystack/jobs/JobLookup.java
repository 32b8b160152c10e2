package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.store.StoreClient.ReadCallback;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.ThrottledLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.LoggerFactory;

/**
 * Finds jobs as they stand now, not as a copy that may lag shows them. A job's own record is read from
 * the state service; one that was accepted together with others has none until it is acted on, so
 * only a copy of the records that holds all that was committed before the question may deny a job.
 */
final class JobLookup {
  private static final Duration ASK_AFTER = Duration.ofMillis(200);
  private static final Duration LONGEST_WAIT = Duration.ofMillis(700);

  /** What was found. */
  interface LookupCallback {
    /** The record, and the version of the job's own key: 0 where it has none yet. */
    void take(JobRecord record, long version);

    /** There was no such job when it was asked for. */
    void absent();

    /** Nobody knows now. */
    void unsure(String why);
  }

  private record Waiting(Duration at, Consumer<Boolean> then) {}

  private final ThrottledLogger malformed =
      new ThrottledLogger(LoggerFactory.getLogger(JobLookup.class));
  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final Runnable confirm;
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private Duration syncedAt;

  /** @param confirm asks whether the copy is complete, where nothing changes */
  JobLookup(EventLoop loop, StoreClient store, ClusterState world, Runnable confirm) {
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
  void find(String id, Duration askedAt, LookupCallback found) {
    read(
        ClusterState.jobKey(id),
        found,
        change -> {
          if (change != null) {
            take(id, change, found);
          } else {
            withoutOwn(id, askedAt, found);
          }
        });
  }

  private void read(String key, LookupCallback found, Consumer<Change> then) {
    store.get(
        key,
        new ReadCallback() {
          @Override
          public void value(Change change) {
            then.accept(change);
          }

          @Override
          public void failed() {
            found.unsure("the state service did not answer");
          }
        });
  }

  /**
   * A read that took long tells of what stood when it was made. If the copy has seen the job's end since,
   * its user may have been told of that by another controller, and must not hear less from this one.
   */
  private void take(String id, Change change, LookupCallback found) {
    try {
      JobRecord record = JobRecord.read(change.value());
      JobRecord.Phase phase = record.active() ? world.finalPhase(id) : null;
      found.take(phase == null ? record : JobRecord.outcome(phase), change.version());
    } catch (InvalidMessageException e) {
      malformed.tell("record of job=" + id, e.getMessage());
      found.unsure("the record is unreadable");
    }
  }

  private void withoutOwn(String id, Duration askedAt, LookupCallback found) {
    JobRecord.Phase phase = world.finalPhase(id);
    if (phase != null) {
      found.take(JobRecord.outcome(phase), 0);
    } else if (world.job(id) != null || (syncedAt != null && syncedAt.compareTo(askedAt) >= 0)) {
      amongEnded(id, found);
    } else {
      whenSynced(
          synced -> {
            if (synced || world.job(id) != null) {
              amongEnded(id, found);
            } else {
              found.unsure("the records are not up to date");
            }
          });
      confirm.run(); // Whoever asks for what is not there need not wait for the next change.
    }
  }

  /**
   * It had no record of its own. What the copy tells, which holds all that was committed before the
   * question, and then the absence of its outcome, tell the rest: with neither there was no such job;
   * one that an intake accepted may wait still; and one that the copy shows under its own key has been
   * put among those that are over since, and its outcome is there.
   */
  private void amongEnded(String id, LookupCallback found) {
    Job shown = world.job(id);
    read(
        ClusterState.archiveKey(id),
        found,
        change -> {
          if (change != null) {
            take(id, change, found);
          } else if (shown == null) {
            found.absent();
          } else if (shown.version() == 0) {
            found.take(shown.record(), 0);
          } else {
            found.unsure("the records are not up to date");
          }
        });
  }
}
