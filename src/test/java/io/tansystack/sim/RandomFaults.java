package io.tansystack.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The faults of {@link RandomFaultRun}, and their draw from a seed. */
final class RandomFaults {
  private RandomFaults() {}

  /** Kinds of faults and of unusual user behaviour; draws depend on the order of the constants. */
  enum FaultKind {
    OUTAGE, REFUSED_BY_STORE, SLOW_STORE, LATE_WRITES, CUT_OFF_FROM_STORE_AND_PEERS, ISOLATED, CUT_OFF_FROM_WORKERS,
    PEERS_REFUSE_CONNECTIONS, PAUSED, CRASHED, REPEATED_RESTARTS, ALL_CRASHED, ALL_CRASHED_ONE_BACK, REPORTS_BLOCKED,
    INBOUND_BLOCKED, HUNG, DUPLICATE_REPORTS, COMMANDS_DELAYED, EXCHANGE_FAULTS, DELETIONS_DELAYED, COMMANDS_BLOCKED,
    // The following were added later and are only drawn with seeds above LAST_NARROW_SEED.
    RESPONSES_LOST, DUPLICATES_TO_NEXT_LEADER, CANCEL_NOW, CANCEL_AT_END, UNUSUAL_REQUESTS, QUERIES_ON_CHANGE,
    QUICK_BOOTS, JOB_STREAM, LEADER_CRASHES, ZONE_PARTITION, ROLLING_RESTART, WRITE_LIMIT,
    // Only drawn with seeds above LAST_WIDE_SEED.
    REQUESTS_REPEATED,
    // Only drawn with seeds above LAST_REPEATED_SEED.
    MACHINES_RESTARTED, CLOUD_OUTAGE, CLOUD_CALLS_LATE
  }

  /** Seeds above this draw from all fault kinds and jobs; the others keep their original draws. */
  static final long LAST_NARROW_SEED = 100_000;

  /** Seeds above this also draw {@link FaultKind#REQUESTS_REPEATED}, for a third of the faults. */
  static final long LAST_WIDE_SEED = 200_000;

  /** Seeds above this also draw machines that restart in place and an unavailable cloud interface. */
  static final long LAST_REPEATED_SEED = 300_000;

  /** A fault with start and duration in ms; {@code draw} selects its target and its strength. */
  record Fault(FaultKind kind, int startMs, int durationMs, int draw) {}

  /** Draws two to four faults that overlap, end together, or are milliseconds apart. */
  static List<Fault> drawFaults(long seed) {
    Random random = new Random(seed);
    // Durations around limits in the settings: record TTL, lease, worker lease, cancellation.
    int[] bounds = {300, 2500, 4500, 8000, 17_000, 18_000, 36_000, 43_000, 61_000};
    List<Fault> faults = new ArrayList<>();
    int at = 1000 + random.nextInt(4000);
    int end = at;
    for (int remaining = 2 + random.nextInt(3); remaining > 0; remaining--) {
      int durationMs = Math.max(50, bounds[random.nextInt(bounds.length)] + random.nextInt(1600) - 800);
      int startMs =
          switch (random.nextInt(3)) {
            case 0 -> at + random.nextInt(Math.max(1, end - at)); // While another fault lasts.
            case 1 -> Math.max(0, end - durationMs); // Both end at the same time.
            default -> end + random.nextInt(30) - 15; // Within 15 ms of the other's end.
          };
      faults.add(new Fault(drawKind(seed, random), Math.max(0, startMs), durationMs, random.nextInt(1000)));
      end = Math.max(end, Math.max(0, startMs) + durationMs);
    }
    return faults;
  }

  private static FaultKind drawKind(long seed, Random random) {
    if (seed > LAST_REPEATED_SEED && random.nextBoolean()) {
      return switch (random.nextInt(4)) {
        case 0 -> FaultKind.CLOUD_OUTAGE;
        case 1 -> FaultKind.CLOUD_CALLS_LATE;
        default -> FaultKind.MACHINES_RESTARTED;
      };
    }
    if (seed > LAST_WIDE_SEED && random.nextInt(3) == 0) {
      return FaultKind.REQUESTS_REPEATED;
    }
    FaultKind firstUndrawn =
        seed > LAST_NARROW_SEED ? FaultKind.REQUESTS_REPEATED : FaultKind.RESPONSES_LOST;
    return FaultKind.values()[random.nextInt(firstUndrawn.ordinal())];
  }
}
