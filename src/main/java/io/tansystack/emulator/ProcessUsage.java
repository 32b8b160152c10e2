package io.tansystack.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * What a process has used, from {@code /proc}.
 *
 * @param processor time in the process and in the kernel for it
 * @param residentMb memory now
 * @param readBytes taken in by reads of any kind, nearly all of them from sockets
 * @param writtenBytes given out by writes of any kind
 */
record ProcessUsage(Duration processor, double residentMb, long readBytes, long writtenBytes) {
  /** Clock ticks a second in {@code /proc}; fixed by the kernel's interface. */
  private static final double TICKS_PER_S = 100;

  private static final int USER_TICKS = 11;
  private static final int SYSTEM_TICKS = 12;

  /** Of a running process; null if it is not there any more. */
  static ProcessUsage of(long pid) {
    Path proc = Path.of("/proc", Long.toString(pid));
    try {
      String stat = Files.readString(proc.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      double ticks = Double.parseDouble(fields[USER_TICKS]) + Double.parseDouble(fields[SYSTEM_TICKS]);
      List<String> status = Files.readAllLines(proc.resolve("status"));
      List<String> io = Files.readAllLines(proc.resolve("io"));
      return new ProcessUsage(
          Duration.ofMillis((long) (ticks / TICKS_PER_S * 1000)),
          number(status, "VmRSS:") / 1024.0,
          number(io, "rchar:"),
          number(io, "wchar:"));
    } catch (IOException e) {
      return null;
    }
  }

  private static long number(List<String> lines, String key) {
    for (String line : lines) {
      if (line.startsWith(key)) {
        return Long.parseLong(line.substring(key.length()).replace("kB", "").trim());
      }
    }
    return 0;
  }

  /** Memory of the machine in MiB; 0 where it can't be told. */
  static double machineMb() {
    try {
      return number(Files.readAllLines(Path.of("/proc/meminfo")), "MemTotal:") / 1024.0;
    } catch (IOException e) {
      return 0;
    }
  }
}
