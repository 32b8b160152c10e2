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
 * Infers from a machine's reports which images it has cached, how fast it fetches images, and how
 * its run times compare to the estimates. The protocol reports none of these, so they are inferred
 * from the times at which tasks change state. The current time is passed in with every report.
 */
public final class MachineHistory {
  /** Weight of the latest sample in the moving average of the fetch bandwidth. */
  private static final double BANDWIDTH_WEIGHT = 0.4;

  /**
   * Least weight of the latest run in the moving average of run time ratios; the first four runs
   * are averaged with equal weights.
   */
  private static final double RUN_WEIGHT = 0.25;

  /** Fetches that seem to have taken no longer than this, in seconds, give no bandwidth sample. */
  private static final double MIN_FETCH_S = 0.2;

  /** Ratios of run time to estimate are limited to this range before they are averaged. */
  private static final double MIN_RUN_RATIO = 0.05;

  private static final double MAX_RUN_RATIO = 20;

  /** When an attempt of a task was first reported as running. */
  private record Running(long attempt, Duration since) {}

  private final double cacheGb;

  /** Cached images with their sizes in GB, least recently used first. */
  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /** When each image was first reported as being fetched. */
  private final Map<String, Duration> fetchSince = new HashMap<>();

  /** How many images were being fetched at that time: they share the bandwidth. */
  private final Map<String, Integer> fetchesAtStart = new HashMap<>();

  /** Running attempts in the last report. */
  private Map<TaskId, Running> runningSince = new HashMap<>();

  private double fetchGbPerS;

  /** Average logarithm of the ratio of run time to estimate. */
  private double meanLogRatio;

  private int runs;

  /** @param cacheGb size of the machine's image cache */
  public MachineHistory(double cacheGb) {
    this.cacheGb = cacheGb;
  }

  /**
   * Adopts what a previous owner of the machine inferred, where nothing is known yet.
   *
   * @param knownImages cached images with their sizes in GB
   * @param bandwidth fetch bandwidth in GB/s, 0 if unknown
   */
  public void inherit(Map<String, Double> knownImages, double bandwidth) {
    knownImages.forEach(images::putIfAbsent);
    if (fetchGbPerS == 0) {
      fetchGbPerS = bandwidth;
    }
  }

  /**
   * Evaluates a report.
   *
   * @param now when the report was received
   * @param specs looks up a job by its ID; null for an unknown job, whose tasks are ignored
   */
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
          recordCached(spec, now); // Once per job: its tasks are usually listed next to each other.
          last = spec;
        }
        if (task.state() == State.RUNNING) {
          Duration since = since(task);
          running.put(task.task(), new Running(task.attempt(), since == null ? now : since));
        }
      } else if (task.cause() == Cause.DONE) {
        Duration since = since(task);
        recordCached(spec, now);
        // With checkpoints an attempt may resume midway, so its run time can't be compared.
        if (since != null && spec.estimateS() > 0 && spec.checkpointS() == 0) {
          recordRunRatio(seconds(now.minus(since)) / spec.estimateS());
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

  /** When the attempt was first reported as running; null if it was not. */
  private Duration since(TaskReport task) {
    Running known = runningSince.get(task.task());
    return known == null || known.attempt != task.attempt() ? null : known.since;
  }

  /**
   * Records that a job's image is in the cache, takes a bandwidth sample if its fetch was observed,
   * and removes the least recently used images that exceed the size of the cache.
   */
  private void recordCached(JobSpec spec, Duration now) {
    Duration fetchStart = fetchSince.remove(spec.image());
    if (fetchStart != null && !images.containsKey(spec.image())) {
      double tookS = seconds(now.minus(fetchStart));
      if (tookS > MIN_FETCH_S && spec.imageGb() > 0) {
        double sample = spec.imageGb() * fetchesAtStart.getOrDefault(spec.image(), 1) / tookS;
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

  private void recordRunRatio(double ratio) {
    double log = Math.log(Math.max(MIN_RUN_RATIO, Math.min(MAX_RUN_RATIO, ratio)));
    runs++;
    meanLogRatio += Math.max(RUN_WEIGHT, 1.0 / runs) * (log - meanLogRatio);
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  /** A copy of the cached images with their sizes in GB, least recently used first. */
  public Map<String, Double> images() {
    return new LinkedHashMap<>(images);
  }

  /** Average of the measured fetch bandwidth in GB/s; 0 if there is no measurement. */
  public double fetchGbPerS() {
    return fetchGbPerS;
  }

  /** Average ratio of run time to estimate; 0 before the second measured run. */
  public double slowness() {
    return runs < 2 ? 0 : Math.exp(meanLogRatio);
  }
}
