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
 * Judges the protocol's rules over all that a scale run sees: each task that comes to or goes from a
 * machine, and each answer to users. Safe for use by several threads.
 */
final class RuleChecker {
  private static final double EPSILON = 1e-6;
  private static final int MOST_NAMED = 100;

  /** A team's limit; 0 stands for none. */
  record Limit(double cpus, double gpus) {}

  private static final class Use {
    double cpus;
    double gpus;
  }

  private final Map<String, Limit> limits;
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<TaskId, String> machineOf = new HashMap<>();
  private final Map<String, Set<TaskId>> tasksOf = new HashMap<>();
  private final Map<String, Use> used = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Set<String> mustBeGone = new HashSet<>();
  private final Set<String> broken = new LinkedHashSet<>();
  private long brokenCount;
  private boolean anyBegan;

  RuleChecker(Map<String, Limit> limits) {
    this.limits = limits;
  }

  synchronized void submitted(JobSpec spec) {
    jobs.put(spec.id(), spec);
  }

  /** The job's description; null if nobody submitted it. */
  synchronized JobSpec job(String id) {
    return jobs.get(id);
  }

  synchronized void began(String machine, TaskId task) {
    anyBegan = true;
    String other = machineOf.put(task, machine);
    if (other != null && !other.equals(machine)) {
      breach("ran_twice " + task + " on " + other + " and " + machine);
    }
    tasksOf.computeIfAbsent(task.job(), k -> new HashSet<>()).add(task);
    if (mustBeGone.contains(task.job())) {
      breach("ran_cancelled " + task + " began on " + machine);
    }
    JobSpec spec = jobs.get(task.job());
    if (spec != null) {
      use(spec, 1);
    }
  }

  private void use(JobSpec spec, int tasks) {
    Use use = used.computeIfAbsent(spec.team(), k -> new Use());
    use.cpus += tasks * spec.cpus();
    use.gpus += tasks * spec.gpus();
    Limit limit = limits.getOrDefault(spec.team(), new Limit(0, 0));
    boolean overCpus = limit.cpus > 0 && use.cpus > limit.cpus + EPSILON;
    boolean overGpus = limit.gpus > 0 && use.gpus > limit.gpus + EPSILON;
    if (tasks > 0 && (overCpus || overGpus)) {
      breach("quota " + spec.team() + " uses " + use.cpus + " and " + use.gpus + " of " + limit);
    }
  }

  synchronized void ended(String machine, TaskId task) {
    if (!machineOf.remove(task, machine)) {
      return;
    }
    Set<TaskId> tasks = tasksOf.get(task.job());
    tasks.remove(task);
    if (tasks.isEmpty()) {
      tasksOf.remove(task.job());
    }
    JobSpec spec = jobs.get(task.job());
    if (spec != null) {
      use(spec, -1);
    }
  }

  synchronized void accepted(String job) {
    accepted.add(job);
  }

  /** The user was told {@code cancel_s} ago that the job is cancelled. */
  synchronized void cancelledLongAgo(String job) {
    mustBeGone.add(job);
    for (TaskId task : tasksOf.getOrDefault(job, Set.of())) {
      breach("ran_cancelled " + task + " is still on " + machineOf.get(task));
    }
  }

  /** An answer about a job. */
  synchronized void answered(String job, int status) {
    if (status == 404 && accepted.contains(job)) {
      breach("forgotten " + job + " was answered 404");
    }
  }

  /** At the end of the run no question about the job was answered any more. */
  synchronized void unanswered(String job) {
    if (accepted.contains(job)) {
      breach("forgotten " + job + " is not answered");
    }
  }

  /** What can only be told at the end. */
  synchronized void atTheEnd() {
    if (!anyBegan) {
      breach("nothing_ran");
    }
  }

  private void breach(String what) {
    brokenCount++;
    if (broken.size() < MOST_NAMED) {
      broken.add(what);
    }
  }

  /** What was broken; the first hundred are named. */
  synchronized List<String> broken() {
    return new ArrayList<>(broken);
  }

  synchronized long brokenCount() {
    return brokenCount;
  }

  /** How many tasks are on machines. */
  synchronized int running() {
    return machineOf.size();
  }
}
