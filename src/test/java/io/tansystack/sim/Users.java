package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cli.Controller;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Shape;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Users who submit, poll and cancel as published, at whichever controller the load balancer gives them or
 * at one of their choice, and remember what they were told. They know nothing of the service but its
 * answers; {@link Judge} says whether these can be.
 */
final class Users {
  private static final Duration POLL_EVERY = Duration.ofSeconds(5);
  private static final Duration AGAIN = Duration.ofSeconds(1);
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** Whichever controller the load balancer gives. */
  static final int ANY = -1;

  /** What a user knows of a job, with the moments of the first answers that said so; null for none. */
  static final class Told {
    final JobSpec spec;
    Duration submitted = Duration.ZERO;
    Duration accepted;
    boolean asksToCancel;
    Duration cancelled;
    Duration done;
    String last;
    Duration lastAnswer;

    /** The longest time without an answer since all troubles were over. */
    Duration longest = Duration.ZERO;

    Told(JobSpec spec) {
      this.spec = spec;
    }

    static boolean isOver(String state) {
      return state.equals("done") || state.equals("withdrawn");
    }

    boolean over() {
      return done != null || cancelled != null;
    }

    /** What the user has been told up to now. */
    Known known() {
      return new Known(accepted != null, over());
    }
  }

  /** What any node had told a user of a job when a question was asked. */
  record Known(boolean accepted, boolean over) {}

  private final SimCluster cluster;
  private final Judge judge;
  final Map<String, Told> jobs = new LinkedHashMap<>();
  private Duration calmSince;

  /** How many answers to questions about jobs they have had. */
  int answers;

  /** Whether they ask at all nodes within milliseconds once a job was accepted, has ended or is cancelled. */
  boolean closeLooks;

  /** How often a job is cancelled, and asked about, at the moment at which its last task ends. */
  double cancelAtEnd;

  private static final int[] CLOSE_MS = {0, 1, 3, 10, 25, 50};

  Users(SimCluster cluster) {
    this.cluster = cluster;
    this.judge = new Judge(cluster, this);
    cluster.onCompleted.add(this::completed);
  }

  Judge judge() {
    return judge;
  }

  /** All troubles are over: from here on each job is owed an answer. */
  void calm() {
    calmSince = cluster.loop.now();
  }

  /** Null before. */
  Duration calmSince() {
    return calmSince;
  }

  /** The longest time that each accepted job has gone without an answer since then. */
  Map<String, Duration> waits() {
    Map<String, Duration> waits = new LinkedHashMap<>();
    jobs.forEach(
        (id, told) -> {
          if (told.accepted != null) {
            Duration open = sinceAnswer(told);
            waits.put(id, open.compareTo(told.longest) > 0 ? open : told.longest);
          }
        });
    return waits;
  }

  private Duration sinceAnswer(Told told) {
    Duration from = told.lastAnswer.compareTo(calmSince) > 0 ? told.lastAnswer : calmSince;
    return cluster.loop.now().minus(from);
  }

  /** Submits until it is accepted, and then asks about it for ever. */
  void submit(JobSpec spec, int at) {
    Told told = new Told(spec);
    told.submitted = cluster.loop.now();
    jobs.put(spec.id(), told);
    cluster.uploaded.put(spec.id(), spec);
    if (spec.shape() == Shape.GANG) {
      cluster.gangSizes.put(spec.id(), spec.tasks());
    }
    submitAgain(told, at);
  }

  private void submitAgain(Told told, int at) {
    Known known = told.known();
    ask(at, "POST", "/v1/jobs", Cbor.encode(told.spec.write()), TIMEOUT, (status, body) -> {
      answered(told, known, status, body);
      if (status == 200 || status == 201) {
        poll(told);
      } else {
        cluster.loop.after(AGAIN, () -> submitAgain(told, ANY));
      }
    });
  }

  /** Submits an accepted job once more, whatever the body holds besides its id. */
  void repeat(Told told, int at, byte[] body) {
    Known known = told.known();
    ask(at, "POST", "/v1/jobs", body, TIMEOUT, (status, answer) -> answered(told, known, status, answer));
  }

  /** What fits no machine, or lacks a field, is not accepted, and nobody knows of it afterwards. */
  void submitImpossible(String id, byte[] body) {
    ask(ANY, "POST", "/v1/jobs", body, TIMEOUT, (status, answer) -> judge.answeredImpossible(id, status));
    cluster.loop.after(AGAIN, () -> askForNone(id));
  }

  /** Asks about a job at once at every node, submits it there again, and cancels it again if it was cancelled. */
  void lookClosely(Told told) {
    byte[] again = Cbor.encode(told.spec.write());
    for (int i = 0; i < cluster.controllerCount; i++) {
      int node = i;
      for (int ms : CLOSE_MS) {
        cluster.loop.after(Duration.ofMillis(ms), () -> pollAt(told, node));
        cluster.loop.after(Duration.ofMillis(ms), () -> repeat(told, node, again));
      }
      if (told.cancelled != null) {
        cluster.loop.after(Duration.ofMillis(node * 7L), () -> cancelOnce(told, node));
      }
    }
  }

  /** A task has ended on its machine; if it was its job's last, some call the job off that very moment. */
  private void completed(String task) {
    Told told = jobs.get(task.substring(0, task.indexOf('/')));
    boolean all = told != null && !told.asksToCancel;
    for (int i = 0; all && i < told.spec.tasks(); i++) {
      all = cluster.completed.contains(told.spec.id() + "/" + i);
    }
    if (all && cancelAtEnd > 0 && cluster.random.nextDouble() < cancelAtEnd) {
      int ms = cluster.random.nextInt(24);
      cluster.loop.after(Duration.ofMillis(ms), () -> cancel(told.spec.id(), ANY));
      cluster.loop.after(Duration.ofMillis(cluster.random.nextInt(40)), () -> pollAt(told, ANY));
    }
  }

  /** Cancels until it is confirmed. */
  void cancel(String id, int at) {
    Told told = jobs.get(id);
    told.asksToCancel = true;
    Known known = told.known();
    ask(at, "POST", "/v1/jobs/" + id + "/abort", new byte[0], TIMEOUT, (status, body) -> {
      answered(told, known, status, body);
      if (status != 200) {
        cluster.loop.after(AGAIN, () -> cancel(id, ANY));
      }
    });
  }

  /** Cancels once more, without insisting; the user has asked for that before, or it is over. */
  void cancelOnce(Told told, int at) {
    Known known = told.known();
    ask(at, "POST", "/v1/jobs/" + told.spec.id() + "/abort", new byte[0], TIMEOUT,
        (status, body) -> answered(told, known, status, body));
  }

  private void poll(Told told) {
    cluster.loop.after(POLL_EVERY, () -> poll(told));
    pollAt(told, ANY);
  }

  private void pollAt(Told told, int at) {
    Known known = told.known();
    ask(at, "GET", "/v1/jobs/" + told.spec.id(), new byte[0], POLL_TIMEOUT,
        (status, body) -> answered(told, known, status, body));
  }

  /** Asks about a job that nobody has submitted. */
  void askForNone(String id) {
    ask(ANY, "GET", "/v1/jobs/" + id, new byte[0], POLL_TIMEOUT, (status, body) -> judge.answerForNone(id, status));
  }

  /**
   * Takes in an answer about a job.
   *
   * @param known what the user had been told of it when it asked
   */
  void answered(Told told, Known known, int status, byte[] body) {
    answers++;
    judge.answered(told, known, status, body);
    if (status != 200 && status != 201) {
      return;
    }
    Known before = told.known();
    Duration now = cluster.loop.now();
    ObjectNode map = SimNetwork.decode(body);
    String state = map.path("Status").asText();
    told.last = told.over() && !Told.isOver(state) ? told.last : state;
    told.accepted = told.accepted == null ? now : told.accepted;
    told.done = told.done == null && state.equals("done") ? now : told.done;
    told.cancelled = told.cancelled == null && state.equals("withdrawn") ? now : told.cancelled;
    if (calmSince != null && told.lastAnswer != null) {
      Duration wait = sinceAnswer(told);
      told.longest = wait.compareTo(told.longest) > 0 ? wait : told.longest;
    }
    told.lastAnswer = now;
    if (closeLooks && !told.known().equals(before)) {
      lookClosely(told);
    }
  }

  /** A request to one controller; status 0 where no answer comes in time. */
  private void ask(
      int at, String method, String path, byte[] body, Duration timeout, BiConsumer<Integer, byte[]> then) {
    boolean[] over = {false};
    Runnable none = () -> {
      if (!over[0]) {
        over[0] = true;
        then.accept(0, new byte[0]);
      }
    };
    int to = at >= 0 ? at : cluster.random.nextInt(cluster.controllerCount);
    Controller controller = cluster.controllers.get(to);
    if (controller == null) {
      cluster.loop.execute(none);
      return;
    }
    cluster.loop.after(timeout, none);
    if (cluster.silent.contains(to) || cluster.cutOff(to)) {
      return;
    }
    cluster.processes.get(to).run(() -> controller.front(method, path, body, (status, bytes, retry) -> {
      if (!over[0] && !cluster.silent.contains(to) && !cluster.cutOff(to)) {
        over[0] = true;
        then.accept(status, bytes);
      }
    }));
  }
}
