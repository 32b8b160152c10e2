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

/** All hollow workers of a cell and the machines that its cloud can rent; owned by one loop. */
final class EmulatedFleet implements WorkerEnvironment, EmulatedCloud.MachineProvider {
  /** Tasks run between so much shorter and so much longer than their owner's estimate. */
  private static final double ESTIMATE_ERROR = 0.4;

  private static final Duration SERVICE_RUNS = Duration.ofDays(1);

  /** A part of the machines has accelerators: 30,000 on 16,000 workers, eight to a machine. */
  private static final double ACCELERATED = 30_000.0 / 8 / 16_000;

  private static final double FETCH_GB_PER_S = 0.5;
  private static final double CACHE_GB = 60;

  private record Kind(String type, String zone) {}

  private final RoleEventLoop role;
  private final ScaleSettings settings;
  private final CellAddresses addresses;
  private final RuleChecker judge;
  private final TaskTimes times;
  private final Random random;
  private final EmulatedGangs gangs = new EmulatedGangs(this);
  private final List<MachineType> types;
  private final Map<String, ReportSender> workers = new LinkedHashMap<>();
  private final Map<String, EmulatedWorker> rented = new LinkedHashMap<>();
  private final Map<Kind, Integer> left = new HashMap<>();
  private final Map<EmulatedWorker, Map<String, Duration>> imagesReady = new HashMap<>();
  private final Set<TaskId> completed = new HashSet<>();
  private final TrafficCounters traffic = new TrafficCounters();
  private int made;

  EmulatedFleet(
      RoleEventLoop role,
      ScaleSettings settings,
      CellAddresses addresses,
      RuleChecker judge,
      TaskTimes times) {
    this.role = role;
    this.settings = settings;
    this.addresses = addresses;
    this.judge = judge;
    this.times = times;
    this.random = new Random(settings.seed());
    List<String> zones = zones(settings);
    double bootS = settings.cloud().boot().toMillis() / 1000.0;
    this.types =
        List.of(
            new MachineType("standard", 12, 0, 64, CACHE_GB, FETCH_GB_PER_S, 0.6, 0.6, bootS, zones),
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

  /** All machines are up at the start, spread over the zones. */
  void startAll() {
    List<String> zones = zones(settings);
    int accelerated = (int) Math.round(settings.workers() * ACCELERATED);
    for (int i = 0; i < settings.workers(); i++) {
      MachineType type = types.get(i < accelerated ? 1 : 0);
      EmulatedWorker worker = add(type, zones.get(i % zones.size()));
      workers.get(worker.name()).startIn(within(settings.workerTimes().report()));
    }
  }

  private Duration within(Duration span) {
    return Duration.ofNanos((long) (random.nextDouble() * span.toNanos()));
  }

  private EmulatedWorker add(MachineType type, String zone) {
    int number = made++;
    String name = String.format("n-%06d", number);
    var address = addresses.worker(number);
    EmulatedWorker worker =
        new EmulatedWorker(
            this, gangs, name, CellAddresses.text(address), type, zone, false,
            settings.workerTimes().lease());
    int first = random.nextInt(settings.controllers());
    workers.put(
        name, new ReportSender(worker, role, settings, addresses, traffic, random, first));
    rented.put(name, worker);
    try {
      role.server().listen(address, (method, path, body, reply) -> serve(worker, path, body, reply));
    } catch (IOException e) {
      throw new UncheckedIOException("no address for worker " + name, e);
    }
    return worker;
  }

  private void serve(EmulatedWorker worker, String path, byte[] body, Reply reply) {
    int status = 200;
    if (path.equals("/orders")) {
      traffic.commands++;
      traffic.commandBytes += body.length + TrafficCounters.REQUEST_HEADER_BYTES;
      ObjectNode commands = decode(body);
      status = commands == null ? 400 : worker.commands(commands);
    }
    byte[] answer = Cbor.encode(worker.report().write());
    traffic.commandBytes += answer.length + TrafficCounters.ANSWER_HEADER_BYTES;
    reply.send(status, answer);
  }

  static ObjectNode decode(byte[] body) {
    try {
      return Cbor.decodeMap(body);
    } catch (InvalidMessageException e) {
      return null;
    }
  }

  /** So many machines of one zone die at once. */
  void killRack(int count) {
    String zone = zones(settings).get(0);
    List<EmulatedWorker> rack =
        rented.values().stream().filter(w -> !w.isDead() && w.zone().equals(zone)).limit(count).toList();
    rack.forEach(this::stop);
  }

  private void stop(EmulatedWorker worker) {
    worker.die();
    ReportSender hollow = workers.remove(worker.name());
    if (hollow != null) {
      hollow.stop();
    }
    imagesReady.remove(worker);
    closeAddress(worker);
  }

  private void closeAddress(EmulatedWorker worker) {
    try {
      role.server().close(Addresses.parse(worker.address()));
    } catch (InvalidMessageException e) {
      throw new IllegalStateException("an address of our own making is well formed", e);
    }
  }

  TrafficCounters traffic() {
    return traffic.copy();
  }

  int alive() {
    return workers.size();
  }

  /** Tasks that were killed since their worker's lease had run out. */
  int lostTasks() {
    return rented.values().stream().mapToInt(EmulatedWorker::lostTasks).sum();
  }

  @Override
  public List<MachineType> types() {
    return types;
  }

  @Override
  public String rent(MachineType type, String zone, boolean spot) {
    Kind kind = new Kind(type.name(), zone);
    if (spot || left.getOrDefault(kind, 0) <= 0) {
      return null;
    }
    left.merge(kind, -1, Integer::sum);
    EmulatedWorker worker = add(type, zone);
    workers.get(worker.name()).startIn(settings.cloud().boot());
    return worker.name();
  }

  @Override
  public void delete(String name) {
    EmulatedWorker worker = rented.remove(name);
    if (worker == null) {
      return;
    }
    left.merge(new Kind(worker.type().name(), worker.zone()), 1, Integer::sum);
    stop(worker);
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
    return settings.cloud().boot();
  }

  @Override
  public EventLoop loop() {
    return role.loop();
  }

  @Override
  public JobSpec description(String job) {
    return judge.job(job);
  }

  /** One fetch after the other; what is there or on its way is not fetched again. */
  @Override
  public Duration fetchTime(EmulatedWorker worker, String job) {
    JobSpec spec = judge.job(job);
    Map<String, Duration> ready = imagesReady.computeIfAbsent(worker, k -> new HashMap<>());
    Duration now = loop().now();
    Duration at = ready.get(spec.image());
    if (at == null) {
      Duration free = ready.values().stream().max(Duration::compareTo).orElse(now);
      Duration from = free.compareTo(now) > 0 ? free : now;
      at = from.plusMillis((long) (spec.imageGb() / FETCH_GB_PER_S * 1000));
      ready.put(spec.image(), at);
    }
    Duration wait = at.minus(now);
    return wait.isNegative() ? Duration.ZERO : wait;
  }

  @Override
  public Duration runTime(TaskId task) {
    JobSpec spec = judge.job(task.job());
    if (spec.estimateS() <= 0) {
      return SERVICE_RUNS;
    }
    double factor = 1 - ESTIMATE_ERROR + 2 * ESTIMATE_ERROR * random.nextDouble();
    return Duration.ofMillis((long) (spec.estimateS() * factor * 1000));
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
    return settings.workerTimes().gangPeer();
  }

  @Override
  public int gangSize(String job) {
    JobSpec spec = judge.job(job);
    return spec.kind() == JobKind.GANG ? spec.tasks() : 0;
  }

  @Override
  public boolean hasCompleted(TaskId task) {
    return completed.contains(task);
  }

  @Override
  public void began(EmulatedWorker worker, TaskId task) {
    judge.began(worker.name(), task);
    times.began(judge.job(task.job()), task);
  }

  @Override
  public void ended(EmulatedWorker worker, TaskId task) {
    judge.ended(worker.name(), task);
  }

  @Override
  public void completed(TaskId task) {
    completed.add(task);
  }

  @Override
  public void changed(EmulatedWorker worker) {
    ReportSender hollow = workers.get(worker.name());
    if (hollow != null) {
      hollow.changed();
    }
  }
}
