package io.tansystack.fleet;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Recent arrivals of jobs. Idle machines have to be kept ready for the jobs that arrive while
 * another machine boots. A job counts as arrived when it is first seen here.
 */
final class JobArrivals {
  private static final Duration MAX_AGE = Duration.ofMinutes(5);
  private static final int MAX_ARRIVALS = 20_000;

  /** Arrivals are averaged over this many boot times, because too few come during a single one. */
  private static final int BOOT_TIMES = 3;

  /** The arrival rate is meaningful only if jobs arrived for at least this long. */
  private static final Duration MIN_ARRIVAL_SPAN = Duration.ofMinutes(1);

  /** If this many arrivals were expected and none came, that is no coincidence. */
  private static final int MIN_MISSING = 12;

  private record Arrival(JobSpec spec, Duration at) {}

  private final Set<String> seen = new HashSet<>();
  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
  private Duration observedSince = Duration.ZERO;
  private boolean firstUpdate = true;

  /** Discards all observations; jobs that the next update finds do not count as arrivals. */
  void reset(Duration now) {
    seen.clear();
    arrivals.clear();
    observedSince = now;
    firstUpdate = true;
  }

  /** Records jobs that are new since the last update. */
  void update(Map<String, Job> jobs, Duration now) {
    seen.retainAll(jobs.keySet());
    for (Map.Entry<String, Job> entry : jobs.entrySet()) {
      if (seen.add(entry.getKey()) && !firstUpdate) {
        arrivals.add(new Arrival(entry.getValue().record().spec(), now));
      }
    }
    firstUpdate = false;
    while (!arrivals.isEmpty()
        && (arrivals.size() > MAX_ARRIVALS
            || now.minus(arrivals.peek().at).compareTo(MAX_AGE) > 0)) {
      arrivals.poll();
    }
  }

  /**
   * Number of machines of the type that the jobs arriving during one boot time need, or {@link
   * Double#MAX_VALUE} if arrivals were not observed for long enough.
   *
   * @param counts jobs to be counted; at least one task of each must fit on a machine of the type
   */
  double machinesNeededPerBoot(MachineType type, Predicate<JobSpec> counts, Duration now) {
    Duration bootTime = Duration.ofMillis((long) (type.bootS() * 1000));
    Duration window = bootTime.multipliedBy(BOOT_TIMES);
    if (now.minus(observedSince).compareTo(window) < 0) {
      return Double.MAX_VALUE;
    }
    double machines = 0;
    for (Arrival arrival : arrivals) {
      if (counts.test(arrival.spec) && now.minus(arrival.at).compareTo(window) < 0) {
        machines += (double) arrival.spec.tasks() / type.capacityFor(arrival.spec);
      }
    }
    return machines / BOOT_TIMES;
  }

  /**
   * Whether jobs used to arrive steadily, and none has arrived for a time in which more than {@link
   * #MIN_MISSING} were to be expected.
   */
  boolean haveStopped(Duration now) {
    if (arrivals.isEmpty()) {
      return false;
    }
    Duration last = arrivals.getLast().at;
    Duration span = last.minus(arrivals.getFirst().at);
    double rate = arrivals.size() / Math.max(1, span.toMillis() / 1000.0);
    return span.compareTo(MIN_ARRIVAL_SPAN) > 0
        && rate * now.minus(last).toMillis() / 1000.0 > MIN_MISSING;
  }
}
