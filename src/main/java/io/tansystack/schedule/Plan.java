package io.tansystack.schedule;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.TaskSet;
import io.tansystack.wire.JobSpec;
import java.util.List;
import java.util.Map;

/**
 * The outcome of a pass over all jobs. Every controller computes the same plan from the same records
 * and carries out only what concerns its own slots' jobs.
 *
 * @param placements new placements by job
 * @param stops placements to be stopped to make room, by job
 * @param unmet jobs with tasks that found no room, in planning order
 */
public record Plan(
    Map<String, List<Assignment>> placements,
    Map<String, List<Eviction>> stops,
    List<UnmetDemand> unmet) {

  /** Tasks of a job to be stopped on a machine. */
  public record Eviction(String machine, TaskSet tasks, String forJob) {
    private static final String MOVE = "a move to ";

    /** A replica that is to come back on another machine. */
    static Eviction move(String from, TaskSet tasks, String to) {
      return new Eviction(from, tasks, MOVE + to);
    }

    public boolean isMove() {
      return forJob.startsWith(MOVE);
    }
  }

  /**
   * Tasks that found no room.
   *
   * @param zones where the job's other tasks are, or have room, of a job for which zones matter: a machine
   *     for these tasks is of use only in a zone that goes with those
   */
  public record UnmetDemand(
      String job, JobSpec spec, int tasks, boolean guaranteed, Map<String, Integer> zones) {}
}
