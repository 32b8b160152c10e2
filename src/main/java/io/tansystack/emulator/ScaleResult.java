package io.tansystack.emulator;

import java.util.List;
import java.util.Map;

/**
 * What a scale run has measured. Absolute times don't travel between machines; slopes and ratios
 * between runs on one machine do.
 *
 * @param startsPerSecond tasks that began, and that users asked for
 * @param memoryMb of all processes together at the end of the measured phase
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
    long brokenCount,
    List<String> broken) {

  /** @param begun the part of the jobs of the warm-up that have begun by the end */
  public record ClassResult(String name, double begun, long waitMsP50, long waitMsP99) {}

  /** @param refused answers other than an acceptance */
  public record Submissions(int jobs, long acceptedMsP50, long acceptedMsP99, long refused) {}

  /**
   * One role, by the mean of its processes.
   *
   * @param cores processor time by time
   * @param inKbPerSecond read, and written, with all headers; 0 for roles that share a process
   */
  public record RoleResult(
      String role, int count, double cores, double memoryMb, double inKbPerSecond, double outKbPerSecond) {}

  /**
   * Keys and bytes (as JSON) at the end, rates of the measured phase.
   *
   * @param writesByKind writes a second by the first two parts of their keys
   */
  public record StoreResult(
      long keys,
      double valueKb,
      double requestsPerSecond,
      double writesPerSecond,
      double refusedPerSecond,
      Map<String, Double> writesByKind) {}

  /** By worker: messages and bytes a second, both ways, with headers. */
  public record WorkerTraffic(
      double reportsPerSecond, double commandsPerSecond, double bytesPerSecond) {}

  /** Whether every rule held. */
  public boolean rulesHeld() {
    return brokenCount == 0;
  }
}
