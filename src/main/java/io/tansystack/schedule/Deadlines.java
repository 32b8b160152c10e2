package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.settings.PlatformSettings.Objective;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines which of its deadline objectives a job can still meet. When capacity is short, serving
 * jobs by arrival alone makes all of them late: once the queue is longer than the deadlines, only
 * jobs whose deadline has passed are served. A job that can't meet its deadline any more therefore
 * goes after those that can; a job that is late anyway loses little by being later.
 */
public final class Deadlines {
  /**
   * Factor on the estimate of a job that has not started: estimates are often wrong by half, and
   * the image has to be fetched.
   */
  private static final double ESTIMATE_MARGIN = 1.5;

  /**
   * A job goes after others until its age exceeds this many times its deadline; after that it no
   * longer does, so that it doesn't starve.
   */
  private static final double MAX_DEADLINES_DEFERRED = 5;

  /** The objectives of each job class, as multiples of a job's deadline, ascending. */
  private final Map<String, List<Double>> multiplesByClass = new HashMap<>();

  /** @param objectives all objectives of the platform; only deadline objectives are used */
  public Deadlines(List<Objective> objectives) {
    for (Objective objective : objectives) {
      if (objective.kind().equals("deadline") && objective.jobClass() != null) {
        multiplesByClass
            .computeIfAbsent(objective.jobClass(), k -> new ArrayList<>())
            .add(objective.deadlineFactor());
      }
    }
    multiplesByClass.values().forEach(multiples -> multiples.sort(null));
  }

  /**
   * How many of its objectives the job can't meet any more, even if all its remaining tasks started
   * now. The estimate of a job that has started is taken without the margin, so that it is deferred
   * later; otherwise jobs would be started and then left unfinished.
   */
  public int missedObjectives(JobRecord record, long nowMs) {
    JobSpec spec = record.spec();
    if (spec.deadlineS() == null || spec.deadlineS() <= 0 || spec.kind() == JobKind.SERVICE) {
      return 0;
    }
    double ageS = (nowMs - record.submittedMs()) / 1000.0;
    if (ageS > spec.deadlineS() * MAX_DEADLINES_DEFERRED) {
      return 0;
    }
    boolean started = !record.done().isEmpty() || !record.placements().isEmpty();
    double completionAgeS = ageS + spec.estimateS() * (started ? 1 : ESTIMATE_MARGIN);
    int missed = 0;
    for (double multiple : multiplesByClass.getOrDefault(spec.jobClass(), List.of(1.0))) {
      missed += completionAgeS > spec.deadlineS() * multiple ? 1 : 0;
    }
    return missed;
  }
}
