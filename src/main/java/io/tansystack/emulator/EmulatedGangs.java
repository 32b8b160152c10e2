package io.tansystack.sim;

import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How the tasks of gangs find one another, after the published protocol: those of one attempt start
 * together once all are there, complete together, and exit when one of them is gone.
 */
final class StandInGangs {
  private static final Duration EVERY = Duration.ofMillis(500);

  /** One task of an attempt: where, and under which key its worker holds it. */
  private record Member(StandInWorker worker, String key) {
    State state() {
      return worker.stateOf(key);
    }
  }

  /** The tasks of one attempt, by number. */
  private static final class Gang {
    final Map<Integer, Member> members = new LinkedHashMap<>();
    boolean started;
    boolean over;
  }

  private final SimNetwork network;
  private final Map<String, Gang> gangs = new HashMap<>();

  /** How many tasks each job has that is a gang. */
  final Map<String, Integer> sizes = new HashMap<>();

  StandInGangs(SimNetwork network) {
    this.network = network;
  }

  boolean isGang(String job) {
    return sizes.containsKey(job);
  }

  /** A task has its image and waits for the others of its attempt. */
  void arrived(StandInWorker worker, String key, String job, int task, long attempt) {
    Gang gang = gangs.computeIfAbsent(job + "#" + attempt, k -> new Gang());
    gang.members.put(task, new Member(worker, key));
    network.loop.after(
        seconds("gang_wait_s"),
        () -> {
          if (worker.stateOf(key) == State.WAITING) {
            worker.end(key, Cause.ALONE);
          }
        });
    boolean all =
        gang.members.size() == sizes.get(job)
            && gang.members.values().stream().allMatch(m -> m.state() == State.WAITING);
    if (all && !gang.started) {
      gang.started = true;
      start(gang, job);
    }
  }

  private void start(Gang gang, String job) {
    gang.members.values().forEach(m -> m.worker.goesOn(m.key));
    watch(gang);
    network.loop.after(
        network.run,
        () -> {
          if (!gang.over && gang.members.values().stream().allMatch(m -> m.state() == State.RUNNING)) {
            gang.over = true;
            gang.members.forEach(
                (task, m) -> {
                  network.completed.add(job + "/" + task);
                  m.worker.end(m.key, Cause.DONE);
                });
          }
        });
  }

  /** If one is gone, or its machine hangs, the others notice after a while. */
  private void watch(Gang gang) {
    if (gang.over) {
      return;
    }
    List<Member> all = List.copyOf(gang.members.values());
    if (all.stream().anyMatch(m -> m.state() != State.RUNNING || m.worker.hangs())) {
      gang.over = true;
      network.loop.after(
          seconds("gang_peer_s"),
          () -> all.stream()
              .filter(m -> m.state() == State.RUNNING)
              .forEach(m -> m.worker.end(m.key, Cause.PEERS)));
    } else {
      network.loop.after(EVERY, () -> watch(gang));
    }
  }

  private Duration seconds(String setting) {
    return Duration.ofMillis((long) (network.setting(setting) * 1000));
  }
}
