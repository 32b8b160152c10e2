package io.tansystack.emulator;

import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Generates the jobs of a scale run from a seed: arrays of the lowest priority, training gangs of
 * up to 256 tasks, short urgent arrays, and services. The mean run time of the mix is such that as
 * many tasks are running as planned for the full size.
 */
final class WorkloadGenerator {
  static final String BATCH = "batch";
  static final String TRAINING = "training";
  static final String URGENT = "urgent";
  static final String FRONTEND = "frontend";

  static final List<String> CLASSES = List.of(BATCH, TRAINING, URGENT, FRONTEND);

  private static final int IMAGES_PER_CLASS = 6;

  /** Distribution of gang sizes: number of tasks, and how many of 42 gangs have that size. */
  private static final Map<Integer, Integer> GANG_SIZE_WEIGHTS =
      new TreeMap<>(Map.of(2, 10, 4, 10, 8, 10, 16, 6, 32, 4, 64, 1, 256, 1));

  /** Gangs of at least this size use 1 accelerator per task, smaller ones 4 (half a machine). */
  private static final int LARGE_GANG_TASKS = 64;

  /** A generated job, and the time after which its user cancels it; null if never. */
  record GeneratedJob(JobSpec spec, Duration cancelAfter) {}

  /** Share of each class in all task starts. */
  private static final Map<String, Double> START_SHARES =
      Map.of(BATCH, 0.72, TRAINING, 0.13, URGENT, 0.12, FRONTEND, 0.03);

  private static final int MIN_BATCH_TASKS = 20;
  private static final int MAX_BATCH_TASKS = 200;
  private static final int MAX_URGENT_TASKS = 12;
  private static final int MAX_REPLICAS = 6;

  /** A gang has at most one task per this many workers of the cell, and at least two tasks. */
  private static final int WORKERS_PER_GANG_TASK = 8;

  private final Random random;
  private final int teams;
  private final double startsPerSecond;
  private final int maxBatchTasks;
  private final int[] gangSizes;
  private int jobCount;

  WorkloadGenerator(long seed, int teams, double startsPerSecond, int workers) {
    this.random = new Random(seed);
    this.teams = teams;
    this.startsPerSecond = startsPerSecond;
    this.maxBatchTasks = Math.max(2, Math.min(MAX_BATCH_TASKS, workers));
    int maxGangTasks = Math.max(2, workers / WORKERS_PER_GANG_TASK);
    this.gangSizes =
        GANG_SIZE_WEIGHTS.entrySet().stream()
            .filter(gang -> gang.getKey() <= maxGangTasks)
            .flatMapToInt(gang -> IntStream.generate(gang::getKey).limit(gang.getValue()))
            .toArray();
  }

  private int minBatchTasks() {
    return Math.min(MIN_BATCH_TASKS, maxBatchTasks / 2);
  }

  private double meanTasks(String jobClass) {
    return switch (jobClass) {
      case BATCH -> (minBatchTasks() + maxBatchTasks) / 2.0;
      case TRAINING -> Arrays.stream(gangSizes).average().orElse(1);
      case URGENT -> (1 + MAX_URGENT_TASKS) / 2.0;
      default -> (2 + MAX_REPLICAS) / 2.0;
    };
  }

  /** Random time until the next job of a class arrives: 0.5 to 1.5 times the mean interval. */
  Duration timeToNext(String jobClass) {
    double jobsPerSecond = startsPerSecond * START_SHARES.get(jobClass) / meanTasks(jobClass);
    double seconds = (0.5 + random.nextDouble()) / jobsPerSecond;
    return Duration.ofMillis((long) (seconds * 1000));
  }

  /** Generates the next job of a class, with a random team, image and size. */
  GeneratedJob generate(String jobClass) {
    String id = "wk-" + (1_000_000 + jobCount++ * 37L % 999_983);
    String team = teamName(random.nextInt(teams));
    String image = jobClass + "-" + random.nextInt(IMAGES_PER_CLASS);
    return switch (jobClass) {
      case BATCH ->
          job(
              id, team, image, JobKind.ARRAY, Priority.LOW,
              uniform(minBatchTasks(), maxBatchTasks), 4, 0, 8, 60);
      case TRAINING -> {
        int tasks = gangSizes[random.nextInt(gangSizes.length)];
        int gpus = tasks >= LARGE_GANG_TASKS ? 1 : 4;
        double cpus = 7.0 * gpus;
        yield job(
            id, team, image, JobKind.GANG, Priority.NORMAL, tasks, cpus, gpus, 50 * gpus, 100);
      }
      case URGENT ->
          job(
              id, team, image, JobKind.ARRAY, Priority.HIGH,
              uniform(1, MAX_URGENT_TASKS), 2, 0, 4, 20);
      default ->
          job(
              id, team, image, JobKind.SERVICE, Priority.PRODUCTION,
              uniform(2, MAX_REPLICAS), 2, 0, 4, 0);
    };
  }

  static String teamName(int index) {
    return "team-" + index;
  }

  private int uniform(int min, int max) {
    return min + random.nextInt(max - min + 1);
  }

  private GeneratedJob job(
      String id,
      String team,
      String image,
      JobKind kind,
      Priority priority,
      int tasks,
      double cpus,
      double gpus,
      double memGb,
      double estimateS) {
    String jobClass = image.substring(0, image.indexOf('-'));
    boolean gang = kind == JobKind.GANG;
    boolean service = kind == JobKind.SERVICE;
    JobSpec spec =
        new JobSpec(
            id, jobClass, team, kind, priority, tasks, cpus, gpus, memGb, image, 1.5, null, null,
            gang, service, false, estimateS, gang ? 20 : 0, gang ? 3 : 0, null);
    boolean cancelled = service || random.nextInt(20) == 0;
    Duration cancelAfter = cancelled ? Duration.ofSeconds(uniform(5, service ? 150 : 40)) : null;
    return new GeneratedJob(spec, cancelAfter);
  }
}
