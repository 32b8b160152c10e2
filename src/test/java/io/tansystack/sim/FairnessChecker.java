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
 * Who is served: that no job waits while there is room for it, that the largest begin too, and that no
 * class, team or class's largest jobs are left with less than half.
 */
final class FairnessChecker {
  /** Once all troubles are over, so long may a job wait while a machine that fits has room. */
  private static final Duration ROOM = Duration.ofSeconds(90);

  /** Within this the largest begin too, from when they were submitted and there was no trouble. */
  private static final Duration BEGINS = Duration.ofMinutes(4);

  private final SimCluster cluster;
  private final SimUsers users;
  private final Map<String, HistoryChecker.Limit> limits;
  private final Map<String, Duration> begun = new HashMap<>();
  private final Map<String, Duration> roomSince = new HashMap<>();

  /**
   * How long a job has waited where nobody could let it begin: its team is at its limit with its own work, or
   * the cloud has no machine left and there is none where the job may stand.
   */
  private final Map<String, Duration> inVain = new HashMap<>();

  private Duration lookedAt;
  private final Set<String> passedOver = new LinkedHashSet<>();

  FairnessChecker(SimCluster cluster, SimUsers users, Map<String, HistoryChecker.Limit> limits) {
    this.cluster = cluster;
    this.users = users;
    this.limits = limits;
  }

  void started(UserJob told) {
    begun.putIfAbsent(told.spec.id(), cluster.loop.now());
  }

  /** Looks at who waits. */
  void look() {
    if (users.calmSince() == null) {
      return;
    }
    Map<String, double[]> used = new HashMap<>();
    Map<String, Integer> live = new HashMap<>();
    for (EmulatedWorker worker : cluster.workers.values()) {
      for (String task : worker.liveTasks()) {
        String id = task.substring(0, task.indexOf('/'));
        JobSpec spec = users.jobs.containsKey(id) ? users.jobs.get(id).spec : SimCluster.spec(id, 1);
        live.merge(id, 1, Integer::sum);
        double[] team = used.computeIfAbsent(spec.team(), k -> new double[2]);
        team[0] += spec.cpus();
        team[1] += spec.gpus();
      }
    }
    Duration passed = lookedAt == null ? Duration.ZERO : cluster.loop.now().minus(lookedAt);
    lookedAt = cluster.loop.now();
    for (UserJob told : users.jobs.values()) {
      JobSpec spec = told.spec;
      boolean waits = told.accepted != null && !told.over() && !told.asksToCancel && !live.containsKey(spec.id())
          && !cluster.completed.contains(spec.id() + "/" + (spec.tasks() - 1));
      boolean atLimit = waits && atLimit(spec, used.getOrDefault(spec.team(), new double[2]));
      if (atLimit || (waits && cluster.workers.size() >= cluster.maxMachines && !isAnywhere(spec))) {
        inVain.merge(spec.id(), passed, Duration::plus);
      }
      if (!waits || atLimit || !hasRoom(spec)) {
        roomSince.remove(spec.id());
        continue;
      }
      Duration since = roomSince.computeIfAbsent(spec.id(), k -> cluster.loop.now());
      if (cluster.loop.now().minus(since).compareTo(ROOM) > 0) {
        passedOver.add("waits " + spec.id() + " though a machine that fits has room");
      }
    }
  }

  /** How many of its tasks must begin at once. */
  private static int together(JobSpec spec) {
    return spec.kind() == JobKind.ARRAY ? 1 : spec.tasks();
  }

  /** Whether its team can't have as much beside what it uses. */
  private boolean atLimit(JobSpec spec, double[] used) {
    int together = together(spec);
    HistoryChecker.Limit limit = limits.getOrDefault(spec.team(), new HistoryChecker.Limit(0, 0));
    return (limit.cpus() > 0 && used[0] + spec.cpus() * together > limit.cpus() + 1e-6)
        || (limit.gpus() > 0 && used[1] + spec.gpus() * together > limit.gpus() + 1e-6);
  }

  /** Whether there are machines, with room or without, in as many zones as it needs. */
  private boolean isAnywhere(JobSpec spec) {
    long zones =
        cluster.workers.values().stream()
            .filter(worker -> spec.allows(worker.type().name(), worker.zone(), worker.spot()))
            .map(worker -> worker.zone())
            .distinct()
            .count();
    return zones >= (spec.spreadZones() && together(spec) > 1 ? 2 : 1);
  }

  /** Whether as many of its tasks as must begin at once fit on machines that are there. */
  private boolean hasRoom(JobSpec spec) {
    int together = together(spec);
    Map<String, Integer> fit = new HashMap<>();
    for (EmulatedWorker worker : cluster.workers.values()) {
      boolean allowed = !worker.isDead() && !worker.isHung() && spec.allows(worker.type().name(), worker.zone(), worker.spot());
      if (allowed && worker.hasCapacityFor(spec)) {
        fit.merge(worker.zone(), 1, Integer::sum); // One task a machine: what is counted is there for certain.
      }
    }
    int most = spec.spreadZones() ? (together + 1) / 2 : together;
    int all = fit.values().stream().mapToInt(count -> Math.min(count, most)).sum();
    int one = fit.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    return (spec.sameZone() ? one : all) >= together;
  }

  /** What was broken. */
  Set<String> atTheEnd() {
    Set<String> broken = new LinkedHashSet<>(passedOver);
    Map<String, List<UserJob>> groups = new LinkedHashMap<>();
    for (UserJob told : users.jobs.values()) {
      if (told.accepted == null || told.asksToCancel) {
        continue;
      }
      Duration owed = told.accepted.compareTo(users.calmSince()) > 0 ? told.accepted : users.calmSince();
      Duration began = begun.getOrDefault(told.spec.id(), cluster.loop.now());
      Duration waited = began.minus(owed).minus(inVain.getOrDefault(told.spec.id(), Duration.ZERO));
      if (waited.compareTo(BEGINS) > 0) {
        broken.add("begins late " + told.spec.id() + " of " + told.spec.tasks() + " tasks");
      }
      groups.computeIfAbsent("class " + told.spec.jobClass(), k -> new ArrayList<>()).add(told);
      groups.computeIfAbsent("team " + told.spec.team(), k -> new ArrayList<>()).add(told);
    }
    Map<String, List<UserJob>> largest = new LinkedHashMap<>();
    groups.forEach((name, members) -> {
      int most = members.stream().mapToInt(told -> told.spec.tasks()).max().orElse(0);
      largest.put("largest of " + name, members.stream().filter(t -> t.spec.tasks() == most).toList());
    });
    groups.putAll(largest);
    groups.forEach((name, members) -> {
      long begunOnes = members.stream().filter(told -> begun.containsKey(told.spec.id())).count();
      if (begunOnes * 2 < members.size()) {
        broken.add("less than half of " + name + ": " + begunOnes + " of " + members.size());
      }
    });
    return broken;
  }
}
