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
 * How much work has come lately: what comes while a machine boots is what machines have to be kept ready
 * for. Jobs are counted when they are first seen.
 */
final class JobArrivals {
  private static final Duration REMEMBERED = Duration.ofMinutes(5);
  private static final int MAX_REMEMBERED = 20_000;

  /** Boot times counted: one alone would see too few. */
  private static final int BOOTS = 3;

  /** Jobs must have come for so long before their rate tells anything. */
  private static final Duration LONG = Duration.ofMinutes(1);

  /** Where so many were to be expected, it is no chance that none came. */
  private static final int MANY = 12;

  private record Come(JobSpec spec, Duration at) {}

  private final Set<String> seen = new HashSet<>();
  private final ArrayDeque<Come> come = new ArrayDeque<>();
  private Duration since = Duration.ZERO;
  private boolean first = true;

  /** What there is from here on is not known to have come lately. */
  void startAnew(Duration now) {
    seen.clear();
    come.clear();
    since = now;
    first = true;
  }

  /** Looks for jobs that have come. */
  void look(Map<String, Job> jobs, Duration now) {
    seen.retainAll(jobs.keySet());
    for (Map.Entry<String, Job> entry : jobs.entrySet()) {
      if (seen.add(entry.getKey()) && !first) {
        come.add(new Come(entry.getValue().record().spec(), now));
      }
    }
    first = false;
    while (!come.isEmpty()
        && (come.size() > MAX_REMEMBERED || now.minus(come.peek().at).compareTo(REMEMBERED) > 0)) {
      come.poll();
    }
  }

  /**
   * So many machines of the type would be taken by what comes while one boots, or more than there can be
   * where that is not known yet.
   *
   * @param counts whose tasks are to be counted; one at least has to fit on the type
   */
  double machinesWhile(MachineType type, Predicate<JobSpec> counts, Duration now) {
    Duration boot = Duration.ofMillis((long) (type.bootS() * 1000));
    Duration window = boot.multipliedBy(BOOTS);
    if (now.minus(since).compareTo(window) < 0) {
      return Double.MAX_VALUE;
    }
    double machines = 0;
    for (Come one : come) {
      if (counts.test(one.spec) && now.minus(one.at).compareTo(window) < 0) {
        machines += (double) one.spec.tasks() / type.capacityFor(one.spec);
      }
    }
    return machines / BOOTS;
  }

  /** Whether jobs came all the time, and none has for a while in which many were to be expected. */
  boolean haveEnded(Duration now) {
    if (come.isEmpty()) {
      return false;
    }
    Duration last = come.getLast().at;
    Duration over = last.minus(come.getFirst().at);
    double rate = come.size() / Math.max(1, over.toMillis() / 1000.0);
    return over.compareTo(LONG) > 0 && rate * now.minus(last).toMillis() / 1000.0 > MANY;
  }
}
