package io.tansystack.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.tansystack.cli.Controller;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.wire.Cbor;
import java.time.Duration;

/** The machines of a simulated cluster: how they come, and how their reports and copies of them travel. */
abstract class SimFleet extends SimNetwork {
  String addWorker(String zone) {
    return addWorker(types.get(0), zone, false);
  }

  @Override
  String addWorker(SimType type, String zone, boolean spot) {
    String name = String.format("n-%06d", machineCounter);
    EmulatedWorker worker =
        new EmulatedWorker(
            this, gangs, name, "127.0.0.1:" + (9000 + machineCounter), offered(type), zone, spot,
            Duration.ofMillis((long) (setting("lease_s") * 1000)));
    machineCounter++;
    workers.put(name, worker);
    loop.after(boot, () -> report(worker));
    return name;
  }

  void report(EmulatedWorker worker) {
    if (worker.isDead()) {
      return;
    }
    if (worker.isHung()) {
      loop.after(worker.hungUntil().minus(loop.now()), () -> report(worker));
      return;
    }
    Duration sentAt = loop.now();
    long session = worker.session();
    boolean[] over = {false};
    Controller controller = controllers.get(target(worker));
    Runnable next = () -> {
      target(worker, (target(worker) + 1) % controllerCount);
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
    if (silent.contains(target(worker))
        || cutOff(worker.zone(), zoneOf(target(worker)))
        || deafTo == target(worker)
        || unheard.contains(worker.name())
        || random.nextDouble() < trouble) {
      return;
    }
    boolean lost = random.nextDouble() < trouble;
    byte[] body = Cbor.encode(worker.report().write());
    if (drawn(copies)) {
      if (copiesForNext) {
        copyForNext(body, leader());
      } else {
        copyLater(body);
      }
    }
    Reply reply = (status, bytes, r) -> {
      if (over[0] || lost || worker.isDead() || worker.isHung() || unhearing.contains(worker.name())) {
        return;
      }
      over[0] = true;
      if (status == 200) {
        worker.onReportResponse(status, decode(bytes), sentAt, session);
        loop.after(Duration.ofMillis(1500), () -> report(worker));
      } else if (status == 421 && decode(bytes).has("Dispatcher")) {
        target(worker, Integer.parseInt(decode(bytes).get("Dispatcher").asText().substring(2)));
        loop.after(Duration.ofMillis(300), () -> report(worker));
      } else {
        next.run();
      }
    };
    processes.get(target(worker)).run(() -> controller.handleFront("POST", "/v1/report", body, reply));
  }

  /** From seconds to well over a lease later, and whoever answers, nobody hears it. */
  private void copyLater(byte[] body) {
    loop.after(
        Duration.ofMillis(2000 + random.nextInt(70_000)), () -> copyTo(random.nextInt(controllerCount), body));
  }

  /** Kept until another controller leads, then it comes there, and soon after to all others. */
  private void copyForNext(byte[] body, int leader) {
    if (!copiesForNext) {
      return;
    }
    int now = leader();
    if (now < 0 || now == leader) {
      loop.after(Duration.ofMillis(50), () -> copyForNext(body, leader));
      return;
    }
    copyTo(now, body);
    for (int i = 0; i < controllerCount; i++) {
      int other = i;
      loop.after(Duration.ofMillis(random.nextInt(3000)), () -> copyTo(other, body));
    }
  }

  /** Who holds the fleet; -1 for nobody. */
  int leader() {
    JsonNode fleet = store.value("ts/fleet");
    return fleet == null ? -1 : Integer.parseInt(fleet.get("label").asText().substring(2));
  }

  private void copyTo(int to, byte[] body) {
    Controller controller = controllers.get(to);
    if (controller != null && !silent.contains(to)) {
      processes.get(to).run(() -> controller.handleFront("POST", "/v1/report", body, (s, b, r) -> {}));
    }
  }
}
