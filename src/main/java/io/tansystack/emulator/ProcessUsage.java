package io.tansystack.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Resource usage of a process, read from {@code /proc}.
 *
 * @param cpuTime user and system CPU time so far
 * @param residentMb resident memory at present, in MiB
 * @param readBytes bytes returned by reads of any kind, nearly all of them from sockets
 * @param writtenBytes bytes passed to writes of any kind
 */
record ProcessUsage(Duration cpuTime, double residentMb, long readBytes, long writtenBytes) {
  /** Clock ticks per second in {@code /proc}; fixed by the kernel's interface. */
  private static final double TICKS_PER_S = 100;

  /** Index of the field utime in {@code /proc/PID/stat}, counted after the process name. */
  private static final int USER_TICKS_FIELD = 11;

  /** Index of the field stime. */
  private static final int SYSTEM_TICKS_FIELD = 12;

  /** Usage of a running process; null if the process has ended. */
  static ProcessUsage of(long pid) {
    Path proc = Path.of("/proc", Long.toString(pid));
    try {
      String stat = Files.readString(proc.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      double ticks =
          Double.parseDouble(fields[USER_TICKS_FIELD])
              + Double.parseDouble(fields[SYSTEM_TICKS_FIELD]);
      List<String> status = Files.readAllLines(proc.resolve("status"));
      List<String> io = Files.readAllLines(proc.resolve("io"));
      return new ProcessUsage(
          Duration.ofMillis((long) (ticks / TICKS_PER_S * 1000)),
          value(status, "VmRSS:") / 1024.0,
          value(io, "rchar:"),
          value(io, "wchar:"));
    } catch (IOException e) {
      return null;
    }
  }

  private static long value(List<String> lines, String key) {
    for (String line : lines) {
      if (line.startsWith(key)) {
        return Long.parseLong(line.substring(key.length()).replace("kB", "").trim());
      }
    }
    return 0;
  }

  /** Total memory of the machine in MiB; 0 if it can't be read. */
  static double machineMb() {
    try {
      return value(Files.readAllLines(Path.of("/proc/meminfo")), "MemTotal:") / 1024.0;
    } catch (IOException e) {
      return 0;
    }
  }
}
