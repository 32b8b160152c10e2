package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Sets;
import io.tansystack.cli.Controller;
import io.tansystack.emulator.EmulatedCloud.MachineProvider;
import io.tansystack.emulator.EmulatedCloud;
import io.tansystack.emulator.EmulatedGangs;
import io.tansystack.emulator.EmulatedStore;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.emulator.StoreLimits;
import io.tansystack.emulator.WorkerEnvironment;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.SettingsTest;
import io.tansystack.sim.RequestRepeater.Receiver;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.TaskId;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Runs complete controllers against emulations of the state service, the cloud and workers in
 * simulated time. The simulated network between them loses responses and delays requests by up to
 * minutes; controllers may be killed at any moment.
 */
abstract class SimNetwork extends SimFaults implements WorkerEnvironment, MachineProvider {
  static final InetSocketAddress STORE = new InetSocketAddress("127.0.0.1", 2379);
  static final InetSocketAddress CLOUD = new InetSocketAddress("127.0.0.1", 8443);

  final SimEventLoop loop = new SimEventLoop();
  final EmulatedStore store = new EmulatedStore(loop, StoreLimits.unlimited(), () -> this.outage);
  final Map<String, EmulatedWorker> workers = new LinkedHashMap<>();
  final Map<Integer, Controller> controllers = new HashMap<>();
  final Map<Integer, SimEventLoop.ProcessLoop> processes = new HashMap<>();
  final List<String> startedTasks = new ArrayList<>();
  final Set<String> violations = new HashSet<>();
  Random random = new Random(1);

  /** Copies of requests that were executed and answered; inactive unless a test configures it. */
  final RequestRepeater repeater = new RequestRepeater(this);

  int controllerCount = 1;

  /** The platform's settings; label, zone, addresses and size are replaced for each controller. */
  String settings = SettingsTest.VALID;

  final EmulatedCloud cloud = new EmulatedCloud(loop, this, cloudOutage::contains);
  final EmulatedGangs gangs = new EmulatedGangs(this);

  /** The number of tasks of each gang job, by job ID. */
  final Map<String, Integer> gangSizes = new HashMap<>();

  /** The index of the controller to which each worker reports; 0 if absent. */
  private final Map<EmulatedWorker, Integer> targets = new HashMap<>();

  /** Zones in which machines can be rented; see {@link #controllersInAllZones} for controllers. */
  List<String> zones = List.of("a");

  /** Whether controllers are assigned to the zones in turn; otherwise all are in zone "a". */
  boolean controllersInAllZones;

  /** How long a task runs, its image takes to fetch, and the task saves when it is stopped. */
  Duration taskRunTime = Duration.ofSeconds(20);
  Duration imageFetchTime = Duration.ZERO;
  Duration taskSaveTime = Duration.ZERO;

  /** How long after its rental a machine sends its first report. */
  Duration boot = Duration.ofSeconds(5);

  /** A machine type that the cloud offers in all zones. */
  record SimType(String name, double cpus, double gpus, double memGb) {}

  List<SimType> types = List.of(new SimType("small", 4, 0, 16));

  private static final double CACHE_GB = 50;
  private static final double FETCH_GB_PER_S = 1;
  private static final double BOOT_S = 5;

  MachineType machineType(SimType type) {
    return new MachineType(
        type.name, type.cpus, type.gpus, type.memGb, CACHE_GB, FETCH_GB_PER_S,
        1.0 + type.gpus, 0.3 + type.gpus, BOOT_S, zones);
  }

  @Override
  public List<MachineType> types() {
    return types.stream().map(this::machineType).toList();
  }

  @Override
  public String rent(MachineType type, String zone, boolean spot) {
    if (workers.size() >= maxMachines || fullZones.contains(zone)) {
      return null;
    }
    SimType wantedType =
        types.stream().filter(t -> t.name.equals(type.name())).findFirst().orElseThrow();
    return addWorker(wantedType, zone, spot);
  }

  @Override
  public void delete(String name) {
    EmulatedWorker worker = workers.remove(name);
    if (worker != null) {
      worker.markDead();
    }
  }

  @Override
  public Collection<EmulatedWorker> rented() {
    return workers.values();
  }

  @Override
  public Duration listLag() {
    return listLag;
  }

  @Override
  public Duration bootTime(EmulatedWorker machine) {
    return Duration.ZERO;
  }

  @Override
  public EventLoop loop() {
    return loop;
  }

  @Override
  public JobSpec jobSpec(String job) {
    return uploaded.get(job);
  }

  @Override
  public Duration fetchTime(EmulatedWorker worker, String job) {
    return imageFetchTime;
  }

  @Override
  public Duration runTime(TaskId task) {
    return gangSizes.containsKey(task.job()) ? taskRunTime : runTimeOf(task.toString());
  }

  @Override
  public Duration saveTime() {
    return taskSaveTime;
  }

  @Override
  public Duration gangWait() {
    return seconds("gang_wait_s");
  }

  @Override
  public Duration gangPeerTimeout() {
    return seconds("gang_peer_s");
  }

  /** Returns the duration that a numeric setting gives in seconds. */
  Duration seconds(String setting) {
    return Duration.ofMillis((long) (setting(setting) * 1000));
  }

  @Override
  public boolean refusesLaunch() {
    return launchRefusalShare > 0 && random.nextDouble() < launchRefusalShare;
  }

  @Override
  public int gangSize(String job) {
    return gangSizes.getOrDefault(job, 0);
  }

  @Override
  public boolean hasCompleted(TaskId task) {
    return completed.contains(task.toString());
  }

  @Override
  public void onLaunched(EmulatedWorker worker, TaskId task) {
    startedTasks.add(task + "@" + worker.name());
  }

  @Override
  public void onCompleted(TaskId task) {
    completed.add(task.toString());
  }

  @Override
  public void onCompletionReported(EmulatedWorker worker, TaskId task) {
    onCompleted.forEach(listener -> listener.accept(task.toString()));
  }

  @Override
  public void onChanged(EmulatedWorker worker) {
    onChange.forEach(Runnable::run);
  }

  int target(EmulatedWorker worker) {
    return targets.getOrDefault(worker, 0);
  }

  void target(EmulatedWorker worker, int controller) {
    targets.put(worker, controller);
  }

  /** Job descriptions that users have uploaded, by job ID; workers fetch them from here. */
  final Map<String, JobSpec> uploaded = new HashMap<>();

  /** Called on each change of a machine's tasks, and when a worker reports a task as completed. */
  final List<Runnable> onChange = new ArrayList<>();
  final List<Consumer<String>> onCompleted = new ArrayList<>();

  /** Tasks that have completed on any machine. */
  final Set<String> completed = new HashSet<>();

  /** Number of requests with commands, and of responses to them, that were delayed. */
  int delayedCommands;

  int machineCounter;
  int maxMachines = 8;

  static int port(int controller) {
    return 8080 + 10 * controller;
  }

  String zoneOf(int controller) {
    return controllersInAllZones ? zones.get(controller % zones.size()) : "a";
  }

  /** Whether two zones can't communicate; state service, cloud and users are in the zone "". */
  boolean cutOff(String zone, String other) {
    return partitionedZone != null
        && !zone.equals(other)
        && (partitionedZone.equals(zone) || partitionedZone.equals(other));
  }

  /** Whether a zone partition separates the controller from state service, cloud and users. */
  boolean cutOff(int controller) {
    return cutOff(zoneOf(controller), "");
  }

  private String zoneOf(InetSocketAddress to, int peer) {
    if (to.equals(STORE) || to.equals(CLOUD)) {
      return "";
    }
    if (peer >= 0) {
      return zoneOf(peer);
    }
    EmulatedWorker worker = workers.get(machineName(to));
    return worker == null ? "" : worker.zone();
  }

  PlatformSettings settings(int index) throws Exception {
    StringBuilder seeds = new StringBuilder();
    for (int i = 0; i < controllerCount; i++) {
      if (i != index) {
        seeds.append(
            "[[seeds]]\nlabel = \"c-" + i + "\"\nzone = \"" + zoneOf(i) + "\"\npeer_addr = \"127.0.0.1:"
                + (port(i) + 1) + "\"\n");
      }
    }
    return PlatformSettings.parse(
        settings
            .replace("c-0", "c-" + index)
            .replace("zone = \"a\"", "zone = \"" + zoneOf(index) + "\"")
            .replace("127.0.0.1:8080", "127.0.0.1:" + port(index))
            .replace("127.0.0.1:8081", "127.0.0.1:" + (port(index) + 1))
            .replace("size = 1", "size = " + controllerCount)
            .replace("[services]", seeds + "[services]"));
  }

  /** Returns a numeric setting; throws if {@link #settings} doesn't contain the key. */
  double setting(String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " = ([0-9.]+)").matcher(settings);
    if (!line.find()) {
      throw new IllegalArgumentException("no setting " + key);
    }
    return Double.parseDouble(line.group(1));
  }

  /** Records violations of the rules that must hold at every moment. */
  abstract void check();

  void boot(int index) throws Exception {
    SimEventLoop.ProcessLoop process = loop.process();
    long clockErrorMs =
        maxClockError.isZero()
            ? 0
            : random.nextLong(-maxClockError.toMillis(), maxClockError.toMillis() + 1);
    Controller controller =
        new Controller(
            process,
            httpClient(process, index),
            settings(index),
            OperatorSettings.defaults(),
            () -> Instant.ofEpochMilli(loop.now().toMillis() + clockErrorMs),
            new Random(random.nextLong()));
    processes.put(index, process);
    controllers.put(index, controller);
    controller.start();
  }

  void kill(int index) {
    processes.get(index).dead = true;
    controllers.remove(index);
  }

  /** Returns a client that applies the current faults to requests and responses of a controller. */
  HttpClient httpClient(SimEventLoop.ProcessLoop from, int index) {
    return (to, method, path, body, timeout, handler) -> {
      if (to.equals(STORE) && (index == refusedByStore || outage)) {
        from.execute(() -> handler.onResponse(503, Cbor.encode(Cbor.map())));
        return;
      }
      boolean[] finished = {false};
      from.after(
          timeout,
          () -> {
            if (!finished[0]) {
              finished[0] = true;
              handler.onNoResponse(false);
            }
          });
      int peer = to.getPort() < 9000 && to.getPort() > 8080 ? (to.getPort() - 8080) / 10 : -1;
      if (refusePeerConnections && peer >= 0 && !to.equals(CLOUD)) {
        from.execute(() -> {
          finished[0] = true;
          handler.onNoResponse(true);
        });
        return;
      }
      if (peer >= 0 && !to.equals(CLOUD) && !controllers.containsKey(peer) && !isolated.contains(index)) {
        from.after(
            Duration.ofMillis(2),
            () -> {
              finished[0] = true;
              handler.onNoResponse(true); // The process is down: refused.
            });
        return;
      }
      if (isolated.contains(index)
          || cutOff(zoneOf(index), zoneOf(to, to.equals(CLOUD) ? -1 : peer))
          || (isolated.contains(peer) && !to.equals(CLOUD))
          || (cutOffFromStoreAndPeers.contains(index) && (to.equals(STORE) || peer >= 0))
          || (cutOffFromStoreAndPeers.contains(peer) && !to.equals(CLOUD))
          || (index == cutOffFromWorkers && to.getPort() >= 9000)) {
        return;
      }
      boolean commits = to.equals(STORE) && path.equals("/commit") && body != null && isFaultyWrite(body);
      if (commits && writesOverLimit) {
        from.after(delay(to), () -> handler.onResponse(429, Cbor.encode(Cbor.map())));
        return;
      }
      if (commits && occurs(lateWriteShare)) {
        commitLate(decode(body));
        return;
      }
      if (to.equals(CLOUD) && !method.equals("GET") && occurs(lateCloudCallShare)) {
        Duration lateBy = Duration.ofMillis(5000 + random.nextInt(55_000));
        loop.after(lateBy, () -> deliver(to, method, path, body, (status, answer) -> {}));
        return;
      }
      boolean unanswered =
          commits && occurs(lostResponseShare)
              || to.equals(CLOUD) && path.equals("/machines") && occurs(lostRentalShare);
      boolean late = random.nextDouble() < exchangeFaultShare;
      boolean lost = unanswered || random.nextDouble() < exchangeFaultShare;
      Duration requestDelay = late ? Duration.ofMillis(3000 + random.nextInt(40_000)) : delay(to);
      Duration responseDelay = delay(to).plus(path.startsWith("/store/") ? readDelay : Duration.ZERO);
      BiConsumer<Integer, byte[]> respond =
          (status, answer) ->
              whenWatchServed(
                  index,
                  path,
                  () ->
                      from.after(
                          responseDelay,
                          () -> {
                            if (!finished[0] && !lost) {
                              finished[0] = true;
                              respondOrCorrupt(to, path, status, answer, handler);
                            }
                          }));
      BiConsumer<Integer, byte[]> respondAndRepeat =
          (status, answer) -> {
            if (!lost && status == 200 && !method.equals("GET")) {
              repeater.onAnswered(receiver(to, peer), () -> deliverCopy(to, method, path, body));
            }
            respond.accept(status, answer);
          };
      loop.after(requestDelay, () -> deliver(to, method, path, body, respondAndRepeat));
    };
  }

  private static Receiver receiver(InetSocketAddress to, int peer) {
    if (to.equals(STORE)) {
      return Receiver.STORE;
    }
    if (to.equals(CLOUD)) {
      return Receiver.CLOUD;
    }
    return peer >= 0 ? Receiver.PEER : Receiver.WORKER;
  }

  /** Delivers a request once more; a worker that hangs executes it when it continues. */
  private void deliverCopy(InetSocketAddress to, String method, String path, byte[] body) {
    EmulatedWorker worker = to.getPort() < 9000 ? null : workers.get(machineName(to));
    if (worker != null && worker.isHung()) {
      Duration wait = worker.hungUntil().minus(loop.now());
      loop.after(wait, () -> deliverCopy(to, method, path, body));
      return;
    }
    Set<String> heldBefore = worker == null ? Set.of() : worker.heldAttempts();
    deliver(to, method, path, body, (status, answer) -> {});
    if (worker != null) {
      Sets.difference(worker.heldAttempts(), heldBefore)
          .forEach(attempt -> repeater.executedAgain.add(attempt + "@" + worker.name()));
    }
  }

  private static String machineName(InetSocketAddress workerAddress) {
    return String.format("n-%06d", workerAddress.getPort() - 9000);
  }

  private void respondOrCorrupt(
      InetSocketAddress from, String path, int status, byte[] answer, HttpClient.ResponseHandler handler) {
    String source =
        from.equals(STORE) ? "store" : from.equals(CLOUD) ? "cloud" : from.getPort() >= 9000 ? "workers" : "peers";
    boolean selected =
        (invalidResponseSource.isEmpty() || invalidResponseSource.equals(source))
            && path.startsWith(invalidResponsePath);
    if (!selected || !occurs(invalidResponseShare)) {
      handler.onResponse(status, answer);
      return;
    }
    ObjectNode wrongFields = Cbor.map().put("Ledger", "x").put("Stamp", -1).put("Berths", 3).put("Berth", 7);
    wrongFields.putArray("Pairs").add("none");
    switch (invalidResponseVariant >= 0 ? invalidResponseVariant : random.nextInt(6)) {
      case 0 -> handler.onResponse(status, new byte[] {(byte) 0xff, 3, 9});
      case 1 -> handler.onResponse(status, new byte[0]);
      case 2 -> handler.onResponse(status, Cbor.encode(Cbor.map()));
      case 3 -> handler.onResponse(status, Cbor.encode(wrongFields));
      case 4 -> handler.onResponse(500, answer);
      default -> handler.onResponse(404, Cbor.encode(Cbor.map()));
    }
  }

  private boolean isFaultyWrite(byte[] transaction) {
    return (writesOverLimit || lateWriteShare > 0 || lostResponseShare > 0)
        && decode(transaction).get("Then").toString().contains("\"" + faultyWritePrefix);
  }

  boolean occurs(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  private Duration delay(InetSocketAddress to) {
    if (to.getPort() >= 9000 && occurs(delayedCommandShare)) {
      delayedCommands++;
      return minCommandDelay.plusMillis(random.nextInt((int) maxCommandDelay.toMillis()));
    }
    boolean slow = to.equals(STORE) && !maxStoreDelay.isZero();
    return Duration.ofMillis(2 + (slow ? random.nextInt((int) maxStoreDelay.toMillis()) : 0));
  }

  /** Holds back watch responses while the state service is down or refuses the controller. */
  private void whenWatchServed(int index, String path, Runnable callback) {
    if (path.startsWith("/watch?") && (outage || refusedByStore == index)) {
      loop.after(Duration.ofMillis(50), () -> whenWatchServed(index, path, callback));
    } else {
      callback.run();
    }
  }

  /** Commits an unanswered transaction after newer ones, 2 to 12 s late, once the service is up. */
  private void commitLate(ObjectNode transaction) {
    loop.after(
        Duration.ofMillis(2000 + random.nextInt(10_000)),
        () -> {
          if (outage) {
            commitLate(transaction);
          } else {
            store.handle("POST", "/commit", transaction, (status, answer) -> {});
          }
        });
  }

  void deliver(
      InetSocketAddress to, String method, String path, byte[] body, BiConsumer<Integer, byte[]> respond) {
    BiConsumer<Integer, ObjectNode> reply = (status, map) -> respond.accept(status, Cbor.encode(map));
    if (to.equals(STORE)) {
      boolean deletes = path.equals("/commit") && decode(body).toString().contains("\"Delete\":\"ts/machines/");
      if (deletes && !requestedDeletions.add(decode(body).toString()) && refuseRepeatedDeletions) {
        respond.accept(503, Cbor.encode(Cbor.map()));
        return;
      }
      loop.after(
          deletes ? deletionDelay : Duration.ZERO,
          () -> store.handle(method, path, decode(body), reply));
    } else if (to.equals(CLOUD)) {
      cloud.handle(path, decode(body), reply);
    } else if (to.getPort() >= 9000) {
      for (EmulatedWorker worker : workers.values()) {
        if (worker.address().endsWith(":" + to.getPort())
            && !worker.isDead()
            && !worker.isRestarting()
            && !inboundBlocked.contains(worker.name())
            && !commandsBlocked.contains(worker.name())) {
          if (worker.isHung()) {
            loop.after(worker.hungUntil().minus(loop.now()), () -> deliver(to, method, path, body, respond));
            return;
          }
          int status = worker.handleCommands(decode(body));
          check();
          respond.accept(status, Cbor.encode(worker.report().write()));
        }
      }
    } else {
      Controller controller = controllers.get((to.getPort() - 8080) / 10);
      if (controller != null) {
        Reply peerReply = (status, bytes, retry) -> respond.accept(status, bytes);
        int index = (to.getPort() - 8080) / 10;
        processes.get(index).run(() -> controller.handlePeer(method, path, body, peerReply));
      }
    }
  }

  static ObjectNode decode(byte[] body) {
    try {
      return body == null ? Cbor.map() : Cbor.decodeMap(body);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns how long the task runs. */
  Duration runTimeOf(String task) {
    return taskRunTime;
  }

  /** Adds a machine and returns its name. */
  abstract String addWorker(SimType type, String zone, boolean spot);
}
