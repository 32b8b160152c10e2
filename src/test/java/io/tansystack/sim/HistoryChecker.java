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
 * Judges a whole history by every rule of the protocol: what users were told, and what was on the
 * workers' machines after each event there and at every fifth of a second. It sees the published
 * interfaces only and shares no code with the service; {@link FairnessChecker} judges who is served.
 */
final class HistoryChecker {
  /** A job about which no question is answered for so long, once all troubles are over, is forgotten. */
  private static final Duration ANSWERED = Duration.ofSeconds(75);

  private static final Duration EVERY = Duration.ofMillis(200);

  /** What a team's tasks may use together; 0 stands for no limit. */
  record Limit(double cpus, double gpus) {}

  /** A task that started after its user had been told that its job is cancelled, and how long after. */
  record LateStart(String task, String machine, Duration after) {}

  private final SimCluster cluster;
  private final SimUsers users;
  private final Duration cancel;
  private final Map<String, Limit> limits;
  private final FairnessChecker served;

  /** Tasks that were there at the last look, each with machine, session and attempt. */
  private Set<String> there = new HashSet<>();

  /** What was broken, each rule and job once. */
  final Set<String> broken = new LinkedHashSet<>();

  /** The longest time for which a task of a cancelled job was there after its user had been told. */
  Duration lastOfCancelled = Duration.ZERO;

  /** Not a breach while they were under way before, but users count them. */
  final List<LateStart> lateStarts = new ArrayList<>();

  HistoryChecker(SimCluster cluster, SimUsers users) {
    this.cluster = cluster;
    this.users = users;
    this.cancel = Duration.ofMillis((long) (cluster.setting("cancel_s") * 1000));
    this.limits = limits(cluster.settings);
    this.served = new FairnessChecker(cluster, users, limits);
    cluster.onChange.add(this::look);
    watch();
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

  private void watch() {
    look();
    served.look();
    cluster.loop.after(EVERY, this::watch);
  }

  /** Looks at all machines once. */
  void look() {
    Map<String, String> where = new HashMap<>();
    Map<String, Map<String, Integer>> zones = new HashMap<>();
    Map<String, double[]> used = new LinkedHashMap<>();
    Set<String> now = new HashSet<>();
    for (EmulatedWorker worker : cluster.workers.values()) {
      for (String attempt : worker.liveAttempts()) {
        String task = attempt.substring(0, attempt.indexOf('#'));
        String other = where.put(task, worker.name());
        if (other != null) {
          broken.add("ran_twice " + task + " on " + other + " and " + worker.name());
        }
        boolean starts = !there.contains(worker.name() + " " + attempt);
        now.add(worker.name() + " " + attempt);
        UserJob told = users.jobs.get(task.substring(0, task.indexOf('/')));
        if (told == null) {
          continue;
        }
        double[] team = used.computeIfAbsent(told.spec.team(), k -> new double[2]);
        team[0] += told.spec.cpus();
        team[1] += told.spec.gpus();
        zones.computeIfAbsent(told.spec.id(), k -> new HashMap<>()).merge(worker.zone(), 1, Integer::sum);
        if (starts) {
          started(told, task, worker);
        }
        if (told.cancelled != null) {
          stillThere(told, worker);
        }
      }
    }
    there = now;
    used.forEach(this::use);
    zones.forEach((id, counts) -> place(users.jobs.get(id).spec, counts));
  }

  private void started(UserJob told, String task, EmulatedWorker worker) {
    JobSpec spec = told.spec;
    boolean allowedType = spec.types() == null || spec.types().contains(worker.type().name());
    if (!allowedType || (worker.spot() && !spec.spotAllowed())) {
      broken.add("wrong_place " + task + " on " + worker.type().name() + (worker.spot() ? ", which is spot" : ""));
    }
    if (told.cancelled != null) {
      lateStarts.add(new LateStart(task, worker.name(), cluster.loop.now().minus(told.cancelled)));
    }
    served.started(told);
  }

  private void use(String team, double[] used) {
    Limit limit = limits.getOrDefault(team, new Limit(0, 0));
    if ((limit.cpus > 0 && used[0] > limit.cpus + 1e-6) || (limit.gpus > 0 && used[1] > limit.gpus + 1e-6)) {
      broken.add("quota " + team + " " + used[0] + " and " + used[1] + " of " + limit);
    }
  }

  private void stillThere(UserJob told, EmulatedWorker worker) {
    Duration since = cluster.loop.now().minus(told.cancelled);
    lastOfCancelled = since.compareTo(lastOfCancelled) > 0 ? since : lastOfCancelled;
    if (since.compareTo(cancel) > 0) {
      broken.add("ran_cancelled " + told.spec.id() + " on " + worker.name());
    }
  }

  private void place(JobSpec spec, Map<String, Integer> counts) {
    int most = spec.spreadZones() ? (spec.tasks() + 1) / 2 : spec.tasks();
    boolean apart = spec.sameZone() && counts.size() > 1;
    boolean elsewhere = spec.zone() != null && !counts.keySet().equals(Set.of(spec.zone()));
    if (apart || elsewhere || counts.values().stream().anyMatch(count -> count > most)) {
      broken.add("wrong_place " + spec.id() + " " + counts);
    }
  }

  /** A submission of a job that can't run, or lacks a field, was answered. */
  void answeredImpossible(String id, int status) {
    if (status == 200 || status == 201) {
      broken.add("accepted " + id + " though it can't run");
    }
  }

  void answerForNone(String id, int status) {
    if (status == 200) {
      broken.add("invented " + id);
    }
  }

  /**
   * An answer about a job, before the user takes it in. Two ends of a job contradict each other whenever they
   * come. That a job goes on is older than its end, and that nobody knows it older than its acceptance; either
   * is wrong in answer to a question that was asked after any answer, from whichever node, had told the user.
   * Where both were under way at once it isn't: the one controller can't have heard yet what the other one is
   * just saying.
   *
   * @param known what had been told when it was asked
   */
  void answered(UserJob told, ObservedState known, int status, byte[] body) {
    String id = told.spec.id();
    if (known.accepted() && (status == 404 || status == 400 || status == 422)) {
      broken.add("forgotten " + id + ": answered " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    ObjectNode map = SimNetwork.decode(body);
    String state = map.path("Status").asText();
    boolean older = !UserJob.isOver(state) && known.over();
    boolean other = UserJob.isOver(state) && told.over() && !state.equals(told.last);
    if (older || other) {
      broken.add("went_back " + id + " from " + told.last + " to " + state);
    }
    if (state.equals("withdrawn") && !told.asksToCancel) {
      broken.add("went_back " + id + ": its user did not cancel it");
    }
    if (state.equals("done")) {
      for (int task = 0; task < told.spec.tasks(); task++) {
        if (!cluster.completed.contains(id + "/" + task)) {
          broken.add("not_done " + id + " lacks task " + task);
        }
      }
    }
  }

  /** What is judged at the end, once all troubles have been over for long. */
  Set<String> atTheEnd() {
    users.waits().forEach((id, wait) -> {
      if (wait.compareTo(ANSWERED) > 0) {
        broken.add("forgotten " + id + ": no answer for " + wait.toSeconds() + " s");
      }
    });
    if (cluster.started.isEmpty()) {
      broken.add("nothing_ran");
    }
    broken.addAll(served.atTheEnd());
    return broken;
  }
}
