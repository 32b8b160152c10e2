package io.tansystack.emulator;

import io.tansystack.wire.TaskId;
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
public final class EmulatedGangs {
  private static final Duration WATCH_EVERY = Duration.ofMillis(500);

  /** One task of an attempt: where, and under which key its worker holds it. */
  private record Member(EmulatedWorker worker, String key) {
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

  private final WorkerEnvironment environment;
  private final Map<String, Gang> gangs = new HashMap<>();

  public EmulatedGangs(WorkerEnvironment environment) {
    this.environment = environment;
  }

  /** A task has its image and waits for the others of its attempt. */
  void arrived(EmulatedWorker worker, String key, String job, int task, long attempt) {
    String name = job + "#" + attempt;
    Gang gang = gangs.computeIfAbsent(name, k -> new Gang());
    gang.members.put(task, new Member(worker, key));
    environment
        .loop()
        .after(
            environment.gangWait(),
            () -> {
              if (worker.stateOf(key) == State.WAITING) {
                worker.end(key, Cause.ALONE);
                forgetIfOver(name, gang);
              }
            });
    boolean all =
        gang.members.size() == environment.gangSize(job)
            && gang.members.values().stream().allMatch(m -> m.state() == State.WAITING);
    if (all && !gang.started) {
      gang.started = true;
      start(name, gang, job);
    }
  }

  private void start(String name, Gang gang, String job) {
    gang.members.values().forEach(m -> m.worker.startRunning(m.key));
    watch(name, gang);
    environment
        .loop()
        .after(
            environment.runTime(new TaskId(job, 0)),
            () -> {
              boolean allRun =
                  gang.members.values().stream().allMatch(m -> m.state() == State.RUNNING);
              if (!gang.over && allRun) {
                gang.over = true;
                complete(gang, job);
              }
            });
  }

  private void complete(Gang gang, String job) {
    gang.members.forEach(
        (task, member) -> {
          environment.completed(new TaskId(job, task));
          member.worker.end(member.key, Cause.DONE);
        });
  }

  /** If one is gone, or its machine hangs, the others notice after a while. */
  private void watch(String name, Gang gang) {
    if (gang.over) {
      gangs.remove(name, gang);
      return;
    }
    List<Member> all = List.copyOf(gang.members.values());
    if (all.stream().anyMatch(m -> m.state() != State.RUNNING || m.worker.hangs())) {
      gang.over = true;
      gangs.remove(name, gang);
      environment
          .loop()
          .after(
              environment.gangPeerTimeout(),
              () ->
                  all.stream()
                      .filter(m -> m.state() == State.RUNNING)
                      .forEach(m -> m.worker.end(m.key, Cause.PEERS)));
    } else {
      environment.loop().after(WATCH_EVERY, () -> watch(name, gang));
    }
  }

  private void forgetIfOver(String name, Gang gang) {
    if (!gang.started && gang.members.values().stream().allMatch(m -> m.state() != State.WAITING)) {
      gangs.remove(name, gang);
    }
  }
}
