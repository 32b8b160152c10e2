package io.tansystack.schedule;

import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import io.tansystack.wire.TaskReport;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * What a machine's reports teach: which images it holds, how fast it fetches, how its run times
 * compare to the estimates. The protocol reports none of these, so they are inferred from the moments
 * at which tasks change state. Time comes in with every report.
 */
public final class MachineHistory {
  private static final double BANDWIDTH_WEIGHT = 0.4;
  private static final double RUN_WEIGHT = 0.25;

  private record Running(long attempt, Duration since) {}

  private final double cacheGb;
  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Duration> fetchSince = new HashMap<>();
  private final Map<String, Integer> fetchesAtStart = new HashMap<>();
  private Map<TaskId, Running> runningSince = new HashMap<>();
  private double fetchGbPerS;
  private double logRatio;
  private int runs;

  public MachineHistory(double cacheGb) {
    this.cacheGb = cacheGb;
  }

  /** Takes over what another owner knew of the images. */
  public void inherit(Map<String, Double> known, double bandwidth) {
    known.forEach(images::putIfAbsent);
    if (fetchGbPerS == 0) {
      fetchGbPerS = bandwidth;
    }
  }

  public void observe(Report report, Duration now, Function<String, JobSpec> specs) {
    Map<TaskId, Running> running = new HashMap<>();
    Map<String, Double> fetching = new HashMap<>();
    JobSpec last = null;
    for (TaskReport task : report.tasks()) {
      JobSpec spec = specs.apply(task.task().job());
      if (spec == null) {
        continue;
      }
      if (task.state() == State.FETCHING) {
        fetching.put(spec.image(), spec.imageGb());
      } else if (!task.exited()) {
        if (spec != last) {
          cached(spec, now); // Tasks of a job stand next to each other, as a rule.
          last = spec;
        }
        if (task.state() == State.RUNNING) {
          Duration since = since(task);
          running.put(
              task.task(), new Running(task.attempt(), since == null ? now : since));
        }
      } else if (task.cause() == Cause.DONE) {
        Duration since = since(task);
        cached(spec, now);
        // With checkpoints an attempt may have begun in the middle: its time says nothing.
        if (since != null && spec.estimateS() > 0 && spec.checkpointS() == 0) {
          ran(seconds(now.minus(since)) / spec.estimateS());
        }
      }
    }
    fetchSince.keySet().retainAll(fetching.keySet());
    for (String image : fetching.keySet()) {
      if (!fetchSince.containsKey(image)) {
        fetchSince.put(image, now);
        fetchesAtStart.put(image, fetching.size());
      }
    }
    runningSince = running;
  }

  private Duration since(TaskReport task) {
    Running known = runningSince.get(task.task());
    return known == null || known.attempt != task.attempt() ? null : known.since;
  }

  private void cached(JobSpec spec, Duration now) {
    Duration since = fetchSince.remove(spec.image());
    if (since != null && !images.containsKey(spec.image())) {
      double took = seconds(now.minus(since));
      if (took > 0.2 && spec.imageGb() > 0) {
        double sample = spec.imageGb() * fetchesAtStart.getOrDefault(spec.image(), 1) / took;
        fetchGbPerS =
            fetchGbPerS == 0 ? sample : fetchGbPerS + BANDWIDTH_WEIGHT * (sample - fetchGbPerS);
      }
    }
    images.put(spec.image(), spec.imageGb());
    images.get(spec.image());
    double total = 0;
    for (double gb : images.values()) {
      total += gb;
    }
    var oldest = images.entrySet().iterator();
    while (total > cacheGb && oldest.hasNext()) {
      total -= oldest.next().getValue();
      oldest.remove();
    }
  }

  private void ran(double ratio) {
    double log = Math.log(Math.max(0.05, Math.min(20, ratio)));
    runs++;
    logRatio += Math.max(RUN_WEIGHT, 1.0 / runs) * (log - logRatio);
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  public Map<String, Double> images() {
    return new LinkedHashMap<>(images);
  }

  /** Measured average, 0 if none is known. */
  public double fetchGbPerS() {
    return fetchGbPerS;
  }

  /** Run time over estimate, averaged; 0 while too few runs are known. */
  public double slowness() {
    return runs < 2 ? 0 : Math.exp(logRatio);
  }
}
