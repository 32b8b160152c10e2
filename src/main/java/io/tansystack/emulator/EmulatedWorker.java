package io.tansystack.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import io.tansystack.wire.TaskReport;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Emulates the published protocol of a worker without running tasks: fencing tokens, sessions, the
 * lease, commands and task states. The driver (scale run or simulation) transports its reports.
 */
public final class EmulatedWorker {
  private static final double EPSILON = 1e-9;

  /** Delay of the check: the lease expires only when more than its duration has passed. */
  private static final Duration LEASE_EXPIRY_MARGIN = Duration.ofMillis(1);

  private final WorkerEnvironment environment;
  private final EmulatedGangs gangs;
  private final EventLoop loop;
  private final String name;
  private final String address;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final Duration rentedAt;
  private final Map<String, TaskReport> tasks = new LinkedHashMap<>();

  /** Keys of the tasks that have their image and have not exited. Key: job/index#attempt. */
  private final Set<String> started = new LinkedHashSet<>();

  private Duration lease;
  private long session = 1;
  private long sequence;
  private long token;
  private Duration leaseStart;
  private Duration tokenChangedAt = Duration.ZERO;
  private boolean dead;

  /** Until then it neither reports nor takes commands; commands received meanwhile run later. */
  private Duration hungUntil = Duration.ZERO;

  /** Until then it neither reports nor takes commands, because it is restarting. */
  private Duration restartingUntil = Duration.ZERO;

  private int restartCount;

  /** Seconds until the cloud reclaims the machine; null without a reclaim notice. */
  private Double reclaimNoticeS;

  private int lostTaskCount;
  private int commandCount;
  private final List<String> redundantCommands = new ArrayList<>();

  /** @param lease time without an answered report after which all tasks are killed */
  public EmulatedWorker(
      WorkerEnvironment environment,
      EmulatedGangs gangs,
      String name,
      String address,
      MachineType type,
      String zone,
      boolean spot,
      Duration lease) {
    this.environment = environment;
    this.gangs = gangs;
    this.loop = environment.loop();
    this.name = name;
    this.address = address;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.rentedAt = loop.now();
    this.lease = lease;
    this.leaseStart = loop.now();
    checkLease();
  }

  public String name() {
    return name;
  }

  /** Address (host:port) at which the worker receives commands. */
  public String address() {
    return address;
  }

  public MachineType type() {
    return type;
  }

  public String zone() {
    return zone;
  }

  public boolean spot() {
    return spot;
  }

  /** Loop time at which the machine was rented. */
  public Duration rentedAt() {
    return rentedAt;
  }

  public long session() {
    return session;
  }

  /** The highest token received so far. */
  public long token() {
    return token;
  }

  /** Sets the token as if commands under it had been received. */
  public void token(long newToken) {
    token = newToken;
  }

  public void lease(Duration duration) {
    lease = duration;
  }

  /** Renews the lease, as an answered report does. */
  public void renewLease() {
    leaseStart = loop.now();
  }

  public void reclaimNoticeS(Double seconds) {
    reclaimNoticeS = seconds;
  }

  public void hangUntil(Duration until) {
    hungUntil = until;
  }

  public Duration hungUntil() {
    return hungUntil;
  }

  public boolean isHung() {
    return loop.now().compareTo(hungUntil) < 0;
  }

  /**
   * Restarts the machine in place: all its tasks end, and its next session, whose lease counts from
   * now, reports after the given time. Sequence number and token are kept; a hang ends.
   */
  public void restart(Duration downTime) {
    startSession();
    hungUntil = Duration.ZERO;
    restartingUntil = loop.now().plus(downTime);
    restartCount++;
  }

  public boolean isRestarting() {
    return loop.now().compareTo(restartingUntil) < 0;
  }

  /** How often the machine has restarted in place; requests sent before get no response. */
  public int restartCount() {
    return restartCount;
  }

  public boolean isDead() {
    return dead;
  }

  /** Number of tasks that were killed because the lease expired. */
  public int lostTaskCount() {
    return lostTaskCount;
  }

  public int commandCount() {
    return commandCount;
  }

  /** Commands without effect; a controller with up-to-date state of the machine sends none. */
  public List<String> redundantCommands() {
    return redundantCommands;
  }

  private void checkLease() {
    if (dead) {
      return;
    }
    Duration remaining = leaseStart.plus(lease).minus(loop.now());
    if (remaining.isNegative()) {
      lostTaskCount += liveTasks().size();
      startSession();
      remaining = lease;
    }
    loop.after(remaining.plus(LEASE_EXPIRY_MARGIN), this::checkLease);
  }

  private void startSession() {
    tasks.clear();
    endStartedTasks();
    session++;
    leaseStart = loop.now();
    environment.onChanged(this);
  }

  private void endStartedTasks() {
    List<String> keys = List.copyOf(started);
    started.clear();
    keys.forEach(key -> environment.onEnded(this, taskOf(key)));
  }

  public Report report() {
    sequence++;
    return new Report(
        name, address, type.name(), zone, spot, session, sequence, token, reclaimNoticeS,
        new ArrayList<>(tasks.values()));
  }

  /** Handles the response to a report that was sent at {@code sentAt} in {@code sentSession}. */
  public void onReportResponse(int status, ObjectNode body, Duration sentAt, long sentSession) {
    long responseToken = body.path("Baton").asLong();
    if (status == 200 && sentSession == session && responseToken >= token) {
      leaseStart = sentAt;
      acceptToken(responseToken);
    }
  }

  /** A higher token triggers a report of the change at most once per half of the lease. */
  private void acceptToken(long newToken) {
    boolean higher = newToken > token;
    token = newToken;
    Duration now = loop.now();
    if (higher && now.minus(tokenChangedAt).multipliedBy(2).compareTo(lease) >= 0) {
      tokenChangedAt = now;
      environment.onChanged(this);
    }
  }

  /** Executes commands, or rejects them if token or session is stale; returns the HTTP status. */
  public int handleCommands(ObjectNode body) {
    if (body.get("Baton").asLong() < token || body.get("Shift").asLong() != session) {
      return 409;
    }
    acceptToken(body.get("Baton").asLong());
    for (JsonNode command : body.get("Signals")) {
      execute(command);
    }
    return 200;
  }

  private void execute(JsonNode command) {
    String id = command.get("Wagon").asText();
    long attempt = command.get("Departure").asLong();
    String operation = command.get("Aspect").asText();
    String key = id + "#" + attempt;
    commandCount++;
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
    environment.onLaunched(this, task);
    Duration fetch = environment.fetchTime(this, task.job());
    if (fetch.isZero()) {
      start(task, attempt, key);
      return;
    }
    tasks.put(key, new TaskReport(task, attempt, State.FETCHING, null, false));
    environment.onChanged(this);
    scheduleInState(fetch, key, State.FETCHING, () -> start(task, attempt, key));
  }

  private void start(TaskId task, long attempt, String key) {
    boolean gang = environment.gangSize(task.job()) > 0;
    State state = gang ? State.WAITING : State.RUNNING;
    tasks.put(key, new TaskReport(task, attempt, state, null, false));
    started.add(key);
    environment.onStarted(this, task);
    environment.onChanged(this);
    if (gang) {
      gangs.onTaskReady(this, key, task.job(), task.index(), attempt);
      return;
    }
    // Results are durable: a task that completed before ends as soon as it has its image.
    Duration run = environment.hasCompleted(task) ? Duration.ZERO : environment.runTime(task);
    scheduleInState(run, key, State.RUNNING, () -> complete(task, key));
  }

  private void complete(TaskId task, String key) {
    environment.onCompleted(task);
    end(key, Cause.DONE);
    environment.onCompletionReported(this, task);
  }

  /** Whether a task of the job fits; a task of an unknown job counts as 1 CPU and 1 GB. */
  public boolean hasCapacityFor(JobSpec additional) {
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
    long inSession = session;
    loop.after(
        delay,
        () -> {
          TaskReport task = tasks.get(key);
          if (!dead && session == inSession && task != null && task.state() == state) {
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

  /** State of the task; null if the worker doesn't have it or is dead. */
  public State stateOf(String key) {
    TaskReport task = dead ? null : tasks.get(key);
    return task == null ? null : task.state();
  }

  /** Sets a gang's task running, once all tasks of the gang are waiting. */
  void startRunning(String key) {
    TaskReport task = tasks.get(key);
    tasks.put(key, new TaskReport(task.task(), task.attempt(), State.RUNNING, null, false));
    environment.onChanged(this);
  }

  /** The task exits with the given cause, unless it has already exited. */
  public void end(String key, Cause cause) {
    TaskReport task = tasks.get(key);
    if (task != null && !task.exited()) {
      tasks.put(key, new TaskReport(task.task(), task.attempt(), State.EXITED, cause, false));
      if (started.remove(key)) {
        environment.onEnded(this, task.task());
      }
      environment.onChanged(this);
    }
  }

  /** Marks the machine as reclaimed or failed; all its tasks are lost. */
  public void markDead() {
    dead = true;
    endStartedTasks();
    environment.onChanged(this);
  }

  /** All attempts that the worker holds, exited and refused ones included, each as task#attempt. */
  public Set<String> heldAttempts() {
    return Set.copyOf(tasks.keySet());
  }

  /** Tasks that have not exited, each as task#attempt#session. */
  public List<String> liveAttempts() {
    return dead
        ? List.of()
        : tasks.values().stream()
            .filter(t -> !t.exited())
            .map(t -> t.task() + "#" + t.attempt() + "#" + session)
            .toList();
  }

  public boolean hasLiveTask(String task) {
    return !dead
        && tasks.values().stream().anyMatch(t -> !t.exited() && t.task().toString().equals(task));
  }

  /** Tasks that have not exited. */
  public List<String> liveTasks() {
    return dead
        ? List.of()
        : tasks.values().stream().filter(t -> !t.exited()).map(t -> t.task().toString()).toList();
  }
}
