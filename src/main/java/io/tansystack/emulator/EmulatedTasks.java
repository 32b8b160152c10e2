package io.tansystack.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** The tasks of an emulated worker in its present session, and the commands that change them. */
final class EmulatedTasks {
  private static final double EPSILON = 1e-9;

  private final EmulatedWorker worker;
  private final WorkerEnvironment environment;
  private final EmulatedGangs gangs;
  private final MachineType type;

  /** By key: job/index#attempt. */
  private final Map<String, TaskReport> tasks = new LinkedHashMap<>();

  /** Keys of the tasks that have their image and have not exited. */
  private final Set<String> started = new LinkedHashSet<>();

  private final List<String> redundantCommands = new ArrayList<>();

  EmulatedTasks(
      EmulatedWorker worker,
      WorkerEnvironment environment,
      EmulatedGangs gangs,
      MachineType type) {
    this.worker = worker;
    this.environment = environment;
    this.gangs = gangs;
    this.type = type;
  }

  /** Commands without effect; a controller with up-to-date state of the machine sends none. */
  List<String> redundantCommands() {
    return redundantCommands;
  }

  /** All tasks, exited and refused ones included, as the worker reports them. */
  List<TaskReport> reports() {
    return new ArrayList<>(tasks.values());
  }

  /** The tasks that have not exited. */
  Stream<TaskReport> live() {
    return tasks.values().stream().filter(task -> !task.exited());
  }

  /** The keys of all tasks, exited and refused ones included. */
  Set<String> held() {
    return Set.copyOf(tasks.keySet());
  }

  /** Kills and forgets all tasks, as when a session ends. */
  void killAll() {
    tasks.clear();
    endStarted();
  }

  /** Tells the environment that no task is on the machine any more. */
  void endStarted() {
    List<String> keys = List.copyOf(started);
    started.clear();
    keys.forEach(key -> environment.onEnded(worker, taskOf(key)));
  }

  /** Executes a command of the worker's protocol. */
  void execute(JsonNode command) {
    String id = command.get("Wagon").asText();
    long attempt = command.get("Departure").asLong();
    String operation = command.get("Aspect").asText();
    String key = id + "#" + attempt;
    TaskReport current = tasks.get(key);
    boolean needed =
        switch (operation) {
          case "launch" -> current == null;
          case "halt" -> current != null && !current.exited();
          default -> current != null && current.exited();
        };
    if (!needed) {
      redundantCommands.add(command + " for " + current);
    }
    switch (operation) {
      case "launch" -> launch(taskOf(key), attempt, key);
      case "halt" -> stop(key, command.path("SlackS").asDouble());
      default -> forget(key);
    }
  }

  private static TaskId taskOf(String key) {
    int slash = key.indexOf('/');
    return new TaskId(
        key.substring(0, slash), Integer.parseInt(key.substring(slash + 1, key.indexOf('#'))));
  }

  private void forget(String key) {
    TaskReport task = tasks.get(key);
    if (task != null && task.exited()) {
      tasks.remove(key);
    }
  }

  private void launch(TaskId task, long attempt, String key) {
    if (tasks.containsKey(key)) {
      return;
    }
    boolean busy = tasks.values().stream().anyMatch(t -> t.task().equals(task) && !t.exited());
    boolean rejected =
        environment.refusesLaunch() || !hasCapacityFor(environment.jobSpec(task.job()));
    if (busy || rejected) {
      Cause cause = busy ? Cause.BUSY : Cause.NO_ROOM;
      tasks.put(key, new TaskReport(task, attempt, State.EXITED, cause, false));
      return;
    }
    environment.onLaunched(worker, task);
    Duration fetch = environment.fetchTime(worker, task.job());
    if (fetch.isZero()) {
      start(task, attempt, key);
      return;
    }
    tasks.put(key, new TaskReport(task, attempt, State.FETCHING, null, false));
    environment.onChanged(worker);
    scheduleInState(fetch, key, State.FETCHING, () -> start(task, attempt, key));
  }

  private void start(TaskId task, long attempt, String key) {
    boolean gang = environment.gangSize(task.job()) > 0;
    State state = gang ? State.WAITING : State.RUNNING;
    tasks.put(key, new TaskReport(task, attempt, state, null, false));
    started.add(key);
    environment.onStarted(worker, task);
    environment.onChanged(worker);
    if (gang) {
      gangs.onTaskReady(worker, key, task.job(), task.index(), attempt);
      return;
    }
    // Results are durable: a task that completed before ends as soon as it has its image.
    Duration run = environment.hasCompleted(task) ? Duration.ZERO : environment.runTime(task);
    scheduleInState(run, key, State.RUNNING, () -> complete(task, key));
  }

  private void complete(TaskId task, String key) {
    environment.onCompleted(task);
    end(key, Cause.DONE);
    environment.onCompletionReported(worker, task);
  }

  /** Whether a task of the job fits; a task of an unknown job counts as 1 CPU and 1 GB. */
  boolean hasCapacityFor(JobSpec additional) {
    double cpus = additional == null ? 1 : additional.cpus();
    double gpus = additional == null ? 0 : additional.gpus();
    double memGb = additional == null ? 1 : additional.memGb();
    for (TaskReport task : tasks.values()) {
      if (task.exited()) {
        continue;
      }
      JobSpec spec = environment.jobSpec(task.task().job());
      cpus += spec == null ? 1 : spec.cpus();
      gpus += spec == null ? 0 : spec.gpus();
      memGb += spec == null ? 1 : spec.memGb();
    }
    return cpus <= type.cpus() + EPSILON
        && gpus <= type.gpus() + EPSILON
        && memGb <= type.memGb() + EPSILON;
  }

  /** Runs the action after the delay if the task is still in that state, in the same session. */
  private void scheduleInState(Duration delay, String key, State state, Runnable action) {
    long inSession = worker.session();
    environment.loop().after(
        delay,
        () -> {
          TaskReport task = tasks.get(key);
          boolean sameSession = !worker.isDead() && worker.session() == inSession;
          if (sameSession && task != null && task.state() == state) {
            action.run();
          }
        });
  }

  /** A running task saves first if it has grace time and something to save; others end at once. */
  private void stop(String key, double graceS) {
    TaskReport task = tasks.get(key);
    boolean saves =
        task != null
            && task.state() == State.RUNNING
            && graceS > 0
            && !environment.saveTime().isZero();
    if (saves) {
      tasks.put(key, new TaskReport(task.task(), task.attempt(), State.SAVING, null, false));
      scheduleInState(environment.saveTime(), key, State.SAVING, () -> end(key, Cause.STOPPED));
    } else {
      end(key, Cause.STOPPED);
    }
  }

  /** State of the task; null if the worker doesn't have it. */
  State stateOf(String key) {
    TaskReport task = tasks.get(key);
    return task == null ? null : task.state();
  }

  /** Sets a gang's task running, once all tasks of the gang are waiting. */
  void startRunning(String key) {
    TaskReport task = tasks.get(key);
    tasks.put(key, new TaskReport(task.task(), task.attempt(), State.RUNNING, null, false));
    environment.onChanged(worker);
  }

  /** The task exits with the given cause, unless it has already exited. */
  void end(String key, Cause cause) {
    TaskReport task = tasks.get(key);
    if (task != null && !task.exited()) {
      tasks.put(key, new TaskReport(task.task(), task.attempt(), State.EXITED, cause, false));
      if (started.remove(key)) {
        environment.onEnded(worker, task.task());
      }
      environment.onChanged(worker);
    }
  }
}
