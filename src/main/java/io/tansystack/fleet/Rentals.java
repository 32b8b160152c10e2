package io.tansystack.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.schedule.Plan.UnmetDemand;
import io.tansystack.schedule.RentPlanner.MachineOffering;
import io.tansystack.schedule.RentPlanner;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.CloudProtocol;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import io.tansystack.wire.ThrottledLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents what is lacking, all of it at once. Every request is written to {@code ts/rentals} before it
 * is sent, on the condition that the fleet is still held, and stays there until it is answered and
 * the machine list shows what came of it. So whoever takes the duty over knows at once what is about
 * to come, and asks again under the same name for what was not answered: the cloud rents nothing
 * twice under one name.
 */
final class Rentals {
  private static final Logger log = LoggerFactory.getLogger(Rentals.class);
  private static final Duration ASK_AGAIN = Duration.ofSeconds(2);
  private static final Duration TROUBLE_PAUSE = Duration.ofSeconds(2);
  private static final Duration FLUSH = Duration.ofSeconds(1);

  /** The journal has to fit into one value; more is waited for until some are over. */
  private static final int MAX_OPEN = 60;

  /** A request. */
  private static final class Request {
    final String id;
    final MachineOffering kind;
    final int count;

    /** How many came of it; -1 while that is unknown. */
    int got = -1;

    /** When it was answered here, or found answered. */
    Duration answeredAt;

    /** Whether this controller was told the names; else they come with the list only. */
    boolean named;

    boolean calling;
    Duration askAt = Duration.ZERO;

    Request(String id, MachineOffering kind, int count) {
      this.id = id;
      this.kind = kind;
      this.count = count;
    }

    ObjectNode write() {
      ObjectNode map = Cbor.map().put("id", id).put("type", kind.type()).put("zone", kind.zone());
      return map.put("spot", kind.spot()).put("count", count).put("got", got);
    }

    static Request read(ObjectNode map, Duration now) throws InvalidMessageException {
      MachineOffering kind =
          new MachineOffering(
              FieldReader.text(map, "type"),
              FieldReader.text(map, "zone"),
              FieldReader.flag(map, "spot"));
      int count = (int) FieldReader.integer(map, "count", 1, CloudProtocol.MAX_RENT);
      Request request = new Request(FieldReader.text(map, "id"), kind, count);
      request.got = Math.min(map.path("got").asInt(-1), count);
      request.answeredAt = request.got < 0 ? null : now;
      return request;
    }
  }

  private final ThrottledLogger malformed = new ThrottledLogger(log);
  private final EventLoop loop;
  private final CloudClient cloud;
  private final StoreClient store;
  private final ClusterState world;
  private final Inventory inventory;
  private final OperatorSettings operator;
  private final Supplier<Map<String, MachineType>> types;
  private final Duration listAge;
  private final Map<String, Request> requests = new LinkedHashMap<>();
  private final Map<MachineOffering, Duration> blockedUntil = new HashMap<>();
  private final Map<MachineOffering, Integer> refusals = new HashMap<>();
  private long fleetVersion;
  private long journalVersion;
  private long counter;
  private Duration heldSince = Duration.ZERO;
  private boolean inherited;
  private boolean writing;
  private boolean dirty;
  private Duration writtenAt = Duration.ZERO;
  private String waitsFor = "";

  Rentals(
      EventLoop loop,
      CloudClient cloud,
      StoreClient store,
      ClusterState world,
      Inventory inventory,
      OperatorSettings operator,
      Supplier<Map<String, MachineType>> types,
      Duration listAge) {
    this.loop = loop;
    this.cloud = cloud;
    this.store = store;
    this.world = world;
    this.inventory = inventory;
    this.operator = operator;
    this.types = types;
    this.listAge = listAge;
  }

  /** The duty was taken, or this process stood still while it had it. */
  void startAnew(Duration now) {
    heldSince = now;
    if (fleetVersion != world.autoscaler().version()) {
      fleetVersion = world.autoscaler().version();
      counter = 0; // Names of an earlier holding have its version in them.
    }
    requests.clear();
    blockedUntil.clear();
    waitsFor = "";
    ClusterState.RentalJournal journal = world.rentals();
    inherited = journal != null;
    if (journal == null) {
      return;
    }
    journalVersion = Math.max(journalVersion, journal.version());
    try {
      for (JsonNode node : FieldReader.list(journal.value(), "requests")) {
        Request request = Request.read(FieldReader.map(node, "requests"), now);
        requests.put(request.id, request);
      }
      log.info("rentals of before: {}", requests.keySet());
    } catch (InvalidMessageException e) {
      log.warn("the journal of rentals is unreadable: {}", e.getMessage());
      inherited = false;
    }
  }

  /** Machines asked for that no list and no answer to this controller has named yet. */
  List<MachineOffering> coming() {
    List<MachineOffering> coming = new ArrayList<>();
    for (Request r : requests.values()) {
      if (!r.named) {
        coming.addAll(Collections.nCopies(r.got < 0 ? r.count : r.got, r.kind));
      }
    }
    return coming;
  }

  /** Rents what found no room, beyond what is coming. */
  void turn(List<UnmetDemand> unmet, Duration now) {
    dirty |=
        requests.values().removeIf(
            r -> r.got >= 0 && now.minus(r.answeredAt).compareTo(listAge) > 0);
    for (Request r : List.copyOf(requests.values())) {
      if (r.got < 0 && !r.calling && now.compareTo(r.askAt) >= 0 && cloud.take()) {
        ask(r);
      }
    }
    if (writing) {
      return;
    }
    List<Request> wanted = decide(unmet, now);
    if (!wanted.isEmpty() || (dirty && now.minus(writtenAt).compareTo(FLUSH) > 0)) {
      write(wanted);
    }
  }

  /** As many requests as calls may be made now, the most urgent first: what is left is decided anew. */
  private List<Request> decide(List<UnmetDemand> unmet, Duration now) {
    int calls = Math.min(cloud.available(), MAX_OPEN - requests.size());
    if (unmet.isEmpty() || calls <= 0) {
      return List.of();
    }
    String reason = mustWait(now);
    if (!reason.equals(waitsFor)) {
      waitsFor = reason;
      log.info("rent waits={}", reason.isEmpty() ? "no more" : reason);
    }
    if (!reason.isEmpty()) {
      return List.of();
    }
    List<MachineOffering> coming = inventory.booting(now);
    coming.addAll(coming());
    Map<MachineOffering, Integer> lacking =
        RentPlanner.decide(
            unmet,
            coming,
            types.get(),
            kind -> blockedUntil.getOrDefault(kind, Duration.ZERO).compareTo(now) > 0,
            operator);
    List<Request> wanted = new ArrayList<>();
    lacking.forEach(
        (kind, count) -> {
          for (int left = count; left > 0; left -= CloudProtocol.MAX_RENT) {
            if (wanted.size() < calls) {
              String id = "r-" + fleetVersion + "-" + ++counter;
              wanted.add(new Request(id, kind, Math.min(left, CloudProtocol.MAX_RENT)));
            }
          }
        });
    return wanted;
  }

  /** Why nothing may be rented yet: whatever runs already must be known. Empty where it may. */
  private String mustWait(Duration now) {
    if (!inventory.complete()) {
      return "for the first machine list";
    }
    if (now.minus(heldSince).compareTo(listAge) > 0) {
      return "";
    }
    // Without a journal, a holder of an earlier version may have rented what the list lacks yet.
    boolean first = world.machines().isEmpty() && inventory.isEmpty();
    return inherited || first ? "" : "for a list that shows what was rented before";
  }

  private void write(List<Request> wanted) {
    writing = true;
    wanted.forEach(r -> requests.put(r.id, r));
    wanted.forEach(r -> r.calling = true); // Not before it is written.
    ObjectNode value = Cbor.map();
    ArrayNode list = value.putArray("requests");
    requests.values().forEach(r -> list.add(r.write()));
    ClusterState.RentalJournal shown = world.rentals();
    journalVersion = Math.max(journalVersion, shown == null ? 0 : shown.version());
    dirty = false;
    long holding = fleetVersion;
    store.commitUrgent(
        List.of(
            new Condition(ClusterState.FLEET_KEY, fleetVersion),
            new Condition(ClusterState.RENTALS_KEY, journalVersion)),
        List.of(new Write(ClusterState.RENTALS_KEY, value, 0)),
        Duration.ofSeconds(1),
        (result, revision) -> {
          writing = false;
          writtenAt = loop.now();
          if (result != CommitResult.DONE || holding != fleetVersion) {
            // Never sent; if it was written nevertheless, the next writing leaves it out.
            log.info("rentals not written: {}", result);
            wanted.forEach(r -> requests.remove(r.id, r));
            dirty = true;
            return;
          }
          journalVersion = revision;
          inherited = true;
          for (Request r : wanted) {
            r.calling = false;
            if (requests.get(r.id) == r && cloud.take()) {
              ask(r);
            }
          }
        });
  }

  private void ask(Request r) {
    r.calling = true;
    Duration at = loop.now();
    MachineOffering kind = r.kind;
    cloud.call(
        "POST",
        "/machines",
        CloudProtocol.rent(r.id, kind.type(), kind.zone(), kind.spot(), r.count),
        (status, map) -> {
          r.calling = false;
          if (requests.get(r.id) != r) {
            return; // The duty was lost meanwhile; its next holder asks by the same name.
          }
          List<String> names = List.of();
          try {
            names = status == 200 ? CloudProtocol.readRented(map) : names;
          } catch (InvalidMessageException e) {
            malformed.tell("the answer to rental " + r.id + " is unreadable", e.getMessage());
            status = 0;
          }
          log.info(
              "rent {} {} zone={} spot={} request={} status={} got={}",
              r.count,
              kind.type(),
              kind.zone(),
              kind.spot(),
              r.id,
              status,
              names);
          answered(r, status, map, names, at);
        });
  }

  private void answered(
      Request r, int status, ObjectNode map, List<String> names, Duration askedAt) {
    Duration now = loop.now();
    if (status == 0 || status == 429) {
      // It may have been carried out, or still be: only the same name can tell.
      r.askAt = now.plus(status == 0 ? ASK_AGAIN : Duration.ofMillis(500));
      return;
    }
    dirty = true;
    if (status == 200) {
      inventory.rented(names, r.kind, askedAt);
      r.got = names.size();
      r.answeredAt = now;
      r.named = true;
    } else {
      requests.remove(r.id);
    }
    if (names.size() >= r.count) {
      refusals.remove(r.kind);
      return;
    }
    boolean full =
        status == 200 || (map != null && map.path("error").asText().equals("no capacity"));
    int times = full ? Math.min(refusals.merge(r.kind, 1, Integer::sum), 4) : 1;
    Duration pause = full ? operator.refusedPause().multipliedBy(times) : TROUBLE_PAUSE;
    blockedUntil.put(r.kind, now.plus(pause));
  }
}
