package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.World;
import io.tansystack.cluster.World.Job;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.http.Loop;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.store.StoreClient;
import io.tansystack.store.StoreClient.Got;
import io.tansystack.wire.Answers;
import io.tansystack.wire.Answers.JobState;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Read;
import io.tansystack.wire.Shape;
import io.tansystack.wire.StoreWire.Change;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The users' interface. Accepting, cancelling and every state that is not final is answered from the
 * state service itself, never from a copy that may lag; a final state may be answered from memory,
 * since it never changes.
 */
public final class UserApi {
  private static final Logger log = LoggerFactory.getLogger(UserApi.class);
  private static final int MAX_OPEN = 128;
  private static final int CANCEL_TRIES = 6;
  private static final Duration POLL_WAIT = Duration.ofMillis(200);
  private static final Duration LONGEST_POLL_WAIT = Duration.ofMillis(700);
  private static final Duration SUBMIT_WAIT = Duration.ofMillis(2500);

  private final StoreClient store;
  private final World world;
  private final PlatformSettings settings;
  private final InstantSource clock;
  private final Supplier<Collection<MachineType>> types;
  private final Loop loop;
  private final BooleanSupplier storeAnswers;
  private final Runnable confirm;
  private final ArrayDeque<Poll> polls = new ArrayDeque<>();
  private final RecordLimit limit;
  private int open;

  private record Poll(String id, Once once, Duration at) {}

  public UserApi(
      Loop loop,
      StoreClient store,
      World world,
      PlatformSettings settings,
      InstantSource clock,
      Supplier<Collection<MachineType>> types,
      BooleanSupplier storeAnswers,
      Runnable confirm) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.settings = settings;
    this.limit = new RecordLimit(settings.store().valueBytes());
    this.clock = clock;
    this.types = types;
    this.storeAnswers = storeAnswers;
    this.confirm = confirm;
  }

  /** An answer that also counts the request as over; more than so many are shed at once. */
  private final class Once {
    private final Reply reply;

    Once(Reply reply) {
      this.reply = reply;
      open++;
    }

    void send(int status, ObjectNode body) {
      open--;
      reply.send(status, Cbor.encode(body), status == 503 ? 1 : 0);
    }

    void unsure(String why) {
      send(503, Answers.error(why));
    }
  }

  /** What can't be served now is answered at once, with when to come back, rather than left to time out. */
  private boolean shed(Reply reply) {
    if (!storeAnswers.getAsBoolean()) {
      reply.send(503, Cbor.encode(Answers.error("the state service does not answer")), 1);
      return true;
    }
    if (open < MAX_OPEN) {
      return false;
    }
    reply.send(503, Cbor.encode(Answers.error("overloaded")), 2);
    return true;
  }

  /** {@code POST /v1/jobs}. */
  public void submit(byte[] body, Reply reply) {
    if (shed(reply)) {
      return;
    }
    Once once = new Once(reply);
    ObjectNode map;
    String id;
    try {
      map = Cbor.decodeMap(body);
      id = Read.text(map, "Uid");
    } catch (BadInput e) {
      once.send(400, Answers.error(e.getMessage()));
      return;
    }
    if (!JobSpec.validId(id)) {
      once.send(400, Answers.error("Uid: not of the form wk-000412"));
      return;
    }
    if (world.finalPhase(id) != null) {
      once.send(200, Answers.job(id, finalState(id)));
      return;
    }
    JobSpec spec;
    try {
      spec = JobSpec.read(map);
    } catch (BadInput e) {
      answerKnown(id, 400, e.getMessage(), once);
      return;
    }
    if (world.job(id) != null) {
      answerKnown(id, 0, null, once);
      return;
    }
    Collection<MachineType> known = types.get();
    if (known.isEmpty()) {
      once.unsure("machine types are not known yet");
      return;
    }
    String impossible = impossible(spec, settings.team(spec.team()), known);
    if (impossible == null && spec.shape() != Shape.ARRAY) {
      impossible = unholdable(spec, known);
    }
    if (impossible != null) {
      answerKnown(id, 422, impossible, once);
      return;
    }
    JobRecord record = JobRecord.created(spec, clock.millis());
    ObjectNode value = record.write();
    if (!limit.accepts(spec)) {
      answerKnown(id, 400, "the description is too long", once);
      return;
    }
    String key = World.jobKey(id);
    store.commitUrgent(
        List.of(new Condition(key, 0)),
        List.of(new Write(key, value, 0)),
        SUBMIT_WAIT,
        (result, revision) -> {
          switch (result) {
            case DONE -> {
              log.info(
                  "accepted job={} class={} shape={} priority={} tasks={}",
                  id,
                  spec.jobClass(),
                  spec.shape(),
                  spec.priority(),
                  spec.tasks());
              once.send(201, Answers.job(id, JobState.PENDING));
            }
            case CONFLICT -> answerKnown(id, 0, null, once);
            default -> once.unsure("the state service did not confirm");
          }
        });
  }

  /** Why the job can never run; null if it can. */
  public static String impossible(JobSpec spec, Team team, Collection<MachineType> types) {
    if (team == null) {
      return "Crew: unknown team";
    }
    boolean fits = false;
    for (MachineType type : types) {
      fits |=
          type.fits(spec)
              && spec.allowsType(type.name())
              && (spec.zone() == null || type.zones().contains(spec.zone()));
    }
    if (!fits) {
      return "a task fits no allowed machine type";
    }
    int together = spec.shape() == Shape.ARRAY ? 1 : spec.tasks();
    if ((team.cpusMax() > 0 && spec.cpus() * together > team.cpusMax() + 1e-6)
        || (team.gpusMax() > 0 && spec.gpus() * together > team.gpusMax() + 1e-6)) {
      return "needs more than the team's limit";
    }
    return null;
  }

  /** Tasks that have to run at once must be recorded at once, and a record holds so many only. */
  private String unholdable(JobSpec spec, Collection<MachineType> types) {
    int most = 0;
    for (MachineType type : types) {
      most = Math.max(most, spec.allowsType(type.name()) ? type.capacityFor(spec) : 0);
    }
    int machines = (spec.tasks() + most - 1) / most;
    int held = limit.placedAtOnce();
    if (spec.shape() == Shape.GANG) {
      held = Math.min(held, settings.store().txnOps() * 2);
    }
    return machines <= held
        ? null
        : "needs at least " + machines + " machines at once; " + held + " can be recorded";
  }

  private JobState finalState(String id) {
    return world.finalPhase(id) == JobRecord.Phase.DONE ? JobState.DONE : JobState.CANCELLED;
  }

  /** A job that was accepted once is answered for ever, whatever the body of a repetition holds. */
  private void answerKnown(String id, int statusIfUnknown, String why, Once once) {
    read(
        id,
        once,
        () -> {
          if (statusIfUnknown != 0) {
            once.send(statusIfUnknown, Answers.error(why));
          } else {
            once.unsure("try again");
          }
        },
        (record, version) -> once.send(200, Answers.job(id, record.state())));
  }

  /** What a strong read found: the record and its version. */
  private interface Found {
    void take(JobRecord record, long version);
  }

  private void read(String id, Once once, Runnable absent, Found found) {
    store.get(
        World.jobKey(id),
        new Got() {
          @Override
          public void value(Change change) {
            if (change == null) {
              absent.run();
              return;
            }
            JobRecord record;
            try {
              record = JobRecord.read(change.value());
            } catch (BadInput e) {
              log.error("record of job={} is unreadable: {}", id, e.getMessage());
              once.unsure("the record is unreadable");
              return;
            }
            found.take(record, change.version());
          }

          @Override
          public void failed() {
            once.unsure("the state service did not answer");
          }
        });
  }

  private static void noSuchJob(Once once) {
    once.send(404, Answers.error("no such job"));
  }

  /** {@code GET /v1/jobs/ID}. */
  public void poll(String id, Reply reply) {
    if (!JobSpec.validId(id)) {
      reply.send(404, Cbor.encode(Answers.error("no such job")));
      return;
    }
    if (world.finalPhase(id) != null) {
      reply.send(200, Cbor.encode(Answers.progress(id, finalState(id), 0, 0)));
      return;
    }
    if (shed(reply)) {
      return;
    }
    polls.add(new Poll(id, new Once(reply), loop.now()));
    if (polls.size() == 1) {
      loop.after(POLL_WAIT, this::readLongest);
    }
  }

  /**
   * The copy of the records holds all that was committed before {@code at}. A poll that came before
   * that is answered from it, which is as good as a read of its own: with hundreds of jobs, single
   * reads alone would use up the state service's limit on requests.
   */
  public void synced(Duration at) {
    while (!polls.isEmpty() && polls.peek().at.compareTo(at) <= 0) {
      Poll poll = polls.poll();
      Job job = world.job(poll.id);
      if (world.finalPhase(poll.id) != null) {
        poll.once.send(200, Answers.progress(poll.id, finalState(poll.id), 0, 0));
      } else if (job != null) {
        progress(poll.id, job.record(), poll.once);
      } else {
        read(poll); // The copy forgets old outcomes; only the state service can deny a job.
      }
    }
  }

  /**
   * Where nothing changes, the copy is confirmed seldom: it is asked for once, for all polls that
   * wait. Those that have waited even longer get their own read.
   */
  private void readLongest() {
    Duration now = loop.now();
    while (!polls.isEmpty() && now.minus(polls.peek().at).compareTo(LONGEST_POLL_WAIT) >= 0) {
      read(polls.poll());
    }
    if (!polls.isEmpty()) {
      Duration left = POLL_WAIT.minus(now.minus(polls.peek().at));
      if (!left.isNegative() && !left.isZero()) {
        loop.after(left, this::readLongest);
        return;
      }
      confirm.run();
      loop.after(POLL_WAIT, this::readLongest);
    }
  }

  private void read(Poll poll) {
    read(
        poll.id,
        poll.once,
        () -> noSuchJob(poll.once),
        (record, version) -> progress(poll.id, record, poll.once));
  }

  private static void progress(String id, JobRecord record, Once once) {
    once.send(
        200,
        Answers.progress(
            id,
            record.state(),
            record.done().size(),
            record.active() ? record.placedCount() : 0));
  }

  /** {@code POST /v1/jobs/ID/abort}. */
  public void abort(String id, Reply reply) {
    if (!JobSpec.validId(id)) {
      reply.send(404, Cbor.encode(Answers.error("no such job")));
      return;
    }
    if (world.finalPhase(id) != null) {
      reply.send(200, Cbor.encode(Answers.job(id, finalState(id))));
      return;
    }
    if (shed(reply)) {
      return;
    }
    tryCancel(id, CANCEL_TRIES, new Once(reply));
  }

  /** The slot's holder writes the record too; the one who loses reads it again. */
  private void tryCancel(String id, int tries, Once once) {
    if (tries == 0) {
      once.unsure("the record keeps changing");
      return;
    }
    read(
        id,
        once,
        () -> noSuchJob(once),
        (record, version) -> {
          if (!record.active()) {
            once.send(200, Answers.job(id, record.state()));
            return;
          }
          String key = World.jobKey(id);
          store.commitUrgent(
              List.of(new Condition(key, version)),
              List.of(new Write(key, record.cancelled().write(), 0)),
              SUBMIT_WAIT,
              (result, revision) -> {
                switch (result) {
                  case DONE -> {
                    log.info("cancelled job={} placed={}", id, record.placedCount());
                    once.send(200, Answers.job(id, JobState.CANCELLED));
                  }
                  case CONFLICT -> tryCancel(id, tries - 1, once);
                  default -> once.unsure("the state service did not confirm");
                }
              });
        });
  }
}
