package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
 * Whole controllers against stand-ins for the state service, the cloud and workers, in simulated
 * time, and what lies between them: the network loses answers, delays requests by up to minutes, and
 * controllers are killed at any moment.
 */
abstract class SimNetwork extends SimFaults implements WorkerEnvironment, MachineProvider {
  static final InetSocketAddress STORE = new InetSocketAddress("127.0.0.1", 2379);
  static final InetSocketAddress CLOUD = new InetSocketAddress("127.0.0.1", 8443);

  final SimEventLoop loop = new SimEventLoop();
  final EmulatedStore store = new EmulatedStore(loop, StoreLimits.unlimited(), () -> this.outage);
  final Map<String, EmulatedWorker> workers = new LinkedHashMap<>();
  final Map<Integer, Controller> controllers = new HashMap<>();
  final Map<Integer, SimEventLoop.ProcessLoop> processes = new HashMap<>();
  final List<String> started = new ArrayList<>();
  final Set<String> broken = new HashSet<>();
  Random random = new Random(1);
  int controllerCount = 1;

  /** The platform's settings, of which label, addresses and size are each controller's own. */
  String settings = SettingsTest.VALID;

  final EmulatedCloud cloud = new EmulatedCloud(loop, this);

  final EmulatedGangs gangs = new EmulatedGangs(this);

  /** How many tasks each job has that is a gang. */
  final Map<String, Integer> gangSizes = new HashMap<>();

  /** Which controller each worker reports to, by its index. */
  private final Map<EmulatedWorker, Integer> targets = new HashMap<>();

  /** Where machines can be rented; the controllers are in the zone "a". */
  List<String> zones = List.of("a");

  /** Whether the controllers stand in all zones, one after the other, and not all in the first. */
  boolean controllersInAllZones;

  /** How long a task runs, how long its image takes to come, and how long it saves when it is stopped. */
  Duration run = Duration.ofSeconds(20);

  Duration fetch = Duration.ZERO;
  Duration save = Duration.ZERO;

  /** How long after its rental a machine begins to report. */
  Duration boot = Duration.ofSeconds(5);

  /** Machine types by name, CPUs, accelerators and memory; the cloud offers them in all zones. */
  record SimType(String name, double cpus, double gpus, double memGb) {}

  List<SimType> types = List.of(new SimType("small", 4, 0, 16));

  private static final double CACHE_GB = 50;
  private static final double FETCH_GB_PER_S = 1;
  private static final double BOOT_S = 5;

  MachineType offered(SimType type) {
    return new MachineType(
        type.name, type.cpus, type.gpus, type.memGb, CACHE_GB, FETCH_GB_PER_S,
        1.0 + type.gpus, 0.3 + type.gpus, BOOT_S, zones);
  }

  @Override
  public List<MachineType> types() {
    return types.stream().map(this::offered).toList();
  }

  @Override
  public String rent(MachineType type, String zone, boolean spot) {
    if (workers.size() >= maxMachines || full.contains(zone)) {
      return null;
    }
    SimType wanted =
        types.stream().filter(t -> t.name.equals(type.name())).findFirst().orElseThrow();
    return addWorker(wanted, zone, spot);
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
    return fetch;
  }

  @Override
  public Duration runTime(TaskId task) {
    return gangSizes.containsKey(task.job()) ? run : runOf(task.toString());
  }

  @Override
  public Duration saveTime() {
    return save;
  }

  @Override
  public Duration gangWait() {
    return seconds("gang_wait_s");
  }

  @Override
  public Duration gangPeerTimeout() {
    return seconds("gang_peer_s");
  }

  private Duration seconds(String setting) {
    return Duration.ofMillis((long) (setting(setting) * 1000));
  }

  @Override
  public boolean refusesLaunch() {
    return launchesRefused > 0 && random.nextDouble() < launchesRefused;
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
    started.add(task + "@" + worker.name());
  }

  @Override
  public void onCompleted(TaskId task) {
    completed.add(task.toString());
  }

  @Override
  public void onCompletionReported(EmulatedWorker worker, TaskId task) {
    onCompleted.forEach(told -> told.accept(task.toString()));
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

  /** What users have uploaded: workers fetch descriptions themselves. */
  final Map<String, JobSpec> uploaded = new HashMap<>();

  /** Told of each change of what is on a machine; and of each task's end with its work done. */
  final List<Runnable> onChange = new ArrayList<>();

  final List<Consumer<String>> onCompleted = new ArrayList<>();

  /** Tasks that have completed on some machine. */
  final Set<String> completed = new HashSet<>();

  int machineCounter;
  int maxMachines = 8;

  static int port(int controller) {
    return 8080 + 10 * controller;
  }

  String zoneOf(int controller) {
    return controllersInAllZones ? zones.get(controller % zones.size()) : "a";
  }

  /** Whether what is in one zone does not reach the other; the state service, cloud and users are in none. */
  boolean cutOff(String one, String other) {
    return cutZone != null && !one.equals(other) && (cutZone.equals(one) || cutZone.equals(other));
  }

  /** Whether nobody of the region reaches the controller. */
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
    EmulatedWorker worker = workers.get(String.format("n-%06d", to.getPort() - 9000));
    return worker == null ? "" : worker.zone();
  }

  PlatformSettings settings(int me) throws Exception {
    StringBuilder seeds = new StringBuilder();
    for (int i = 0; i < controllerCount; i++) {
      if (i != me) {
        seeds.append(
            "[[seeds]]\nlabel = \"c-" + i + "\"\nzone = \"" + zoneOf(i) + "\"\npeer_addr = \"127.0.0.1:"
                + (port(i) + 1) + "\"\n");
      }
    }
    return PlatformSettings.parse(
        settings
            .replace("c-0", "c-" + me)
            .replace("zone = \"a\"", "zone = \"" + zoneOf(me) + "\"")
            .replace("127.0.0.1:8080", "127.0.0.1:" + port(me))
            .replace("127.0.0.1:8081", "127.0.0.1:" + (port(me) + 1))
            .replace("size = 1", "size = " + controllerCount)
            .replace("[services]", seeds + "[services]"));
  }

  /** A number of the settings. */
  double setting(String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " = ([0-9.]+)").matcher(settings);
    if (!line.find()) {
      throw new IllegalArgumentException("no setting " + key);
    }
    return Double.parseDouble(line.group(1));
  }

  /** That the rules hold at this moment. */
  abstract void check();

  void boot(int index) throws Exception {
    SimEventLoop.ProcessLoop process = loop.process();
    long wrongMs = clockOff.isZero() ? 0 : random.nextLong(-clockOff.toMillis(), clockOff.toMillis() + 1);
    Controller controller =
        new Controller(
            process,
            caller(process, index),
            settings(index),
            OperatorSettings.defaults(),
            () -> Instant.ofEpochMilli(loop.now().toMillis() + wrongMs),
            new Random(random.nextLong()));
    processes.put(index, process);
    controllers.put(index, controller);
    controller.start();
  }

  void kill(int index) {
    processes.get(index).dead = true;
    controllers.remove(index);
  }

  /** Carries requests to the stand-ins and controllers, with delays, losses and late deliveries. */
  HttpClient caller(SimEventLoop.ProcessLoop from, int index) {
    return (to, method, path, body, timeout, outcome) -> {
      if (to.equals(STORE) && (index == refused || outage)) {
        from.execute(() -> outcome.onResponse(503, Cbor.encode(Cbor.map())));
        return;
      }
      boolean[] over = {false};
      from.after(
          timeout,
          () -> {
            if (!over[0]) {
              over[0] = true;
              outcome.onNoResponse(false);
            }
          });
      int peer = to.getPort() < 9000 && to.getPort() > 8080 ? (to.getPort() - 8080) / 10 : -1;
      if (peersRefuse && peer >= 0 && !to.equals(CLOUD)) {
        from.execute(() -> {
          over[0] = true;
          outcome.onNoResponse(true);
        });
        return;
      }
      if (peer >= 0 && !to.equals(CLOUD) && !controllers.containsKey(peer) && !silent.contains(index)) {
        from.after(
            Duration.ofMillis(2),
            () -> {
              over[0] = true;
              outcome.onNoResponse(true); // Nobody listens where a process has ended.
            });
        return;
      }
      if (silent.contains(index)
          || cutOff(zoneOf(index), zoneOf(to, to.equals(CLOUD) ? -1 : peer))
          || (silent.contains(peer) && !to.equals(CLOUD))
          || (apart.contains(index) && (to.equals(STORE) || peer >= 0))
          || (apart.contains(peer) && !to.equals(CLOUD))
          || (index == deafTo && to.getPort() >= 9000)) {
        return;
      }
      boolean commits = to.equals(STORE) && path.equals("/commit") && body != null && ofKind(body);
      if (commits && overLimit) {
        from.after(delay(to), () -> outcome.onResponse(429, Cbor.encode(Cbor.map())));
        return;
      }
      if (commits && drawn(lateWrites)) {
        carriedOutLate(decode(body));
        return;
      }
      boolean unanswered =
          commits && drawn(answersLost) || to.equals(CLOUD) && path.equals("/machines") && drawn(rentalsUnanswered);
      boolean late = random.nextDouble() < trouble;
      boolean lost = unanswered || random.nextDouble() < trouble;
      Duration way = late ? Duration.ofMillis(3000 + random.nextInt(40_000)) : delay(to);
      Duration home = delay(to).plus(path.startsWith("/store/") ? slowReads : Duration.ZERO);
      BiConsumer<Integer, byte[]> back =
          (status, answer) ->
              whenServed(
                  index,
                  path,
                  () ->
                      from.after(
                          home,
                          () -> {
                            if (!over[0] && !lost) {
                              over[0] = true;
                              garble(to, path, status, answer, outcome);
                            }
                          }));
      loop.after(way, () -> deliver(to, method, path, body, back));
    };
  }

  private void garble(
      InetSocketAddress from,
      String path,
      int status,
      byte[] answer,
      HttpClient.ResponseHandler outcome) {
    String who = from.equals(STORE) ? "store" : from.equals(CLOUD) ? "cloud" : from.getPort() >= 9000 ? "workers" : "peers";
    boolean meant = (garbledBy.isEmpty() || garbledBy.equals(who)) && path.startsWith(garbledPath);
    if (!meant || !drawn(garbled)) {
      outcome.onResponse(status, answer);
      return;
    }
    ObjectNode wrong = Cbor.map().put("Ledger", "x").put("Stamp", -1).put("Berths", 3).put("Berth", 7);
    wrong.putArray("Pairs").add("none");
    switch (garbledAs >= 0 ? garbledAs : random.nextInt(6)) {
      case 0 -> outcome.onResponse(status, new byte[] {(byte) 0xff, 3, 9});
      case 1 -> outcome.onResponse(status, new byte[0]);
      case 2 -> outcome.onResponse(status, Cbor.encode(Cbor.map()));
      case 3 -> outcome.onResponse(status, Cbor.encode(wrong));
      case 4 -> outcome.onResponse(500, answer);
      default -> outcome.onResponse(404, Cbor.encode(Cbor.map()));
    }
  }

  private boolean ofKind(byte[] transaction) {
    return (overLimit || lateWrites > 0 || answersLost > 0)
        && decode(transaction).get("Then").toString().contains("\"" + writeKind);
  }

  boolean drawn(double share) {
    return share > 0 && random.nextDouble() < share;
  }

  private Duration delay(InetSocketAddress to) {
    Duration most = to.equals(STORE) ? storeSlow : to.getPort() >= 9000 && drawn(held) ? heldFor : Duration.ZERO;
    return most.isZero() ? Duration.ofMillis(2) : Duration.ofMillis(2 + random.nextInt((int) most.toMillis()));
  }

  /** Open watches stay open while the state service is away, or refuses their controller. */
  private void whenServed(int index, String path, Runnable then) {
    if (path.startsWith("/watch?") && (outage || refused == index)) {
      loop.after(Duration.ofMillis(50), () -> whenServed(index, path, then));
    } else {
      then.run();
    }
  }

  /** No answer comes; it is carried out after newer ones, once the state service is there. */
  private void carriedOutLate(ObjectNode transaction) {
    loop.after(
        Duration.ofMillis(2000 + random.nextInt(10_000)),
        () -> {
          if (outage) {
            carriedOutLate(transaction);
          } else {
            store.handle("POST", "/commit", transaction, (status, answer) -> {});
          }
        });
  }

  void deliver(
      InetSocketAddress to,
      String method,
      String path,
      byte[] body,
      BiConsumer<Integer, byte[]> back) {
    BiConsumer<Integer, ObjectNode> reply = (status, map) -> back.accept(status, Cbor.encode(map));
    if (to.equals(STORE)) {
      boolean deletes = path.equals("/commit") && decode(body).toString().contains("\"Delete\":\"ts/machines/");
      if (deletes && !deletions.add(decode(body).toString()) && refuseRepeated) {
        back.accept(503, Cbor.encode(Cbor.map()));
        return;
      }
      loop.after(
          deletes ? deletionsLate : Duration.ZERO,
          () -> store.handle(method, path, decode(body), reply));
    } else if (to.equals(CLOUD)) {
      cloud.handle(path, decode(body), reply);
    } else if (to.getPort() >= 9000) {
      for (EmulatedWorker worker : workers.values()) {
        if (worker.address().endsWith(":" + to.getPort())
            && !worker.isDead()
            && !unhearing.contains(worker.name())
            && !uncommanded.contains(worker.name())) {
          if (worker.isHung()) {
            loop.after(worker.hungUntil().minus(loop.now()), () -> deliver(to, method, path, body, back));
            return;
          }
          int status = worker.handleCommands(decode(body));
          check();
          back.accept(status, Cbor.encode(worker.report().write()));
        }
      }
    } else {
      Controller controller = controllers.get((to.getPort() - 8080) / 10);
      if (controller != null) {
        Reply answer = (status, bytes, retry) -> back.accept(status, bytes);
        int index = (to.getPort() - 8080) / 10;
        processes.get(index).run(() -> controller.handlePeer(method, path, body, answer));
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

  /** How long the task runs. */
  Duration runOf(String task) {
    return run;
  }

  /** Rents a machine; tells its name. */
  abstract String addWorker(SimType type, String zone, boolean spot);
}
