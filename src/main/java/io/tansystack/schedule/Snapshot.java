package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.wire.MachineType;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The input of a scheduling pass.
 *
 * @param machines the known machines, except those that are still booting
 * @param booting machines that are rented and still booting
 * @param jobs all jobs, active or not
 * @param teams quotas by team name
 * @param migrationAllowed whether enough machines have been heard from to compare them all and move
 *     replicas between them
 */
public record Snapshot(
    List<MachineState> machines,
    List<MachineState> booting,
    List<JobState> jobs,
    Map<String, Team> teams,
    boolean migrationAllowed) {

  /** A snapshot in which enough machines have been heard from to move replicas. */
  public Snapshot(
      List<MachineState> machines,
      List<MachineState> booting,
      List<JobState> jobs,
      Map<String, Team> teams) {
    this(machines, booting, jobs, teams, true);
  }

  /** The state of a machine that is still booting: empty, with the type's fetch bandwidth. */
  public static MachineState booting(String name, MachineType type, String zone, boolean spot) {
    return new MachineState(
        name, type, zone, spot, 0, false, false, Set.of(), Set.of(), 0, type.fetchGbPerS(), 1);
  }

  /**
   * A machine as a scheduling pass sees it.
   *
   * @param session the worker's current session, 0 if unknown
   * @param acceptsTasks whether new tasks may be sent to it now
   * @param drain whether it is to be drained: its replicas are moved to other machines
   * @param images images that it has cached
   * @param fetchingImages images that it is fetching
   * @param queuedGb size of the images that it still has to fetch, in GB
   * @param fetchGbPerS predicted fetch bandwidth, in GB/s
   * @param slowness predicted run time as a multiple of the estimate
   */
  public record MachineState(
      String name,
      MachineType type,
      String zone,
      boolean spot,
      long session,
      boolean acceptsTasks,
      boolean drain,
      Set<String> images,
      Set<String> fetchingImages,
      double queuedGb,
      double fetchGbPerS,
      double slowness) {}

  /**
   * A job as a scheduling pass sees it: its record with all termination proofs applied.
   *
   * @param schedulable whether its unplaced tasks may be placed by this pass
   * @param preemptionDelayElapsed whether it has waited long enough to preempt others; false while
   *     too few of the machines that it may use have been heard from
   * @param suspected whether its failures seem to be caused by the job itself: one task at a time
   *     is tried where there is free capacity, and nothing is stopped, reserved or rented for it
   * @param missedObjectives how many of its deadline objectives it can't meet any more
   * @param excludedMachines names of machines on which it failed or was refused recently
   * @param startOverdue whether it has waited so long without any task placed that it must be
   *     started soon
   * @param hasUnplacedTasks whether it has tasks that are neither placed nor done
   */
  public record JobState(
      String id,
      JobRecord record,
      boolean schedulable,
      boolean preemptionDelayElapsed,
      boolean suspected,
      int missedObjectives,
      Set<String> excludedMachines,
      boolean startOverdue,
      boolean hasUnplacedTasks) {

    /** Computes {@link #hasUnplacedTasks} from the record. */
    public JobState(
        String id,
        JobRecord record,
        boolean schedulable,
        boolean preemptionDelayElapsed,
        boolean suspected,
        int missedObjectives,
        Set<String> excludedMachines,
        boolean startOverdue) {
      this(
          id,
          record,
          schedulable,
          preemptionDelayElapsed,
          suspected,
          missedObjectives,
          excludedMachines,
          startOverdue,
          hasUnplacedTasks(record));
    }

    /** A job whose start is not overdue. */
    public JobState(
        String id,
        JobRecord record,
        boolean schedulable,
        boolean preemptionDelayElapsed,
        boolean suspected,
        int missedObjectives,
        Set<String> excludedMachines) {
      this(
          id,
          record,
          schedulable,
          preemptionDelayElapsed,
          suspected,
          missedObjectives,
          excludedMachines,
          false);
    }

    /** Whether the job of a record is active and has tasks that are neither placed nor done. */
    public static boolean hasUnplacedTasks(JobRecord record) {
      return record.active()
          && record.placedTaskCount() + record.done().size() < record.spec().tasks();
    }
  }
}
