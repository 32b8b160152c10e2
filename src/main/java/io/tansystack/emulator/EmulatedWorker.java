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
 * A worker after the published protocol, without the work: tokens, sessions, its lease, commands and
 * the states that tasks go through. How its reports travel is the driver's matter.
 */
public final class EmulatedWorker {
  private static final double EPSILON = 1e-9;

  /** The lease ends when more than its length has passed. */
  private static final Duration LEASE_STEP = Duration.ofMillis(1);

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

  /** Keys of the tasks that have their image and have not exited. */
  private final Set<String> begun = new LinkedHashSet<>();

  private Duration lease;
  private long session = 1;
  private long sequence;
  private long token;
  private Duration leaseFrom;
  private Duration tokenChangedAt = Duration.ZERO;
  private boolean dead;

  /** Until then it neither reports nor takes commands; what came meanwhile it takes afterwards. */
  private Duration hungUntil = Duration.ZERO;

  /** Seconds until the cloud takes it away; null for none. */
  private Double noticeS;

  private int lostTasks;
  private int commandsTaken;
  private final List<String> needlessCommands = new ArrayList<>();

  /** @param lease after so long without an answered report all tasks are killed */
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
    this.leaseFrom = loop.now();
    checkLease();
  }

  public String name() {
    return name;
  }

  /** Where it takes commands. */
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

  /** Time of the loop at which it was rented. */
  public Duration rentedAt() {
    return rentedAt;
  }

  public long session() {
    return session;
  }

  /** The highest token it has seen. */
  public long token() {
    return token;
  }

  /** As if it had seen commands under this token. */
  public void token(long seen) {
    token = seen;
  }

  public void lease(Duration duration) {
    lease = duration;
  }

  /** Restarts the lease, as an answered report does. */
  public void keepLease() {
    leaseFrom = loop.now();
  }

  public void noticeS(Double seconds) {
    noticeS = seconds;
  }

  public void hangUntil(Duration until) {
    hungUntil = until;
  }

  public Duration hungUntil() {
    return hungUntil;
  }

  public boolean hangs() {
    return loop.now().compareTo(hungUntil) < 0;
  }

  public boolean isDead() {
    return dead;
  }

  /** How many tasks were killed when the lease ran out. */
  public int lostTasks() {
    return lostTasks;
  }

  public int commandsTaken() {
    return commandsTaken;
  }

  /** Commands that changed nothing: a controller that knows the machine would not have sent them. */
  public List<String> needlessCommands() {
    return needlessCommands;
  }

  private void checkLease() {
    if (dead) {
      return;
    }
    Duration left = leaseFrom.plus(lease).minus(loop.now());
    if (left.isNegative()) {
      startSession();
      left = lease;
    }
    loop.after(left.plus(LEASE_STEP), this::checkLease);
  }

  private void startSession() {
    lostTasks += live().size();
    tasks.clear();
    endBegun();
    session++;
    leaseFrom = loop.now();
    environment.changed(this);
  }

  private void endBegun() {
    List<String> keys = List.copyOf(begun);
    begun.clear();
    keys.forEach(key -> environment.ended(this, taskOf(key)));
  }

  public Report report() {
    sequence++;
    return new Report(
        name, address, type.name(), zone, spot, session, sequence, token, noticeS,
        new ArrayList<>(tasks.values()));
  }

  /** Takes an answer to a report that was sent at a moment in a session. */
  public void answered(int status, ObjectNode body, Duration sentAt, long sentSession) {
    long answerToken = body.path("Baton").asLong();
    if (status == 200 && sentSession == session && answerToken >= token) {
      leaseFrom = sentAt;
      seen(answerToken);
    }
  }

  /** A higher token counts as a change once per half of the lease at most. */
  private void seen(long newToken) {
    boolean higher = newToken > token;
    token = newToken;
    Duration now = loop.now();
    if (higher && now.minus(tokenChangedAt).multipliedBy(2).compareTo(lease) >= 0) {
      tokenChangedAt = now;
      environment.changed(this);
    }
  }

  /** Executes direct commands, or refuses them; tells the status of the answer. */
  public int commands(ObjectNode body) {
    if (body.get("Baton").asLong() < token || body.get("Shift").asLong() != session) {
      return 409;
    }
    seen(body.get("Baton").asLong());
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
    commandsTaken++;
    TaskReport held = tasks.get(key);
    boolean needed =
        switch (operation) {
          case "launch" -> held == null;
          case "halt" -> held != null && !held.exited();
          default -> held != null && held.exited();
        };
    if (!needed) {
      needlessCommands.add(command + " of " + held);
    }
    switch (operation) {
      case "launch" -> launch(taskOf(key), attempt, key);
      case "halt" -> halt(key, command.path("SlackS").asDouble());
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
    boolean refused =
        environment.refusesLaunch() || !hasRoomFor(environment.description(task.job()));
    if (busy || refused) {
      Cause cause = busy ? Cause.BUSY : Cause.NO_ROOM;
      tasks.put(key, new TaskReport(task, attempt, State.EXITED, cause, false));
      return;
    }
    environment.launched(this, task);
    Duration fetch = environment.fetchTime(this, task.job());
    if (fetch.isZero()) {
      begin(task, attempt, key);
      return;
    }
    tasks.put(key, new TaskReport(task, attempt, State.FETCHING, null, false));
    environment.changed(this);
    later(fetch, key, State.FETCHING, () -> begin(task, attempt, key));
  }

  private void begin(TaskId task, long attempt, String key) {
    boolean gang = environment.gangSize(task.job()) > 0;
    State state = gang ? State.WAITING : State.RUNNING;
    tasks.put(key, new TaskReport(task, attempt, state, null, false));
    begun.add(key);
    environment.began(this, task);
    environment.changed(this);
    if (gang) {
      gangs.arrived(this, key, task.job(), task.index(), attempt);
      return;
    }
    // A result is kept: started again, the task ends as soon as it has its image.
    Duration run = environment.hasCompleted(task) ? Duration.ZERO : environment.runTime(task);
    later(run, key, State.RUNNING, () -> complete(task, key));
  }

  private void complete(TaskId task, String key) {
    environment.completed(task);
    end(key, Cause.DONE);
    environment.completionReported(this, task);
  }

  /** Whether another task of the job fits; one whose description nobody has takes one CPU. */
  public boolean hasRoomFor(JobSpec wanted) {
    double cpus = wanted == null ? 1 : wanted.cpus();
    double gpus = wanted == null ? 0 : wanted.gpus();
    double memGb = wanted == null ? 1 : wanted.memGb();
    for (TaskReport task : tasks.values()) {
      if (task.exited()) {
        continue;
      }
      JobSpec spec = environment.description(task.task().job());
      cpus += spec == null ? 1 : spec.cpus();
      gpus += spec == null ? 0 : spec.gpus();
      memGb += spec == null ? 1 : spec.memGb();
    }
    return cpus <= type.cpus() + EPSILON
        && gpus <= type.gpus() + EPSILON
        && memGb <= type.memGb() + EPSILON;
  }

  /** Runs after the delay, if the task is still there in that state. */
  private void later(Duration delay, String key, State state, Runnable then) {
    long inSession = session;
    loop.after(
        delay,
        () -> {
          TaskReport task = tasks.get(key);
          if (!dead && session == inSession && task != null && task.state() == state) {
            then.run();
          }
        });
  }

  /** A task that saves goes on to do so; told to stop at once, or with nothing to save, it ends. */
  private void halt(String key, double graceS) {
    TaskReport task = tasks.get(key);
    boolean saves =
        task != null
            && task.state() == State.RUNNING
            && graceS > 0
            && !environment.saveTime().isZero();
    if (saves) {
      tasks.put(key, new TaskReport(task.task(), task.attempt(), State.SAVING, null, false));
      later(environment.saveTime(), key, State.SAVING, () -> end(key, Cause.STOPPED));
    } else {
      end(key, Cause.STOPPED);
    }
  }

  /** What the task is doing; null if the worker knows nothing of it. */
  public State stateOf(String key) {
    TaskReport task = dead ? null : tasks.get(key);
    return task == null ? null : task.state();
  }

  /** All tasks of its gang are there: it runs. */
  void startRunning(String key) {
    TaskReport task = tasks.get(key);
    tasks.put(key, new TaskReport(task.task(), task.attempt(), State.RUNNING, null, false));
    environment.changed(this);
  }

  /** The task exits for the given cause, unless it has already. */
  public void end(String key, Cause cause) {
    TaskReport task = tasks.get(key);
    if (task != null && !task.exited()) {
      tasks.put(key, new TaskReport(task.task(), task.attempt(), State.EXITED, cause, false));
      if (begun.remove(key)) {
        environment.ended(this, task.task());
      }
      environment.changed(this);
    }
  }

  /** The cloud took it away, or it died: nothing on it is left. */
  public void die() {
    dead = true;
    endBegun();
    environment.changed(this);
  }

  /** Tasks that have not exited, each with its attempt and the session. */
  public List<String> attempts() {
    return dead
        ? List.of()
        : tasks.values().stream()
            .filter(t -> !t.exited())
            .map(t -> t.task() + "#" + t.attempt() + "#" + session)
            .toList();
  }

  public boolean holds(String task) {
    return !dead
        && tasks.values().stream().anyMatch(t -> !t.exited() && t.task().toString().equals(task));
  }

  /** Tasks that have not exited. */
  public List<String> live() {
    return dead
        ? List.of()
        : tasks.values().stream().filter(t -> !t.exited()).map(t -> t.task().toString()).toList();
  }
}
