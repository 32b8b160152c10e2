package io.tansystack.schedule;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.TaskSet;
import io.tansystack.wire.JobSpec;
import java.util.List;
import java.util.Map;

/**
 * The result of a scheduling pass over all jobs. Every controller computes the same plan from the
 * same records and carries out only the part that concerns the jobs of its own slots.
 *
 * @param placements new placements by job ID
 * @param evictions tasks to be stopped, by job ID: to free capacity for other jobs, or to move
 *     replicas
 * @param unmet jobs with tasks for which there is no capacity, in planning order
 */
public record Plan(
    Map<String, List<Assignment>> placements,
    Map<String, List<Eviction>> evictions,
    List<UnmetDemand> unmet) {

  /**
   * Tasks of a job to be stopped on a machine.
   *
   * @param reason ID of the job for which they are preempted, or {@code a move to NAME} where a
   *     replica moves to the machine NAME
   */
  public record Eviction(String machine, TaskSet tasks, String reason) {
    private static final String MOVE_PREFIX = "a move to ";

    /** The stop of a replica that moves to another machine. */
    static Eviction move(String from, TaskSet tasks, String to) {
      return new Eviction(from, tasks, MOVE_PREFIX + to);
    }

    public boolean isMove() {
      return reason.startsWith(MOVE_PREFIX);
    }
  }

  /**
   * Tasks of a job for which no capacity was found.
   *
   * @param tasks how many tasks lack capacity
   * @param guaranteed whether the job is covered by its team's guarantee
   * @param tasksByZone how many of the job's other tasks run in, or found capacity in, each zone;
   *     empty if zones don't matter for the job. A new machine is useful for these tasks only in a
   *     zone that the job's zone constraints allow together with these zones
   */
  public record UnmetDemand(
      String job, JobSpec spec, int tasks, boolean guaranteed, Map<String, Integer> tasksByZone) {}
}
