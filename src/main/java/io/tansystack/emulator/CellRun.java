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
 * One cell of a scale run: real controllers, and emulators of all that is around them in this
 * process. Bounded in time; whatever happens, the processes that it started are ended.
 */
public final class CellRun implements AutoCloseable {
  /** Work that comes in so much time at the usual rate is there at the beginning. */
  private static final Duration HEAD = Duration.ofSeconds(30);

  /** A job that has had no answer for so long at the end is forgotten. */
  private static final Duration UNANSWERED = Duration.ofSeconds(20);

  private static final Duration PROGRESS_EVERY = Duration.ofSeconds(10);

  /** A controller is back so long after its end. */
  private static final Duration RESTART_AFTER = Duration.ofSeconds(3);

  private final ScaleSettings settings;
  private final Consumer<String> progress;
  private final RoleEventLoop storeRole = new RoleEventLoop("state");
  private final RoleEventLoop workerRole = new RoleEventLoop("workers");
  private final RoleEventLoop userRole = new RoleEventLoop("users");
  private final RuleChecker judge;
  private final TaskTimes times;
  private final EmulatedStore store;
  private final EmulatedFleet fleet;
  private final EmulatedUsers users;
  private final ControllerLauncher controllers;
  private final double memoryLimitMb;

  /**
   * @param cell its number, which its addresses follow
   * @param folder for settings and logs of its controllers
   * @param memoryLimitMb the run ends where all its processes together need more
   * @param progress told a line from time to time
   */
  public CellRun(
      ScaleSettings settings,
      int cell,
      Path deployFile,
      Path folder,
      double memoryLimitMb,
      Consumer<String> progress)
      throws IOException, SettingsException {
    this.settings = settings;
    this.progress = progress;
    this.memoryLimitMb = memoryLimitMb;
    CellAddresses addresses = CellAddresses.of(cell);
    this.judge = new RuleChecker(TeamLimits.of(settings));
    this.times = new TaskTimes(() -> Duration.ofNanos(System.nanoTime()));
    StoreLimits limits =
        new StoreLimits(
            settings.state().rps(), settings.state().writeRps(), StoreLimits.MAX_PAGE);
    this.store = new EmulatedStore(storeRole.loop(), limits, () -> false);
    this.fleet = new EmulatedFleet(workerRole, settings, addresses, judge, times);
    this.users = new EmulatedUsers(userRole, settings, addresses, judge, times);
    this.controllers = new ControllerLauncher(settings, addresses, deployFile, folder);
    EmulatedCloud cloud = new EmulatedCloud(workerRole.loop(), fleet);
    storeRole
        .server()
        .listen(
            addresses.state(),
            (method, path, body, reply) ->
                store.handle(
                    method,
                    path,
                    EmulatedFleet.decode(body),
                    (status, map) -> reply.send(status, Cbor.encode(map))));
    workerRole
        .server()
        .listen(
            addresses.cloud(),
            (method, path, body, reply) ->
                cloud.handle(
                    path,
                    body.length == 0 ? Cbor.map() : EmulatedFleet.decode(body),
                    (status, map) -> reply.send(status, Cbor.encode(map))));
  }

  /** Plays the whole timeline. */
  public ScaleResult run() throws IOException, InterruptedException {
    ScaleSettings.Timeline timeline = settings.timeline();
    Duration began = now();
    controllers.startAll();
    workerRole.loop().execute(fleet::startAll);
    userRole.loop().execute(() -> users.start(HEAD));
    waitUntil(began.plus(timeline.warmUp()));
    Duration warm = now();
    times.record(true);
    userRole.ask(() -> record(true));
    Sample before = sample();
    waitUntil(warm.plus(timeline.measured()));
    Sample after = sample();
    double memoryMb = memoryMb();
    times.record(false);
    userRole.ask(() -> record(false));
    faults();
    userRole.loop().execute(users::stopSubmitting);
    waitUntil(now().plus(timeline.drain()));
    userRole.ask(
        () -> {
          users.judgeUnanswered(now().minus(UNANSWERED));
          return null;
        });
    judge.atTheEnd();
    return result(before, after, warm, memoryMb, now().minus(began));
  }

  private Void record(boolean on) {
    users.record(on);
    return null;
  }

  private static Duration now() {
    return Duration.ofNanos(System.nanoTime());
  }

  private void waitUntil(Duration at) throws InterruptedException {
    while (now().compareTo(at) < 0) {
      Duration left = at.minus(now());
      Duration step = left.compareTo(PROGRESS_EVERY) < 0 ? left : PROGRESS_EVERY;
      Thread.sleep(Math.max(1, step.toMillis()));
      double memoryMb = memoryMb();
      progress.accept(
          String.format(
              "%d workers, %d tasks on them, %d starts, %d rules broken, %.0f MB",
              fleet.alive(), judge.running(), times.starts(), judge.brokenCount(), memoryMb));
      if (memoryMb > memoryLimitMb) {
        throw new IllegalStateException(
            String.format("%.0f MB are in use, %.0f are allowed", memoryMb, memoryLimitMb));
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

  /** A rack dies, the controllers are restarted one by one, and the planner's ends once more. */
  private void faults() throws IOException, InterruptedException {
    ScaleSettings.Faults faults = settings.faults();
    if (faults.lasts().isZero()) {
      return;
    }
    Duration until = now().plus(faults.lasts());
    workerRole.loop().execute(() -> fleet.killRack(faults.rack()));
    progress.accept("a rack of " + faults.rack() + " workers has died");
    for (int i = 0; i < controllers.size(); i++) {
      waitUntil(now().plus(faults.restartEvery()));
      restart(i);
    }
    waitUntil(now().plus(faults.restartEvery()));
    restart(planner());
    waitUntil(until);
  }

  private void restart(int controller) throws IOException, InterruptedException {
    progress.accept("controller " + controller + " ends and comes back");
    controllers.kill(controller);
    Thread.sleep(RESTART_AFTER.toMillis());
    controllers.start(controller);
  }

  /** The controller that deals with the cloud and plans; the first where nobody does. */
  private int planner() throws InterruptedException {
    return storeRole.ask(
        () -> {
          var fleetKey = store.value("ts/fleet");
          String label = fleetKey == null ? ReportSender.label(0) : fleetKey.path("label").asText();
          return Integer.parseInt(label.substring(label.indexOf('-') + 1));
        });
  }

  /** All counters at one moment. */
  private record Sample(
      Duration at,
      long starts,
      List<ProcessUsage> controllers,
      Duration storeTime,
      Duration workerTime,
      Duration userTime,
      long requests,
      long writes,
      long refused,
      Map<String, Long> writesByKind,
      TrafficCounters traffic) {}

  private Sample sample() throws InterruptedException {
    List<ProcessUsage> usages = new ArrayList<>();
    for (int i = 0; i < controllers.size(); i++) {
      usages.add(controllers.usage(i));
    }
    long[] counts = storeRole.ask(() -> new long[] {store.requests(), store.writes(), store.refused()});
    return new Sample(
        now(),
        times.starts(),
        usages,
        storeRole.processorTime(),
        workerRole.processorTime(),
        userRole.processorTime(),
        counts[0],
        counts[1],
        counts[2],
        storeRole.ask(store::writesByKind),
        workerRole.ask(fleet::traffic));
  }

  private ScaleResult result(
      Sample before, Sample after, Duration warm, double memoryMb, Duration took)
      throws InterruptedException {
    double seconds = seconds(after.at.minus(before.at));
    int planner = planner();
    List<ClassResult> classes = new ArrayList<>();
    for (String name : WorkloadGenerator.CLASSES) {
      double begun = userRole.ask(() -> users.begun(name, warm));
      classes.add(new ClassResult(name, begun, times.waitMs(name, 50), times.waitMs(name, 99)));
    }
    return new ScaleResult(
        1,
        settings.workers(),
        settings.controllers(),
        seconds(took),
        (after.starts - before.starts) / seconds,
        settings.startsPerSecond(),
        judge.running(),
        workerRole.ask(fleet::alive),
        workerRole.ask(fleet::lostTasks),
        memoryMb,
        classes,
        userRole.ask(
            () ->
                new Submissions(
                    users.submitted(), users.acceptedMs(50), users.acceptedMs(99), users.refused())),
        roles(before, after, seconds, planner),
        storeResult(before, after, seconds),
        traffic(before.traffic, after.traffic, seconds),
        judge.brokenCount(),
        judge.broken());
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  private List<RoleResult> roles(Sample before, Sample after, double seconds, int planner) {
    List<Integer> owners = new ArrayList<>();
    for (int i = 0; i < controllers.size(); i++) {
      if (i != planner) {
        owners.add(i);
      }
    }
    List<RoleResult> roles = new ArrayList<>();
    roles.add(controllerRole("planner", List.of(planner), before, after, seconds));
    roles.add(controllerRole("other controllers", owners, before, after, seconds));
    roles.add(threadRole("state service", before.storeTime, after.storeTime, seconds));
    roles.add(threadRole("workers and cloud", before.workerTime, after.workerTime, seconds));
    roles.add(threadRole("users", before.userTime, after.userTime, seconds));
    return roles;
  }

  private static RoleResult controllerRole(
      String name, List<Integer> members, Sample before, Sample after, double seconds) {
    double cores = 0;
    double memoryMb = 0;
    double in = 0;
    double out = 0;
    int counted = 0;
    for (int member : members) {
      ProcessUsage from = before.controllers.get(member);
      ProcessUsage to = after.controllers.get(member);
      if (from != null && to != null) {
        counted++;
        cores += seconds(to.processor().minus(from.processor())) / seconds;
        memoryMb += to.residentMb();
        in += (to.readBytes() - from.readBytes()) / 1024.0 / seconds;
        out += (to.writtenBytes() - from.writtenBytes()) / 1024.0 / seconds;
      }
    }
    int of = Math.max(1, counted);
    return new RoleResult(name, counted, cores / of, memoryMb / of, in / of, out / of);
  }

  private static RoleResult threadRole(
      String name, Duration before, Duration after, double seconds) {
    return new RoleResult(name, 1, seconds(after.minus(before)) / seconds, 0, 0, 0);
  }

  private StoreResult storeResult(Sample before, Sample after, double seconds)
      throws InterruptedException {
    double[] size =
        storeRole.ask(
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
        (after.refused - before.refused) / seconds,
        rates(before.writesByKind, after.writesByKind, seconds));
  }

  private static Map<String, Double> rates(
      Map<String, Long> before, Map<String, Long> after, double seconds) {
    Map<String, Double> rates = new TreeMap<>();
    after.forEach(
        (kind, count) -> rates.put(kind, (count - before.getOrDefault(kind, 0L)) / seconds));
    return rates;
  }

  private WorkerTraffic traffic(TrafficCounters before, TrafficCounters after, double seconds) {
    double of = seconds * settings.workers();
    double bytes =
        after.reportBytes - before.reportBytes + after.commandBytes - before.commandBytes;
    return new WorkerTraffic(
        (after.reports - before.reports) / of,
        (after.commands - before.commands) / of,
        bytes / of);
  }

  /** Ends all processes and threads of the cell. */
  @Override
  public void close() {
    controllers.stop();
    userRole.stop();
    workerRole.stop();
    storeRole.stop();
  }
}
