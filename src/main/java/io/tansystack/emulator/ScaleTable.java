package io.tansystack.emulator;

import io.tansystack.emulator.ScaleResult.ClassResult;
import io.tansystack.emulator.ScaleResult.RoleResult;

/** A scale run's result as lines for a terminal. */
public final class ScaleTable {
  private ScaleTable() {}

  public static String of(ScaleResult result) {
    StringBuilder text = new StringBuilder();
    line(
        text,
        "%d cells, %d workers (%d at the end), %d controllers, %.0f s, %.0f MB in all",
        result.cells(),
        result.workers(),
        result.alive(),
        result.controllers(),
        result.seconds(),
        result.memoryMb());
    line(
        text,
        "starts a second: %.1f of %.1f wanted; %d tasks on workers at the end, %d lost",
        result.startsPerSecond(),
        result.wantedPerSecond(),
        result.running(),
        result.lostTasks());
    line(
        text,
        "submissions: %d jobs, accepted after %d ms at p50 and %d ms at p99, %d refusals",
        result.submissions().jobs(),
        result.submissions().acceptedMsP50(),
        result.submissions().acceptedMsP99(),
        result.submissions().refused());
    for (ClassResult job : result.classes()) {
      line(
          text,
          "  %-10s begun %.3f, waits %d ms at p50 and %d ms at p99",
          job.name(),
          job.begun(),
          job.waitMsP50(),
          job.waitMsP99());
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
        "state service: %d keys, %.0f KB; %.1f requests, %.1f writes, %.2f refusals a second",
        result.store().keys(),
        result.store().valueKb(),
        result.store().requestsPerSecond(),
        result.store().writesPerSecond(),
        result.store().refusedPerSecond());
    result.store().writesByKind().forEach((kind, rate) -> line(text, "  %-14s %.1f writes a second", kind, rate));
    line(
        text,
        "a worker: %.3f reports, %.3f commands, %.0f bytes a second",
        result.workerTraffic().reportsPerSecond(),
        result.workerTraffic().commandsPerSecond(),
        result.workerTraffic().bytesPerSecond());
    line(text, "rules broken: %d", result.brokenCount());
    result.broken().forEach(what -> line(text, "  %s", what));
    return text.toString();
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(String.format(format, values)).append('\n');
  }
}
