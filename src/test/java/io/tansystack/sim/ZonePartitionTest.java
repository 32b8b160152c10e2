package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against tasks started twice after a zone partition: a zone is cut off from the state
 * service, its machines fail over to controllers outside, and the partition ends while the workers'
 * leases, which the controllers inside have renewed, are still valid.
 */
class ZonePartitionTest extends FaultScenario {
  private static final int JOBS = 24;
  private static final int CANCELLED = 6;
  private static final int SHORT_JOBS = 6;

  /** Pairs of valid values of {@code lease_s} and {@code cancel_s}. */
  private static final int[][] LEASES_AND_CANCELS = {{18, 43}, {36, 61}, {30, 55}};

  private static final Duration LONG_RUN = Duration.ofSeconds(100);
  private static final Duration SHORT_RUN = Duration.ofSeconds(2);
  private static final Duration SHORT_JOBS_EVERY = Duration.ofSeconds(4);

  /**
   * Jobs after the first ones are short: they keep machines outside rented, so that there is
   * capacity.
   */
  @Override
  Duration runTimeOf(String task) {
    int job = Integer.parseInt(task.substring("wk-".length(), task.indexOf('/')));
    return job < JOBS ? LONG_RUN : SHORT_RUN;
  }

  private void keepOutsideMachinesRented() {
    submitJobs(SHORT_JOBS, 2);
    loop.after(SHORT_JOBS_EVERY, this::keepOutsideMachinesRented);
  }

  /** Durations of partitions, each with {@code lease_s} and {@code cancel_s} of the settings. */
  static Stream<Arguments> cuts() {
    return Stream.of(
            cuts(20_000, 36_000, 250, 18, 43),
            cuts(44_000, 54_000, 500, 36, 61),
            cuts(38_000, 48_000, 500, 30, 55))
        .flatMap(Function.identity());
  }

  private static Stream<Arguments> cuts(int fromMs, int toMs, int stepMs, int lease, int cancel) {
    return IntStream.iterate(fromMs, ms -> ms <= toMs, ms -> ms + stepMs)
        .mapToObj(ms -> Arguments.of(Duration.ofMillis(ms), lease, cancel));
  }

  /**
   * Half of the machines run a job that is cancelled outside while they are cut off, beside one
   * that continues. When they are reachable again, the cancelled work is stopped by direct
   * commands, and reports are not answered before that. None of this proves that the leases have
   * expired: the job that continues there must not be started elsewhere.
   */
  @ParameterizedTest
  @MethodSource("cuts")
  void workOnMachinesWithCancelledJobsStartsNowhereElseWhileTheirLeasesRun(
      Duration partition, int lease, int cancel) throws Exception {
    random = new Random(partition.toMillis());
    workInZoneB(lease, cancel, 4);
    cutZoneB();
    for (int i = 0; i < CANCELLED; i++) {
      String id = id(i * JOBS / CANCELLED);
      loop.after(Duration.ofMillis(500 + 200L * i), () -> users().cancel(id, 0));
    }
    loop.runFor(partition);
    partitionedZone = null;
    loop.runFor(Duration.ofSeconds(15));
    assertEquals(Set.of(), users().checker().violations);
    long cancelled = users().jobs.values().stream().filter(job -> job.cancelled != null).count();
    assertEquals(CANCELLED, cancelled, "confirmed cancellations");
  }

  /**
   * The same with other random conditions: another number of controllers, all of them down before
   * the partition for longer than a lease, a crash of one outside during it, delayed commands and
   * copies of reports, a second partition.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void randomPartitionsWithCancellationsBreakNoRule(long seed) throws Exception {
    Random draw = new Random(seed);
    int[] times = LEASES_AND_CANCELS[draw.nextInt(LEASES_AND_CANCELS.length)];
    random = new Random(seed);
    workInZoneB(times[0], times[1], 3 + draw.nextInt(5));
    if (draw.nextInt(4) == 0) {
      inject("all end", 0, Duration.ofSeconds(times[0] + 2L));
      loop.runFor(Duration.ofSeconds(times[0] + 20L));
    }
    duplicateReportShare = draw.nextInt(3) == 0 ? 0.05 : 0;
    cutZoneB();
    for (int i = 0; i < JOBS; i++) {
      if (draw.nextInt(3) == 0) {
        String id = id(i);
        loop.after(Duration.ofMillis(draw.nextInt(20_000)), () -> users().cancel(id, SimUsers.ANY));
      }
    }
    if (draw.nextInt(4) == 0) {
      loop.after(Duration.ofMillis(draw.nextInt(times[0] * 1000)), () -> restart(0, 500 + draw.nextInt(5000)));
    }
    // The partition ends between the earliest moment at which the bound of the first failover may
    // have passed and the end of the last lease that was renewed inside.
    loop.runFor(Duration.ofMillis(times[0] * 1000L + 3000 + draw.nextInt(16_000)));
    delayedCommandShare = draw.nextInt(3) == 0 ? 0.5 : 0;
    maxCommandDelay = Duration.ofSeconds(5);
    partitionedZone = null;
    loop.runFor(Duration.ofMillis(2000 + draw.nextInt(10_000)));
    if (draw.nextInt(3) == 0) {
      partitionedZone = "b";
      loop.runFor(Duration.ofMillis(draw.nextInt(60_000)));
      partitionedZone = null;
    }
    loop.runFor(Duration.ofSeconds(15));
    assertEquals(Set.of(), users().checker().violations);
  }

  /** Controllers in both zones, and all work on machines in the zone that is to be cut off. */
  private void workInZoneB(int lease, int cancel, int controllers) throws Exception {
    settings =
        settings
            .replace("cpus_max = 60.0", "cpus_max = 0.0")
            .replace("lease_s = 36.0", "lease_s = " + lease + ".0")
            .replace("cancel_s = 61.0", "cancel_s = " + cancel + ".0");
    zones = List.of("a", "b");
    controllersInAllZones = true;
    fullZones.add("a");
    start(controllers, 32);
    submitJobs(JOBS, 2);
    loop.runFor(Duration.ofSeconds(14));
  }

  /** Cuts the zone off; from now on machines are rented outside only, and kept there. */
  private void cutZoneB() {
    fullZones.clear();
    fullZones.add("b");
    partitionedZone = "b";
    keepOutsideMachinesRented();
  }
}
