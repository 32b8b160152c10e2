package io.tansystack.emulator;

import io.tansystack.wire.JobSpec;
import io.tansystack.wire.TaskId;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/** Counts task starts, and records how long jobs waited for their first one. Thread-safe. */
final class TaskTimes {
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Supplier<Duration> clock;
  private final Map<String, Duration> submissionTimes = new HashMap<>();
  private final Set<String> startedJobs = new HashSet<>();
  private final Map<String, Histogram> waitsByClass = new HashMap<>();
  private long starts;
  private boolean recording;

  TaskTimes(Supplier<Duration> clock) {
    this.clock = clock;
  }

  /** Switches recording on or off; waits are recorded for jobs submitted while it is on. */
  synchronized void setRecording(boolean on) {
    recording = on;
  }

  synchronized void jobSubmitted(JobSpec spec) {
    if (recording) {
      submissionTimes.put(spec.id(), clock.get());
    }
  }

  /** Counts a start; {@code spec} is null for an unknown job, whose wait is not recorded. */
  synchronized void taskStarted(JobSpec spec, TaskId task) {
    starts++;
    if (spec != null && startedJobs.add(spec.id())) {
      Duration submittedAt = submissionTimes.remove(spec.id());
      if (submittedAt != null) {
        waitsByClass
            .computeIfAbsent(spec.jobClass(), k -> new Histogram(SIGNIFICANT_DIGITS))
            .recordValue(Math.max(0, clock.get().minus(submittedAt).toMillis()));
      }
    }
  }

  /** Number of task starts so far, whether recording is on or off. */
  synchronized long starts() {
    return starts;
  }

  synchronized boolean hasStarted(String job) {
    return startedJobs.contains(job);
  }

  /** Wait in milliseconds at a percentile; -1 if no recorded job of the class has started. */
  synchronized long waitMs(String jobClass, double percentile) {
    Histogram histogram = waitsByClass.get(jobClass);
    return histogram == null ? -1 : histogram.getValueAtPercentile(percentile);
  }
}
