package io.tansystack.jobs;

import io.tansystack.jobs.JobUpdateBuilder.JobUpdate;
import io.tansystack.schedule.Plan;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs what a plan does with a job when it is about to be written. */
final class PlanLog {
  private static final Logger log = LoggerFactory.getLogger(PlanLog.class);

  private PlanLog() {}

  /** Logs the evictions and placements of a job. */
  static void log(Plan plan, JobUpdate update) {
    String id = update.job().id();
    for (Plan.Eviction eviction : plan.evictions().getOrDefault(id, List.of())) {
      log.info(
          "preempt job={} tasks={} machine={} for={}",
          id,
          eviction.tasks(),
          eviction.machine(),
          eviction.reason());
    }
    if (update.places() && log.isInfoEnabled()) {
      log.info(
          "place job={} attempt={} {}",
          id,
          update.next().attempt(),
          plan.placements().get(id).stream().map(a -> a.machine() + "=" + a.tasks()).toList());
    }
  }
}
