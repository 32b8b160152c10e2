package io.tansystack.jobs;

import io.tansystack.records.JobRecord;
import io.tansystack.recovery.FleetCoverage;
import io.tansystack.schedule.Deadlines;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.settings.PlatformSettings.Objective;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Builds the state of a job that a pass plans from: its record, how long it has waited, and whether
 * the job itself seems to be faulty.
 */
final class JobStateBuilder {
  /**
   * Age at which a job that was never placed must not wait much longer: users expect the largest
   * jobs to begin within four minutes.
   */
  private static final Duration START_OVERDUE_AFTER = Duration.ofSeconds(150);

  private static final long DEFAULT_PREEMPTION_DELAY_MS = 1000;
  private static final long MAX_PREEMPTION_DELAY_MS = 2000;

  private final FailureTracker failures;
  private final FleetCoverage coverage;
  private final Deadlines deadlines;

  /**
   * By job class, how long a job waits for other jobs' tasks to end by themselves before it may
   * preempt them.
   */
  private final Map<String, Long> preemptionDelayMs = new HashMap<>();

  JobStateBuilder(List<Objective> objectives, FailureTracker failures, FleetCoverage coverage) {
    this.failures = failures;
    this.coverage = coverage;
    this.deadlines = new Deadlines(objectives);
    for (Objective objective : objectives) {
      if (objective.kind().equals("wait") && objective.jobClass() != null) {
        long delayMs = objective.within().toMillis() * 2 / 5;
        preemptionDelayMs.put(objective.jobClass(), Math.min(MAX_PREEMPTION_DELAY_MS, delayMs));
      }
    }
  }

  /**
   * @param pending whether a write of the job is in flight
   * @param wallMs the wall-clock time
   */
  JobState build(String id, JobRecord record, boolean pending, Duration now, long wallMs) {
    JobSpec spec = record.spec();
    long ageMs = wallMs - record.submittedMs();
    boolean mayPreempt =
        ageMs >= preemptionDelayMs.getOrDefault(spec.jobClass(), DEFAULT_PREEMPTION_DELAY_MS)
            && coverage.covers(spec);
    // Tasks of a service never complete, so failures alone do not show that a service is faulty.
    boolean suspected =
        failures.isSuspected(id) && record.done().isEmpty() && spec.kind() != JobKind.SERVICE;
    return new JobState(
        id,
        record,
        !pending && !failures.isBackingOff(id, now),
        mayPreempt,
        suspected,
        record.active() ? deadlines.missedObjectives(record, wallMs) : 0,
        failures.excludedMachines(id, now),
        record.neverPlaced() && ageMs >= START_OVERDUE_AFTER.toMillis());
  }
}
