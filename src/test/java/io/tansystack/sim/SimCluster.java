package io.tansystack.sim;


import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cli.Controller;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.SettingsTest;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;

/**
 * Whole controllers against stand-ins for the state service, the cloud and workers, in simulated
 * time. The network loses answers, delays requests by up to minutes, and controllers are killed at
 * any moment.
 */
abstract class SimCluster {
  static final InetSocketAddress STORE = new InetSocketAddress("127.0.0.1", 2379);
  static final InetSocketAddress CLOUD = new InetSocketAddress("127.0.0.1", 8443);

  final SimLoop loop = new SimLoop();
  final StandInStore store = new StandInStore(loop);
  final Map<String, StandInWorker> workers = new LinkedHashMap<>();
  final Map<Integer, Controller> controllers = new HashMap<>();
  final Map<Integer, SimLoop.Mortal> processes = new HashMap<>();
  final List<String> started = new ArrayList<>();
  final Set<String> broken = new HashSet<>();
  Random random = new Random(1);
  int controllerCount = 1;

  /** The platform's settings, of which label, addresses and size are each controller's own. */
  String settings = SettingsTest.GOOD;

  /** Whether the state service is away for everybody. */
  boolean outage;

  /** The controller that the state service alone refuses; -1 for none. */
  int refused = -1;

  /** Controllers that reach nobody and that nobody reaches, without any error; and those cut from peers. */
  final Set<Integer> silent = new HashSet<>();

  /** Whether connections between controllers are refused while all else works. */
  boolean peersRefuse;

  /** The controller cut off from the workers, both ways; -1 for none. */
  int deafTo = -1;

  /** Workers that no controller hears. */
  final Set<String> unheard = new HashSet<>();

  /** Workers whose reports arrive, while neither answers nor commands reach them. */
  final Set<String> unhearing = new HashSet<>();

  /** How often a copy of a report comes once more, seconds to minutes later, at any controller. */
  double copies;

  /** Controllers that have lost the state service and the other controllers, but not users and workers. */
  final Set<Integer> apart = new HashSet<>();

  /** For how long transactions that delete a machine's record are held up on their way. */
  Duration deletionsLate = Duration.ZERO;

  /** Whether a deletion that is asked for again is refused, while the first may still be under way. */
  boolean refuseRepeated;

  final Set<String> deletions = new HashSet<>();

  /** How often an exchange goes wrong. */
  double trouble;

  /** What was answered to each rental: one name rents once. */
  final Map<String, ObjectNode> rented = new HashMap<>();

  int machineCounter;
  int maxMachines = 8;

  static int port(int controller) {
    return 8080 + 10 * controller;
  }

  PlatformSettings settings(int me) throws Exception {
    StringBuilder seeds = new StringBuilder();
    for (int i = 0; i < controllerCount; i++) {
      if (i != me) {
        seeds.append(
            "[[seeds]]\nlabel = \"c-" + i + "\"\nzone = \"a\"\npeer_addr = \"127.0.0.1:"
                + (port(i) + 1) + "\"\n");
      }
    }
    return PlatformSettings.parse(
        settings
            .replace("c-0", "c-" + me)
            .replace("127.0.0.1:8080", "127.0.0.1:" + port(me))
            .replace("127.0.0.1:8081", "127.0.0.1:" + (port(me) + 1))
            .replace("size = 1", "size = " + controllerCount)
            .replace("[services]", seeds + "[services]"));
  }

  void boot(int index) throws Exception {
    SimLoop.Mortal process = loop.process();
    Controller controller =
        new Controller(
            process,
            caller(process, index),
            settings(index),
            OperatorSettings.defaults(),
            () -> Instant.ofEpochMilli(loop.now().toMillis()),
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
  HttpCaller caller(SimLoop.Mortal from, int index) {
    return (to, method, path, body, timeout, outcome) -> {
      if (to.equals(STORE) && (index == refused || outage)) {
        from.execute(() -> outcome.answer(503, Cbor.encode(Cbor.map())));
        return;
      }
      boolean[] over = {false};
      from.after(
          timeout,
          () -> {
            if (!over[0]) {
              over[0] = true;
              outcome.silence(false);
            }
          });
      int peer = to.getPort() < 9000 && to.getPort() > 8080 ? (to.getPort() - 8080) / 10 : -1;
      if (peersRefuse && peer >= 0 && !to.equals(CLOUD)) {
        from.execute(() -> {
          over[0] = true;
          outcome.silence(true);
        });
        return;
      }
      if (peer >= 0 && !to.equals(CLOUD) && !controllers.containsKey(peer) && !silent.contains(index)) {
        from.after(
            Duration.ofMillis(2),
            () -> {
              over[0] = true;
              outcome.silence(true); // Nobody listens where a process has ended.
            });
        return;
      }
      if (silent.contains(index)
          || (silent.contains(peer) && !to.equals(CLOUD))
          || (apart.contains(index) && (to.equals(STORE) || peer >= 0))
          || (apart.contains(peer) && !to.equals(CLOUD))
          || (index == deafTo && to.getPort() >= 9000)) {
        return;
      }
      boolean late = random.nextDouble() < trouble;
      boolean lost = random.nextDouble() < trouble;
      Duration way = late ? Duration.ofMillis(3000 + random.nextInt(40_000)) : Duration.ofMillis(2);
      BiConsumer<Integer, byte[]> back =
          (status, answer) ->
              from.after(
                  Duration.ofMillis(2),
                  () -> {
                    if (!over[0] && !lost) {
                      over[0] = true;
                      outcome.answer(status, answer);
                    }
                  });
      loop.after(way, () -> deliver(to, method, path, body, back));
    };
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
      cloud(path, decode(body), reply);
    } else if (to.getPort() >= 9000) {
      for (StandInWorker worker : workers.values()) {
        if (worker.address.endsWith(":" + to.getPort())
            && !worker.dead
            && !unhearing.contains(worker.name)) {
          int status = worker.orders(decode(body));
          check();
          back.accept(status, Cbor.encode(worker.report().write()));
        }
      }
    } else {
      Controller controller = controllers.get((to.getPort() - 8080) / 10);
      if (controller != null) {
        Reply answer = (status, bytes, retry) -> back.accept(status, bytes);
        int index = (to.getPort() - 8080) / 10;
        processes.get(index).run(() -> controller.peer(method, path, body, answer));
      }
    }
  }

  static ObjectNode decode(byte[] body) {
    try {
      return body == null ? Cbor.map() : Cbor.decodeMap(body);
    } catch (BadInput e) {
      throw new IllegalStateException(e);
    }
  }

  void cloud(String path, ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    ObjectNode map = Cbor.map();
    if (path.equals("/machine_types")) {
      ObjectNode type = map.putArray("Fleets").addObject();
      type.put("Label", "small").put("Cpus", 4).put("Gpus", 0).put("MemGb", 16).put("CacheGb", 50);
      type.put("PullGbPerS", 1.0).put("Price", 1.0).put("MarketPrice", 0.3).put("BootS", 5);
      type.putArray("Yards").add("a");
    } else if (path.equals("/machines")) {
      String charter = body.get("Charter").asText();
      if (rented.containsKey(charter)) {
        reply.accept(200, rented.get(charter));
        return;
      }
      ArrayNode names = map.putArray("Berths");
      for (int i = 0; i < body.get("HowMany").asInt() && workers.size() < maxMachines; i++) {
        names.add(addWorker());
      }
      if (names.isEmpty()) {
        reply.accept(503, Cbor.map().put("error", "no capacity"));
        return;
      }
      rented.put(charter, map);
    } else if (path.equals("/machines/delete")) {
      body.get("Berths")
          .forEach(
              name -> {
                StandInWorker worker = workers.remove(name.asText());
                if (worker != null) {
                  worker.dead = true;
                }
              });
    } else {
      ArrayNode list = map.putArray("Berths");
      workers.values().forEach(
          w ->
              list.addObject().put("Uid", w.name).put("Endpoint", w.address).put("Fleet", "small")
                  .put("Yard", "a").put("Loaners", false).put("Status", "running").put("AgeS", 9));
      map.put("HasNext", false);
    }
    reply.accept(200, map);
  }

  String addWorker() {
    String name = String.format("n-%06d", machineCounter);
    StandInWorker worker =
        new StandInWorker(
            loop, name, "127.0.0.1:" + (9000 + machineCounter), Duration.ofSeconds(36),
            Duration.ofSeconds(20), started, w -> {});
    machineCounter++;
    workers.put(name, worker);
    loop.after(Duration.ofSeconds(5), () -> report(worker));
    return name;
  }

  void report(StandInWorker worker) {
    if (worker.dead) {
      return;
    }
    Duration sentAt = loop.now();
    long session = worker.session;
    boolean[] over = {false};
    Controller controller = controllers.get(worker.target);
    Runnable next = () -> {
      worker.target = (worker.target + 1) % controllerCount;
      loop.after(Duration.ofSeconds(1), () -> report(worker));
    };
    loop.after(Duration.ofSeconds(4), () -> {
      if (!over[0]) {
        over[0] = true;
        next.run();
      }
    });
    if (controller == null) {
      over[0] = true; // Nobody listens where a process has ended.
      next.run();
      return;
    }
    if (silent.contains(worker.target)
        || deafTo == worker.target
        || unheard.contains(worker.name)
        || random.nextDouble() < trouble) {
      return;
    }
    boolean lost = random.nextDouble() < trouble;
    byte[] body = Cbor.encode(worker.report().write());
    if (copies > 0 && random.nextDouble() < copies) {
      copyLater(body);
    }
    Reply reply = (status, bytes, r) -> {
      if (over[0] || lost || worker.dead || unhearing.contains(worker.name)) {
        return;
      }
      over[0] = true;
      if (status == 200) {
        worker.answered(status, decode(bytes), sentAt, session);
        loop.after(Duration.ofMillis(1500), () -> report(worker));
      } else if (status == 421 && decode(bytes).has("Dispatcher")) {
        worker.target = Integer.parseInt(decode(bytes).get("Dispatcher").asText().substring(2));
        loop.after(Duration.ofMillis(300), () -> report(worker));
      } else {
        next.run();
      }
    };
    processes.get(worker.target).run(() -> controller.front("POST", "/v1/report", body, reply));
  }

  /** From seconds to well over a lease later, and whoever answers, nobody hears it. */
  private void copyLater(byte[] body) {
    loop.after(
        Duration.ofMillis(2000 + random.nextInt(70_000)),
        () -> {
          int to = random.nextInt(controllerCount);
          Controller controller = controllers.get(to);
          if (controller != null && !silent.contains(to)) {
            processes.get(to).run(() -> controller.front("POST", "/v1/report", body, (s, b, r) -> {}));
          }
        });
  }

  /**
   * The seeds that a test plays: a few, or those that the property {@code tansystack.seeds} names as
   * {@code FROM-TO}, for many to be played once.
   */
  static LongStream seeds() {
    String[] range = System.getProperty("tansystack.seeds", "1-8").split("-");
    return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
  }

  /** That a task is never on two machines, nor a team over its limit, at every moment at which one may start. */
  void check() {
    Set<String> seen = new HashSet<>();
    int running = workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
    if (settings.contains("cpus_max = 40.0") && running > 40) {
      broken.add("quota: " + running + " tasks of one processor, 40 allowed");
    }
    for (StandInWorker worker : workers.values()) {
      for (String task : worker.live()) {
        if (!seen.add(task)) {
          broken.add("on two machines: " + task);
        }
      }
    }
  }

  int call(String method, String path, byte[] body, ObjectNode[] into) {
    int[] status = {0};
    for (Map.Entry<Integer, Controller> entry : new TreeMap<>(controllers).entrySet()) {
      if (silent.contains(entry.getKey())) {
        continue;
      }
      processes.get(entry.getKey()).run(() -> entry.getValue().front(method, path, body, (s, bytes, r) -> {
        status[0] = s;
        into[0] = decode(bytes);
      }));
      loop.runFor(Duration.ofSeconds(3));
      if (status[0] == 200 || status[0] == 201 || status[0] == 404) {
        break;
      }
    }
    return status[0];
  }

  static JobSpec spec(String id, int tasks) {
    return new JobSpec(
        id, "c", "vision", Shape.ARRAY, Priority.NORMAL, tasks, 1, 0, 1, "img", 1, null, null,
        false, false, false, 20, 0, 0, null);
  }

  void submit(String id, int tasks) {
    ObjectNode[] answer = new ObjectNode[1];
    for (int i = 0; i < 30; i++) {
      int status = call("POST", "/v1/jobs", Cbor.encode(spec(id, tasks).write()), answer);
      if (status == 200 || status == 201) {
        return;
      }
      loop.runFor(Duration.ofSeconds(3)); // Nobody may have been there to ask.
    }
    throw new AssertionError("never accepted: " + id);
  }

  /** Submits jobs to one controller at the same moment; tells how each was answered, 0 for not at all. */
  Map<String, Integer> submitTogether(int to, List<JobSpec> specs) {
    Map<String, Integer> answers = new LinkedHashMap<>();
    Controller controller = controllers.get(to);
    for (JobSpec spec : specs) {
      answers.put(spec.id(), 0);
      if (controller != null) {
        processes.get(to).run(() -> controller.front("POST", "/v1/jobs", Cbor.encode(spec.write()),
            (status, bytes, r) -> answers.put(spec.id(), status)));
      }
    }
    return answers;
  }

  String state(String id) {
    ObjectNode[] answer = new ObjectNode[1];
    for (int i = 0; i < 20; i++) {
      int status = call("GET", "/v1/jobs/" + id, new byte[0], answer);
      if (status == 404) {
        return "404";
      }
      if (status == 200) {
        return answer[0].get("Status").asText();
      }
    }
    return "no answer";
  }
}
