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
import java.util.function.Predicate;

/**
 * Emulates the cloud's published protocol: rentals with idempotent request names, deletions, and a
 * machine list that lags behind.
 */
public final class EmulatedCloud {
  /** The kinds of requests to the cloud's interface. */
  public enum RequestKind { LIST_TYPES, LIST_MACHINES, RENT, DELETE }

  /** Provides the machines behind the cloud's interface. */
  public interface MachineProvider {
    /** All machine types that can be rented. */
    List<MachineType> types();

    /** Rents a machine and returns its name; null if there is no capacity for this request. */
    String rent(MachineType type, String zone, boolean spot);

    /** Deletes a machine with all its tasks; an unknown name is ignored. */
    void delete(String name);

    /** All machines that were rented and not deleted, ordered by name. */
    Collection<EmulatedWorker> rented();

    /** Time by which the machine list lags behind. */
    Duration listLag();

    /** Time from the rental of a machine until it is listed as running. */
    Duration bootTime(EmulatedWorker machine);
  }

  private final EventLoop loop;
  private final MachineProvider provider;
  private final Predicate<RequestKind> unavailable;

  /** Response to each rental by request name; a repeated request gets the same response. */
  private final Map<String, ObjectNode> rentals = new HashMap<>();

  /** @param unavailable the kinds of requests that are answered with 503 and not carried out */
  public EmulatedCloud(
      EventLoop loop, MachineProvider provider, Predicate<RequestKind> unavailable) {
    this.loop = loop;
    this.provider = provider;
    this.unavailable = unavailable;
  }

  /** Number of rental requests that were carried out. */
  public int rentals() {
    return rentals.size();
  }

  /**
   * Carries out a request and replies to it.
   *
   * @param path path with query parameters
   * @param body empty map for requests without a body
   * @param reply receives the HTTP status and the response body
   */
  public void handle(String path, ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    RequestKind kind = kind(path, body);
    if (kind == null) {
      reply.accept(404, Cbor.map());
      return;
    }
    if (unavailable.test(kind)) {
      reply.accept(503, Cbor.map().put("error", "trouble"));
      return;
    }
    switch (kind) {
      case LIST_TYPES -> reply.accept(200, listTypes());
      case LIST_MACHINES -> reply.accept(200, listMachines(path));
      case RENT -> rent(body, reply);
      case DELETE -> {
        body.get("Berths").forEach(name -> provider.delete(name.asText()));
        reply.accept(200, Cbor.map());
      }
    }
  }

  /** The kind of a request; null for an unknown path. */
  private static RequestKind kind(String path, ObjectNode body) {
    return switch (path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'))) {
      case "/machine_types" -> RequestKind.LIST_TYPES;
      case "/machines/delete" -> RequestKind.DELETE;
      case "/machines" -> body.has("Charter") ? RequestKind.RENT : RequestKind.LIST_MACHINES;
      default -> null;
    };
  }

  private ObjectNode listTypes() {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("Fleets");
    for (MachineType offered : provider.types()) {
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
        provider.types().stream().filter(t -> t.name().equals(typeName)).findFirst().orElseThrow();
    ObjectNode map = Cbor.map();
    ArrayNode names = map.putArray("Berths");
    int count = Math.min(body.get("HowMany").asInt(), CloudProtocol.MAX_MACHINES_PER_RENT);
    boolean spot = body.path("Loaners").asBoolean();
    for (int i = 0; i < count; i++) {
      String name = provider.rent(type, body.get("Yard").asText(), spot);
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

  private ObjectNode listMachines(String path) {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("Berths");
    String afterName = EmulatedStore.queryParameter(path, "Since");
    Duration asOf = loop.now().minus(provider.listLag());
    boolean more = false;
    for (EmulatedWorker machine : provider.rented()) {
      Duration age = asOf.minus(machine.rentedAt());
      if (machine.name().compareTo(afterName) <= 0 || age.isNegative()) {
        continue;
      }
      more = list.size() == CloudProtocol.MACHINE_LIST_PAGE_SIZE;
      if (more) {
        break;
      }
      addMachine(list, machine, age);
    }
    return map.put("HasNext", more);
  }

  private void addMachine(ArrayNode list, EmulatedWorker machine, Duration age) {
    boolean up = age.compareTo(provider.bootTime(machine)) >= 0;
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
