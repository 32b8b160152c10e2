package io.tansystack.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.emulator.WorkloadGenerator.GeneratedJob;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.http.UndertowHttpClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Emulates the users of a cell according to the published protocol: they submit each job until it
 * is accepted, poll its status every five seconds and cancel some jobs. Their requests pass through
 * an emulated load balancer that skips controllers which recently gave no response.
 */
final class EmulatedUsers {
  private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final Duration SKIP_DURATION = Duration.ofSeconds(3);
  private static final int CONNECTIONS_PER_CONTROLLER = 64;
  private static final int SIGNIFICANT_DIGITS = 3;

  private static final class Job {
    final JobSpec spec;
    final Duration submittedAt;
    boolean accepted;
    boolean finished;
    Duration lastResponseAt = Duration.ZERO;

    Job(JobSpec spec, Duration submittedAt) {
      this.spec = spec;
      this.submittedAt = submittedAt;
    }
  }

  private final EventLoop loop;
  private final UndertowHttpClient httpClient;
  private final ScaleSettings settings;
  private final CellAddresses addresses;
  private final RuleChecker ruleChecker;
  private final TaskTimes taskTimes;
  private final WorkloadGenerator workload;
  private final Random random;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<Integer, Duration> skippedUntil = new HashMap<>();
  private final Histogram acceptedMs = new Histogram(SIGNIFICANT_DIGITS);
  private boolean submitting;
  private boolean recording;
  private long rejectedCount;

  EmulatedUsers(
      RoleEventLoop role,
      ScaleSettings settings,
      CellAddresses addresses,
      RuleChecker ruleChecker,
      TaskTimes taskTimes) {
    this.loop = role.loop();
    this.httpClient = role.httpClient(CONNECTIONS_PER_CONTROLLER);
    this.settings = settings;
    this.addresses = addresses;
    this.ruleChecker = ruleChecker;
    this.taskTimes = taskTimes;
    this.workload =
        new WorkloadGenerator(
            settings.seed(), settings.teams(), settings.startsPerSecond(), settings.workers());
    this.random = new Random(settings.seed() + 1);
  }

  /**
   * Starts to submit jobs. To fill the cell, the jobs that arrive within {@code backlog} at the
   * usual rate are submitted at once.
   */
  void start(Duration backlog) {
    submitting = true;
    for (String jobClass : WorkloadGenerator.CLASSES) {
      Duration arrival = workload.timeToNext(jobClass);
      while (arrival.compareTo(backlog) < 0) {
        submitNext(jobClass);
        arrival = arrival.plus(workload.timeToNext(jobClass));
      }
      scheduleNext(jobClass);
    }
  }

  private void scheduleNext(String jobClass) {
    loop.after(
        workload.timeToNext(jobClass),
        () -> {
          if (submitting) {
            submitNext(jobClass);
            scheduleNext(jobClass);
          }
        });
  }

  void stopSubmitting() {
    submitting = false;
  }

  /** Switches the recording of acceptance times on or off. */
  void setRecording(boolean on) {
    recording = on;
  }

  private void submitNext(String jobClass) {
    GeneratedJob generated = workload.generate(jobClass);
    Job job = new Job(generated.spec(), loop.now());
    jobs.put(generated.spec().id(), job);
    ruleChecker.jobSubmitted(generated.spec());
    taskTimes.jobSubmitted(generated.spec());
    submit(job, generated);
  }

  private void submit(Job job, GeneratedJob generated) {
    byte[] body = Cbor.encode(job.spec.write());
    call(
        "POST",
        "/v1/jobs",
        body,
        SUBMIT_TIMEOUT,
        status -> {
          if (status == 200 || status == 201) {
            onAccepted(job, generated);
          } else {
            rejectedCount += status == 0 ? 0 : 1;
            loop.after(RETRY_DELAY, () -> submit(job, generated));
          }
        });
  }

  private void onAccepted(Job job, GeneratedJob generated) {
    job.accepted = true;
    job.lastResponseAt = loop.now();
    ruleChecker.jobAccepted(job.spec.id());
    if (recording) {
      acceptedMs.recordValue(loop.now().minus(job.submittedAt).toMillis());
    }
    loop.after(POLL_INTERVAL, () -> poll(job));
    if (generated.cancelAfter() != null) {
      loop.after(generated.cancelAfter(), () -> cancel(job));
    }
  }

  private void poll(Job job) {
    if (job.finished) {
      return;
    }
    loop.after(POLL_INTERVAL, () -> poll(job));
    requestStatus(job);
  }

  private void requestStatus(Job job) {
    String path = "/v1/jobs/" + job.spec.id();
    callForBody(
        "GET",
        path,
        null,
        POLL_TIMEOUT,
        (status, body) -> {
          ruleChecker.jobAnswered(job.spec.id(), status);
          if (status == 200 && body != null) {
            job.lastResponseAt = loop.now();
            String state = body.path("Status").asText();
            job.finished |= state.equals("done") || state.equals("withdrawn");
          }
        });
  }

  private void cancel(Job job) {
    if (job.finished) {
      return;
    }
    callForBody(
        "POST",
        "/v1/jobs/" + job.spec.id() + "/abort",
        Cbor.encode(Cbor.map()),
        SUBMIT_TIMEOUT,
        (status, body) -> {
          if (status != 200 || body == null) {
            loop.after(RETRY_DELAY, () -> cancel(job));
            return;
          }
          job.finished = true;
          if (body.path("Status").asText().equals("withdrawn")) {
            loop.after(
                settings.workerTimes().cancelLimit(),
                () -> ruleChecker.cancellationDue(job.spec.id()));
          }
        });
  }

  private interface ResponseCallback {
    /** Receives status and body; status 0 means no response, a null body a malformed one. */
    void onResponse(int status, ObjectNode body);
  }

  private void call(
      String method, String path, byte[] body, Duration timeout, Consumer<Integer> callback) {
    callForBody(method, path, body, timeout, (status, responseBody) -> callback.accept(status));
  }

  private void callForBody(
      String method, String path, byte[] body, Duration timeout, ResponseCallback callback) {
    int controller = chooseController();
    httpClient.call(
        addresses.front(controller),
        method,
        path,
        body,
        timeout,
        new HttpClient.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] responseBody) {
            callback.onResponse(status, EmulatedFleet.decodeOrNull(responseBody));
          }

          @Override
          public void onNoResponse(boolean refusedConnection) {
            skippedUntil.put(controller, loop.now().plus(SKIP_DURATION));
            callback.onResponse(0, null);
          }
        });
  }

  /**
   * A random controller that has not failed to respond within the last {@link #SKIP_DURATION}; any
   * controller if all have.
   */
  private int chooseController() {
    int first = random.nextInt(settings.controllers());
    for (int i = 0; i < settings.controllers(); i++) {
      int candidate = (first + i) % settings.controllers();
      Duration skipUntil = skippedUntil.getOrDefault(candidate, Duration.ZERO);
      if (loop.now().compareTo(skipUntil) >= 0) {
        return candidate;
      }
    }
    return first;
  }

  /** Reports accepted, unfinished jobs without a successful response since a moment. */
  void reportUnanswered(Duration since) {
    for (Job job : jobs.values()) {
      if (job.accepted && !job.finished && job.lastResponseAt.compareTo(since) < 0) {
        ruleChecker.jobUnanswered(job.spec.id());
      }
    }
  }

  /** Number of jobs that were submitted. */
  int submittedCount() {
    return jobs.size();
  }

  /** Number of responses to submissions other than an acceptance. */
  long rejectedCount() {
    return rejectedCount;
  }

  /** Milliseconds from the first submission of a job to its acceptance, at a percentile. */
  long acceptedMs(double percentile) {
    return acceptedMs.getValueAtPercentile(percentile);
  }

  /**
   * Share of the jobs of a class, submitted before a moment, that have started a task or finished;
   * 1 if there are none.
   */
  double startedShare(String jobClass, Duration before) {
    int total = 0;
    int started = 0;
    for (Job job : jobs.values()) {
      if (job.spec.jobClass().equals(jobClass) && job.submittedAt.compareTo(before) < 0) {
        total++;
        started += job.finished || taskTimes.hasStarted(job.spec.id()) ? 1 : 0;
      }
    }
    return total == 0 ? 1 : (double) started / total;
  }
}
