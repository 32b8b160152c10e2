package io.tansystack.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for a worker, after the published protocol: tokens, sessions, lease and commands. */
final class StandInWorker {
  private final SimNetwork network;
  private final SimLoop loop;
  final String name;
  final String address;
  final SimNetwork.SimType type;
  final String zone;
  final boolean spot;
  final Duration rentedAt;
  Duration lease;
  private final Map<String, TaskReport> tasks = new LinkedHashMap<>();
  long session = 1;
  private long seq;
  long token;
  private Duration leaseFrom;
  int target;
  boolean dead;

  /** Until then it neither reports nor takes commands; what came meanwhile it takes afterwards. */
  Duration hungUntil = Duration.ZERO;

  /** Seconds until the cloud takes it away; null for none. */
  Double noticeS;

  /** Tasks that were killed when the lease ran out. */
  int lost;

  int ordersTaken;

  /** Orders that a reconciled fleet would not have needed. */
  final List<String> needless = new ArrayList<>();

  StandInWorker(
      SimNetwork network, String name, String address, SimNetwork.SimType type, String zone, boolean spot,
      Duration lease) {
    this.network = network;
    this.loop = network.loop;
    this.name = name;
    this.address = address;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.rentedAt = loop.now();
    this.lease = lease;
    this.leaseFrom = loop.now();
    tick();
  }

  /** As an answered report does. */
  void keepLease() {
    leaseFrom = loop.now();
  }

  boolean hangs() {
    return loop.now().compareTo(hungUntil) < 0;
  }

  private void tick() {
    if (dead) {
      return;
    }
    if (loop.now().minus(leaseFrom).compareTo(lease) > 0) {
      lost += live().size();
      tasks.clear();
      session++;
      leaseFrom = loop.now();
      network.changed();
    }
    loop.after(Duration.ofMillis(200), this::tick);
  }

  Report report() {
    return new Report(
        name, address, type.name(), zone, spot, session, ++seq, token, noticeS,
        new ArrayList<>(tasks.values()));
  }

  /** An answer to a report sent at a moment in a session. */
  void answered(int status, ObjectNode body, Duration sentAt, long sentSession) {
    if (status == 200 && sentSession == session && body.path("Baton").asLong() >= token) {
      token = body.path("Baton").asLong();
      leaseFrom = sentAt;
    }
  }

  int orders(ObjectNode body) {
    if (body.get("Baton").asLong() < token || body.get("Shift").asLong() != session) {
      return 409;
    }
    token = body.get("Baton").asLong();
    for (JsonNode c : body.get("Signals")) {
      String id = c.get("Wagon").asText();
      long attempt = c.get("Departure").asLong();
      String key = id + "#" + attempt;
      ordersTaken++;
      TaskReport held = tasks.get(key);
      boolean needed =
          switch (c.get("Aspect").asText()) {
            case "launch" -> held == null;
            case "halt" -> held != null && !held.exited();
            default -> held != null && held.exited();
          };
      if (!needed) {
        needless.add(c + " of " + held);
      }
      switch (c.get("Aspect").asText()) {
        case "launch" -> launch(id, attempt, key);
        case "halt" -> halt(key, c.path("SlackS").asDouble());
        default -> {
          TaskReport t = tasks.get(key);
          if (t != null && t.exited()) {
            tasks.remove(key);
          }
        }
      }
    }
    return 200;
  }

  private void launch(String id, long attempt, String key) {
    if (tasks.containsKey(key)) {
      return;
    }
    TaskId task = new TaskId(id.substring(0, id.indexOf('/')), Integer.parseInt(id.substring(id.indexOf('/') + 1)));
    boolean busy =
        tasks.values().stream().anyMatch(t -> t.task().equals(task) && !t.exited());
    boolean refuses = network.launchesRefused > 0 && network.random.nextDouble() < network.launchesRefused;
    if (busy || refuses || !hasRoomFor(network.uploaded.get(task.job()))) {
      tasks.put(
          key, new TaskReport(task, attempt, State.EXITED, busy ? Cause.BUSY : Cause.NO_ROOM, false));
      return;
    }
    network.started.add(id + "@" + name);
    if (network.fetch.isZero()) {
      run(task, attempt, key);
      return;
    }
    tasks.put(key, new TaskReport(task, attempt, State.FETCHING, null, false));
    network.changed();
    later(network.fetch, key, State.FETCHING, () -> run(task, attempt, key));
  }

  private void run(TaskId task, long attempt, String key) {
    if (network.gangs.isGang(task.job())) {
      tasks.put(key, new TaskReport(task, attempt, State.WAITING, null, false));
      network.changed();
      network.gangs.arrived(this, key, task.job(), task.index(), attempt);
      return;
    }
    tasks.put(key, new TaskReport(task, attempt, State.RUNNING, null, false));
    network.changed();
    // A result is kept: started again, the task ends as soon as it has its image.
    Duration left = network.completed.contains(task.toString()) ? Duration.ZERO : network.runOf(task.toString());
    later(left, key, State.RUNNING, () -> {
      network.completed.add(task.toString());
      end(key, Cause.DONE);
      network.onCompleted.forEach(told -> told.accept(task.toString()));
    });
  }

  /** Whether another task of the job fits beside what is there; one whose description nobody has takes a CPU. */
  boolean hasRoomFor(JobSpec wanted) {
    double cpus = wanted == null ? 1 : wanted.cpus();
    double gpus = wanted == null ? 0 : wanted.gpus();
    double memGb = wanted == null ? 1 : wanted.memGb();
    for (String task : live()) {
      JobSpec spec = network.uploaded.get(task.substring(0, task.indexOf('/')));
      cpus += spec == null ? 1 : spec.cpus();
      gpus += spec == null ? 0 : spec.gpus();
      memGb += spec == null ? 1 : spec.memGb();
    }
    return cpus <= type.cpus() + 1e-9 && gpus <= type.gpus() + 1e-9 && memGb <= type.memGb() + 1e-9;
  }

  /** Does it after a while, if the task is still there in that state. */
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

  /** One that saves goes on to do so; told to stop at once, or without anything to save, it ends. */
  private void halt(String key, double slackS) {
    TaskReport t = tasks.get(key);
    if (t != null && t.state() == State.RUNNING && slackS > 0 && !network.save.isZero()) {
      tasks.put(key, new TaskReport(t.task(), t.attempt(), State.SAVING, null, false));
      later(network.save, key, State.SAVING, () -> end(key, Cause.STOPPED));
    } else {
      end(key, Cause.STOPPED);
    }
  }

  /** What the task is doing; null if the worker knows nothing of it. */
  State stateOf(String key) {
    TaskReport task = dead ? null : tasks.get(key);
    return task == null ? null : task.state();
  }

  /** All tasks of its gang are there. */
  void goesOn(String key) {
    TaskReport t = tasks.get(key);
    tasks.put(key, new TaskReport(t.task(), t.attempt(), State.RUNNING, null, false));
  }

  void end(String key, Cause cause) {
    TaskReport t = tasks.get(key);
    if (t != null && !t.exited()) {
      tasks.put(key, new TaskReport(t.task(), t.attempt(), State.EXITED, cause, false));
      network.changed();
    }
  }

  /** The cloud took it away, or it died: nothing on it is left. */
  void die() {
    dead = true;
    network.changed();
  }

  /** Tasks that have not ended, each with its attempt and the session. */
  List<String> attempts() {
    return dead
        ? List.of()
        : tasks.values().stream()
            .filter(t -> !t.exited())
            .map(t -> t.task() + "#" + t.attempt() + "#" + session)
            .toList();
  }

  boolean holds(String task) {
    return !dead
        && tasks.values().stream().anyMatch(t -> !t.exited() && t.task().toString().equals(task));
  }

  List<String> live() {
    return dead
        ? List.of()
        : tasks.values().stream().filter(t -> !t.exited()).map(t -> t.task().toString()).toList();
  }
}
