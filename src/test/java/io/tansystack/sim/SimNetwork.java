package io.tansystack.sim;

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
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Whole controllers against stand-ins for the state service, the cloud and workers, in simulated
 * time, and what lies between them: the network loses answers, delays requests by up to minutes, and
 * controllers are killed at any moment.
 */
abstract class SimNetwork extends SimTroubles {
  static final InetSocketAddress STORE = new InetSocketAddress("127.0.0.1", 2379);
  static final InetSocketAddress CLOUD = new InetSocketAddress("127.0.0.1", 8443);

  final SimLoop loop = new SimLoop();
  final StandInStore store = new StandInStore(loop, () -> this.outage);
  final Map<String, StandInWorker> workers = new LinkedHashMap<>();
  final Map<Integer, Controller> controllers = new HashMap<>();
  final Map<Integer, SimLoop.Mortal> processes = new HashMap<>();
  final List<String> started = new ArrayList<>();
  final Set<String> broken = new HashSet<>();
  Random random = new Random(1);
  int controllerCount = 1;

  /** The platform's settings, of which label, addresses and size are each controller's own. */
  String settings = SettingsTest.GOOD;

  final StandInCloud cloud = new StandInCloud(this);

  final StandInGangs gangs = new StandInGangs(this);

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

  /** A machine type as the cloud offers it, in all zones. */
  record SimType(String name, double cpus, double gpus, double memGb) {}

  List<SimType> types = List.of(new SimType("small", 4, 0, 16));

  /** What users have uploaded: workers fetch descriptions themselves. */
  final Map<String, JobSpec> uploaded = new HashMap<>();

  /** Told of each change of what is on a machine; and of each task's end with its work done. */
  final List<Runnable> onChange = new ArrayList<>();

  final List<Consumer<String>> onCompleted = new ArrayList<>();

  void changed() {
    onChange.forEach(Runnable::run);
  }

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
    StandInWorker worker = workers.get(String.format("n-%06d", to.getPort() - 9000));
    return worker == null ? "" : worker.zone;
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
    SimLoop.Mortal process = loop.process();
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
          || cutOff(zoneOf(index), zoneOf(to, to.equals(CLOUD) ? -1 : peer))
          || (silent.contains(peer) && !to.equals(CLOUD))
          || (apart.contains(index) && (to.equals(STORE) || peer >= 0))
          || (apart.contains(peer) && !to.equals(CLOUD))
          || (index == deafTo && to.getPort() >= 9000)) {
        return;
      }
      boolean commits = to.equals(STORE) && path.equals("/commit") && body != null && ofKind(body);
      if (commits && overLimit) {
        from.after(delay(to), () -> outcome.answer(429, Cbor.encode(Cbor.map())));
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
      InetSocketAddress from, String path, int status, byte[] answer, HttpCaller.Outcome outcome) {
    String who = from.equals(STORE) ? "store" : from.equals(CLOUD) ? "cloud" : from.getPort() >= 9000 ? "workers" : "peers";
    boolean meant = (garbledBy.isEmpty() || garbledBy.equals(who)) && path.startsWith(garbledPath);
    if (!meant || !drawn(garbled)) {
      outcome.answer(status, answer);
      return;
    }
    ObjectNode wrong = Cbor.map().put("Ledger", "x").put("Stamp", -1).put("Berths", 3).put("Berth", 7);
    wrong.putArray("Pairs").add("none");
    switch (garbledAs >= 0 ? garbledAs : random.nextInt(6)) {
      case 0 -> outcome.answer(status, new byte[] {(byte) 0xff, 3, 9});
      case 1 -> outcome.answer(status, new byte[0]);
      case 2 -> outcome.answer(status, Cbor.encode(Cbor.map()));
      case 3 -> outcome.answer(status, Cbor.encode(wrong));
      case 4 -> outcome.answer(500, answer);
      default -> outcome.answer(404, Cbor.encode(Cbor.map()));
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
      for (StandInWorker worker : workers.values()) {
        if (worker.address.endsWith(":" + to.getPort())
            && !worker.dead
            && !unhearing.contains(worker.name)
            && !uncommanded.contains(worker.name)) {
          if (worker.hangs()) {
            loop.after(worker.hungUntil.minus(loop.now()), () -> deliver(to, method, path, body, back));
            return;
          }
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

  /** How long the task runs. */
  Duration runOf(String task) {
    return run;
  }

  /** Rents a machine; tells its name. */
  abstract String addWorker(SimType type, String zone, boolean spot);
}
