package io.tansystack.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * How long machines take to be of use, learned for each type. Some come up several times as late as
 * stated and a few never do. One that is overdue is no longer counted as room about to come, so that
 * work isn't kept waiting for it; but where most of a type are overdue the cloud itself is slow, and
 * what would be rented instead would be as late.
 */
final class BootTimeEstimator {
  private static final int REMEMBERED = 12;

  /** Boot times scatter up to one and a half times what is stated. */
  private static final double OVERDUE = 1.6;

  private static final double GIVE_UP = 3;
  private static final double SLACK_S = 10;

  /** Fewer overdue machines than this say nothing of the cloud as a whole. */
  private static final int ENOUGH = 4;

  private final Map<String, Deque<Double>> seen = new HashMap<>();
  private final Map<String, Double> usual = new HashMap<>();
  private final Map<String, Integer> waiting = new HashMap<>();
  private final Map<String, Integer> overdue = new HashMap<>();

  /** A machine of the type has come to be of use so many seconds after its rental. */
  void cameUp(String type, double seconds) {
    Deque<Double> times = seen.computeIfAbsent(type, k -> new ArrayDeque<>());
    times.addLast(seconds);
    if (times.size() > REMEMBERED) {
      times.removeFirst();
    }
    double[] sorted = times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    usual.put(type, sorted[(sorted.length - 1) * 3 / 4]);
  }

  /** Three in four of those seen lately came up within this; never less than what is stated. */
  double expected(String type, double statedS) {
    return Math.max(statedS, usual.getOrDefault(type, 0.0));
  }

  boolean overdue(String type, double statedS, double ageS) {
    return ageS > expected(type, statedS) * OVERDUE;
  }

  /** How many machines are waited for in vain at this time. */
  int overdue() {
    return overdue.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Starts a count of those that are waited for. */
  void recount() {
    waiting.clear();
    overdue.clear();
  }

  void count(String type, double statedS, double ageS) {
    waiting.merge(type, 1, Integer::sum);
    if (overdue(type, statedS, ageS)) {
      overdue.merge(type, 1, Integer::sum);
    }
  }

  /** Whether most machines of the type that are waited for are overdue, so that new ones won't help. */
  boolean slow(String type) {
    int late = overdue.getOrDefault(type, 0);
    return late >= ENOUGH && 2 * late > waiting.getOrDefault(type, 0);
  }

  /** Whether the machine still counts as room about to come. */
  boolean counts(String type, double statedS, double ageS) {
    return !overdue(type, statedS, ageS) || slow(type);
  }

  /** Whether it is better returned: it is paid for all the time, and may never come. */
  boolean hopeless(String type, double statedS, double ageS) {
    double limit = expected(type, statedS) * GIVE_UP + SLACK_S;
    return ageS > (slow(type) ? 2 * limit : limit);
  }
}
