package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.jobs.JobLookup.LookupCallback;
import io.tansystack.records.JobRecord;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Responses.JobStatus;
import io.tansystack.wire.Responses;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves users' requests: submission, polling and cancellation of jobs. Acceptance, cancellation
 * and states that are not final are answered according to the state service, never from a cache
 * that may lag. A final state may be answered from memory, because it never changes.
 */
public final class UserApi {
  private static final Logger log = LoggerFactory.getLogger(UserApi.class);
  private static final int CANCEL_TRIES = 6;

  /** How long the write of a cancellation may wait for write budget. */
  private static final Duration MAX_CANCEL_QUEUE_TIME = Duration.ofMillis(2500);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final InstantSource clock;
  private final BooleanSupplier storeResponsive;
  private final JobLookup lookup;
  private final SubmissionHandler submissions;
  private final OpenRequests openRequests;

  /**
   * @param incarnation the process incarnation ID
   * @param storeResponsive whether the state service responds
   * @param requestConfirmation asks the state service to confirm that the cache is up to date
   */
  public UserApi(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      PlatformSettings settings,
      String incarnation,
      InstantSource clock,
      Supplier<Collection<MachineType>> machineTypes,
      BooleanSupplier storeResponsive,
      Runnable requestConfirmation) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.clock = clock;
    this.storeResponsive = storeResponsive;
    this.openRequests = new OpenRequests(loop);
    this.lookup = new JobLookup(loop, store, clusterState, requestConfirmation);
    this.submissions =
        new SubmissionHandler(
            loop,
            clusterState,
            settings,
            clock,
            machineTypes,
            lookup,
            new SubmissionWriter(loop, store, settings, incarnation));
  }

  /**
   * Answers a request that can't be served now with 503 and the time after which to retry, instead
   * of letting it time out. Returns whether it did.
   */
  private boolean rejectIfUnavailable(Reply reply) {
    if (!storeResponsive.getAsBoolean()) {
      reply.send(503, Cbor.encode(Responses.error("the state service does not answer")), 1);
      return true;
    }
    if (!openRequests.isFull()) {
      return false;
    }
    reply.send(503, Cbor.encode(Responses.error("overloaded")), 2);
    return true;
  }

  /** The number of requests that are being processed. */
  public int openRequestCount() {
    return openRequests.count();
  }

  /** The number of requests so far that were answered only because their time was over. */
  public long expiredRequestCount() {
    return openRequests.expiredCount();
  }

  /** Serves {@code POST /v1/jobs}. */
  public void submit(byte[] body, Reply reply) {
    if (!rejectIfUnavailable(reply)) {
      openRequests.process("submission", reply, tracked -> submissions.submit(body, tracked));
    }
  }

  /** Called when the cache contains every change committed before {@code at}. */
  public void onUpToDate(Duration at) {
    lookup.onUpToDate(at);
  }

  /**
   * Serves {@code GET /v1/jobs/ID}. Once the cache contains every change committed before the poll
   * arrived, it is as good as a read for each poll: with hundreds of jobs, such reads alone would
   * use up the state service's request limit.
   */
  public void poll(String id, Reply reply) {
    if (!JobSpec.isValidId(id)) {
      reply.send(404, Cbor.encode(Responses.error("no such job")));
      return;
    }
    if (answerIfFinal(id, reply) || rejectIfUnavailable(reply)) {
      return;
    }
    openRequests.process("poll", reply, tracked -> pollWhenUpToDate(id, tracked));
  }

  private void pollWhenUpToDate(String id, TrackedReply reply) {
    Duration requestedAt = loop.now();
    lookup.whenUpToDate(
        upToDate -> {
          Job job = clusterState.job(id);
          if (clusterState.finalPhase(id) != null) {
            reply.send(
                200, Responses.jobProgress(id, clusterState.finalPhase(id).status(), 0, 0));
          } else if (job != null && upToDate) {
            sendProgress(id, job.record(), reply);
          } else {
            // The cache discards old outcomes: only the state service can prove a job's absence.
            lookup.find(
                id,
                requestedAt,
                new UserLookupCallback(reply) {
                  @Override
                  public void found(JobRecord record, long version) {
                    sendProgress(id, record, reply);
                  }
                });
          }
        });
  }

  private boolean answerIfFinal(String id, Reply reply) {
    JobRecord.Phase phase = clusterState.finalPhase(id);
    if (phase != null) {
      reply.send(200, Cbor.encode(Responses.jobProgress(id, phase.status(), 0, 0)));
    }
    return phase != null;
  }

  /** Answers a user if there is no such job or its state can't be determined. */
  private abstract static class UserLookupCallback implements LookupCallback {
    private final TrackedReply reply;

    UserLookupCallback(TrackedReply reply) {
      this.reply = reply;
    }

    @Override
    public void absent() {
      reply.send(404, Responses.error("no such job"));
    }

    @Override
    public void unavailable(String why) {
      reply.sendUnavailable(why);
    }
  }

  private static void sendProgress(String id, JobRecord record, TrackedReply reply) {
    reply.send(
        200,
        Responses.jobProgress(
            id,
            record.status(),
            record.done().size(),
            record.active() ? record.placedTaskCount() : 0));
  }

  /** Serves {@code POST /v1/jobs/ID/abort}. */
  public void abort(String id, Reply reply) {
    if (!JobSpec.isValidId(id)) {
      reply.send(404, Cbor.encode(Responses.error("no such job")));
      return;
    }
    if (clusterState.finalPhase(id) != null) {
      reply.send(200, Cbor.encode(Responses.jobStatus(id, clusterState.finalPhase(id).status())));
      return;
    }
    if (!rejectIfUnavailable(reply)) {
      openRequests.process(
          "cancellation", reply, tracked -> tryCancel(id, CANCEL_TRIES, tracked));
    }
  }

  /** The slot's holder writes the record too; after a conflict it is read and tried again. */
  private void tryCancel(String id, int tries, TrackedReply reply) {
    if (tries == 0) {
      reply.sendUnavailable("the record keeps changing");
      return;
    }
    lookup.find(
        id,
        loop.now(),
        new UserLookupCallback(reply) {
          @Override
          public void found(JobRecord record, long version) {
            if (record.active()) {
              cancel(id, record, version, tries, reply);
            } else {
              reply.send(200, Responses.jobStatus(id, record.status()));
            }
          }
        });
  }

  private void cancel(String id, JobRecord record, long version, int tries, TrackedReply reply) {
    String key = ClusterState.jobKey(id);
    store.commitUrgent(
        ClusterState.unchanged(id, version),
        List.of(new Write(key, record.cancelled(clock.millis()).write(), 0)),
        MAX_CANCEL_QUEUE_TIME,
        (result, revision) -> {
          switch (result) {
            case DONE -> {
              log.info("cancelled job={} placed={}", id, record.placedTaskCount());
              reply.send(200, Responses.jobStatus(id, JobStatus.CANCELLED));
            }
            case CONFLICT -> tryCancel(id, tries - 1, reply);
            default -> reply.sendUnavailable("the state service did not confirm");
          }
        });
  }
}
