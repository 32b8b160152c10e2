package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the jobs of one priority class: by submission time plus a queueing penalty. An array's
 * penalty is the time for which its remaining tasks would keep a fixed share of the cluster busy.
 * Without it, when capacity is short, one huge array would delay all jobs behind it until none of
 * them meets its deadline. A job that has waited long still gets to the front, since later jobs
 * keep arriving behind it and its penalty does not grow. Jobs that can still meet their deadline
 * objectives go before those that can't ({@link Deadlines}).
 *
 * <p>Neither rule may permanently keep an array from starting: the largest array has the largest
 * penalty, and one that misses its objectives goes after all others. A large array that has waited
 * for long and has not started therefore comes before all other jobs of its class, but only with a
 * single task, which is enough to count as started.
 */
final class JobQueueOrder {
  /** The share of the cluster's CPUs that the penalty assumes for an array. */
  private static final double CLUSTER_SHARE = 0.05;

  /** An array with a longer penalty than this counts as large. */
  private static final double LARGE_PENALTY_MS = 120_000;

  /** A job and its submission time plus penalty, in milliseconds. */
  private record QueueEntry(double effectiveMs, JobState job) {}

  private final double shareCpus;

  /** @param cpus the CPUs of all machines together */
  JobQueueOrder(double cpus) {
    this.shareCpus = Math.max(1, cpus * CLUSTER_SHARE);
  }

  /** Returns the jobs of one priority class in the order in which they are to be planned. */
  List<JobState> order(List<JobState> byArrival) {
    List<QueueEntry> entries = new ArrayList<>(byArrival.size());
    for (JobState job : byArrival) {
      entries.add(new QueueEntry(job.record().submittedMs() + penaltyMs(job), job));
    }
    entries.sort(
        Comparator.comparing((QueueEntry entry) -> !starved(entry.job))
            .thenComparingInt(entry -> entry.job.missedObjectives())
            .thenComparingDouble(QueueEntry::effectiveMs)
            .thenComparing(entry -> entry.job.id()));
    return entries.stream().map(QueueEntry::job).toList();
  }

  /** Whether the job is a large array whose start is overdue. */
  boolean starved(JobState job) {
    return job.startOverdue() && penaltyMs(job) > LARGE_PENALTY_MS;
  }

  /** The queueing penalty of an array in milliseconds; 0 for other jobs. */
  private double penaltyMs(JobState job) {
    JobSpec spec = job.record().spec();
    if (spec.kind() != JobKind.ARRAY) {
      return 0;
    }
    int remaining = spec.tasks() - job.record().done().size();
    return remaining * spec.cpus() * spec.estimateS() / shareCpus * 1000;
  }
}
