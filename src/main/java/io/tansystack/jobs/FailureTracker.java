package io.tansystack.jobs;

import io.tansystack.wire.TaskReport.Cause;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Distinguishes jobs that were submitted with a mistake from faulty machines. A job whose tasks
 * fail on several machines and complete on none is suspected: it is tried with one task at a time,
 * at increasing intervals, and no tasks are preempted, no capacity is reserved and no machine is
 * rented for it. A machine on which tasks of several jobs fail that are not suspected is excluded
 * for a while. One completed task clears its job and its machine.
 *
 * <p>This state is intentionally lost with the process: the next holder of the slot learns it again
 * at the cost of one placement round.
 */
final class FailureTracker {
  /**
   * How long a job avoids a machine on which it failed, and how long the failure counts against the
   * machine.
   */
  private static final Duration EXCLUDED_AFTER_FAILURE = Duration.ofSeconds(30);

  /**
   * How long a job avoids a machine that one of its replicas is migrated off. After this time the
   * machine either has no replicas left or will not be cleared.
   */
  private static final Duration EXCLUDED_AFTER_MIGRATION = Duration.ofSeconds(10);

  private static final Duration MIN_BACKOFF = Duration.ofMillis(500);
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  /** Number of machines on which a job must have failed before the job is suspected. */
  private static final int MACHINES_UNTIL_SUSPECTED = 3;

  /** Number of jobs that must have failed on a machine before the machine counts as faulty. */
  private static final int JOBS_UNTIL_FAULTY = 2;

  /** Number of reported failures of a job after which the list of known ones is cleared. */
  private static final int MAX_SEEN_FAILURES = 1000;

  /** Recent failures of one job. */
  private static final class JobFailures {
    /** Machines that the job avoids, each with the time until which it does. */
    final Map<String, Duration> excludedUntil = new HashMap<>();

    /** Failures that were already counted. */
    final Set<String> seenFailures = new HashSet<>();

    /** Machines on which the job has failed since its last success. */
    final Set<String> failedMachines = new HashSet<>();

    int failedRounds;
    long lastFailedAttempt = -1;
    Duration backOffUntil = Duration.ZERO;
  }

  private final Map<String, JobFailures> failuresByJob = new HashMap<>();

  /** By machine and job, until when a failure of the job counts against the machine. */
  private final Map<String, Map<String, Duration>> failuresByMachine = new HashMap<>();

  /** Records the failure of a task; returns true if it was not known yet. */
  boolean recordFailure(
      String job, int task, long attempt, String machine, Cause cause, Duration now) {
    JobFailures failures = failuresByJob.computeIfAbsent(job, k -> new JobFailures());
    if (failures.seenFailures.size() > MAX_SEEN_FAILURES) {
      failures.seenFailures.clear();
    }
    if (!failures.seenFailures.add(task + "#" + attempt + "@" + machine + "@" + cause)) {
      return false;
    }
    if (cause == Cause.PEERS || cause == Cause.ALONE) {
      return true;
    }
    failures.excludedUntil.put(machine, now.plus(EXCLUDED_AFTER_FAILURE));
    if (cause == Cause.ERROR || cause == Cause.UNKNOWN) {
      if (failures.failedMachines.size() < MACHINES_UNTIL_SUSPECTED) {
        failures.failedMachines.add(machine);
      }
      if (failures.lastFailedAttempt != attempt) {
        // Tasks of the same placement round fail together and count as one failed trial.
        failures.lastFailedAttempt = attempt;
        failures.failedRounds = Math.min(failures.failedRounds + 1, MAX_BACKOFF_DOUBLINGS);
      }
      failures.backOffUntil =
          now.plus(
              MIN_BACKOFF.multipliedBy(1L << (isSuspected(job) ? failures.failedRounds : 0)));
      if (!isSuspected(job)) {
        failuresByMachine
            .computeIfAbsent(machine, k -> new HashMap<>())
            .put(job, now.plus(EXCLUDED_AFTER_FAILURE));
      }
    }
    return true;
  }

  /** Records that a task of the job has completed on the machine. */
  void recordSuccess(String job, String machine) {
    JobFailures failures = failuresByJob.get(job);
    if (failures != null) {
      failures.failedMachines.clear();
      failures.failedRounds = 0;
      failures.backOffUntil = Duration.ZERO;
    }
    failuresByMachine.remove(machine);
  }

  /** Whether the job itself, rather than a machine, seems to be faulty. */
  boolean isSuspected(String job) {
    JobFailures failures = failuresByJob.get(job);
    return failures != null && failures.failedMachines.size() >= MACHINES_UNTIL_SUSPECTED;
  }

  /** Whether no task of the job is to be placed now, because of earlier failures. */
  boolean isBackingOff(String job, Duration now) {
    JobFailures failures = failuresByJob.get(job);
    return failures != null && now.compareTo(failures.backOffUntil) < 0;
  }

  /**
   * Records that a replica of the job is migrated off the machine. The machine has the job's image
   * cached, so without an exclusion the replica would be placed there again at once, while others
   * are still being migrated, and be migrated again (hundreds of times a minute in
   * relsovo-plan-ops).
   */
  void recordMigration(String job, String machine, Duration now) {
    failuresByJob.computeIfAbsent(job, k -> new JobFailures()).excludedUntil.merge(
        machine, now.plus(EXCLUDED_AFTER_MIGRATION), (a, b) -> a.compareTo(b) > 0 ? a : b);
  }

  /** Returns the machines that the job avoids for a while. */
  Set<String> excludedMachines(String job, Duration now) {
    JobFailures failures = failuresByJob.get(job);
    if (failures == null) {
      return Set.of();
    }
    failures.excludedUntil.values().removeIf(until -> now.compareTo(until) > 0);
    return Set.copyOf(failures.excludedUntil.keySet());
  }

  /**
   * Whether tasks of several jobs that are not suspected have recently failed on the machine and
   * none has completed there since.
   */
  boolean faulty(String machine, Duration now) {
    Map<String, Duration> failedJobs = failuresByMachine.get(machine);
    if (failedJobs == null) {
      return false;
    }
    failedJobs.entrySet().removeIf(e -> now.compareTo(e.getValue()) > 0 || isSuspected(e.getKey()));
    if (failedJobs.isEmpty()) {
      failuresByMachine.remove(machine);
    }
    return failedJobs.size() >= JOBS_UNTIL_FAULTY;
  }

  /** Returns all machines that are {@linkplain #faulty(String, Duration) faulty} now. */
  Set<String> faulty(Duration now) {
    Set<String> faulty = new HashSet<>();
    for (String machine : List.copyOf(failuresByMachine.keySet())) {
      if (faulty(machine, now)) {
        faulty.add(machine);
      }
    }
    return faulty;
  }

  /** Whether failures or migrations of the job are recorded. */
  boolean isTracked(String job) {
    return failuresByJob.containsKey(job);
  }

  void forget(String job) {
    failuresByJob.remove(job);
  }

  /** Discards what is recorded about machines other than the existing ones. */
  void retainMachines(Set<String> existing) {
    failuresByMachine.keySet().retainAll(existing);
  }
}
