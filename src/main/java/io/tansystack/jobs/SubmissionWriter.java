package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.RateBudget;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes accepted jobs. One that comes alone gets its record at once; those that come faster than a
 * part of the write limit allows are gathered, and one record accepts several of them: where a whole
 * day's work is submitted at once, a write for each would keep everything else waiting.
 */
final class SubmissionWriter {
  private static final Duration WAIT = Duration.ofMillis(2500);

  /** What comes within this of a first one shares its record. */
  private static final Duration GATHER = Duration.ofMillis(10);

  private static final Duration RETRY = Duration.ofMillis(25);

  /** All submissions together leave this much of the write limit to others while they are gathered, */
  private static final double SHARE = 0.5;

  /** but nobody is kept waiting for others longer than this. */
  private static final Duration LONGEST = Duration.ofMillis(120);

  /** Of a value, the rest for the names around its entries. */
  private static final double FILLED = 0.9;

  private record Waiting(JobRecord record, int size, Consumer<CommitResult> then) {}

  private final EventLoop loop;
  private final StoreClient store;
  private final String boot;
  private final RateBudget pace;
  private final int maxJobs;
  private final int maxSize;
  private final ArrayDeque<Waiting> gathered = new ArrayDeque<>();
  private boolean timed;
  private long counter;

  /** @param boot this start of the process: names of intakes begin with it */
  SubmissionWriter(EventLoop loop, StoreClient store, PlatformSettings settings, String boot) {
    this.loop = loop;
    this.store = store;
    this.boot = boot;
    PlatformSettings.StateServiceLimits limits = settings.store();
    double perSecond =
        Math.max(limits.writeRps() * SHARE / settings.size(), 1000.0 / LONGEST.toMillis());
    this.pace = new RateBudget(perSecond, Math.max(2, perSecond), loop.now());
    // Two conditions for each job, and one for the record itself.
    this.maxJobs = (limits.txnOps() * 4 - 1) / 2;
    this.maxSize = (int) (limits.valueBytes() * FILLED);
  }

  /** Accepts a job; {@code CONFLICT} if it is known already. The caller bounds how many wait. */
  void accept(JobRecord record, Consumer<CommitResult> then) {
    gathered.add(new Waiting(record, Cbor.jsonSize(record.write()) + 1, then));
    flushIn(GATHER);
  }

  private void flushIn(Duration delay) {
    if (!timed) {
      timed = true;
      loop.after(
          delay,
          () -> {
            timed = false;
            flush();
          });
    }
  }

  private void flush() {
    while (!gathered.isEmpty() && pace.take(1, true, loop.now())) {
      List<Waiting> batch = new ArrayList<>();
      int size = 0;
      while (!gathered.isEmpty()
          && batch.size() < maxJobs
          && (batch.isEmpty() || size + gathered.peek().size <= maxSize)) {
        size += gathered.peek().size;
        batch.add(gathered.poll());
      }
      if (batch.size() == 1) {
        alone(batch.get(0));
      } else {
        together(batch);
      }
    }
    if (!gathered.isEmpty()) {
      flushIn(RETRY);
    }
  }

  private void alone(Waiting one) {
    String key = ClusterState.jobKey(one.record.spec().id());
    ObjectNode value = one.record.write();
    store.commitUrgent(
        ClusterState.unchanged(one.record.spec().id(), 0),
        List.of(new Write(key, value, 0)),
        WAIT,
        (result, revision) -> one.then.accept(result));
  }

  /**
   * One that has a record of its own already makes the whole transaction fail; each is then tried by
   * itself. One that stands in another's intake doesn't: that one is the earlier and counts.
   */
  private void together(List<Waiting> batch) {
    String key = ClusterState.submissionBatchKey(boot + "-" + counter++);
    List<Condition> conditions = new ArrayList<>();
    List<JobRecord> records = new ArrayList<>();
    conditions.add(new Condition(key, 0));
    for (Waiting one : batch) {
      conditions.addAll(ClusterState.unchanged(one.record.spec().id(), 0));
      records.add(one.record);
    }
    store.commitUrgent(
        conditions,
        List.of(new Write(key, ClusterState.submissionBatch(records), 0)),
        WAIT,
        (result, revision) -> {
          if (result == CommitResult.CONFLICT) {
            batch.forEach(this::alone);
          } else {
            batch.forEach(one -> one.then.accept(result));
          }
        });
  }
}
