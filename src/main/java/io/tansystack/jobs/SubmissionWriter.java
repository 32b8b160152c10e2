package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState;
import io.tansystack.http.Callbacks;
import io.tansystack.http.DelayedTask;
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
 * Writes accepted jobs. A job that arrives alone gets its individual record at once. Jobs that
 * arrive faster than a part of the write limit allows are batched, and one record accepts several
 * of them: when a whole day's work is submitted at once, one write per job would delay everything
 * else.
 */
final class SubmissionWriter {
  /** How long a transaction may wait for write budget. */
  private static final Duration MAX_QUEUE_TIME = Duration.ofMillis(2500);

  /** Jobs that arrive within this time after a first one are written with it. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(10);

  private static final Duration RETRY_DELAY = Duration.ofMillis(25);

  /**
   * Share of the write limit for the submissions of all controllers together while they are
   * batched; the rest is left to other writes.
   */
  private static final double WRITE_SHARE = 0.5;

  /**
   * Maximum interval between batches of a controller, even if that takes more than {@link
   * #WRITE_SHARE}, so that no submission waits longer than this for others.
   */
  private static final Duration MAX_WRITE_INTERVAL = Duration.ofMillis(120);

  /** Share of a value's maximum size for its entries; the rest is for the names around them. */
  private static final double MAX_FILL = 0.9;

  /** More submissions than this are refused while these wait for write budget. */
  private static final int MAX_PENDING = 2 * OpenRequests.MAX_OPEN;

  /** @param size the record's size in JSON, with a separator */
  private record PendingSubmission(JobRecord record, int size, Consumer<CommitResult> callback) {}

  private final EventLoop loop;
  private final StoreClient store;
  private final String incarnation;
  private final RateBudget budget;
  private final int maxJobs;
  private final int maxSize;
  private final ArrayDeque<PendingSubmission> pending = new ArrayDeque<>();
  private final DelayedTask flush;
  private long batchCounter;

  /** @param incarnation the process incarnation ID, with which names of submission batches begin */
  SubmissionWriter(
      EventLoop loop, StoreClient store, PlatformSettings settings, String incarnation) {
    this.loop = loop;
    this.store = store;
    this.incarnation = incarnation;
    this.flush = new DelayedTask(loop, this::flush);
    PlatformSettings.StateServiceLimits limits = settings.stateServiceLimits();
    double perSecond =
        Math.max(
            limits.writeRps() * WRITE_SHARE / settings.controllerCount(),
            1000.0 / MAX_WRITE_INTERVAL.toMillis());
    this.budget = new RateBudget(perSecond, Math.max(2, perSecond), loop.now());
    // A transaction has two conditions for each job and one for the batch record itself.
    this.maxJobs = (limits.maxTxnOps() * 4 - 1) / 2;
    this.maxSize = (int) (limits.maxValueBytes() * MAX_FILL);
  }

  /**
   * Accepts a job; the result is {@code CONFLICT} if it is known already, and {@code REFUSED} if
   * too many submissions wait.
   */
  void accept(JobRecord record, Consumer<CommitResult> callback) {
    if (pending.size() >= MAX_PENDING) {
      callback.accept(CommitResult.REFUSED);
      return;
    }
    pending.add(new PendingSubmission(record, Cbor.jsonSize(record.write()) + 1, callback));
    flush.schedule(BATCH_DELAY);
  }

  private void flush() {
    try {
      while (!pending.isEmpty() && budget.tryAcquire(1, true, loop.now())) {
        write(nextBatch());
      }
    } finally {
      if (!pending.isEmpty()) {
        flush.schedule(RETRY_DELAY);
      }
    }
  }

  private List<PendingSubmission> nextBatch() {
    List<PendingSubmission> batch = new ArrayList<>();
    int size = 0;
    while (!pending.isEmpty()
        && batch.size() < maxJobs
        && (batch.isEmpty() || size + pending.peek().size <= maxSize)) {
      size += pending.peek().size;
      batch.add(pending.poll());
    }
    return batch;
  }

  private void write(List<PendingSubmission> batch) {
    if (batch.size() == 1) {
      writeIndividually(batch.get(0));
    } else {
      writeBatch(batch);
    }
  }

  private void writeIndividually(PendingSubmission submission) {
    String key = ClusterState.jobKey(submission.record.spec().id());
    ObjectNode value = submission.record.write();
    store.commitUrgent(
        ClusterState.unchanged(submission.record.spec().id(), 0),
        List.of(new Write(key, value, 0)),
        MAX_QUEUE_TIME,
        (result, revision) -> submission.callback.accept(result));
  }

  /**
   * Accepts several jobs with one record. If one of them already has an individual record or an
   * archived outcome, or can't be recorded, the whole transaction fails, and each job is then
   * written individually. A job that is in another submission batch does not make it fail: the
   * earlier batch counts.
   */
  private void writeBatch(List<PendingSubmission> batch) {
    String key = ClusterState.submissionBatchKey(incarnation + "-" + batchCounter++);
    List<Condition> conditions = new ArrayList<>();
    List<JobRecord> records = new ArrayList<>();
    conditions.add(new Condition(key, 0));
    for (PendingSubmission submission : batch) {
      conditions.addAll(ClusterState.unchanged(submission.record.spec().id(), 0));
      records.add(submission.record);
    }
    store.commitUrgent(
        conditions,
        List.of(new Write(key, ClusterState.submissionBatch(records), 0)),
        MAX_QUEUE_TIME,
        (result, revision) -> {
          if (result == CommitResult.CONFLICT || result == CommitResult.MALFORMED) {
            Callbacks.forEach(batch, this::writeIndividually);
          } else {
            Callbacks.forEach(batch, submission -> submission.callback.accept(result));
          }
        });
  }
}
