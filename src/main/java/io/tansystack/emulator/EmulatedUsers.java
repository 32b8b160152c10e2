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
 * The users of a cell, as published: they submit until accepted, poll every five seconds, cancel
 * some jobs, and reach the controllers through a load balancer that passes over who refuses.
 */
final class EmulatedUsers {
  private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration POLL_EVERY = Duration.ofSeconds(5);
  private static final Duration AGAIN = Duration.ofSeconds(1);
  private static final Duration SKIPPED = Duration.ofSeconds(3);
  private static final int CONNECTIONS = 64;
  private static final int DIGITS = 3;

  private static final class Job {
    final JobSpec spec;
    final Duration submittedAt;
    boolean accepted;
    boolean over;
    Duration answeredAt = Duration.ZERO;

    Job(JobSpec spec, Duration submittedAt) {
      this.spec = spec;
      this.submittedAt = submittedAt;
    }
  }

  private final EventLoop loop;
  private final UndertowHttpClient caller;
  private final ScaleSettings settings;
  private final CellAddresses addresses;
  private final RuleChecker judge;
  private final TaskTimes times;
  private final WorkloadGenerator workload;
  private final Random random;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<Integer, Duration> skippedUntil = new HashMap<>();
  private final Histogram acceptedMs = new Histogram(DIGITS);
  private boolean submitting;
  private boolean recording;
  private long refused;

  EmulatedUsers(
      RoleEventLoop role,
      ScaleSettings settings,
      CellAddresses addresses,
      RuleChecker judge,
      TaskTimes times) {
    this.loop = role.loop();
    this.caller = role.caller(CONNECTIONS);
    this.settings = settings;
    this.addresses = addresses;
    this.judge = judge;
    this.times = times;
    this.workload =
        new WorkloadGenerator(
            settings.seed(), settings.teams(), settings.startsPerSecond(), settings.workers());
    this.random = new Random(settings.seed() + 1);
  }

  /** Starts to submit; what comes in {@code head} at the usual rate comes at once, to fill the cell. */
  void start(Duration head) {
    submitting = true;
    for (String jobClass : WorkloadGenerator.CLASSES) {
      Duration at = workload.untilNext(jobClass);
      while (at.compareTo(head) < 0) {
        submitNext(jobClass);
        at = at.plus(workload.untilNext(jobClass));
      }
      later(jobClass);
    }
  }

  private void later(String jobClass) {
    loop.after(
        workload.untilNext(jobClass),
        () -> {
          if (submitting) {
            submitNext(jobClass);
            later(jobClass);
          }
        });
  }

  void stopSubmitting() {
    submitting = false;
  }

  /** From now on the times of submissions are kept. */
  void record(boolean on) {
    recording = on;
  }

  private void submitNext(String jobClass) {
    GeneratedJob drawn = workload.draw(jobClass);
    Job job = new Job(drawn.spec(), loop.now());
    jobs.put(drawn.spec().id(), job);
    judge.submitted(drawn.spec());
    times.submitted(drawn.spec());
    submit(job, drawn);
  }

  private void submit(Job job, GeneratedJob drawn) {
    byte[] body = Cbor.encode(job.spec.write());
    call(
        "POST",
        "/v1/jobs",
        body,
        SUBMIT_TIMEOUT,
        status -> {
          if (status == 200 || status == 201) {
            accepted(job, drawn);
          } else {
            refused += status == 0 ? 0 : 1;
            loop.after(AGAIN, () -> submit(job, drawn));
          }
        });
  }

  private void accepted(Job job, GeneratedJob drawn) {
    job.accepted = true;
    job.answeredAt = loop.now();
    judge.accepted(job.spec.id());
    if (recording) {
      acceptedMs.recordValue(loop.now().minus(job.submittedAt).toMillis());
    }
    loop.after(POLL_EVERY, () -> poll(job));
    if (drawn.cancelAfter() != null) {
      loop.after(drawn.cancelAfter(), () -> cancel(job));
    }
  }

  private void poll(Job job) {
    if (job.over) {
      return;
    }
    loop.after(POLL_EVERY, () -> poll(job));
    ask(job);
  }

  private void ask(Job job) {
    String path = "/v1/jobs/" + job.spec.id();
    callForBody(
        "GET",
        path,
        null,
        POLL_TIMEOUT,
        (status, body) -> {
          judge.answered(job.spec.id(), status);
          if (status == 200 && body != null) {
            job.answeredAt = loop.now();
            String state = body.path("Status").asText();
            job.over |= state.equals("done") || state.equals("withdrawn");
          }
        });
  }

  private void cancel(Job job) {
    if (job.over) {
      return;
    }
    callForBody(
        "POST",
        "/v1/jobs/" + job.spec.id() + "/abort",
        Cbor.encode(Cbor.map()),
        SUBMIT_TIMEOUT,
        (status, body) -> {
          if (status != 200 || body == null) {
            loop.after(AGAIN, () -> cancel(job));
            return;
          }
          job.over = true;
          if (body.path("Status").asText().equals("withdrawn")) {
            loop.after(
                settings.workerTimes().cancel(), () -> judge.cancelledLongAgo(job.spec.id()));
          }
        });
  }

  private interface Answer {
    /** Status 0 stands for none. */
    void take(int status, ObjectNode body);
  }

  private void call(
      String method, String path, byte[] body, Duration timeout, Consumer<Integer> then) {
    callForBody(method, path, body, timeout, (status, answer) -> then.accept(status));
  }

  private void callForBody(
      String method, String path, byte[] body, Duration timeout, Answer then) {
    int controller = choose();
    caller.call(
        addresses.front(controller),
        method,
        path,
        body,
        timeout,
        new HttpClient.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] answer) {
            then.take(status, EmulatedFleet.decode(answer));
          }

          @Override
          public void onNoResponse(boolean refusedConnection) {
            skippedUntil.put(controller, loop.now().plus(SKIPPED));
            then.take(0, null);
          }
        });
  }

  /** Any controller that has not lately refused a connection; any at all if all have. */
  private int choose() {
    int first = random.nextInt(settings.controllers());
    for (int i = 0; i < settings.controllers(); i++) {
      int candidate = (first + i) % settings.controllers();
      Duration until = skippedUntil.getOrDefault(candidate, Duration.ZERO);
      if (loop.now().compareTo(until) >= 0) {
        return candidate;
      }
    }
    return first;
  }

  /** Tells the judge of each accepted job that has had no answer since a moment. */
  void judgeUnanswered(Duration since) {
    for (Job job : jobs.values()) {
      if (job.accepted && !job.over && job.answeredAt.compareTo(since) < 0) {
        judge.unanswered(job.spec.id());
      }
    }
  }

  int submitted() {
    return jobs.size();
  }

  /** Answers to submissions other than an acceptance. */
  long refused() {
    return refused;
  }

  long acceptedMs(double percentile) {
    return acceptedMs.getValueAtPercentile(percentile);
  }

  /** The part of a class's jobs, submitted before a moment, of which a task has begun; 1 for none. */
  double begun(String jobClass, Duration before) {
    int all = 0;
    int begun = 0;
    for (Job job : jobs.values()) {
      if (job.spec.jobClass().equals(jobClass) && job.submittedAt.compareTo(before) < 0) {
        all++;
        begun += job.over || times.hasBegun(job.spec.id()) ? 1 : 0;
      }
    }
    return all == 0 ? 1 : (double) begun / all;
  }
}
