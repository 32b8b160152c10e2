package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** A stand-in for the cloud, after its published protocol: the network's types of machines, in its zones. */
final class StandInCloud {
  private final SimNetwork network;

  /** What was answered to each rental: one name rents once. */
  final Map<String, ObjectNode> rented = new HashMap<>();

  StandInCloud(SimNetwork network) {
    this.network = network;
  }

  private SimNetwork.SimType type(String name) {
    return network.types.stream().filter(type -> type.name().equals(name)).findFirst().orElseThrow();
  }

  void handle(String path, ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    ObjectNode map = Cbor.map();
    if (path.equals("/machine_types")) {
      ArrayNode list = map.putArray("Fleets");
      for (SimNetwork.SimType offered : network.types) {
        ObjectNode type = list.addObject();
        type.put("Label", offered.name()).put("Cpus", offered.cpus()).put("Gpus", offered.gpus());
        type.put("MemGb", offered.memGb()).put("CacheGb", 50).put("PullGbPerS", 1.0);
        type.put("Price", 1.0 + offered.gpus()).put("MarketPrice", 0.3 + offered.gpus()).put("BootS", 5);
        network.zones.forEach(type.putArray("Yards")::add);
      }
    } else if (path.equals("/machines")) {
      String charter = body.get("Charter").asText();
      if (rented.containsKey(charter)) {
        reply.accept(200, rented.get(charter));
        return;
      }
      ArrayNode names = map.putArray("Berths");
      for (int i = 0;
          i < body.get("HowMany").asInt()
              && network.workers.size() < network.maxMachines
              && !network.full.contains(body.get("Yard").asText());
          i++) {
        names.add(
            network.addWorker(
                type(body.get("Fleet").asText()), body.get("Yard").asText(), body.path("Loaners").asBoolean()));
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
                StandInWorker worker = network.workers.remove(name.asText());
                if (worker != null) {
                  worker.die();
                }
              });
    } else {
      ArrayNode list = map.putArray("Berths");
      Duration now = network.loop.now();
      network.workers.values().stream()
          .filter(w -> now.minus(w.rentedAt).compareTo(network.listLag) >= 0)
          .forEach(
              w ->
                  list.addObject().put("Uid", w.name).put("Endpoint", w.address).put("Fleet", w.type.name())
                      .put("Yard", w.zone).put("Loaners", w.spot).put("Status", "running").put("AgeS", 9));
      map.put("HasNext", false);
    }
    reply.accept(200, map);
  }
}
