package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** A stand-in for the cloud, after its published protocol: one type of machine, in the network's zones. */
final class StandInCloud {
  private final SimNetwork network;

  /** What was answered to each rental: one name rents once. */
  final Map<String, ObjectNode> rented = new HashMap<>();

  StandInCloud(SimNetwork network) {
    this.network = network;
  }

  void handle(String path, ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    ObjectNode map = Cbor.map();
    if (path.equals("/machine_types")) {
      ObjectNode type = map.putArray("Fleets").addObject();
      type.put("Label", "small").put("Cpus", 4).put("Gpus", 0).put("MemGb", 16).put("CacheGb", 50);
      type.put("PullGbPerS", 1.0).put("Price", 1.0).put("MarketPrice", 0.3).put("BootS", 5);
      network.zones.forEach(type.putArray("Yards")::add);
    } else if (path.equals("/machines")) {
      String charter = body.get("Charter").asText();
      if (rented.containsKey(charter)) {
        reply.accept(200, rented.get(charter));
        return;
      }
      ArrayNode names = map.putArray("Berths");
      for (int i = 0;
          i < body.get("HowMany").asInt() && network.workers.size() < network.maxMachines;
          i++) {
        names.add(network.addWorker(body.get("Yard").asText()));
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
                  worker.dead = true;
                }
              });
    } else {
      ArrayNode list = map.putArray("Berths");
      network.workers.values().forEach(
          w ->
              list.addObject().put("Uid", w.name).put("Endpoint", w.address).put("Fleet", "small")
                  .put("Yard", w.zone).put("Loaners", false).put("Status", "running").put("AgeS", 9));
      map.put("HasNext", false);
    }
    reply.accept(200, map);
  }
}
