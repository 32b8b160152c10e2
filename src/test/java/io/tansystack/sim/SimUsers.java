package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cli.Controller;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Users who submit, poll and cancel as published, at whichever controller the load balancer gives them or
 * at one of their choice, and remember what they were told. They know nothing of the service but its
 * answers; {@link HistoryChecker} says whether these can be.
 */
final class SimUsers {
  private static final Duration POLL_EVERY = Duration.ofSeconds(5);
  private static final Duration AGAIN = Duration.ofSeconds(1);
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** Whichever controller the load balancer gives. */
  static final int ANY = -1;

  /** What a user knows of a job, with the moments of the first answers that said so; null for none. */
  static final class UserJob {
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

    UserJob(JobSpec spec) {
      this.spec = spec;
    }

    static boolean isOver(String state) {
      return state.equals("done") || state.equals("withdrawn");
    }

    boolean over() {
      return done != null || cancelled != null;
    }

    /** What the user has been told up to now. */
    ObservedState known() {
      return new ObservedState(accepted != null, over());
    }
  }

  /** What any node had told a user of a job when a question was asked. */
  record ObservedState(boolean accepted, boolean over) {}

  private final SimCluster cluster;
  private final HistoryChecker judge;
  final Map<String, UserJob> jobs = new LinkedHashMap<>();
  private Duration calmSince;

  /** How many answers to questions about jobs they have had. */
  int answers;

  /** Whether they ask at all nodes within milliseconds once a job was accepted, has ended or is cancelled. */
  boolean closeLooks;

  /** How often a job is cancelled, and asked about, at the moment at which its last task ends. */
  double cancelAtEnd;

  private static final int[] CLOSE_MS = {0, 1, 3, 10, 25, 50};

  SimUsers(SimCluster cluster) {
    this.cluster = cluster;
    this.judge = new HistoryChecker(cluster, this);
    cluster.onCompleted.add(this::completed);
  }

  HistoryChecker judge() {
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

  private Duration sinceAnswer(UserJob told) {
    Duration from = told.lastAnswer.compareTo(calmSince) > 0 ? told.lastAnswer : calmSince;
    return cluster.loop.now().minus(from);
  }

  /** Submits until it is accepted, and then asks about it for ever. */
  void submit(JobSpec spec, int at) {
    UserJob told = new UserJob(spec);
    told.submitted = cluster.loop.now();
    jobs.put(spec.id(), told);
    cluster.uploaded.put(spec.id(), spec);
    if (spec.kind() == JobKind.GANG) {
      cluster.gangSizes.put(spec.id(), spec.tasks());
    }
    submitAgain(told, at);
  }

  private void submitAgain(UserJob told, int at) {
    ObservedState known = told.known();
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
  void repeat(UserJob told, int at, byte[] body) {
    ObservedState known = told.known();
    ask(at, "POST", "/v1/jobs", body, TIMEOUT, (status, answer) -> answered(told, known, status, answer));
  }

  /** What fits no machine, or lacks a field, is not accepted, and nobody knows of it afterwards. */
  void submitImpossible(String id, byte[] body) {
    ask(ANY, "POST", "/v1/jobs", body, TIMEOUT, (status, answer) -> judge.answeredImpossible(id, status));
    cluster.loop.after(AGAIN, () -> askForNone(id));
  }

  /** Asks about a job at once at every node, submits it there again, and cancels it again if it was cancelled. */
  void lookClosely(UserJob told) {
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
    UserJob told = jobs.get(task.substring(0, task.indexOf('/')));
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
    UserJob told = jobs.get(id);
    told.asksToCancel = true;
    ObservedState known = told.known();
    ask(at, "POST", "/v1/jobs/" + id + "/abort", new byte[0], TIMEOUT, (status, body) -> {
      answered(told, known, status, body);
      if (status != 200) {
        cluster.loop.after(AGAIN, () -> cancel(id, ANY));
      }
    });
  }

  /** Cancels once more, without insisting; the user has asked for that before, or it is over. */
  void cancelOnce(UserJob told, int at) {
    ObservedState known = told.known();
    ask(at, "POST", "/v1/jobs/" + told.spec.id() + "/abort", new byte[0], TIMEOUT,
        (status, body) -> answered(told, known, status, body));
  }

  private void poll(UserJob told) {
    cluster.loop.after(POLL_EVERY, () -> poll(told));
    pollAt(told, ANY);
  }

  private void pollAt(UserJob told, int at) {
    ObservedState known = told.known();
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
  void answered(UserJob told, ObservedState known, int status, byte[] body) {
    answers++;
    judge.answered(told, known, status, body);
    if (status != 200 && status != 201) {
      return;
    }
    ObservedState before = told.known();
    Duration now = cluster.loop.now();
    ObjectNode map = SimNetwork.decode(body);
    String state = map.path("Status").asText();
    told.last = told.over() && !UserJob.isOver(state) ? told.last : state;
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
    cluster.processes.get(to).run(() -> controller.handleFront(method, path, body, (status, bytes, retry) -> {
      if (!over[0] && !cluster.silent.contains(to) && !cluster.cutOff(to)) {
        over[0] = true;
        then.accept(status, bytes);
      }
    }));
  }
}
