package io.tansystack.emulator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.CloudProtocol;
import io.tansystack.wire.MachineType;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** The cloud after its published protocol: rentals by name, deletions, and a list that lags. */
public final class EmulatedCloud {
  /** The machines behind the interface. */
  public interface MachineProvider {
    List<MachineType> types();

    /** Rents a machine and tells its name; null if none of the kind is left. */
    String rent(MachineType type, String zone, boolean spot);

    /** The machine and all on it are gone; nothing happens for an unknown name. */
    void delete(String name);

    /** All machines that were rented and not deleted, in the order of their names. */
    Collection<EmulatedWorker> rented();

    /** By how much the list is behind. */
    Duration listLag();

    /** How long after its rental a machine is listed as running. */
    Duration bootTime(EmulatedWorker machine);
  }

  private final EventLoop loop;
  private final MachineProvider park;

  /** What was answered to each rental: one name rents once. */
  private final Map<String, ObjectNode> rentals = new HashMap<>();

  public EmulatedCloud(EventLoop loop, MachineProvider park) {
    this.loop = loop;
    this.park = park;
  }

  /** How many requests for machines were carried out. */
  public int rentals() {
    return rentals.size();
  }

  /** Carries out a request and answers it. */
  public void handle(String path, ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    switch (path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'))) {
      case "/machine_types" -> reply.accept(200, types());
      case "/machines/delete" -> {
        body.get("Berths").forEach(name -> park.delete(name.asText()));
        reply.accept(200, Cbor.map());
      }
      case "/machines" -> {
        if (body.has("Charter")) {
          rent(body, reply);
        } else {
          reply.accept(200, list(path));
        }
      }
      default -> reply.accept(404, Cbor.map());
    }
  }

  private ObjectNode types() {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("Fleets");
    for (MachineType offered : park.types()) {
      ObjectNode type = list.addObject();
      type.put("Label", offered.name()).put("Cpus", offered.cpus()).put("Gpus", offered.gpus());
      type.put("MemGb", offered.memGb()).put("CacheGb", offered.cacheGb());
      type.put("PullGbPerS", offered.fetchGbPerS()).put("Price", offered.price());
      type.put("MarketPrice", offered.spotPrice()).put("BootS", offered.bootS());
      offered.zones().forEach(type.putArray("Yards")::add);
    }
    return map;
  }

  private void rent(ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    String request = body.get("Charter").asText();
    if (rentals.containsKey(request)) {
      reply.accept(200, rentals.get(request));
      return;
    }
    String typeName = body.get("Fleet").asText();
    MachineType type =
        park.types().stream().filter(t -> t.name().equals(typeName)).findFirst().orElseThrow();
    ObjectNode map = Cbor.map();
    ArrayNode names = map.putArray("Berths");
    int count = Math.min(body.get("HowMany").asInt(), CloudProtocol.MAX_MACHINES_PER_RENT);
    boolean spot = body.path("Loaners").asBoolean();
    for (int i = 0; i < count; i++) {
      String name = park.rent(type, body.get("Yard").asText(), spot);
      if (name == null) {
        break;
      }
      names.add(name);
    }
    if (names.isEmpty()) {
      reply.accept(503, Cbor.map().put("error", "no capacity"));
      return;
    }
    rentals.put(request, map);
    reply.accept(200, map);
  }

  private ObjectNode list(String path) {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("Berths");
    String since = EmulatedStore.query(path, "Since");
    Duration at = loop.now().minus(park.listLag());
    boolean more = false;
    for (EmulatedWorker machine : park.rented()) {
      Duration age = at.minus(machine.rentedAt());
      if (machine.name().compareTo(since) <= 0 || age.isNegative()) {
        continue;
      }
      more = list.size() == CloudProtocol.MACHINE_LIST_PAGE_SIZE;
      if (more) {
        break;
      }
      add(list, machine, age);
    }
    return map.put("HasNext", more);
  }

  private void add(ArrayNode list, EmulatedWorker machine, Duration age) {
    boolean up = age.compareTo(park.bootTime(machine)) >= 0;
    ObjectNode node =
        list.addObject()
            .put("Uid", machine.name())
            .put("Endpoint", machine.address())
            .put("Fleet", machine.type().name())
            .put("Yard", machine.zone())
            .put("Loaners", machine.spot())
            .put("AgeS", age.toMillis() / 1000.0);
    node.put("Status", machine.isDead() ? "failed" : up ? "running" : "starting");
  }
}
