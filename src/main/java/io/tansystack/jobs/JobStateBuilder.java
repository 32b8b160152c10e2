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

/** What a pass sees of a job: its record, how long it has waited, and whether it seems to be at fault. */
final class JobStateBuilder {
  /** Users expect the largest jobs to begin within four minutes. */
  private static final Duration DUE = Duration.ofSeconds(150);

  private static final long USUAL_PATIENCE_MS = 1000;
  private static final long LONGEST_PATIENCE_MS = 2000;

  private final FailureTracker failures;
  private final FleetCoverage coverage;
  private final Deadlines deadlines;

  /** How long a job waits for others to end by themselves before it has them stopped, by class. */
  private final Map<String, Long> patienceMs = new HashMap<>();

  JobStateBuilder(List<Objective> objectives, FailureTracker failures, FleetCoverage coverage) {
    this.failures = failures;
    this.coverage = coverage;
    this.deadlines = new Deadlines(objectives);
    for (Objective aim : objectives) {
      if (aim.kind().equals("wait") && aim.jobClass() != null) {
        long part = aim.within().toMillis() * 2 / 5;
        patienceMs.put(aim.jobClass(), Math.min(LONGEST_PATIENCE_MS, part));
      }
    }
  }

  /**
   * @param pending whether a write of the job is under way
   * @param wallMs the time of day
   */
  JobState of(String id, JobRecord record, boolean pending, Duration now, long wallMs) {
    JobSpec spec = record.spec();
    long ageMs = wallMs - record.submittedMs();
    boolean impatient =
        ageMs >= patienceMs.getOrDefault(spec.jobClass(), USUAL_PATIENCE_MS) && coverage.covers(spec);
    // Of a service nothing ever completes, so failures alone say too little of it.
    boolean suspected =
        failures.suspected(id) && record.done().isEmpty() && spec.shape() != JobKind.SERVICE;
    return new JobState(
        id,
        record,
        !pending && !failures.pauses(id, now),
        impatient,
        suspected,
        record.active() ? deadlines.missedObjectives(record, wallMs) : 0,
        failures.avoid(id, now),
        record.untouched() && ageMs >= DUE.toMillis());
  }
}
