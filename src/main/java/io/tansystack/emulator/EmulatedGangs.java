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
 * Emulates how the tasks of gangs coordinate, according to the published protocol: the tasks of one
 * attempt start together once all of them are waiting, complete together, and exit when one of them
 * is lost.
 */
public final class EmulatedGangs {
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(500);

  /** One task of an attempt: its worker, and the key under which the worker stores it. */
  private record Member(EmulatedWorker worker, String key) {
    State state() {
      return worker.stateOf(key);
    }
  }

  /** The tasks of one attempt, by task index. */
  private static final class Gang {
    final Map<Integer, Member> members = new LinkedHashMap<>();
    boolean started;
    boolean ended;
  }

  private final WorkerEnvironment environment;
  private final Map<String, Gang> gangs = new HashMap<>();

  public EmulatedGangs(WorkerEnvironment environment) {
    this.environment = environment;
  }

  /** Adds a task that has its image and now waits for the other tasks of its attempt. */
  void onTaskReady(EmulatedWorker worker, String key, String job, int task, long attempt) {
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
                removeIfAbandoned(name, gang);
              }
            });
    boolean allWaiting =
        gang.members.size() == environment.gangSize(job)
            && gang.members.values().stream().allMatch(m -> m.state() == State.WAITING);
    if (allWaiting && !gang.started) {
      gang.started = true;
      start(name, gang, job);
    }
  }

  private void start(String name, Gang gang, String job) {
    gang.members.values().forEach(m -> m.worker.startRunning(m.key));
    checkMembers(name, gang);
    environment
        .loop()
        .after(
            environment.runTime(new TaskId(job, 0)),
            () -> {
              boolean allRunning =
                  gang.members.values().stream().allMatch(m -> m.state() == State.RUNNING);
              if (!gang.ended && allRunning) {
                gang.ended = true;
                complete(gang, job);
              }
            });
  }

  private void complete(Gang gang, String job) {
    gang.members.forEach(
        (task, member) -> {
          environment.onCompleted(new TaskId(job, task));
          member.worker.end(member.key, Cause.DONE);
        });
  }

  /**
   * Checks periodically whether a task is lost or its machine hangs; if so, the other tasks exit
   * after the time they need to notice it.
   */
  private void checkMembers(String name, Gang gang) {
    if (gang.ended) {
      gangs.remove(name, gang);
      return;
    }
    List<Member> members = List.copyOf(gang.members.values());
    if (members.stream().anyMatch(m -> m.state() != State.RUNNING || m.worker.isHung())) {
      gang.ended = true;
      gangs.remove(name, gang);
      environment
          .loop()
          .after(
              environment.gangPeerTimeout(),
              () ->
                  members.stream()
                      .filter(m -> m.state() == State.RUNNING)
                      .forEach(m -> m.worker.end(m.key, Cause.PEERS)));
    } else {
      environment.loop().after(WATCH_INTERVAL, () -> checkMembers(name, gang));
    }
  }

  private void removeIfAbandoned(String name, Gang gang) {
    if (!gang.started && gang.members.values().stream().allMatch(m -> m.state() != State.WAITING)) {
      gangs.remove(name, gang);
    }
  }
}
