package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.http.Callbacks;
import io.tansystack.http.DelayedTask;
import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.store.StoreClient.ReadCallback;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.ThrottledLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.LoggerFactory;

/**
 * Finds the current state of jobs, which the local cache of the records may not show yet. A job's
 * individual record is read from the state service. A job that was accepted in a submission batch
 * has no individual record until it is acted on, so only a cache that contains every change
 * committed before the request can prove that a job does not exist.
 */
final class JobLookup {
  /** How long requests wait for the next change before a confirmation is requested. */
  private static final Duration CONFIRM_DELAY = Duration.ofMillis(200);

  /** How long a request waits at most for the cache to be up to date. */
  private static final Duration MAX_WAIT = Duration.ofMillis(700);

  /** Receives the result of a lookup. */
  interface LookupCallback {
    /**
     * The job was found.
     *
     * @param version the version of the job's individual key; 0 if it has none yet
     */
    void found(JobRecord record, long version);

    /** There was no such job at the time of the request. */
    void absent();

    /** The state of the job can't be determined now. */
    void unavailable(String why);
  }

  private record WaitingRequest(Duration requestedAt, Consumer<Boolean> callback) {}

  private final ThrottledLogger invalidMessages =
      new ThrottledLogger(LoggerFactory.getLogger(JobLookup.class));
  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final Runnable requestConfirmation;
  private final ArrayDeque<WaitingRequest> waiting = new ArrayDeque<>();
  private final DelayedTask serving;
  private Duration upToDateAt;

  /**
   * @param requestConfirmation asks the state service to confirm that the cache is up to date, for
   *     times when nothing changes
   */
  JobLookup(
      EventLoop loop, StoreClient store, ClusterState clusterState, Runnable requestConfirmation) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.requestConfirmation = requestConfirmation;
    this.serving = new DelayedTask(loop, this::serveWaiting);
  }

  /** Called when the cache contains every change committed before {@code at}. */
  void onUpToDate(Duration at) {
    if (upToDateAt == null || at.compareTo(upToDateAt) > 0) {
      upToDateAt = at;
    }
    endWaiting(at, true);
  }

  /** Ends the waiting of the requests that arrived up to the given time. */
  private void endWaiting(Duration requestedUpTo, boolean upToDate) {
    List<WaitingRequest> ended = new ArrayList<>();
    while (!waiting.isEmpty() && waiting.peek().requestedAt.compareTo(requestedUpTo) <= 0) {
      ended.add(waiting.poll());
    }
    Callbacks.forEach(ended, request -> request.callback.accept(upToDate));
  }

  /**
   * Calls back with true once the cache contains every change committed before now, or with false
   * if that takes longer than {@link #MAX_WAIT}.
   */
  void whenUpToDate(Consumer<Boolean> callback) {
    waiting.add(new WaitingRequest(loop.now(), callback));
    serving.schedule(CONFIRM_DELAY);
  }

  /**
   * Ends requests that have waited for too long. While nothing changes, the cache is seldom
   * confirmed to be up to date, so a confirmation is requested, once for all waiting requests.
   */
  private void serveWaiting() {
    Duration now = loop.now();
    try {
      endWaiting(now.minus(MAX_WAIT), false);
    } finally {
      if (!waiting.isEmpty()) {
        requestConfirmationIfDue(now);
      }
    }
  }

  private void requestConfirmationIfDue(Duration now) {
    Duration remaining = CONFIRM_DELAY.minus(now.minus(waiting.peek().requestedAt));
    if (!remaining.isNegative() && !remaining.isZero()) {
      serving.schedule(remaining);
      return;
    }
    serving.schedule(CONFIRM_DELAY);
    requestConfirmation.run();
  }

  /**
   * Finds a job.
   *
   * @param requestedAt when the request arrived; all changes committed before are considered
   */
  void find(String id, Duration requestedAt, LookupCallback callback) {
    read(
        ClusterState.jobKey(id),
        callback,
        change -> {
          if (change != null) {
            deliver(id, change, callback);
          } else {
            findWithoutIndividualRecord(id, requestedAt, callback);
          }
        });
  }

  private void read(String key, LookupCallback callback, Consumer<Change> onValue) {
    store.get(
        key,
        new ReadCallback() {
          @Override
          public void value(Change change) {
            onValue.accept(change);
          }

          @Override
          public void failed() {
            callback.unavailable("the state service did not answer");
          }
        });
  }

  /**
   * Passes a record that was read to the callback. A slow read returns the state at the time when
   * it was executed. If the cache has shown the job's final state since, another controller may
   * already have reported that state to the user, and this one must not report an earlier one.
   */
  private void deliver(String id, Change change, LookupCallback callback) {
    try {
      JobRecord record = JobRecord.read(change.value());
      JobRecord.Phase phase = record.active() ? clusterState.finalPhase(id) : null;
      callback.found(phase == null ? record : JobRecord.outcome(phase), change.version());
    } catch (InvalidMessageException e) {
      invalidMessages.warn("record of job=" + id, e.getMessage());
      callback.unavailable("the record is unreadable");
    }
  }

  private void findWithoutIndividualRecord(
      String id, Duration requestedAt, LookupCallback callback) {
    JobRecord.Phase phase = clusterState.finalPhase(id);
    if (phase != null) {
      callback.found(JobRecord.outcome(phase), 0);
    } else if (clusterState.job(id) != null
        || (upToDateAt != null && upToDateAt.compareTo(requestedAt) >= 0)) {
      findInArchive(id, callback);
    } else {
      whenUpToDate(
          upToDate -> {
            if (upToDate || clusterState.job(id) != null) {
              findInArchive(id, callback);
            } else {
              callback.unavailable("the records are not up to date");
            }
          });
      // A request for a job that doesn't exist need not wait for the next change.
      requestConfirmation.run();
    }
  }

  /**
   * Looks for the archived outcome of a job that had no individual record. The cache, which
   * contains every change committed before the request, and then the archive distinguish the
   * remaining cases:
   *
   * <ul>
   *   <li>The job is in neither of them: there was no such job.
   *   <li>The cache shows it in a submission batch only, and the archive has no outcome: it may not
   *       have been acted on yet.
   *   <li>The cache shows it under its individual key: it has been archived since, so the archive
   *       has its outcome.
   * </ul>
   */
  private void findInArchive(String id, LookupCallback callback) {
    Job cached = clusterState.job(id);
    read(
        ClusterState.archiveKey(id),
        callback,
        change -> {
          if (change != null) {
            deliver(id, change, callback);
          } else if (cached == null) {
            callback.absent();
          } else if (cached.version() == 0) {
            callback.found(cached.record(), 0);
          } else {
            callback.unavailable("the records are not up to date");
          }
        });
  }
}
