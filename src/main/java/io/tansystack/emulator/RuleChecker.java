package io.tansystack.emulator;

import io.tansystack.wire.JobSpec;
import io.tansystack.wire.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the protocol's rules against the events of a scale run: each task that starts or ends on a
 * machine, and each response to users. Thread-safe.
 */
final class RuleChecker {
  private static final double EPSILON = 1e-6;
  private static final int MAX_LISTED = 100;

  /** Resource limit of a team; 0 means no limit. */
  record Limit(double cpus, double gpus) {}

  private static final class Usage {
    double cpus;
    double gpus;
  }

  private final Map<String, Limit> limits;
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<TaskId, String> machineByTask = new HashMap<>();
  private final Map<String, Set<TaskId>> tasksByJob = new HashMap<>();
  private final Map<String, Usage> usageByTeam = new HashMap<>();
  private final Set<String> acceptedJobs = new HashSet<>();
  private final Set<String> cancellationsDue = new HashSet<>();
  private final Set<String> violations = new LinkedHashSet<>();
  private long violationCount;
  private boolean anyStarted;

  RuleChecker(Map<String, Limit> limits) {
    this.limits = limits;
  }

  synchronized void jobSubmitted(JobSpec spec) {
    jobs.put(spec.id(), spec);
  }

  /** Specification of a job; null if it was not submitted. */
  synchronized JobSpec jobSpec(String id) {
    return jobs.get(id);
  }

  /** Records that a task is on a machine and has its image. */
  synchronized void taskStarted(String machine, TaskId task) {
    anyStarted = true;
    String other = machineByTask.put(task, machine);
    if (other != null && !other.equals(machine)) {
      addViolation("ran_twice " + task + " on " + other + " and " + machine);
    }
    tasksByJob.computeIfAbsent(task.job(), k -> new HashSet<>()).add(task);
    if (cancellationsDue.contains(task.job())) {
      addViolation("ran_cancelled " + task + " started on " + machine);
    }
    JobSpec spec = jobs.get(task.job());
    if (spec != null) {
      addUsage(spec, 1);
    }
  }

  /** Records that a copy of a start command made a worker begin an attempt once more. */
  synchronized void startExecutedAgain(String machine, String attempt) {
    addViolation("ran_twice " + attempt + " was started once more on " + machine);
  }

  private void addUsage(JobSpec spec, int tasks) {
    Usage usage = usageByTeam.computeIfAbsent(spec.team(), k -> new Usage());
    usage.cpus += tasks * spec.cpus();
    usage.gpus += tasks * spec.gpus();
    Limit limit = limits.getOrDefault(spec.team(), new Limit(0, 0));
    boolean overCpus = limit.cpus > 0 && usage.cpus > limit.cpus + EPSILON;
    boolean overGpus = limit.gpus > 0 && usage.gpus > limit.gpus + EPSILON;
    if (tasks > 0 && (overCpus || overGpus)) {
      addViolation(
          "quota " + spec.team() + " uses " + usage.cpus + " CPUs and " + usage.gpus
              + " GPUs of " + limit);
    }
  }

  /** Records that a task is no longer on a machine; ignored if it is known on another machine. */
  synchronized void taskEnded(String machine, TaskId task) {
    if (!machineByTask.remove(task, machine)) {
      return;
    }
    Set<TaskId> tasks = tasksByJob.get(task.job());
    tasks.remove(task);
    if (tasks.isEmpty()) {
      tasksByJob.remove(task.job());
    }
    JobSpec spec = jobs.get(task.job());
    if (spec != null) {
      addUsage(spec, -1);
    }
  }

  synchronized void jobAccepted(String job) {
    acceptedJobs.add(job);
  }

  /**
   * To be called {@code cancel_s} after the user got the response that the job is cancelled: from
   * now on no task of the job may be on a machine.
   */
  synchronized void cancellationDue(String job) {
    cancellationsDue.add(job);
    for (TaskId task : tasksByJob.getOrDefault(job, Set.of())) {
      addViolation("ran_cancelled " + task + " is still on " + machineByTask.get(task));
    }
  }

  /** Checks the response to a status request: an accepted job must not be answered with 404. */
  synchronized void jobAnswered(String job, int status) {
    if (status == 404 && acceptedJobs.contains(job)) {
      addViolation("forgotten " + job + " was answered with 404");
    }
  }

  /** Records that status requests for a job were no longer successful at the end of the run. */
  synchronized void jobUnanswered(String job) {
    if (acceptedJobs.contains(job)) {
      addViolation("forgotten " + job + " got no successful response at the end of the run");
    }
  }

  /** Checks the rules that can be decided only at the end of the run. */
  synchronized void checkAtEnd() {
    if (!anyStarted) {
      addViolation("nothing_ran");
    }
  }

  private void addViolation(String violation) {
    violationCount++;
    if (violations.size() < MAX_LISTED) {
      violations.add(violation);
    }
  }

  /** The distinct violations, of which at most the first {@link #MAX_LISTED} are listed. */
  synchronized List<String> violations() {
    return new ArrayList<>(violations);
  }

  /** Number of all violations, repeated and unlisted ones included. */
  synchronized long violationCount() {
    return violationCount;
  }

  /** Number of tasks that are on machines and have their image. */
  synchronized int runningTasks() {
    return machineByTask.size();
  }
}
