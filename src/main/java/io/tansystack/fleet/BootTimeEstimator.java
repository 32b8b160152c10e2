package io.tansystack.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates for each machine type how long a machine takes from its rental until it is usable. Some
 * machines take several times the stated boot time and a few never come up. An overdue machine no
 * longer counts as pending capacity, so that work isn't kept waiting for it. But if most booting
 * machines of a type are overdue, the cloud itself is slow, and machines rented instead would be as
 * late.
 */
final class BootTimeEstimator {
  private static final int MAX_SAMPLES = 12;

  /** Above the normal scatter: boot times reach one and a half times the stated one. */
  private static final double OVERDUE_FACTOR = 1.6;

  /** A boot times out after this factor of the expected boot time plus a constant slack. */
  private static final double TIMEOUT_FACTOR = 3;

  private static final double TIMEOUT_SLACK_S = 10;

  /** Fewer overdue machines than this are no evidence that the cloud as a whole is slow. */
  private static final int MIN_OVERDUE = 4;

  private final Map<String, Deque<Double>> samples = new HashMap<>();
  private final Map<String, Double> upperQuartiles = new HashMap<>();
  private final Map<String, Integer> bootingCounts = new HashMap<>();
  private final Map<String, Integer> overdueCounts = new HashMap<>();

  /** Records that a machine of the type became usable this many seconds after its rental. */
  void addSample(String type, double seconds) {
    Deque<Double> times = samples.computeIfAbsent(type, k -> new ArrayDeque<>());
    times.addLast(seconds);
    if (times.size() > MAX_SAMPLES) {
      times.removeFirst();
    }
    double[] sorted = times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    upperQuartiles.put(type, sorted[(sorted.length - 1) * 3 / 4]);
  }

  /**
   * The time within which three of four recently observed machines of the type came up, in seconds,
   * but at least the stated boot time.
   */
  double expectedS(String type, double statedS) {
    return Math.max(statedS, upperQuartiles.getOrDefault(type, 0.0));
  }

  /** Whether a machine that was rented {@code ageS} seconds ago should have come up by now. */
  boolean overdue(String type, double statedS, double ageS) {
    return ageS > expectedS(type, statedS) * OVERDUE_FACTOR;
  }

  /** Number of booting machines that are overdue, of all types. */
  int overdue() {
    return overdueCounts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Starts a new count of booting machines; {@link #countBooting} then adds each of them. */
  void resetCounts() {
    bootingCounts.clear();
    overdueCounts.clear();
  }

  void countBooting(String type, double statedS, double ageS) {
    bootingCounts.merge(type, 1, Integer::sum);
    if (overdue(type, statedS, ageS)) {
      overdueCounts.merge(type, 1, Integer::sum);
    }
  }

  /** Whether most booting machines of the type are overdue, so that renting more won't help. */
  boolean isSlow(String type) {
    int overdueCount = overdueCounts.getOrDefault(type, 0);
    return overdueCount >= MIN_OVERDUE && 2 * overdueCount > bootingCounts.getOrDefault(type, 0);
  }

  /** Whether a booting machine still counts as pending capacity. */
  boolean countsAsPending(String type, double statedS, double ageS) {
    return !overdue(type, statedS, ageS) || isSlow(type);
  }

  /**
   * Whether a booting machine should be returned, because it is paid for and may never come up. The
   * limit is twice as long while the type is slow.
   */
  boolean timedOut(String type, double statedS, double ageS) {
    double limit = expectedS(type, statedS) * TIMEOUT_FACTOR + TIMEOUT_SLACK_S;
    return ageS > (isSlow(type) ? 2 * limit : limit);
  }
}
