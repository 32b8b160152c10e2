package io.tansystack.sim;

import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.sim.SimUsers.UserJob;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that no job waits while there is capacity for it, that every job, including the largest,
 * starts in time, and that at least half of the jobs of each class and team, and of the largest
 * jobs of each, have started.
 */
final class FairnessChecker {
  /** After all faults have ended, how long a job may wait while there is capacity for it. */
  private static final Duration MAX_WAIT_WITH_CAPACITY = Duration.ofSeconds(90);

  /**
   * Within this time after its acceptance and the end of all faults every job starts, the largest
   * included.
   */
  private static final Duration MAX_START_DELAY = Duration.ofMinutes(4);

  private final SimCluster cluster;
  private final SimUsers users;
  private final Map<String, HistoryChecker.Limit> limits;
  private final Map<String, Duration> startedAt = new HashMap<>();
  private final Map<String, Duration> capacitySince = new HashMap<>();

  /**
   * How long each job has waited when no scheduler could start it: its team is at its limit with
   * its own work, or the cloud has no more machines and there is none on which the job may run.
   */
  private final Map<String, Duration> unavoidableWait = new HashMap<>();

  private Duration lastCheck;
  private final Set<String> starvedJobs = new LinkedHashSet<>();

  FairnessChecker(SimCluster cluster, SimUsers users, Map<String, HistoryChecker.Limit> limits) {
    this.cluster = cluster;
    this.users = users;
    this.limits = limits;
  }

  void onTaskStarted(UserJob job) {
    startedAt.putIfAbsent(job.spec.id(), cluster.loop.now());
  }

  /** Updates the waiting times of all jobs; does nothing before the faults are over. */
  void check() {
    if (users.faultsOverSince() == null) {
      return;
    }
    Map<String, double[]> usedByTeam = new HashMap<>();
    Map<String, Integer> liveTasks = new HashMap<>();
    for (EmulatedWorker worker : cluster.workers.values()) {
      for (String task : worker.liveTasks()) {
        String id = task.substring(0, task.indexOf('/'));
        JobSpec spec = users.jobs.containsKey(id) ? users.jobs.get(id).spec : SimCluster.spec(id, 1);
        liveTasks.merge(id, 1, Integer::sum);
        double[] team = usedByTeam.computeIfAbsent(spec.team(), k -> new double[2]);
        team[0] += spec.cpus();
        team[1] += spec.gpus();
      }
    }
    Duration elapsed = lastCheck == null ? Duration.ZERO : cluster.loop.now().minus(lastCheck);
    lastCheck = cluster.loop.now();
    for (UserJob job : users.jobs.values()) {
      JobSpec spec = job.spec;
      boolean waiting = job.accepted != null && !job.isFinished() && !job.cancelRequested
          && !liveTasks.containsKey(spec.id())
          && !cluster.completed.contains(spec.id() + "/" + (spec.tasks() - 1));
      boolean atLimit = waiting && atLimit(spec, usedByTeam.getOrDefault(spec.team(), new double[2]));
      if (atLimit || (waiting && cluster.workers.size() >= cluster.maxMachines && !hasEligibleMachines(spec))) {
        unavoidableWait.merge(spec.id(), elapsed, Duration::plus);
      }
      if (!waiting || atLimit || !hasCapacity(spec)) {
        capacitySince.remove(spec.id());
        continue;
      }
      Duration since = capacitySince.computeIfAbsent(spec.id(), k -> cluster.loop.now());
      if (cluster.loop.now().minus(since).compareTo(MAX_WAIT_WITH_CAPACITY) > 0) {
        starvedJobs.add("waits " + spec.id() + " though a machine has capacity for it");
      }
    }
  }

  /** Returns how many tasks of the job must start at the same time. */
  private static int tasksAtOnce(JobSpec spec) {
    return spec.kind() == JobKind.ARRAY ? 1 : spec.tasks();
  }

  /** Whether the team's limit leaves too little for the tasks that must start at the same time. */
  private boolean atLimit(JobSpec spec, double[] used) {
    int tasksAtOnce = tasksAtOnce(spec);
    HistoryChecker.Limit limit = limits.getOrDefault(spec.team(), new HistoryChecker.Limit(0, 0));
    return (limit.cpus() > 0 && used[0] + spec.cpus() * tasksAtOnce > limit.cpus() + 1e-6)
        || (limit.gpus() > 0 && used[1] + spec.gpus() * tasksAtOnce > limit.gpus() + 1e-6);
  }

  /** Whether machines on which the job may run, busy or not, exist in as many zones as it needs. */
  private boolean hasEligibleMachines(JobSpec spec) {
    long zones =
        cluster.workers.values().stream()
            .filter(worker -> spec.allows(worker.type().name(), worker.zone(), worker.spot()))
            .map(worker -> worker.zone())
            .distinct()
            .count();
    return zones >= (spec.spreadZones() && tasksAtOnce(spec) > 1 ? 2 : 1);
  }

  /** Whether the tasks that must start at the same time fit on the machines that exist. */
  private boolean hasCapacity(JobSpec spec) {
    int tasksAtOnce = tasksAtOnce(spec);
    Map<String, Integer> fittingByZone = new HashMap<>();
    for (EmulatedWorker worker : cluster.workers.values()) {
      boolean allowed =
          !worker.isDead() && !worker.isHung()
              && spec.allows(worker.type().name(), worker.zone(), worker.spot());
      if (allowed && worker.hasCapacityFor(spec)) {
        // Counts one task per machine, so that the capacity is never overestimated.
        fittingByZone.merge(worker.zone(), 1, Integer::sum);
      }
    }
    int maxPerZone = spec.spreadZones() ? (tasksAtOnce + 1) / 2 : tasksAtOnce;
    int allZones = fittingByZone.values().stream().mapToInt(count -> Math.min(count, maxPerZone)).sum();
    int bestZone = fittingByZone.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    return (spec.sameZone() ? bestZone : allZones) >= tasksAtOnce;
  }

  /** Returns the violations that were found during the run and those that show at its end. */
  Set<String> finalViolations() {
    Set<String> violations = new LinkedHashSet<>(starvedJobs);
    Map<String, List<UserJob>> groups = new LinkedHashMap<>();
    for (UserJob job : users.jobs.values()) {
      if (job.accepted == null || job.cancelRequested) {
        continue;
      }
      Duration waitingSince =
          job.accepted.compareTo(users.faultsOverSince()) > 0 ? job.accepted : users.faultsOverSince();
      Duration start = startedAt.getOrDefault(job.spec.id(), cluster.loop.now());
      Duration waited =
          start.minus(waitingSince).minus(unavoidableWait.getOrDefault(job.spec.id(), Duration.ZERO));
      if (waited.compareTo(MAX_START_DELAY) > 0) {
        violations.add("begins late " + job.spec.id() + " of " + job.spec.tasks() + " tasks");
      }
      groups.computeIfAbsent("class " + job.spec.jobClass(), k -> new ArrayList<>()).add(job);
      groups.computeIfAbsent("team " + job.spec.team(), k -> new ArrayList<>()).add(job);
    }
    Map<String, List<UserJob>> largest = new LinkedHashMap<>();
    groups.forEach((name, members) -> {
      int maxTasks = members.stream().mapToInt(job -> job.spec.tasks()).max().orElse(0);
      largest.put("largest of " + name, members.stream().filter(t -> t.spec.tasks() == maxTasks).toList());
    });
    groups.putAll(largest);
    groups.forEach((name, members) -> {
      long startedCount = members.stream().filter(job -> startedAt.containsKey(job.spec.id())).count();
      if (startedCount * 2 < members.size()) {
        violations.add("less than half of " + name + ": " + startedCount + " of " + members.size());
      }
    });
    return violations;
  }
}
