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
 * The jobs of a scale run, drawn from a seed: arrays of the lowest priority, training in gangs of
 * up to 256, short urgent arrays, and services, in a mix whose mean run time keeps as many tasks
 * running as the planned size has.
 */
final class WorkloadGenerator {
  static final String BATCH = "batch";
  static final String TRAINING = "training";
  static final String URGENT = "urgent";
  static final String FRONTEND = "frontend";

  static final List<String> CLASSES = List.of(BATCH, TRAINING, URGENT, FRONTEND);

  private static final int IMAGES = 6;

  /** How many of 42 gangs have so many tasks. */
  private static final Map<Integer, Integer> GANGS =
      new TreeMap<>(Map.of(2, 10, 4, 10, 8, 10, 16, 6, 32, 4, 64, 1, 256, 1));

  /** Tasks of larger gangs take one accelerator each, others half a machine. */
  private static final int LARGE_GANG = 64;

  /** A drawn job, and after how long its user cancels it; null for never. */
  record GeneratedJob(JobSpec spec, Duration cancelAfter) {}

  /** The part of all starts that belongs to a class. */
  private static final Map<String, Double> SHARES =
      Map.of(BATCH, 0.72, TRAINING, 0.13, URGENT, 0.12, FRONTEND, 0.03);

  private static final int LEAST_BATCH = 20;
  private static final int MOST_BATCH = 200;
  private static final int MOST_URGENT = 12;
  private static final int MOST_REPLICAS = 6;

  /** A cell with fewer workers has smaller gangs. */
  private static final int WORKERS_PER_GANG_TASK = 8;

  private final Random random;
  private final int teams;
  private final double startsPerSecond;
  private final int mostBatch;
  private final int[] gangSizes;
  private int made;

  WorkloadGenerator(long seed, int teams, double startsPerSecond, int workers) {
    this.random = new Random(seed);
    this.teams = teams;
    this.startsPerSecond = startsPerSecond;
    this.mostBatch = Math.max(2, Math.min(MOST_BATCH, workers));
    int mostGang = Math.max(2, workers / WORKERS_PER_GANG_TASK);
    this.gangSizes =
        GANGS.entrySet().stream()
            .filter(gang -> gang.getKey() <= mostGang)
            .flatMapToInt(gang -> IntStream.generate(gang::getKey).limit(gang.getValue()))
            .toArray();
  }

  private int leastBatch() {
    return Math.min(LEAST_BATCH, mostBatch / 2);
  }

  private double meanTasks(String jobClass) {
    return switch (jobClass) {
      case BATCH -> (leastBatch() + mostBatch) / 2.0;
      case TRAINING -> Arrays.stream(gangSizes).average().orElse(1);
      case URGENT -> (1 + MOST_URGENT) / 2.0;
      default -> (2 + MOST_REPLICAS) / 2.0;
    };
  }

  /** How long until the next job of a class comes: the mean time between two, give or take a half. */
  Duration untilNext(String jobClass) {
    double jobsPerSecond = startsPerSecond * SHARES.get(jobClass) / meanTasks(jobClass);
    double seconds = (0.5 + random.nextDouble()) / jobsPerSecond;
    return Duration.ofMillis((long) (seconds * 1000));
  }

  GeneratedJob draw(String jobClass) {
    String id = "wk-" + (1_000_000 + made++ * 37L % 999_983);
    String team = teamName(random.nextInt(teams));
    String image = jobClass + "-" + random.nextInt(IMAGES);
    return switch (jobClass) {
      case BATCH ->
          drawn(
              id, team, image, JobKind.ARRAY, Priority.LOW,
              uniform(leastBatch(), mostBatch), 4, 0, 8, 60);
      case TRAINING -> {
        int tasks = gangSizes[random.nextInt(gangSizes.length)];
        int gpus = tasks >= LARGE_GANG ? 1 : 4;
        double cpus = 7.0 * gpus;
        yield drawn(
            id, team, image, JobKind.GANG, Priority.NORMAL, tasks, cpus, gpus, 50 * gpus, 100);
      }
      case URGENT ->
          drawn(
              id, team, image, JobKind.ARRAY, Priority.HIGH,
              uniform(1, MOST_URGENT), 2, 0, 4, 20);
      default ->
          drawn(
              id, team, image, JobKind.SERVICE, Priority.PRODUCTION,
              uniform(2, MOST_REPLICAS), 2, 0, 4, 0);
    };
  }

  static String teamName(int index) {
    return "team-" + index;
  }

  private int uniform(int least, int most) {
    return least + random.nextInt(most - least + 1);
  }

  private GeneratedJob drawn(
      String id,
      String team,
      String image,
      JobKind shape,
      Priority priority,
      int tasks,
      double cpus,
      double gpus,
      double memGb,
      double estimateS) {
    String jobClass = image.substring(0, image.indexOf('-'));
    boolean gang = shape == JobKind.GANG;
    boolean service = shape == JobKind.SERVICE;
    JobSpec spec =
        new JobSpec(
            id, jobClass, team, shape, priority, tasks, cpus, gpus, memGb, image, 1.5, null, null,
            gang, service, false, estimateS, gang ? 20 : 0, gang ? 3 : 0, null);
    boolean cancels = service || random.nextInt(20) == 0;
    Duration cancelAfter = cancels ? Duration.ofSeconds(uniform(5, service ? 150 : 40)) : null;
    return new GeneratedJob(spec, cancelAfter);
  }
}
