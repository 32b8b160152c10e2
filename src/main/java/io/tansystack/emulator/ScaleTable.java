package io.tansystack.emulator;

import io.tansystack.emulator.ScaleResult.ClassResult;
import io.tansystack.emulator.ScaleResult.RoleResult;

/** Formats the result of a scale run as text for a terminal. */
public final class ScaleTable {
  private ScaleTable() {}

  /** The result as lines, each ended by a line feed. */
  public static String of(ScaleResult result) {
    StringBuilder text = new StringBuilder();
    line(
        text,
        "%d cells, %d workers (%d at the end), %d controllers, %.0f s, %.0f MB in total",
        result.cells(),
        result.workers(),
        result.alive(),
        result.controllers(),
        result.seconds(),
        result.memoryMb());
    line(
        text,
        "task starts per second: %.1f of %.1f requested; %d tasks on workers at the end, %d lost",
        result.startsPerSecond(),
        result.wantedPerSecond(),
        result.running(),
        result.lostTasks());
    line(
        text,
        "submissions: %d jobs, accepted after %d ms (p50) and %d ms (p99), %d rejected",
        result.submissions().jobs(),
        result.submissions().acceptedMsP50(),
        result.submissions().acceptedMsP99(),
        result.submissions().refused());
    for (ClassResult jobClass : result.classes()) {
      line(
          text,
          "  %-10s share of jobs started %.3f, wait %d ms (p50) and %d ms (p99)",
          jobClass.name(),
          jobClass.begun(),
          jobClass.waitMsP50(),
          jobClass.waitMsP99());
    }
    for (RoleResult role : result.roles()) {
      line(
          text,
          "  %-18s x%-3d %.3f cores, %.0f MB, %.1f KB/s in, %.1f KB/s out",
          role.role(),
          role.count(),
          role.cores(),
          role.memoryMb(),
          role.inKbPerSecond(),
          role.outKbPerSecond());
    }
    line(
        text,
        "state service: %d keys, %.0f KB; per second %.1f requests, %.1f writes, %.2f rejected",
        result.store().keys(),
        result.store().valueKb(),
        result.store().requestsPerSecond(),
        result.store().writesPerSecond(),
        result.store().refusedPerSecond());
    result
        .store()
        .writesByKind()
        .forEach((kind, rate) -> line(text, "  %-14s %.1f writes per second", kind, rate));
    line(
        text,
        "per worker and second: %.3f reports, %.3f commands, %.0f bytes",
        result.workerTraffic().reportsPerSecond(),
        result.workerTraffic().commandsPerSecond(),
        result.workerTraffic().bytesPerSecond());
    line(text, "commands repeated after they were executed: %d", result.repeatedCommands());
    line(text, "machines restarted in place: %d", result.machineRestarts());
    line(text, "rule violations: %d", result.brokenCount());
    result.broken().forEach(violation -> line(text, "  %s", violation));
    return text.toString();
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(String.format(format, values)).append('\n');
  }
}
