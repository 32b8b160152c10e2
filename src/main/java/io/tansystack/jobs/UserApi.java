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
 * The users' interface. Accepting, cancelling and every state that is not final is answered as of the
 * state service, never from a copy that may lag; a final state may be answered from memory, since it
 * never changes.
 */
public final class UserApi {
  private static final Logger log = LoggerFactory.getLogger(UserApi.class);
  private static final int MAX_OPEN = 128;
  private static final int CANCEL_TRIES = 6;
  private static final Duration CANCEL_WAIT = Duration.ofMillis(2500);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final InstantSource clock;
  private final BooleanSupplier storeAnswers;
  private final JobLookup lookup;
  private final SubmissionHandler submissions;
  private int open;

  /** @param boot this start of the process */
  public UserApi(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      PlatformSettings settings,
      String boot,
      InstantSource clock,
      Supplier<Collection<MachineType>> types,
      BooleanSupplier storeAnswers,
      Runnable confirm) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.clock = clock;
    this.storeAnswers = storeAnswers;
    this.lookup = new JobLookup(loop, store, world, confirm);
    this.submissions =
        new SubmissionHandler(
            loop,
            world,
            settings,
            clock,
            types,
            lookup,
            new SubmissionWriter(loop, store, settings, boot));
  }

  /** What can't be served now is answered at once, with when to come back, rather than left to time out. */
  private boolean shed(Reply reply) {
    if (!storeAnswers.getAsBoolean()) {
      reply.send(503, Cbor.encode(Responses.error("the state service does not answer")), 1);
      return true;
    }
    if (open < MAX_OPEN) {
      return false;
    }
    reply.send(503, Cbor.encode(Responses.error("overloaded")), 2);
    return true;
  }

  private TrackedReply opened(Reply reply) {
    open++;
    return new TrackedReply(reply, () -> open--);
  }

  /** {@code POST /v1/jobs}. */
  public void submit(byte[] body, Reply reply) {
    if (!shed(reply)) {
      submissions.submit(body, opened(reply));
    }
  }

  /** The copy of the records holds all that was committed before {@code at}. */
  public void synced(Duration at) {
    lookup.synced(at);
  }

  /**
   * {@code GET /v1/jobs/ID}. The copy of the records, once it holds all that was committed before the
   * poll came, is as good as a read for each poll: with hundreds of jobs, single reads alone would use
   * up the state service's limit on requests.
   */
  public void poll(String id, Reply reply) {
    if (!JobSpec.validId(id)) {
      reply.send(404, Cbor.encode(Responses.error("no such job")));
      return;
    }
    if (answeredFinal(id, reply) || shed(reply)) {
      return;
    }
    TrackedReply once = opened(reply);
    Duration at = loop.now();
    lookup.whenSynced(
        synced -> {
          Job job = world.job(id);
          if (world.finalPhase(id) != null) {
            once.send(200, Responses.progress(id, world.finalPhase(id).state(), 0, 0));
          } else if (job != null && synced) {
            progress(id, job.record(), once);
          } else {
            // The copy forgets old outcomes; only the state service can deny a job.
            lookup.find(
                id,
                at,
                new ForUser(once) {
                  @Override
                  public void take(JobRecord record, long version) {
                    progress(id, record, once);
                  }
                });
          }
        });
  }

  private boolean answeredFinal(String id, Reply reply) {
    JobRecord.Phase phase = world.finalPhase(id);
    if (phase != null) {
      reply.send(200, Cbor.encode(Responses.progress(id, phase.state(), 0, 0)));
    }
    return phase != null;
  }

  /** Answers a user where there is no such job, or nobody knows. */
  private abstract static class ForUser implements LookupCallback {
    private final TrackedReply once;

    ForUser(TrackedReply once) {
      this.once = once;
    }

    @Override
    public void absent() {
      once.send(404, Responses.error("no such job"));
    }

    @Override
    public void unsure(String why) {
      once.unsure(why);
    }
  }

  private static void progress(String id, JobRecord record, TrackedReply once) {
    once.send(
        200,
        Responses.progress(
            id,
            record.state(),
            record.done().size(),
            record.active() ? record.placedCount() : 0));
  }

  /** {@code POST /v1/jobs/ID/abort}. */
  public void abort(String id, Reply reply) {
    if (!JobSpec.validId(id)) {
      reply.send(404, Cbor.encode(Responses.error("no such job")));
      return;
    }
    if (world.finalPhase(id) != null) {
      reply.send(200, Cbor.encode(Responses.job(id, world.finalPhase(id).state())));
      return;
    }
    if (!shed(reply)) {
      tryCancel(id, CANCEL_TRIES, opened(reply));
    }
  }

  /** The slot's holder writes the record too; the one who loses reads it again. */
  private void tryCancel(String id, int tries, TrackedReply once) {
    if (tries == 0) {
      once.unsure("the record keeps changing");
      return;
    }
    lookup.find(
        id,
        loop.now(),
        new ForUser(once) {
          @Override
          public void take(JobRecord record, long version) {
            if (record.active()) {
              cancel(id, record, version, tries, once);
            } else {
              once.send(200, Responses.job(id, record.state()));
            }
          }
        });
  }

  private void cancel(String id, JobRecord record, long version, int tries, TrackedReply once) {
    String key = ClusterState.jobKey(id);
    store.commitUrgent(
        ClusterState.unchanged(id, version),
        List.of(new Write(key, record.cancelled(clock.millis()).write(), 0)),
        CANCEL_WAIT,
        (result, revision) -> {
          switch (result) {
            case DONE -> {
              log.info("cancelled job={} placed={}", id, record.placedCount());
              once.send(200, Responses.job(id, JobStatus.CANCELLED));
            }
            case CONFLICT -> tryCancel(id, tries - 1, once);
            default -> once.unsure("the state service did not confirm");
          }
        });
  }
}
