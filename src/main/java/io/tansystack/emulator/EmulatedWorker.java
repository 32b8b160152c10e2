package io.tansystack.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Emulates the published protocol of a worker without running tasks: fencing tokens, sessions, the
 * lease, commands and task states. The driver (scale run or simulation) transports its reports.
 */
public final class EmulatedWorker {
  /** Delay of the check: the lease expires only when more than its duration has passed. */
  private static final Duration LEASE_EXPIRY_MARGIN = Duration.ofMillis(1);

  private final WorkerEnvironment environment;
  private final EventLoop loop;
  private final String name;
  private final String address;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final Duration rentedAt;
  private final EmulatedTasks tasks;

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
    this.tasks = new EmulatedTasks(this, environment, gangs, type);
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

  /** Commands without effect; a controller with up-to-date state of the machine sends none. */
  public List<String> redundantCommands() {
    return tasks.redundantCommands();
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
    tasks.killAll();
    session++;
    leaseStart = loop.now();
    environment.onChanged(this);
  }

  public Report report() {
    sequence++;
    return new Report(
        name, address, type.name(), zone, spot, session, sequence, token, reclaimNoticeS,
        tasks.reports());
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
      tasks.execute(command);
    }
    return 200;
  }

  /** Marks the machine as reclaimed or failed; all its tasks are lost. */
  public void markDead() {
    dead = true;
    tasks.endStarted();
    environment.onChanged(this);
  }

  /** State of the task; null if the worker doesn't have it or is dead. */
  public State stateOf(String key) {
    return dead ? null : tasks.stateOf(key);
  }

  /** Sets a gang's task running, once all tasks of the gang are waiting. */
  void startRunning(String key) {
    tasks.startRunning(key);
  }

  /** The task exits with the given cause, unless it has already exited. */
  public void end(String key, Cause cause) {
    tasks.end(key, cause);
  }

  /** Whether a task of the job fits; a task of an unknown job counts as 1 CPU and 1 GB. */
  public boolean hasCapacityFor(JobSpec additional) {
    return tasks.hasCapacityFor(additional);
  }

  /** All attempts that the worker holds, exited and refused ones included, each as task#attempt. */
  public Set<String> heldAttempts() {
    return tasks.held();
  }

  /** Tasks that have not exited, each as task#attempt#session. */
  public List<String> liveAttempts() {
    return dead
        ? List.of()
        : tasks.live().map(t -> t.task() + "#" + t.attempt() + "#" + session).toList();
  }

  public boolean hasLiveTask(String task) {
    return !dead && tasks.live().anyMatch(t -> t.task().toString().equals(task));
  }

  /** Tasks that have not exited. */
  public List<String> liveTasks() {
    return dead ? List.of() : tasks.live().map(t -> t.task().toString()).toList();
  }
}
