package io.tansystack.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.wire.Addresses;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.TaskId;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * All emulated workers of a cell, and the machines that its cloud can rent. Confined to the event
 * loop of its role.
 */
final class EmulatedFleet implements WorkerEnvironment, EmulatedCloud.MachineProvider {
  /** Largest relative deviation of a task's run time from its owner's estimate, either way. */
  private static final double ESTIMATE_ERROR = 0.4;

  private static final Duration SERVICE_RUN_TIME = Duration.ofDays(1);

  /** Share of machines with accelerators: 30,000 accelerators on 16,000 workers, 8 per machine. */
  private static final double ACCELERATED_SHARE = 30_000.0 / 8 / 16_000;

  private static final double FETCH_GB_PER_S = 0.5;
  private static final double CACHE_GB = 60;

  private record Offering(String type, String zone) {}

  private final RoleEventLoop role;
  private final ScaleSettings settings;
  private final CellAddresses addresses;
  private final RuleChecker ruleChecker;
  private final TaskTimes taskTimes;
  private final Random random;
  private final CommandRepeater repeater;
  private final EmulatedGangs gangs = new EmulatedGangs(this);
  private final List<MachineType> types;
  private final Map<String, ReportSender> senders = new LinkedHashMap<>();
  private final Map<String, EmulatedWorker> rented = new LinkedHashMap<>();

  /** Number of machines that can be rented: those that were deleted and not rented again. */
  private final Map<Offering, Integer> available = new HashMap<>();

  /** Time at which each image is, or was, completely fetched, by worker and image. */
  private final Map<EmulatedWorker, Map<String, Duration>> imageReadyAt = new HashMap<>();
  private final Set<TaskId> completed = new HashSet<>();
  private final TrafficCounters traffic = new TrafficCounters();
  private int machineCount;
  private int restartCount;

  EmulatedFleet(
      RoleEventLoop role,
      ScaleSettings settings,
      CellAddresses addresses,
      RuleChecker ruleChecker,
      TaskTimes taskTimes) {
    this.role = role;
    this.settings = settings;
    this.addresses = addresses;
    this.ruleChecker = ruleChecker;
    this.taskTimes = taskTimes;
    this.random = new Random(settings.seed());
    this.repeater =
        new CommandRepeater(role.loop(), settings.repeatedCommands(), ruleChecker, random);
    List<String> zones = zones(settings);
    double bootS = settings.cloud().bootTime().toMillis() / 1000.0;
    this.types =
        List.of(
            new MachineType(
                "standard", 12, 0, 64, CACHE_GB, FETCH_GB_PER_S, 0.6, 0.6, bootS, zones),
            new MachineType(
                "accelerated", 64, 8, 512, CACHE_GB, FETCH_GB_PER_S, 12, 12, bootS, zones));
  }

  static List<String> zones(ScaleSettings settings) {
    List<String> zones = new ArrayList<>();
    for (int i = 0; i < settings.zones(); i++) {
      zones.add(String.valueOf((char) ('a' + i)));
    }
    return zones;
  }

  /** Starts all machines, spread evenly over the zones; first reports are spread in time. */
  void startAll() {
    List<String> zones = zones(settings);
    int accelerated = (int) Math.round(settings.workers() * ACCELERATED_SHARE);
    for (int i = 0; i < settings.workers(); i++) {
      MachineType type = types.get(i < accelerated ? 1 : 0);
      EmulatedWorker worker = addWorker(type, zones.get(i % zones.size()));
      senders.get(worker.name()).startIn(randomDelay(settings.workerTimes().reportInterval()));
    }
    if (!settings.machineRestarts().interval().isZero()) {
      role.loop().after(settings.machineRestarts().interval(), this::restartRandomMachine);
    }
  }

  private void restartRandomMachine() {
    ScaleSettings.MachineRestarts restarts = settings.machineRestarts();
    role.loop().after(restarts.interval(), this::restartRandomMachine);
    List<String> alive = List.copyOf(senders.keySet());
    if (alive.isEmpty()) {
      return;
    }
    String name = alive.get(random.nextInt(alive.size()));
    Duration downTime =
        restarts.minDown().plus(randomDelay(restarts.maxDown().minus(restarts.minDown())));
    rented.get(name).restart(downTime);
    senders.get(name).onRestart(downTime);
    restartCount++;
  }

  /** Number of restarts of machines in place. */
  int restartCount() {
    return restartCount;
  }

  private Duration randomDelay(Duration span) {
    return Duration.ofNanos((long) (random.nextDouble() * span.toNanos()));
  }

  private EmulatedWorker addWorker(MachineType type, String zone) {
    int number = machineCount++;
    String name = String.format("n-%06d", number);
    var address = addresses.worker(number);
    EmulatedWorker worker =
        new EmulatedWorker(
            this, gangs, name, CellAddresses.hostAndPort(address), type, zone, false,
            settings.workerTimes().lease());
    int first = random.nextInt(settings.controllers());
    senders.put(
        name, new ReportSender(worker, role, settings, addresses, traffic, random, first));
    rented.put(name, worker);
    try {
      role.server()
          .listen(address, (method, path, body, reply) -> serve(worker, path, body, reply));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on the address of worker " + name, e);
    }
    return worker;
  }

  private void serve(EmulatedWorker worker, String path, byte[] body, Reply reply) {
    if (worker.isRestarting()) {
      return; // The caller gets no response.
    }
    int status = 200;
    if (path.equals("/orders")) {
      traffic.commands++;
      traffic.commandBytes += body.length + TrafficCounters.REQUEST_HEADER_BYTES;
      ObjectNode commands = decodeOrNull(body);
      status = commands == null ? 400 : worker.handleCommands(commands);
      if (status == 200) {
        repeater.onExecuted(worker, commands);
      }
    }
    byte[] response = Cbor.encode(worker.report().write());
    traffic.commandBytes += response.length + TrafficCounters.RESPONSE_HEADER_BYTES;
    reply.send(status, response);
  }

  /** The decoded map; null if the body is malformed. */
  static ObjectNode decodeOrNull(byte[] body) {
    try {
      return Cbor.decodeMap(body);
    } catch (InvalidMessageException e) {
      return null;
    }
  }

  /** Kills {@code count} machines of the first zone at once. */
  void killRack(int count) {
    String zone = zones(settings).get(0);
    List<EmulatedWorker> rack =
        rented.values().stream()
            .filter(w -> !w.isDead() && w.zone().equals(zone))
            .limit(count)
            .toList();
    rack.forEach(this::stopWorker);
  }

  private void stopWorker(EmulatedWorker worker) {
    worker.markDead();
    ReportSender sender = senders.remove(worker.name());
    if (sender != null) {
      sender.stop();
    }
    imageReadyAt.remove(worker);
    closeAddress(worker);
  }

  private void closeAddress(EmulatedWorker worker) {
    try {
      role.server().close(Addresses.parse(worker.address()));
    } catch (InvalidMessageException e) {
      throw new IllegalStateException("malformed address of an emulated worker", e);
    }
  }

  /** A copy of the traffic counters of all workers together. */
  TrafficCounters traffic() {
    return traffic.copy();
  }

  /** Number of copies of executed commands that workers have received. */
  int repeatedCommandCount() {
    return repeater.repeatedCount();
  }

  /** Number of workers that have not been killed or deleted. */
  int aliveCount() {
    return senders.size();
  }

  /** Number of tasks that were killed because their worker's lease had expired. */
  int lostTaskCount() {
    return rented.values().stream().mapToInt(EmulatedWorker::lostTaskCount).sum();
  }

  @Override
  public List<MachineType> types() {
    return types;
  }

  @Override
  public String rent(MachineType type, String zone, boolean spot) {
    Offering offering = new Offering(type.name(), zone);
    if (spot || available.getOrDefault(offering, 0) <= 0) {
      return null;
    }
    available.merge(offering, -1, Integer::sum);
    EmulatedWorker worker = addWorker(type, zone);
    senders.get(worker.name()).startIn(settings.cloud().bootTime());
    return worker.name();
  }

  @Override
  public void delete(String name) {
    EmulatedWorker worker = rented.remove(name);
    if (worker == null) {
      return;
    }
    available.merge(new Offering(worker.type().name(), worker.zone()), 1, Integer::sum);
    stopWorker(worker);
  }

  @Override
  public Collection<EmulatedWorker> rented() {
    return rented.values();
  }

  @Override
  public Duration listLag() {
    return settings.cloud().listLag();
  }

  @Override
  public Duration bootTime(EmulatedWorker machine) {
    return settings.cloud().bootTime();
  }

  @Override
  public EventLoop loop() {
    return role.loop();
  }

  @Override
  public JobSpec jobSpec(String job) {
    return ruleChecker.jobSpec(job);
  }

  /** Fetches are serialized per worker; an image that is there or in flight isn't fetched again. */
  @Override
  public Duration fetchTime(EmulatedWorker worker, String job) {
    JobSpec spec = ruleChecker.jobSpec(job);
    Map<String, Duration> ready = imageReadyAt.computeIfAbsent(worker, k -> new HashMap<>());
    Duration now = loop().now();
    Duration readyAt = ready.get(spec.image());
    if (readyAt == null) {
      Duration previousDone = ready.values().stream().max(Duration::compareTo).orElse(now);
      Duration start = previousDone.compareTo(now) > 0 ? previousDone : now;
      readyAt = start.plusMillis((long) (spec.imageGb() / FETCH_GB_PER_S * 1000));
      ready.put(spec.image(), readyAt);
    }
    Duration wait = readyAt.minus(now);
    return wait.isNegative() ? Duration.ZERO : wait;
  }

  @Override
  public Duration runTime(TaskId task) {
    JobSpec spec = ruleChecker.jobSpec(task.job());
    if (spec.estimateS() <= 0) {
      return SERVICE_RUN_TIME;
    }
    double factor = 1 - ESTIMATE_ERROR + 2 * ESTIMATE_ERROR * random.nextDouble();
    double seconds = spec.estimateS() * factor * settings.runTimeFactor();
    return Duration.ofMillis((long) (seconds * 1000));
  }

  @Override
  public Duration saveTime() {
    return Duration.ofSeconds(1);
  }

  @Override
  public Duration gangWait() {
    return settings.workerTimes().gangWait();
  }

  @Override
  public Duration gangPeerTimeout() {
    return settings.workerTimes().gangPeerTimeout();
  }

  @Override
  public int gangSize(String job) {
    JobSpec spec = ruleChecker.jobSpec(job);
    return spec.kind() == JobKind.GANG ? spec.tasks() : 0;
  }

  @Override
  public boolean hasCompleted(TaskId task) {
    return completed.contains(task);
  }

  @Override
  public void onStarted(EmulatedWorker worker, TaskId task) {
    ruleChecker.taskStarted(worker.name(), task);
    taskTimes.taskStarted(ruleChecker.jobSpec(task.job()), task);
  }

  @Override
  public void onEnded(EmulatedWorker worker, TaskId task) {
    ruleChecker.taskEnded(worker.name(), task);
  }

  @Override
  public void onCompleted(TaskId task) {
    completed.add(task);
  }

  @Override
  public void onChanged(EmulatedWorker worker) {
    ReportSender sender = senders.get(worker.name());
    if (sender != null) {
      sender.onChanged();
    }
  }
}
