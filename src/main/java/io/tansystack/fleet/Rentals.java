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
 * Rents machines for the whole shortage at once. Every request is written to a journal, {@code
 * ts/rentals}, before it is sent, on the condition that this controller still holds the fleet
 * record. It stays there until the cloud has responded and the machine list shows the result. So
 * the next autoscaler knows at once which machines are pending, and repeats requests without a
 * response under the same ID: the cloud never rents twice under one ID.
 */
final class Rentals {
  private static final Logger log = LoggerFactory.getLogger(Rentals.class);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

  /** An offering is not requested again for this time after an error other than no capacity. */
  private static final Duration ERROR_PAUSE = Duration.ofSeconds(2);

  /** Minimum time between journal writes that only remove or update requests. */
  private static final Duration JOURNAL_INTERVAL = Duration.ofSeconds(1);

  /** The journal has to fit into one value; further requests wait until some are completed. */
  private static final int MAX_REQUESTS = 60;

  /** A request for machines of one offering. */
  private static final class Request {
    final String id;
    final MachineOffering offering;
    final int count;

    /** Number of machines that were rented; -1 until the cloud has responded. */
    int rentedCount = -1;

    /** When the response arrived here, or when it was found in the journal. */
    Duration answeredAt;

    /** Whether this controller received the names; otherwise only the machine list has them. */
    boolean namesKnown;

    boolean callInFlight;
    Duration nextTryAt = Duration.ZERO;

    Request(String id, MachineOffering offering, int count) {
      this.id = id;
      this.offering = offering;
      this.count = count;
    }

    ObjectNode write() {
      ObjectNode map =
          Cbor.map().put("id", id).put("type", offering.type()).put("zone", offering.zone());
      return map.put("spot", offering.spot()).put("count", count).put("got", rentedCount);
    }

    static Request read(ObjectNode map, Duration now) throws InvalidMessageException {
      MachineOffering offering =
          new MachineOffering(
              FieldReader.text(map, "type"),
              FieldReader.text(map, "zone"),
              FieldReader.flag(map, "spot"));
      int count = (int) FieldReader.integer(map, "count", 1, CloudProtocol.MAX_MACHINES_PER_RENT);
      Request request = new Request(FieldReader.text(map, "id"), offering, count);
      request.rentedCount = Math.min(map.path("got").asInt(-1), count);
      request.answeredAt = request.rentedCount < 0 ? null : now;
      return request;
    }
  }

  private final ThrottledLogger invalidMessages = new ThrottledLogger(log);
  private final EventLoop loop;
  private final CloudClient cloud;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final Inventory inventory;
  private final OperatorSettings operator;
  private final Supplier<Map<String, MachineType>> machineTypes;
  private final Duration maxListAge;
  private final Map<String, Request> requests = new LinkedHashMap<>();
  private final Map<MachineOffering, Duration> blockedUntil = new HashMap<>();
  private final Map<MachineOffering, Integer> refusals = new HashMap<>();
  private long fleetVersion;
  private long journalVersion;
  private long counter;
  private Duration roleSince = Duration.ZERO;
  private boolean journalExists;
  private boolean journalWriteInFlight;
  private boolean journalDirty;
  private Duration journalWrittenAt = Duration.ZERO;
  private String waitReason = "";

  Rentals(
      EventLoop loop,
      CloudClient cloud,
      StoreClient store,
      ClusterState clusterState,
      Inventory inventory,
      OperatorSettings operator,
      Supplier<Map<String, MachineType>> machineTypes,
      Duration maxListAge) {
    this.loop = loop;
    this.cloud = cloud;
    this.store = store;
    this.clusterState = clusterState;
    this.inventory = inventory;
    this.operator = operator;
    this.machineTypes = machineTypes;
    this.maxListAge = maxListAge;
  }

  /** Called when the role was taken, or when this process was paused while it held the role. */
  void reset(Duration now) {
    roleSince = now;
    if (fleetVersion != clusterState.autoscaler().version()) {
      fleetVersion = clusterState.autoscaler().version();
      counter = 0; // Request IDs stay unique, because they contain the fleet version.
    }
    requests.clear();
    blockedUntil.clear();
    waitReason = "";
    ClusterState.RentalJournal journal = clusterState.rentals();
    journalExists = journal != null;
    if (journal == null) {
      return;
    }
    journalVersion = Math.max(journalVersion, journal.version());
    try {
      for (JsonNode node : FieldReader.list(journal.value(), "requests")) {
        Request request = Request.read(FieldReader.map(node, "requests"), now);
        requests.put(request.id, request);
      }
      log.info("rental requests in the journal: {}", requests.keySet());
    } catch (InvalidMessageException e) {
      log.warn("the rental journal is unreadable: {}", e.getMessage());
      journalExists = false;
    }
  }

  /** Requested machines whose names this controller has not received in a response yet. */
  List<MachineOffering> pendingMachines() {
    List<MachineOffering> pending = new ArrayList<>();
    for (Request r : requests.values()) {
      if (!r.namesKnown) {
        pending.addAll(
            Collections.nCopies(r.rentedCount < 0 ? r.count : r.rentedCount, r.offering));
      }
    }
    return pending;
  }

  /** Rents machines for unmet demand, as far as pending machines don't cover it. */
  void tick(List<UnmetDemand> unmet, Duration now) {
    journalDirty |=
        requests.values().removeIf(
            r -> r.rentedCount >= 0 && now.minus(r.answeredAt).compareTo(maxListAge) > 0);
    for (Request r : List.copyOf(requests.values())) {
      if (r.rentedCount < 0
          && !r.callInFlight
          && now.compareTo(r.nextTryAt) >= 0
          && cloud.tryAcquire()) {
        send(r);
      }
    }
    if (journalWriteInFlight) {
      return;
    }
    List<Request> newRequests = planRequests(unmet, now);
    if (!newRequests.isEmpty()
        || (journalDirty && now.minus(journalWrittenAt).compareTo(JOURNAL_INTERVAL) > 0)) {
      writeJournal(newRequests);
    }
  }

  /**
   * The new requests, as many as calls may be made now, the most urgent first. The rest of the
   * shortage is planned again in a later tick.
   */
  private List<Request> planRequests(List<UnmetDemand> unmet, Duration now) {
    int calls = Math.min(cloud.available(), MAX_REQUESTS - requests.size());
    if (unmet.isEmpty() || calls <= 0) {
      return List.of();
    }
    String reason = reasonToWait(now);
    if (!reason.equals(waitReason)) {
      waitReason = reason;
      log.info("rent waits={}", reason.isEmpty() ? "no more" : reason);
    }
    if (!reason.isEmpty()) {
      return List.of();
    }
    List<MachineOffering> pending = inventory.booting(now);
    pending.addAll(pendingMachines());
    Map<MachineOffering, Integer> shortage =
        RentPlanner.decide(
            unmet,
            pending,
            machineTypes.get(),
            offering -> blockedUntil.getOrDefault(offering, Duration.ZERO).compareTo(now) > 0,
            operator);
    List<Request> newRequests = new ArrayList<>();
    shortage.forEach(
        (offering, count) -> {
          for (int remaining = count;
              remaining > 0;
              remaining -= CloudProtocol.MAX_MACHINES_PER_RENT) {
            if (newRequests.size() < calls) {
              String id = "r-" + fleetVersion + "-" + ++counter;
              newRequests.add(
                  new Request(
                      id, offering, Math.min(remaining, CloudProtocol.MAX_MACHINES_PER_RENT)));
            }
          }
        });
    return newRequests;
  }

  /** Why renting has to wait until all running machines are known; empty if it need not wait. */
  private String reasonToWait(Duration now) {
    if (!inventory.complete()) {
      return "for the first machine list";
    }
    if (now.minus(roleSince).compareTo(maxListAge) > 0) {
      return "";
    }
    // If there is no journal, an autoscaler of an earlier release, which wrote none, may have
    // rented machines that are not in the list yet.
    boolean firstRental = clusterState.machines().isEmpty() && inventory.isEmpty();
    return journalExists || firstRental ? "" : "for a list that shows what was rented before";
  }

  private void writeJournal(List<Request> newRequests) {
    newRequests.forEach(r -> requests.put(r.id, r));
    newRequests.forEach(r -> r.callInFlight = true); // tick() must not send them unwritten.
    ObjectNode value = Cbor.map();
    ArrayNode list = value.putArray("requests");
    requests.values().forEach(r -> list.add(r.write()));
    journalWriteInFlight = true;
    ClusterState.RentalJournal cached = clusterState.rentals();
    journalVersion = Math.max(journalVersion, cached == null ? 0 : cached.version());
    journalDirty = false;
    long versionAtWrite = fleetVersion;
    store.commitUrgent(
        List.of(
            new Condition(ClusterState.FLEET_KEY, fleetVersion),
            new Condition(ClusterState.RENTALS_KEY, journalVersion)),
        List.of(new Write(ClusterState.RENTALS_KEY, value, 0)),
        Duration.ofSeconds(1),
        (result, revision) -> {
          journalWriteInFlight = false;
          journalWrittenAt = loop.now();
          if (result != CommitResult.DONE || versionAtWrite != fleetVersion) {
            // The requests were never sent. If they were written all the same, the next journal
            // write removes them.
            log.info("rental journal not written: {}", result);
            newRequests.forEach(r -> requests.remove(r.id, r));
            journalDirty = true;
            return;
          }
          journalVersion = revision;
          journalExists = true;
          for (Request r : newRequests) {
            r.callInFlight = false;
            if (requests.get(r.id) == r && cloud.tryAcquire()) {
              send(r);
            }
          }
        });
  }

  private void send(Request r) {
    MachineOffering offering = r.offering;
    byte[] body =
        CloudProtocol.encodeRent(
            r.id, offering.type(), offering.zone(), offering.spot(), r.count);
    r.callInFlight = true;
    Duration sentAt = loop.now();
    cloud.call(
        "POST",
        "/machines",
        body,
        (status, map) -> {
          r.callInFlight = false;
          if (requests.get(r.id) != r) {
            return; // The role was lost or reset; the request is repeated under the same ID.
          }
          List<String> names = List.of();
          try {
            names = status == 200 ? CloudProtocol.readRented(map) : names;
          } catch (InvalidMessageException e) {
            invalidMessages.warn(
                "the response to rental " + r.id + " is unreadable", e.getMessage());
            status = 0;
          }
          log.info(
              "rent {} {} zone={} spot={} request={} status={} got={}",
              r.count,
              offering.type(),
              offering.zone(),
              offering.spot(),
              r.id,
              status,
              names);
          onResponse(r, status, map, names, sentAt);
        });
  }

  private void onResponse(
      Request r, int status, ObjectNode map, List<String> names, Duration sentAt) {
    Duration now = loop.now();
    if (status == 0 || status == 429) {
      // The rental may have been executed, or still be: only a retry with the same ID can tell.
      r.nextTryAt = now.plus(status == 0 ? RETRY_DELAY : Duration.ofMillis(500));
      return;
    }
    journalDirty = true;
    if (status == 200) {
      inventory.addRented(names, r.offering, sentAt);
      r.rentedCount = names.size();
      r.answeredAt = now;
      r.namesKnown = true;
    } else {
      requests.remove(r.id);
    }
    if (names.size() >= r.count) {
      refusals.remove(r.offering);
      return;
    }
    boolean full =
        status == 200 || (map != null && map.path("error").asText().equals("no capacity"));
    int times = full ? Math.min(refusals.merge(r.offering, 1, Integer::sum), 4) : 1;
    Duration pause = full ? operator.refusedPause().multipliedBy(times) : ERROR_PAUSE;
    blockedUntil.put(r.offering, now.plus(pause));
  }
}
