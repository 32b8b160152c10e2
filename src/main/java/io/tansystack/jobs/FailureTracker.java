package io.tansystack.jobs;

import io.tansystack.wire.TaskReport.Cause;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells jobs that were submitted with a mistake from faulty machines. A job whose tasks fail on
 * several machines and complete on none is suspected: it is tried with one task at a time, ever less
 * often, and nothing is stopped, kept or rented for it. A machine on which tasks of several jobs fail
 * that are not suspected is passed over for a while. One task's success clears its job and its
 * machine. Lost with the process, by intent: the next holder finds out for the price of one round.
 */
final class FailureTracker {
  private static final Duration AVOID = Duration.ofSeconds(30);

  /** By then a machine that replicas are moved off is clear, or is not going to be. */
  private static final Duration MOVED = Duration.ofSeconds(10);

  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(500);
  private static final int MOST_DOUBLINGS = 6;

  /** On so many machines a job must have failed before it is suspected itself. */
  private static final int MACHINES = 3;

  /** So many jobs must have failed on a machine before it is suspected. */
  private static final int JOBS = 2;

  private static final int MOST_REMEMBERED = 1000;

  private static final class OfJob {
    final Map<String, Duration> avoid = new HashMap<>();
    final Set<String> seen = new HashSet<>();
    final Set<String> failedOn = new HashSet<>();
    int rounds;
    long lastAttempt = -1;
    Duration notBefore = Duration.ZERO;
  }

  private final Map<String, OfJob> jobs = new HashMap<>();
  private final Map<String, Map<String, Duration>> machines = new HashMap<>();

  /** Takes in what went wrong with a task; true if that was not known yet. */
  boolean failed(String job, int task, long attempt, String machine, Cause cause, Duration now) {
    OfJob of = jobs.computeIfAbsent(job, k -> new OfJob());
    if (of.seen.size() > MOST_REMEMBERED) {
      of.seen.clear();
    }
    if (!of.seen.add(task + "#" + attempt + "@" + machine + "@" + cause)) {
      return false;
    }
    if (cause == Cause.PEERS || cause == Cause.ALONE) {
      return true;
    }
    of.avoid.put(machine, now.plus(AVOID));
    if (cause == Cause.ERROR || cause == Cause.UNKNOWN) {
      if (of.failedOn.size() < MACHINES) {
        of.failedOn.add(machine);
      }
      if (of.lastAttempt != attempt) {
        // The tasks of one round fail together; that is one trial, not many.
        of.lastAttempt = attempt;
        of.rounds = Math.min(of.rounds + 1, MOST_DOUBLINGS);
      }
      of.notBefore = now.plus(SHORTEST_PAUSE.multipliedBy(1L << (suspected(job) ? of.rounds : 0)));
      if (!suspected(job)) {
        machines.computeIfAbsent(machine, k -> new HashMap<>()).put(job, now.plus(AVOID));
      }
    }
    return true;
  }

  /** A task of the job has completed on the machine. */
  void succeeded(String job, String machine) {
    OfJob of = jobs.get(job);
    if (of != null) {
      of.failedOn.clear();
      of.rounds = 0;
      of.notBefore = Duration.ZERO;
    }
    machines.remove(machine);
  }

  /** Whether the job itself, rather than any machine, seems to be at fault. */
  boolean suspected(String job) {
    OfJob of = jobs.get(job);
    return of != null && of.failedOn.size() >= MACHINES;
  }

  /** Whether the job's next tasks are to wait. */
  boolean pauses(String job, Duration now) {
    OfJob of = jobs.get(job);
    return of != null && now.compareTo(of.notBefore) < 0;
  }

  /**
   * A replica is moved off the machine. Its image is there, so it would come back at once while others are
   * still being moved, and be moved off again (hundreds of times a minute on relsovo-plan-ops).
   */
  void movedOff(String job, String machine, Duration now) {
    jobs.computeIfAbsent(job, k -> new OfJob()).avoid.merge(
        machine, now.plus(MOVED), (a, b) -> a.compareTo(b) > 0 ? a : b);
  }

  /** Machines that the job had better not use for a while. */
  Set<String> avoid(String job, Duration now) {
    OfJob of = jobs.get(job);
    if (of == null) {
      return Set.of();
    }
    of.avoid.values().removeIf(until -> now.compareTo(until) > 0);
    return Set.copyOf(of.avoid.keySet());
  }

  /** Whether tasks of several jobs have lately failed on the machine, and none has completed since. */
  boolean faulty(String machine, Duration now) {
    Map<String, Duration> failed = machines.get(machine);
    if (failed == null) {
      return false;
    }
    failed.entrySet().removeIf(e -> now.compareTo(e.getValue()) > 0 || suspected(e.getKey()));
    if (failed.isEmpty()) {
      machines.remove(machine);
    }
    return failed.size() >= JOBS;
  }

  /** Machines that are {@link #faulty} now. */
  Set<String> faulty(Duration now) {
    Set<String> faulty = new HashSet<>();
    for (String machine : List.copyOf(machines.keySet())) {
      if (faulty(machine, now)) {
        faulty.add(machine);
      }
    }
    return faulty;
  }

  /** Whether anything is remembered of the job. */
  boolean knows(String job) {
    return jobs.containsKey(job);
  }

  void forget(String job) {
    jobs.remove(job);
  }

  /** Machines that exist no more need not be remembered. */
  void retain(Set<String> existing) {
    machines.keySet().retainAll(existing);
  }
}
