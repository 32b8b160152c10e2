package io.tansystack.emulator;

import io.tansystack.emulator.ScaleResult.ClassResult;
import io.tansystack.emulator.ScaleResult.RoleResult;
import io.tansystack.emulator.ScaleResult.StoreResult;
import io.tansystack.emulator.ScaleResult.Submissions;
import io.tansystack.emulator.ScaleResult.WorkerTraffic;
import io.tansystack.settings.SettingsException;
import io.tansystack.wire.Cbor;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One cell of a scale run: real controller processes, and emulators of all other components in this
 * process. The run time is bounded, and {@link #close} ends all processes that were started, even
 * after a failure.
 */
public final class CellRun implements AutoCloseable {
  /** At the start, users submit at once the jobs that arrive in this time at the usual rate. */
  private static final Duration INITIAL_BACKLOG = Duration.ofSeconds(30);

  /** An accepted job without a successful response for this long at the end is a violation. */
  private static final Duration UNANSWERED_LIMIT = Duration.ofSeconds(20);

  private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(10);

  /** Time between the end of a controller process and its restart. */
  private static final Duration RESTART_DELAY = Duration.ofSeconds(3);

  private final ScaleSettings settings;
  private final Consumer<String> progress;
  private final RoleEventLoop storeRole = new RoleEventLoop("state");
  private final RoleEventLoop workerRole = new RoleEventLoop("workers");
  private final RoleEventLoop userRole = new RoleEventLoop("users");
  private final RuleChecker ruleChecker;
  private final TaskTimes taskTimes;
  private final EmulatedStore store;
  private final EmulatedFleet fleet;
  private final EmulatedUsers users;
  private final ControllerLauncher controllers;
  private final double memoryLimitMb;
  private final Duration createdAt = now();

  /**
   * @param cellIndex index of the cell, from which its addresses are derived
   * @param deployFile TOML file with the command line of a controller
   * @param folder directory for settings and logs of the controllers
   * @param memoryLimitMb the run is aborted when all its processes together use more than this
   * @param progress receives a line of text at regular intervals
   */
  public CellRun(
      ScaleSettings settings,
      int cellIndex,
      Path deployFile,
      Path folder,
      double memoryLimitMb,
      Consumer<String> progress)
      throws IOException, SettingsException {
    this.settings = settings;
    this.progress = progress;
    this.memoryLimitMb = memoryLimitMb;
    CellAddresses addresses = CellAddresses.of(cellIndex);
    this.ruleChecker = new RuleChecker(TeamLimits.of(settings));
    this.taskTimes = new TaskTimes(() -> Duration.ofNanos(System.nanoTime()));
    StoreLimits limits =
        new StoreLimits(
            settings.state().rps(), settings.state().writeRps(), StoreLimits.MAX_PAGE_SIZE);
    this.store = new EmulatedStore(storeRole.loop(), limits, () -> false);
    this.fleet = new EmulatedFleet(workerRole, settings, addresses, ruleChecker, taskTimes);
    this.users = new EmulatedUsers(userRole, settings, addresses, ruleChecker, taskTimes);
    this.controllers = new ControllerLauncher(settings, addresses, deployFile, folder);
    EmulatedCloud cloud =
        new EmulatedCloud(
            workerRole.loop(),
            fleet,
            kind -> settings.cloudOutage().affects(kind, now().minus(createdAt)));
    storeRole
        .server()
        .listen(
            addresses.state(),
            (method, path, body, reply) ->
                store.handle(
                    method,
                    path,
                    EmulatedFleet.decodeOrNull(body),
                    (status, map) -> reply.send(status, Cbor.encode(map))));
    workerRole
        .server()
        .listen(
            addresses.cloud(),
            (method, path, body, reply) ->
                cloud.handle(
                    path,
                    body.length == 0 ? Cbor.map() : EmulatedFleet.decodeOrNull(body),
                    (status, map) -> reply.send(status, Cbor.encode(map))));
  }

  /**
   * Runs the whole timeline.
   *
   * @throws IllegalStateException if the memory limit is exceeded or an emulated role fails
   */
  public ScaleResult run() throws IOException, InterruptedException {
    ScaleSettings.Timeline timeline = settings.timeline();
    Duration startedAt = now();
    controllers.startAll();
    workerRole.loop().execute(fleet::startAll);
    userRole.loop().execute(() -> users.start(INITIAL_BACKLOG));
    waitUntil(startedAt.plus(timeline.warmUp()));
    Duration warmUpEnd = now();
    taskTimes.setRecording(true);
    userRole.call(() -> setRecording(true));
    Sample before = sample();
    waitUntil(warmUpEnd.plus(timeline.measured()));
    Sample after = sample();
    double memoryMb = memoryMb();
    taskTimes.setRecording(false);
    userRole.call(() -> setRecording(false));
    injectFaults();
    userRole.loop().execute(users::stopSubmitting);
    waitUntil(now().plus(timeline.drain()));
    userRole.call(
        () -> {
          users.reportUnanswered(now().minus(UNANSWERED_LIMIT));
          return null;
        });
    ruleChecker.checkAtEnd();
    return result(before, after, warmUpEnd, memoryMb, now().minus(startedAt));
  }

  private Void setRecording(boolean on) {
    users.setRecording(on);
    return null;
  }

  private static Duration now() {
    return Duration.ofNanos(System.nanoTime());
  }

  private void waitUntil(Duration deadline) throws InterruptedException {
    while (now().compareTo(deadline) < 0) {
      Duration remaining = deadline.minus(now());
      Duration step = remaining.compareTo(PROGRESS_INTERVAL) < 0 ? remaining : PROGRESS_INTERVAL;
      Thread.sleep(Math.max(1, step.toMillis()));
      double memoryMb = memoryMb();
      progress.accept(
          String.format(
              "%d workers, %d tasks on workers, %d starts, %d rule violations, %.0f MB",
              fleet.aliveCount(),
              ruleChecker.runningTasks(),
              taskTimes.starts(),
              ruleChecker.violationCount(),
              memoryMb));
      if (memoryMb > memoryLimitMb) {
        throw new IllegalStateException(
            String.format(
                "memory limit exceeded: %.0f MB in use, %.0f MB allowed", memoryMb, memoryLimitMb));
      }
    }
  }

  private double memoryMb() {
    double sum = ProcessUsage.of(ProcessHandle.current().pid()).residentMb();
    for (int i = 0; i < controllers.size(); i++) {
      ProcessUsage usage = controllers.usage(i);
      sum += usage == null ? 0 : usage.residentMb();
    }
    return sum;
  }

  /** Kills a rack, restarts the controllers one by one, and then the planner once more. */
  private void injectFaults() throws IOException, InterruptedException {
    ScaleSettings.Faults faults = settings.faults();
    if (faults.duration().isZero()) {
      return;
    }
    Duration end = now().plus(faults.duration());
    workerRole.loop().execute(() -> fleet.killRack(faults.rackSize()));
    progress.accept("killed a rack of " + faults.rackSize() + " workers");
    for (int i = 0; i < controllers.size(); i++) {
      waitUntil(now().plus(faults.restartInterval()));
      restart(i);
    }
    waitUntil(now().plus(faults.restartInterval()));
    restart(plannerIndex());
    waitUntil(end);
  }

  private void restart(int controller) throws IOException, InterruptedException {
    progress.accept("controller " + controller + " is killed and restarted");
    controllers.kill(controller);
    Thread.sleep(RESTART_DELAY.toMillis());
    controllers.start(controller);
  }

  /** Index of the controller that has the autoscaler role and plans; 0 if no controller has it. */
  private int plannerIndex() throws InterruptedException {
    return storeRole.call(
        () -> {
          var fleetKey = store.value("ts/fleet");
          String label = fleetKey == null ? ReportSender.label(0) : fleetKey.path("label").asText();
          return Integer.parseInt(label.substring(label.indexOf('-') + 1));
        });
  }

  /** Values of all counters at one moment. */
  private record Sample(
      Duration takenAt,
      long starts,
      List<ProcessUsage> controllers,
      Duration storeCpuTime,
      Duration workerCpuTime,
      Duration userCpuTime,
      long requests,
      long writes,
      long rejected,
      Map<String, Long> writesByKind,
      TrafficCounters traffic) {}

  private Sample sample() throws InterruptedException {
    List<ProcessUsage> usages = new ArrayList<>();
    for (int i = 0; i < controllers.size(); i++) {
      usages.add(controllers.usage(i));
    }
    long[] counts =
        storeRole.call(() -> new long[] {store.requests(), store.writes(), store.rejected()});
    return new Sample(
        now(),
        taskTimes.starts(),
        usages,
        storeRole.cpuTime(),
        workerRole.cpuTime(),
        userRole.cpuTime(),
        counts[0],
        counts[1],
        counts[2],
        storeRole.call(store::writesByKind),
        workerRole.call(fleet::traffic));
  }

  private ScaleResult result(
      Sample before, Sample after, Duration warmUpEnd, double memoryMb, Duration duration)
      throws InterruptedException {
    double seconds = seconds(after.takenAt.minus(before.takenAt));
    int planner = plannerIndex();
    List<ClassResult> classes = new ArrayList<>();
    for (String name : WorkloadGenerator.CLASSES) {
      double startedShare = userRole.call(() -> users.startedShare(name, warmUpEnd));
      classes.add(
          new ClassResult(
              name, startedShare, taskTimes.waitMs(name, 50), taskTimes.waitMs(name, 99)));
    }
    return new ScaleResult(
        1,
        settings.workers(),
        settings.controllers(),
        seconds(duration),
        (after.starts - before.starts) / seconds,
        settings.startsPerSecond(),
        ruleChecker.runningTasks(),
        workerRole.call(fleet::aliveCount),
        workerRole.call(fleet::lostTaskCount),
        memoryMb,
        classes,
        userRole.call(
            () ->
                new Submissions(
                    users.submittedCount(),
                    users.acceptedMs(50),
                    users.acceptedMs(99),
                    users.rejectedCount())),
        roles(before, after, seconds, planner),
        storeResult(before, after, seconds),
        trafficPerWorker(before.traffic, after.traffic, seconds),
        workerRole.call(fleet::repeatedCommandCount),
        workerRole.call(fleet::restartCount),
        ruleChecker.violationCount(),
        ruleChecker.violations());
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  private List<RoleResult> roles(Sample before, Sample after, double seconds, int planner) {
    List<Integer> others = new ArrayList<>();
    for (int i = 0; i < controllers.size(); i++) {
      if (i != planner) {
        others.add(i);
      }
    }
    List<RoleResult> roles = new ArrayList<>();
    roles.add(controllerRole("planner", List.of(planner), before, after, seconds));
    roles.add(controllerRole("other controllers", others, before, after, seconds));
    roles.add(threadRole("state service", before.storeCpuTime, after.storeCpuTime, seconds));
    roles.add(threadRole("workers and cloud", before.workerCpuTime, after.workerCpuTime, seconds));
    roles.add(threadRole("users", before.userCpuTime, after.userCpuTime, seconds));
    return roles;
  }

  private static RoleResult controllerRole(
      String name, List<Integer> members, Sample before, Sample after, double seconds) {
    double cores = 0;
    double memoryMb = 0;
    double inKb = 0;
    double outKb = 0;
    int measured = 0;
    for (int member : members) {
      ProcessUsage start = before.controllers.get(member);
      ProcessUsage end = after.controllers.get(member);
      if (start != null && end != null) {
        measured++;
        cores += seconds(end.cpuTime().minus(start.cpuTime())) / seconds;
        memoryMb += end.residentMb();
        inKb += (end.readBytes() - start.readBytes()) / 1024.0 / seconds;
        outKb += (end.writtenBytes() - start.writtenBytes()) / 1024.0 / seconds;
      }
    }
    int divisor = Math.max(1, measured);
    return new RoleResult(
        name, measured, cores / divisor, memoryMb / divisor, inKb / divisor, outKb / divisor);
  }

  private static RoleResult threadRole(
      String name, Duration before, Duration after, double seconds) {
    return new RoleResult(name, 1, seconds(after.minus(before)) / seconds, 0, 0, 0);
  }

  private StoreResult storeResult(Sample before, Sample after, double seconds)
      throws InterruptedException {
    double[] size =
        storeRole.call(
            () -> {
              double bytes = 0;
              var values = store.values("");
              for (var value : values.values()) {
                bytes += Cbor.jsonSize(value);
              }
              return new double[] {values.size(), bytes / 1024};
            });
    return new StoreResult(
        (long) size[0],
        size[1],
        (after.requests - before.requests) / seconds,
        (after.writes - before.writes) / seconds,
        (after.rejected - before.rejected) / seconds,
        rates(before.writesByKind, after.writesByKind, seconds));
  }

  private static Map<String, Double> rates(
      Map<String, Long> before, Map<String, Long> after, double seconds) {
    Map<String, Double> rates = new TreeMap<>();
    after.forEach(
        (kind, count) -> rates.put(kind, (count - before.getOrDefault(kind, 0L)) / seconds));
    return rates;
  }

  private WorkerTraffic trafficPerWorker(
      TrafficCounters before, TrafficCounters after, double seconds) {
    double workerSeconds = seconds * settings.workers();
    double bytes =
        after.reportBytes - before.reportBytes + after.commandBytes - before.commandBytes;
    return new WorkerTraffic(
        (after.reports - before.reports) / workerSeconds,
        (after.commands - before.commands) / workerSeconds,
        bytes / workerSeconds);
  }

  /** Ends all controller processes and threads of the cell. */
  @Override
  public void close() {
    controllers.stopAll();
    userRole.stop();
    workerRole.stop();
    storeRole.stop();
  }
}
