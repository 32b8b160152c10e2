package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cli.Controller;
import io.tansystack.sim.RequestRepeater.Receiver;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Users that submit, poll and cancel jobs through the public API, at a random controller as behind
 * a load balancer or at a given one, and record the responses. They know nothing of the service but
 * its responses, which {@link HistoryChecker} checks.
 */
final class SimUsers {
  private static final Duration POLL_EVERY = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** A random controller, as a load balancer selects it. */
  static final int ANY = -1;

  /**
   * A user's view of a job, with the times of the first responses that reported it; null for none.
   */
  static final class UserJob {
    final JobSpec spec;
    Duration submitted = Duration.ZERO;
    Duration accepted;
    boolean cancelRequested;
    Duration cancelled;
    Duration done;
    String lastState;
    Duration lastAnswer;

    /** The longest time without a response since all faults were over. */
    Duration longestWait = Duration.ZERO;

    UserJob(JobSpec spec) {
      this.spec = spec;
    }

    static boolean isTerminal(String state) {
      return state.equals("done") || state.equals("withdrawn");
    }

    boolean isFinished() {
      return done != null || cancelled != null;
    }

    /** Returns what the user has been told up to now. */
    ObservedState observed() {
      return new ObservedState(accepted != null, isFinished());
    }
  }

  /** What the user had been told of a job, by any controller, when a request was sent. */
  record ObservedState(boolean accepted, boolean finished) {}

  private final SimCluster cluster;
  private final HistoryChecker checker;
  final Map<String, UserJob> jobs = new LinkedHashMap<>();
  private Duration faultsOverSince;

  /** Number of results of requests about jobs, including timeouts. */
  int answerCount;

  /**
   * Whether all controllers are queried within ms once a job is accepted, finished or cancelled.
   */
  boolean queryAllOnChange;

  /**
   * Share of jobs that are cancelled and polled at the moment at which their last task completes.
   */
  double cancelAtEndShare;

  private static final int[] QUERY_DELAYS_MS = {0, 1, 3, 10, 25, 50};

  SimUsers(SimCluster cluster) {
    this.cluster = cluster;
    this.checker = new HistoryChecker(cluster, this);
    cluster.onCompleted.add(this::onTaskCompleted);
  }

  HistoryChecker checker() {
    return checker;
  }

  /** Marks the end of all faults: from now on requests about each job must be answered in time. */
  void faultsOver() {
    faultsOverSince = cluster.loop.now();
  }

  /** Returns when all faults had ended; null before that. */
  Duration faultsOverSince() {
    return faultsOverSince;
  }

  /** Returns the longest time without a response since the end of all faults, per accepted job. */
  Map<String, Duration> longestWaits() {
    Map<String, Duration> longestWaits = new LinkedHashMap<>();
    jobs.forEach(
        (id, job) -> {
          if (job.accepted != null) {
            Duration wait = sinceAnswer(job);
            longestWaits.put(id, wait.compareTo(job.longestWait) > 0 ? wait : job.longestWait);
          }
        });
    return longestWaits;
  }

  private Duration sinceAnswer(UserJob job) {
    Duration start = job.lastAnswer.compareTo(faultsOverSince) > 0 ? job.lastAnswer : faultsOverSince;
    return cluster.loop.now().minus(start);
  }

  /** Submits a job until it is accepted, and then polls it permanently. */
  void submit(JobSpec spec, int controllerIndex) {
    UserJob job = new UserJob(spec);
    job.submitted = cluster.loop.now();
    jobs.put(spec.id(), job);
    cluster.uploaded.put(spec.id(), spec);
    if (spec.kind() == JobKind.GANG) {
      cluster.gangSizes.put(spec.id(), spec.tasks());
    }
    submitAgain(job, controllerIndex);
  }

  private void submitAgain(UserJob job, int controllerIndex) {
    ObservedState known = job.observed();
    request(controllerIndex, "POST", "/v1/jobs", Cbor.encode(job.spec.write()), TIMEOUT, (status, body) -> {
      answered(job, known, status, body);
      if (status == 200 || status == 201) {
        poll(job);
      } else {
        cluster.loop.after(RETRY_DELAY, () -> submitAgain(job, ANY));
      }
    });
  }

  /** Submits an accepted job once more; the body may differ from the first in all but the ID. */
  void resubmit(UserJob job, int controllerIndex, byte[] body) {
    ObservedState known = job.observed();
    request(controllerIndex, "POST", "/v1/jobs", body, TIMEOUT,
        (status, answer) -> answered(job, known, status, answer));
  }

  /**
   * Submits a job that can't run or lacks a field: it must be rejected, and be unknown afterwards.
   */
  void submitInvalid(String id, byte[] body) {
    request(ANY, "POST", "/v1/jobs", body, TIMEOUT,
        (status, answer) -> checker.onInvalidSubmissionAnswered(id, status));
    cluster.loop.after(RETRY_DELAY, () -> pollUnknown(id));
  }

  /** Polls and resubmits a job at every controller at once, and cancels it again if cancelled. */
  void queryAllControllers(UserJob job) {
    byte[] body = Cbor.encode(job.spec.write());
    for (int i = 0; i < cluster.controllerCount; i++) {
      int index = i;
      for (int ms : QUERY_DELAYS_MS) {
        cluster.loop.after(Duration.ofMillis(ms), () -> pollAt(job, index));
        cluster.loop.after(Duration.ofMillis(ms), () -> resubmit(job, index, body));
      }
      if (job.cancelled != null) {
        cluster.loop.after(Duration.ofMillis(index * 7L), () -> cancelOnce(job, index));
      }
    }
  }

  /** If this was the last task of its job, cancels some of these jobs within 24 ms. */
  private void onTaskCompleted(String task) {
    UserJob job = jobs.get(task.substring(0, task.indexOf('/')));
    boolean allCompleted = job != null && !job.cancelRequested;
    for (int i = 0; allCompleted && i < job.spec.tasks(); i++) {
      allCompleted = cluster.completed.contains(job.spec.id() + "/" + i);
    }
    if (allCompleted && cancelAtEndShare > 0 && cluster.random.nextDouble() < cancelAtEndShare) {
      int ms = cluster.random.nextInt(24);
      cluster.loop.after(Duration.ofMillis(ms), () -> cancel(job.spec.id(), ANY));
      cluster.loop.after(Duration.ofMillis(cluster.random.nextInt(40)), () -> pollAt(job, ANY));
    }
  }

  /** Cancels a job, repeatedly until the cancellation is confirmed. */
  void cancel(String id, int controllerIndex) {
    UserJob job = jobs.get(id);
    job.cancelRequested = true;
    ObservedState known = job.observed();
    request(controllerIndex, "POST", "/v1/jobs/" + id + "/abort", new byte[0], TIMEOUT, (status, body) -> {
      answered(job, known, status, body);
      if (status != 200) {
        cluster.loop.after(RETRY_DELAY, () -> cancel(id, ANY));
      }
    });
  }

  /**
   * Sends one cancellation without retries, for a job already cancelled by the user or finished.
   */
  void cancelOnce(UserJob job, int controllerIndex) {
    ObservedState known = job.observed();
    request(controllerIndex, "POST", "/v1/jobs/" + job.spec.id() + "/abort", new byte[0], TIMEOUT,
        (status, body) -> answered(job, known, status, body));
  }

  private void poll(UserJob job) {
    cluster.loop.after(POLL_EVERY, () -> poll(job));
    pollAt(job, ANY);
  }

  private void pollAt(UserJob job, int controllerIndex) {
    ObservedState known = job.observed();
    request(controllerIndex, "GET", "/v1/jobs/" + job.spec.id(), new byte[0], POLL_TIMEOUT,
        (status, body) -> answered(job, known, status, body));
  }

  /** Polls a job ID that was never accepted. */
  void pollUnknown(String id) {
    request(ANY, "GET", "/v1/jobs/" + id, new byte[0], POLL_TIMEOUT,
        (status, body) -> checker.onUnknownJobAnswered(id, status));
  }

  /**
   * Checks a response about a job and updates the user's view of it.
   *
   * @param known what the user had been told of the job when the request was sent
   */
  void answered(UserJob job, ObservedState known, int status, byte[] body) {
    answerCount++;
    checker.onAnswer(job, known, status, body);
    if (status != 200 && status != 201) {
      return;
    }
    ObservedState before = job.observed();
    Duration now = cluster.loop.now();
    ObjectNode map = SimNetwork.decode(body);
    String state = map.path("Status").asText();
    job.lastState = job.isFinished() && !UserJob.isTerminal(state) ? job.lastState : state;
    job.accepted = job.accepted == null ? now : job.accepted;
    job.done = job.done == null && state.equals("done") ? now : job.done;
    job.cancelled = job.cancelled == null && state.equals("withdrawn") ? now : job.cancelled;
    if (faultsOverSince != null && job.lastAnswer != null) {
      Duration wait = sinceAnswer(job);
      job.longestWait = wait.compareTo(job.longestWait) > 0 ? wait : job.longestWait;
    }
    job.lastAnswer = now;
    if (queryAllOnChange && !job.observed().equals(before)) {
      queryAllControllers(job);
    }
  }

  /** Delivers a request once more to a controller, if it is running. */
  private void deliverCopy(int target, String method, String path, byte[] body) {
    Controller controller = cluster.controllers.get(target);
    if (controller != null) {
      cluster.processes.get(target).run(
          () -> controller.handleFront(method, path, body, (status, bytes, retry) -> {}));
    }
  }

  /** Sends a request to a controller; the callback gets status 0 if no response comes in time. */
  private void request(
      int controllerIndex, String method, String path, byte[] body, Duration timeout,
      BiConsumer<Integer, byte[]> callback) {
    boolean[] finished = {false};
    Runnable onNoResponse = () -> {
      if (!finished[0]) {
        finished[0] = true;
        callback.accept(0, new byte[0]);
      }
    };
    int target = controllerIndex >= 0 ? controllerIndex : cluster.random.nextInt(cluster.controllerCount);
    Controller controller = cluster.controllers.get(target);
    if (controller == null) {
      cluster.loop.execute(onNoResponse);
      return;
    }
    cluster.loop.after(timeout, onNoResponse);
    if (cluster.isolated.contains(target) || cluster.cutOff(target)) {
      return;
    }
    cluster.processes.get(target).run(() -> controller.handleFront(method, path, body, (status, bytes, retry) -> {
      if (method.equals("POST") && status < 300) {
        cluster.repeater.onAnswered(Receiver.USER_API, () -> deliverCopy(target, method, path, body));
      }
      if (!finished[0] && !cluster.isolated.contains(target) && !cluster.cutOff(target)) {
        finished[0] = true;
        callback.accept(status, bytes);
      }
    }));
  }
}
