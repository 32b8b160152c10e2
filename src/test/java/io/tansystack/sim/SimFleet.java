package io.tansystack.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.tansystack.cli.Controller;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.wire.Cbor;
import java.time.Duration;

/** The machines of a simulated cluster, and the delivery of their reports and of duplicates. */
abstract class SimFleet extends SimNetwork {
  String addWorker(String zone) {
    return addWorker(types.get(0), zone, false);
  }

  @Override
  String addWorker(SimType type, String zone, boolean spot) {
    String name = String.format("n-%06d", machineCounter);
    EmulatedWorker worker =
        new EmulatedWorker(
            this, gangs, name, "127.0.0.1:" + (9000 + machineCounter), machineType(type), zone, spot,
            seconds("lease_s"));
    machineCounter++;
    workers.put(name, worker);
    loop.after(boot, () -> report(worker));
    return name;
  }

  /** Restarts a machine in place; its next session reports after the given time. */
  void restartInPlace(EmulatedWorker worker, Duration downTime) {
    if (worker.isDead()) {
      return;
    }
    worker.restart(downTime);
    int restarts = worker.restartCount();
    loop.after(downTime, () -> report(worker, restarts));
  }

  void report(EmulatedWorker worker) {
    report(worker, worker.restartCount());
  }

  /** Reports until the machine restarts once more after the given number of restarts. */
  private void report(EmulatedWorker worker, int restarts) {
    if (worker.isDead() || worker.restartCount() != restarts) {
      return;
    }
    if (worker.isHung()) {
      loop.after(worker.hungUntil().minus(loop.now()), () -> report(worker, restarts));
      return;
    }
    Duration sentAt = loop.now();
    long session = worker.session();
    boolean[] finished = {false};
    Controller controller = controllers.get(target(worker));
    Runnable tryNextController = () -> {
      target(worker, (target(worker) + 1) % controllerCount);
      loop.after(Duration.ofSeconds(1), () -> report(worker, restarts));
    };
    loop.after(Duration.ofSeconds(4), () -> {
      if (!finished[0]) {
        finished[0] = true;
        tryNextController.run();
      }
    });
    if (controller == null) {
      finished[0] = true; // The process is down: connection refused.
      tryNextController.run();
      return;
    }
    if (isolated.contains(target(worker))
        || cutOff(worker.zone(), zoneOf(target(worker)))
        || cutOffFromWorkers == target(worker)
        || reportsBlocked.contains(worker.name())
        || random.nextDouble() < exchangeFaultShare) {
      return;
    }
    boolean lost = random.nextDouble() < exchangeFaultShare;
    byte[] body = Cbor.encode(worker.report().write());
    if (occurs(duplicateReportShare)) {
      if (duplicatesToNextLeader) {
        duplicateToNextLeader(body, leader());
      } else {
        duplicateLater(body);
      }
    }
    Reply reply = (status, bytes, r) -> {
      if (finished[0]
          || lost
          || worker.isDead()
          || worker.isHung()
          || worker.restartCount() != restarts
          || inboundBlocked.contains(worker.name())) {
        return;
      }
      finished[0] = true;
      if (status == 200) {
        worker.onReportResponse(status, decode(bytes), sentAt, session);
        loop.after(Duration.ofMillis(1500), () -> report(worker, restarts));
      } else if (status == 421 && decode(bytes).has("Dispatcher")) {
        target(worker, Integer.parseInt(decode(bytes).get("Dispatcher").asText().substring(2)));
        loop.after(Duration.ofMillis(300), () -> report(worker, restarts));
      } else {
        tryNextController.run();
      }
    };
    processes.get(target(worker)).run(() -> controller.handleFront("POST", "/v1/report", body, reply));
  }

  /**
   * Delivers a duplicate to a random controller 2 to 72 s later, which may be well over a lease;
   * the worker doesn't receive the response.
   */
  private void duplicateLater(byte[] body) {
    loop.after(
        Duration.ofMillis(2000 + random.nextInt(70_000)),
        () -> deliverDuplicate(random.nextInt(controllerCount), body));
  }

  /** Holds a duplicate until the leader changes; delivers it there and within 3 s to all others. */
  private void duplicateToNextLeader(byte[] body, int previousLeader) {
    if (!duplicatesToNextLeader) {
      return;
    }
    int currentLeader = leader();
    if (currentLeader < 0 || currentLeader == previousLeader) {
      loop.after(Duration.ofMillis(50), () -> duplicateToNextLeader(body, previousLeader));
      return;
    }
    deliverDuplicate(currentLeader, body);
    for (int i = 0; i < controllerCount; i++) {
      int other = i;
      loop.after(Duration.ofMillis(random.nextInt(3000)), () -> deliverDuplicate(other, body));
    }
  }

  /** Returns the index of the controller that holds the autoscaler role; -1 for none. */
  int leader() {
    JsonNode fleet = store.value("ts/fleet");
    return fleet == null ? -1 : Integer.parseInt(fleet.get("label").asText().substring(2));
  }

  private void deliverDuplicate(int to, byte[] body) {
    Controller controller = controllers.get(to);
    if (controller != null && !isolated.contains(to)) {
      processes.get(to).run(() -> controller.handleFront("POST", "/v1/report", body, (s, b, r) -> {}));
    }
  }
}
