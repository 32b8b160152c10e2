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
 * Which of the aims for a job's deadline it can still meet. Where there is too little room for all,
 * serving by arrival alone makes everybody late: once the queue is longer than the deadlines, only
 * jobs whose deadline has passed are served. A job that can't be in time any more lets those go first
 * that can; what is late anyway loses little by being later.
 */
public final class Deadlines {
  /** Estimates are often wrong by half, and the image has to be fetched. */
  private static final double DOUBT = 1.5;

  /** It lets others go first until so many times its deadline have passed: nothing starves. */
  private static final double PATIENCE = 5;

  /** Multiples of the deadline that the aims name, by class, ascending. */
  private final Map<String, List<Double>> aims = new HashMap<>();

  public Deadlines(List<Objective> objectives) {
    for (Objective aim : objectives) {
      if (aim.kind().equals("deadline") && aim.jobClass() != null) {
        aims.computeIfAbsent(aim.jobClass(), k -> new ArrayList<>()).add(aim.times());
      }
    }
    aims.values().forEach(times -> times.sort(null));
  }

  /**
   * How many of its aims the job can't meet any more, even if all that is left of it started at this
   * moment. One that has begun is given up on less easily, or jobs would be begun and left.
   */
  public int missed(JobRecord record, long nowMs) {
    JobSpec spec = record.spec();
    if (spec.deadlineS() == null || spec.deadlineS() <= 0 || spec.shape() == JobKind.SERVICE) {
      return 0;
    }
    double ageS = (nowMs - record.submittedMs()) / 1000.0;
    if (ageS > spec.deadlineS() * PATIENCE) {
      return 0;
    }
    boolean begun = !record.done().isEmpty() || !record.placements().isEmpty();
    double overS = ageS + spec.estimateS() * (begun ? 1 : DOUBT);
    int missed = 0;
    for (double times : aims.getOrDefault(spec.jobClass(), List.of(1.0))) {
      missed += overS > spec.deadlineS() * times ? 1 : 0;
    }
    return missed;
  }
}
