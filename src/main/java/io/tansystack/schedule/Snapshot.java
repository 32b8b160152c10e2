package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.wire.MachineType;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All that a planning pass looks at.
 *
 * @param booting machines that are rented and not yet of use
 * @param movable whether enough is known of the machines to move replicas about between them
 */
public record Snapshot(
    List<MachineState> machines,
    List<MachineState> booting,
    List<JobState> jobs,
    Map<String, Team> teams,
    boolean movable) {

  /** Of a cluster that is known. */
  public Snapshot(
      List<MachineState> machines,
      List<MachineState> booting,
      List<JobState> jobs,
      Map<String, Team> teams) {
    this(machines, booting, jobs, teams, true);
  }

  /** A machine that is still booting. */
  public static MachineState booting(String name, MachineType type, String zone, boolean spot) {
    return new MachineState(
        name, type, zone, spot, 0, false, false, Set.of(), Set.of(), 0, type.fetchGbPerS(), 1);
  }

  /**
   * A machine as the plan sees it.
   *
   * @param open whether new tasks may be sent to it now
   * @param drain whether it is to be emptied: its replicas move elsewhere
   * @param images images that it holds
   * @param coming images that it is fetching
   * @param queuedGb bytes that it still has to fetch
   * @param fetchGbPerS predicted bandwidth
   * @param slowness predicted run time over estimate
   */
  public record MachineState(
      String name,
      MachineType type,
      String zone,
      boolean spot,
      long session,
      boolean open,
      boolean drain,
      Set<String> images,
      Set<String> coming,
      double queuedGb,
      double fetchGbPerS,
      double slowness) {}

  /**
   * A job as the plan sees it: its record with all proofs taken in.
   *
   * @param waiting whether its unplaced tasks may be placed by this pass
   * @param impatient whether it has waited long enough to have others stopped for it
   * @param suspected whether the job itself seems to be at fault: one task at a time is tried where
   *     there is room, and nothing is stopped, kept or rented for it
   * @param late how many of its deadline's aims it can't meet any more
   * @param avoid machines where it lately failed or was refused
   * @param due whether it has waited for so long without a beginning that it must not wait much longer
   * @param open whether it has tasks that are neither placed nor done
   */
  public record JobState(
      String id,
      JobRecord record,
      boolean waiting,
      boolean impatient,
      boolean suspected,
      int late,
      Set<String> avoid,
      boolean due,
      boolean open) {

    public JobState(
        String id,
        JobRecord record,
        boolean waiting,
        boolean impatient,
        boolean suspected,
        int late,
        Set<String> avoid,
        boolean due) {
      this(id, record, waiting, impatient, suspected, late, avoid, due, isOpen(record));
    }

    /** One that has not waited for long. */
    public JobState(
        String id,
        JobRecord record,
        boolean waiting,
        boolean impatient,
        boolean suspected,
        int late,
        Set<String> avoid) {
      this(id, record, waiting, impatient, suspected, late, avoid, false);
    }

    /** Whether a record has tasks that are neither placed nor done. */
    public static boolean isOpen(JobRecord record) {
      return record.active()
          && record.placedCount() + record.done().size() < record.spec().tasks();
    }
  }
}
