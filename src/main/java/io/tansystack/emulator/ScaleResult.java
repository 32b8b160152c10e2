package io.tansystack.emulator;

import java.util.List;
import java.util.Map;

/**
 * The measurements of a scale run. Absolute times can't be compared between machines; slopes and
 * ratios between runs on one machine can. The component names are the field names of
 * {@code result.json}.
 *
 * @param seconds duration of the whole run
 * @param startsPerSecond task starts per second in the measured phase
 * @param wantedPerSecond task starts per second that users request
 * @param running tasks on workers at the end
 * @param alive workers at the end
 * @param lostTasks tasks killed because their worker's lease expired
 * @param memoryMb resident memory of all processes together at the end of the measured phase
 * @param repeatedCommands copies of executed commands that workers have received
 * @param machineRestarts restarts of machines in place
 * @param brokenCount number of rule violations
 * @param broken descriptions of the first distinct rule violations
 */
public record ScaleResult(
    int cells,
    int workers,
    int controllers,
    double seconds,
    double startsPerSecond,
    double wantedPerSecond,
    int running,
    int alive,
    int lostTasks,
    double memoryMb,
    List<ClassResult> classes,
    Submissions submissions,
    List<RoleResult> roles,
    StoreResult store,
    WorkerTraffic workerTraffic,
    int repeatedCommands,
    int machineRestarts,
    long brokenCount,
    List<String> broken) {

  /**
   * Figures of one job class. Waits are from submission to the first task start, in milliseconds,
   * for jobs submitted in the measured phase; -1 if none of them has started.
   *
   * @param begun share of the jobs submitted during warm-up that have started a task or finished
   *     by the end; 1 if there are none
   */
  public record ClassResult(String name, double begun, long waitMsP50, long waitMsP99) {}

  /**
   * Figures of job submissions.
   *
   * @param acceptedMsP50 median time from submission to acceptance, in the measured phase
   * @param refused responses other than an acceptance
   */
  public record Submissions(int jobs, long acceptedMsP50, long acceptedMsP99, long refused) {}

  /**
   * Resource usage of one role, as the mean of its processes.
   *
   * @param count number of processes that were measured
   * @param cores CPU time divided by elapsed time
   * @param memoryMb resident memory; 0 for roles that share a process
   * @param inKbPerSecond KiB read per second, with all headers; 0 for roles that share a process
   * @param outKbPerSecond KiB written per second, likewise
   */
  public record RoleResult(
      String role,
      int count,
      double cores,
      double memoryMb,
      double inKbPerSecond,
      double outKbPerSecond) {}

  /**
   * Figures of the state service: its content at the end, and rates in the measured phase.
   *
   * @param valueKb total size of the values, as JSON
   * @param refusedPerSecond requests and transactions rejected because they exceeded a limit
   * @param writesByKind writes per second by the first two segments of their keys
   */
  public record StoreResult(
      long keys,
      double valueKb,
      double requestsPerSecond,
      double writesPerSecond,
      double refusedPerSecond,
      Map<String, Double> writesByKind) {}

  /** Messages and bytes per second and worker, in both directions, with headers. */
  public record WorkerTraffic(
      double reportsPerSecond, double commandsPerSecond, double bytesPerSecond) {}

  /** Whether no rule was violated. */
  public boolean rulesHeld() {
    return brokenCount == 0;
  }
}
