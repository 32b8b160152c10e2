package io.tansystack.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.sim.SimUsers.ObservedState;
import io.tansystack.sim.SimUsers.UserJob;
import io.tansystack.wire.JobSpec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks a whole run against every rule of the protocol: the responses that users got, and the
 * tasks on the workers' machines after each event there and every 200 ms. It uses the published
 * interfaces only and shares no code with the service; {@link FairnessChecker} checks which jobs
 * get capacity.
 */
final class HistoryChecker {
  /**
   * After all faults have ended, a job without a response for longer than this counts as forgotten.
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(75);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

  /** What a team's tasks may use together; 0 means no limit. */
  record Limit(double cpus, double gpus) {}

  /**
   * A task that started after the cancellation of its job had been confirmed, and how long after.
   */
  record LateStart(String task, String machine, Duration after) {}

  private final SimCluster cluster;
  private final SimUsers users;
  private final Duration cancelTimeout;
  private final Map<String, Limit> limits;
  private final FairnessChecker fairness;

  /**
   * Attempts that were on a machine at the previous check, each prefixed with the machine's name.
   */
  private Set<String> previousAttempts = new HashSet<>();

  /** Violations without duplicates, each as the rule's name, the job or task, and details. */
  final Set<String> violations = new LinkedHashSet<>();

  /** Longest time that a task was on a machine after its job's cancellation had been confirmed. */
  Duration longestRunAfterCancel = Duration.ZERO;

  /**
   * Starts after a confirmed cancellation; no violation if in flight before, but users see them.
   */
  final List<LateStart> lateStarts = new ArrayList<>();

  HistoryChecker(SimCluster cluster, SimUsers users) {
    this.cluster = cluster;
    this.users = users;
    this.cancelTimeout = cluster.seconds("cancel_s");
    this.limits = limits(cluster.settings);
    this.fairness = new FairnessChecker(cluster, users, limits);
    cluster.onChange.add(this::checkMachines);
    checkPeriodically();
  }

  private static Map<String, Limit> limits(String settings) {
    try {
      Map<String, Limit> limits = new HashMap<>();
      for (JsonNode team : new TomlMapper().readTree(settings).path("cluster").path("teams")) {
        limits.put(
            team.get("name").asText(),
            new Limit(team.path("cpus_max").asDouble(), team.path("gpus_max").asDouble()));
      }
      return limits;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void checkPeriodically() {
    checkMachines();
    fairness.check();
    cluster.loop.after(CHECK_INTERVAL, this::checkPeriodically);
  }

  /** Checks the attempts on all machines at this moment. */
  void checkMachines() {
    Map<String, String> machineByTask = new HashMap<>();
    Map<String, Map<String, Integer>> zonesByJob = new HashMap<>();
    Map<String, double[]> usedByTeam = new LinkedHashMap<>();
    Set<String> attempts = new HashSet<>();
    for (EmulatedWorker worker : cluster.workers.values()) {
      for (String attempt : worker.liveAttempts()) {
        String task = attempt.substring(0, attempt.indexOf('#'));
        String other = machineByTask.put(task, worker.name());
        if (other != null) {
          violations.add("ran_twice " + task + " on " + other + " and " + worker.name());
        }
        boolean isNew = !previousAttempts.contains(worker.name() + " " + attempt);
        attempts.add(worker.name() + " " + attempt);
        UserJob job = users.jobs.get(task.substring(0, task.indexOf('/')));
        if (job == null) {
          continue;
        }
        double[] team = usedByTeam.computeIfAbsent(job.spec.team(), k -> new double[2]);
        team[0] += job.spec.cpus();
        team[1] += job.spec.gpus();
        zonesByJob.computeIfAbsent(job.spec.id(), k -> new HashMap<>()).merge(worker.zone(), 1, Integer::sum);
        if (isNew) {
          onTaskStarted(job, task, worker);
        }
        if (job.cancelled != null) {
          checkCancelled(job, worker);
        }
      }
    }
    previousAttempts = attempts;
    usedByTeam.forEach(this::checkQuota);
    zonesByJob.forEach((id, counts) -> checkPlacement(users.jobs.get(id).spec, counts));
  }

  private void onTaskStarted(UserJob job, String task, EmulatedWorker worker) {
    JobSpec spec = job.spec;
    boolean allowedType = spec.types() == null || spec.types().contains(worker.type().name());
    if (!allowedType || (worker.spot() && !spec.spotAllowed())) {
      violations.add(
          "wrong_place " + task + " on " + worker.type().name() + (worker.spot() ? ", which is spot" : ""));
    }
    if (job.cancelled != null) {
      lateStarts.add(new LateStart(task, worker.name(), cluster.loop.now().minus(job.cancelled)));
    }
    fairness.onTaskStarted(job);
  }

  private void checkQuota(String team, double[] used) {
    Limit limit = limits.getOrDefault(team, new Limit(0, 0));
    if ((limit.cpus > 0 && used[0] > limit.cpus + 1e-6) || (limit.gpus > 0 && used[1] > limit.gpus + 1e-6)) {
      violations.add("quota " + team + " " + used[0] + " and " + used[1] + " of " + limit);
    }
  }

  private void checkCancelled(UserJob job, EmulatedWorker worker) {
    Duration elapsed = cluster.loop.now().minus(job.cancelled);
    longestRunAfterCancel = elapsed.compareTo(longestRunAfterCancel) > 0 ? elapsed : longestRunAfterCancel;
    if (elapsed.compareTo(cancelTimeout) > 0) {
      violations.add("ran_cancelled " + job.spec.id() + " on " + worker.name());
    }
  }

  private void checkPlacement(JobSpec spec, Map<String, Integer> counts) {
    int maxPerZone = spec.spreadZones() ? (spec.tasks() + 1) / 2 : spec.tasks();
    boolean split = spec.sameZone() && counts.size() > 1;
    boolean outsideZone = spec.zone() != null && !counts.keySet().equals(Set.of(spec.zone()));
    if (split || outsideZone || counts.values().stream().anyMatch(count -> count > maxPerZone)) {
      violations.add("wrong_place " + spec.id() + " " + counts);
    }
  }

  /** Checks the response to a submission of a job that can't run or lacks a field. */
  void onInvalidSubmissionAnswered(String id, int status) {
    if (status == 200 || status == 201) {
      violations.add("accepted " + id + " though it can't run");
    }
  }

  /** Checks the response to a request for a job that was never accepted. */
  void onUnknownJobAnswered(String id, int status) {
    if (status == 200) {
      violations.add("invented " + id);
    }
  }

  /**
   * Checks a response about a job before the user's view of the job is updated. Two different
   * terminal states contradict each other in any order. A response that the job is still active is
   * older than its end, and one that the job is unknown is older than its acceptance. Either is a
   * violation if the request was sent after a response of any controller had told the user of the
   * end or acceptance. It is none if both requests were in flight at once: one controller may not
   * know yet what the other one is just reporting.
   *
   * @param known what the user had been told when the request was sent
   */
  void onAnswer(UserJob job, ObservedState known, int status, byte[] body) {
    String id = job.spec.id();
    if (known.accepted() && (status == 404 || status == 400 || status == 422)) {
      violations.add("forgotten " + id + ": answered " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    ObjectNode map = SimNetwork.decode(body);
    String state = map.path("Status").asText();
    boolean wentBack = !UserJob.isTerminal(state) && known.finished();
    boolean contradicts = UserJob.isTerminal(state) && job.isFinished() && !state.equals(job.lastState);
    if (wentBack || contradicts) {
      violations.add("went_back " + id + " from " + job.lastState + " to " + state);
    }
    if (state.equals("withdrawn") && !job.cancelRequested) {
      violations.add("went_back " + id + ": its user did not cancel it");
    }
    if (state.equals("done")) {
      for (int task = 0; task < job.spec.tasks(); task++) {
        if (!cluster.completed.contains(id + "/" + task)) {
          violations.add("not_done " + id + " lacks task " + task);
        }
      }
    }
  }

  /** Adds the violations that show at the end of a run, long after all faults, and returns all. */
  Set<String> finalViolations() {
    users.longestWaits().forEach((id, wait) -> {
      if (wait.compareTo(ANSWER_TIMEOUT) > 0) {
        violations.add("forgotten " + id + ": no answer for " + wait.toSeconds() + " s");
      }
    });
    if (cluster.startedTasks.isEmpty()) {
      violations.add("nothing_ran");
    }
    violations.addAll(fairness.finalViolations());
    return violations;
  }
}
