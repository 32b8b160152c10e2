package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.SlotManager;
import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs a warning, once for each job and kind of problem, about jobs that need an operator's
 * attention: jobs that make no progress, jobs for which no machine can be obtained, and deadlines
 * that are about to be missed. Operators don't have to find such jobs by chance.
 */
public final class JobHealthMonitor {
  private static final Logger log = LoggerFactory.getLogger(JobHealthMonitor.class);

  /**
   * A job counts as stuck if it makes no progress for this time plus four times its estimated run
   * time. A job without placements is reported after half of this time.
   */
  private static final Duration STUCK_AFTER = Duration.ofSeconds(120);

  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(5);

  /** A job's progress counts, unchanged since the given time. */
  private record Progress(int done, long attempt, int placed, Duration since) {}

  private final EventLoop loop;
  private final InstantSource clock;
  private final ClusterState clusterState;
  private final SlotManager slotManager;
  private final Predicate<String> hasUnmetDemand;
  private final Map<String, Progress> progress = new HashMap<>();

  /** Warnings already logged: the job's ID, a space and the problem. */
  private final Set<String> warned = new HashSet<>();

  /** @param hasUnmetDemand whether the last pass found no capacity for some task of the job */
  public JobHealthMonitor(
      EventLoop loop,
      InstantSource clock,
      ClusterState clusterState,
      SlotManager slotManager,
      Predicate<String> hasUnmetDemand) {
    this.loop = loop;
    this.clock = clock;
    this.clusterState = clusterState;
    this.slotManager = slotManager;
    this.hasUnmetDemand = hasUnmetDemand;
  }

  /** Starts the periodic check; called once. */
  public void start() {
    loop.after(
        CHECK_INTERVAL,
        () -> {
          start();
          checkJobs();
        });
  }

  private void checkJobs() {
    progress.keySet().retainAll(clusterState.jobs().keySet());
    warned.removeIf(key -> clusterState.job(key.substring(0, key.indexOf(' '))) == null);
    for (Job job : clusterState.jobs().values()) {
      if (job.record().active() && slotManager.holds(job.slot())) {
        checkProgress(job);
        checkDeadline(job);
      }
    }
  }

  private void checkProgress(Job job) {
    JobRecord record = job.record();
    JobSpec spec = record.spec();
    Duration now = loop.now();
    Progress last = progress.get(job.id());
    if (last == null
        || last.done != record.done().size()
        || last.attempt != record.attempt()
        || last.placed != record.placedTaskCount()) {
      progress.put(
          job.id(),
          new Progress(record.done().size(), record.attempt(), record.placedTaskCount(), now));
      return;
    }
    Duration unchangedFor = now.minus(last.since);
    if (record.placedTaskCount() == 0 && unchangedFor.compareTo(STUCK_AFTER.dividedBy(2)) > 0) {
      warn(
          job,
          hasUnmetDemand.test(job.id()) ? "no-machine" : "waiting",
          "no task has been placed for " + unchangedFor.toSeconds() + " s");
    }
    double expectedS = spec.estimateS() * 4 + STUCK_AFTER.toSeconds();
    if (spec.kind() != JobKind.SERVICE
        && record.placedTaskCount() > 0
        && unchangedFor.toSeconds() > expectedS) {
      warn(job, "stuck", "no task has ended or started for " + unchangedFor.toSeconds() + " s");
    }
  }

  private void checkDeadline(Job job) {
    JobSpec spec = job.record().spec();
    if (spec.deadlineS() == null) {
      return;
    }
    double remainingS = spec.deadlineS() - (clock.millis() - job.record().submittedMs()) / 1000.0;
    if (remainingS < spec.estimateS() && job.record().done().size() < spec.tasks()) {
      warn(
          job,
          "deadline",
          String.format(
              "%.0f s left, %d of %d tasks done, a task takes about %.0f s",
              remainingS, job.record().done().size(), spec.tasks(), spec.estimateS()));
    }
  }

  private void warn(Job job, String problem, String detail) {
    if (warned.add(job.id() + " " + problem)) {
      JobSpec spec = job.record().spec();
      log.warn(
          "{} job={} class={} priority={}: {}",
          problem,
          job.id(),
          spec.jobClass(),
          spec.priority(),
          detail);
    }
  }
}
