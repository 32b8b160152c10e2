package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Whose turn it is among jobs of the same standing: by arrival, but an array lets others go first by
 * as long as the rest of it would keep a part of the cluster busy. Where there is too little room for
 * all, one huge array would otherwise keep everybody behind it waiting until nobody is in time; and
 * what waits for long still gets its turn, since arrivals go on and its handicap does not grow. Jobs
 * that can still be in time go before those that can't ({@link Deadlines}).
 *
 * <p>None of these may keep an array from beginning for ever: the largest has the largest handicap, and a
 * late one lets all others go first. A large one that has waited for long and has not begun comes before
 * all others of its standing, with a single task, which is as much as a beginning needs.
 */
final class JobQueueOrder {
  private static final double PART = 0.05;

  /** An array with a longer handicap is a large one. */
  private static final double LARGE_MS = 120_000;

  private record Turn(double at, JobState job) {}

  private final double cpus;

  /** @param cpus of all machines together */
  JobQueueOrder(double cpus) {
    this.cpus = Math.max(1, cpus * PART);
  }

  List<JobState> order(List<JobState> byArrival) {
    List<Turn> turns = new ArrayList<>(byArrival.size());
    for (JobState job : byArrival) {
      turns.add(new Turn(job.record().submittedMs() + handicapMs(job), job));
    }
    turns.sort(
        Comparator.comparing((Turn turn) -> !passedOver(turn.job))
            .thenComparingInt(turn -> turn.job.late())
            .thenComparingDouble(Turn::at)
            .thenComparing(turn -> turn.job.id()));
    return turns.stream().map(Turn::job).toList();
  }

  /** Whether the job is a large array that is due to begin. */
  boolean passedOver(JobState job) {
    return job.due() && handicapMs(job) > LARGE_MS;
  }

  private double handicapMs(JobState job) {
    JobSpec spec = job.record().spec();
    if (spec.shape() != JobKind.ARRAY) {
      return 0;
    }
    int left = spec.tasks() - job.record().done().size();
    return left * spec.cpus() * spec.estimateS() / cpus * 1000;
  }
}
