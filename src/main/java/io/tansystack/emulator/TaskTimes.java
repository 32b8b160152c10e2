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

/** Starts of tasks, and how long jobs waited for their first; safe for use by several threads. */
final class TaskTimes {
  private static final int DIGITS = 3;

  private final Supplier<Duration> clock;
  private final Map<String, Duration> submitted = new HashMap<>();
  private final Set<String> begun = new HashSet<>();
  private final Map<String, Histogram> waits = new HashMap<>();
  private long starts;
  private boolean recording;

  TaskTimes(Supplier<Duration> clock) {
    this.clock = clock;
  }

  /** From now on waits are kept: of jobs that are submitted from here on. */
  synchronized void record(boolean on) {
    recording = on;
  }

  synchronized void submitted(JobSpec spec) {
    if (recording) {
      submitted.put(spec.id(), clock.get());
    }
  }

  synchronized void began(JobSpec spec, TaskId task) {
    starts++;
    if (spec != null && begun.add(spec.id())) {
      Duration at = submitted.remove(spec.id());
      if (at != null) {
        waits
            .computeIfAbsent(spec.jobClass(), k -> new Histogram(DIGITS))
            .recordValue(Math.max(0, clock.get().minus(at).toMillis()));
      }
    }
  }

  synchronized long starts() {
    return starts;
  }

  synchronized boolean hasBegun(String job) {
    return begun.contains(job);
  }

  /** Milliseconds at a percentile; -1 where no job of the class has begun. */
  synchronized long waitMs(String jobClass, double percentile) {
    Histogram histogram = waits.get(jobClass);
    return histogram == null ? -1 : histogram.getValueAtPercentile(percentile);
  }
}
