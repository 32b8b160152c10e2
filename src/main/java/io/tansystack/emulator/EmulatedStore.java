package io.tansystack.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.wire.Cbor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/** The state service after its published protocol, in memory, on one loop. */
public final class EmulatedStore {
  /** The service keeps so many changes for watches. */
  private static final int KEPT_CHANGES = 10_000;

  private static final Duration EXPIRE_EVERY = Duration.ofMillis(50);

  private record Entry(ObjectNode value, long version, long lease) {}

  private record Event(String key, ObjectNode value, long version) {}

  private record Watch(String prefix, long since, BiConsumer<Integer, ObjectNode> reply) {}

  private final EventLoop loop;
  private final BooleanSupplier away;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<String, Long> writesByFolder = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<Long, Duration> leases = new HashMap<>();
  private final Map<Long, Long> leaseLives = new HashMap<>();
  private final TokenBucket requestBucket;
  private final TokenBucket writeBucket;
  private StoreLimits limits;
  private long revision;

  /** The newest change that watches can no longer be told. */
  private long forgottenUntil;

  private long nextLease = 1;
  private boolean wasAway;
  private long requests;
  private long refused;
  private long writes;

  /** @param away whether it serves nobody: then no lease ends, and afterwards each has its full time again */
  public EmulatedStore(EventLoop loop, StoreLimits limits, BooleanSupplier away) {
    this.loop = loop;
    this.limits = limits;
    this.away = away;
    this.requestBucket = new TokenBucket(limits.requestsPerSecond(), loop.now());
    this.writeBucket = new TokenBucket(limits.writesPerSecond(), loop.now());
    expireLeases();
  }

  public StoreLimits limits() {
    return limits;
  }

  public void limits(StoreLimits newLimits) {
    limits = newLimits;
    requestBucket.rate(newLimits.requestsPerSecond(), loop.now());
    writeBucket.rate(newLimits.writesPerSecond(), loop.now());
  }

  /** Requests that came since the start, or since the counts were last reset. */
  public long requests() {
    return requests;
  }

  /** Requests and transactions that were over a limit. */
  public long refused() {
    return refused;
  }

  /** Puts and deletes that were carried out. */
  public long writes() {
    return writes;
  }

  public void resetCounts() {
    requests = 0;
    refused = 0;
    writes = 0;
  }

  /** Loses everything, as if nothing had ever been written. */
  public void clear() {
    entries.clear();
    events.clear();
    watches.clear();
  }

  /** The value of a key; null if it does not exist. */
  public ObjectNode value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  /** All keys with a prefix and their values, in order. */
  public Map<String, JsonNode> values(String prefix) {
    Map<String, JsonNode> values = new TreeMap<>();
    below(prefix).forEach((key, entry) -> values.put(key, entry.value));
    return values;
  }

  public long keys(String prefix) {
    return below(prefix).size();
  }

  private SortedMap<String, Entry> below(String prefix) {
    return prefix.isEmpty()
        ? Collections.unmodifiableSortedMap(entries)
        : entries.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** How often something was written or deleted in a folder, which ends with a slash. */
  public long writes(String folder) {
    return writesByFolder.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(folder))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /** Writes and deletions by the first two parts of their keys. */
  public Map<String, Long> writesByKind() {
    Map<String, Long> kinds = new TreeMap<>();
    writesByFolder.forEach((folder, count) -> kinds.merge(kind(folder), count, Long::sum));
    return kinds;
  }

  private static String kind(String folder) {
    String[] parts = folder.split("/");
    return parts.length < 2 ? folder : parts[0] + "/" + parts[1];
  }

  /** Puts a value without a transaction: what was there before the run. */
  public void preset(String key, ObjectNode value) {
    revision++;
    entries.put(key, new Entry(value, revision, 0));
  }

  private void expireLeases() {
    boolean isAway = away.getAsBoolean();
    if (isAway || wasAway) {
      leases.replaceAll((lease, until) -> loop.now().plusMillis(leaseLives.get(lease)));
    }
    wasAway = isAway;
    for (Long lease : List.copyOf(leases.keySet())) {
      if (loop.now().compareTo(leases.get(lease)) > 0) {
        leases.remove(lease);
        removeAttached(lease);
      }
    }
    loop.after(EXPIRE_EVERY, this::expireLeases);
  }

  private void removeAttached(long lease) {
    List<String> attached = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.lease == lease) {
            attached.add(key);
          }
        });
    if (!attached.isEmpty()) {
      revision++;
      attached.forEach(key -> put(key, null, 0));
      wakeWatches();
    }
  }

  private void put(String key, ObjectNode value, long lease) {
    if (value == null) {
      if (entries.remove(key) == null) {
        return;
      }
    } else {
      entries.put(key, new Entry(value, revision, lease));
    }
    writes++;
    writesByFolder.merge(key.substring(0, key.lastIndexOf('/') + 1), 1L, Long::sum);
    events.add(new Event(key, value, revision));
    if (events.size() > 2 * KEPT_CHANGES) {
      forgottenUntil = events.get(events.size() - KEPT_CHANGES - 1).version;
      events.subList(0, events.size() - KEPT_CHANGES).clear();
    }
  }

  private void wakeWatches() {
    for (Watch watch : List.copyOf(watches)) {
      if (answerIfChanged(watch)) {
        watches.remove(watch);
      }
    }
  }

  private boolean answerIfChanged(Watch watch) {
    ObjectNode map = Cbor.map();
    ArrayNode log = map.putArray("Log");
    for (Event event : events.subList(firstAfter(watch.since), events.size())) {
      if (event.key.startsWith(watch.prefix)) {
        ObjectNode node = log.addObject().put("Stamp", event.version);
        if (event.value == null) {
          node.put("Delete", event.key);
        } else {
          node.put("Write", event.key).set("Value", event.value);
        }
      }
    }
    if (log.isEmpty()) {
      return false;
    }
    watch.reply.accept(200, map.put("Ledger", revision));
    return true;
  }

  /** Index of the first change after a revision; changes are kept in the order of theirs. */
  private int firstAfter(long since) {
    int low = 0;
    int high = events.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (events.get(middle).version > since) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }

  /** A parameter of a request; empty if it is missing. */
  static String query(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return "";
  }

  /** Carries out a request and answers it, at once or, a watch, when something has changed. */
  public void handle(
      String method, String path, ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    requests++;
    if (!requestBucket.take(1, loop.now())) {
      refused++;
      reply.accept(429, Cbor.map());
    } else if (path.startsWith("/store?")) {
      list(path, reply);
    } else if (path.startsWith("/store/")) {
      get(path.substring("/store/".length()), reply);
    } else if (path.startsWith("/watch?")) {
      watch(path, reply);
    } else if (path.equals("/commit")) {
      commit(body, reply);
    } else if (path.equals("/grants")) {
      grant(body.get("LifeMs").asLong(), reply);
    } else if (path.endsWith("/renew")) {
      renew(Long.parseLong(path.split("/")[2]), reply);
    } else {
      throw new IllegalStateException(method + " " + path);
    }
  }

  private void list(String path, BiConsumer<Integer, ObjectNode> reply) {
    ObjectNode map = Cbor.map();
    ArrayNode pairs = map.putArray("Pairs");
    String prefix = query(path, "Starts");
    String since = query(path, "Since");
    boolean more = false;
    for (Map.Entry<String, Entry> entry : below(prefix).entrySet()) {
      if (entry.getKey().compareTo(since) > 0) {
        more = pairs.size() == limits.pageSize();
        if (more) {
          break;
        }
        ObjectNode pair = pairs.addObject();
        pair.put("Path", entry.getKey()).put("Stamp", entry.getValue().version);
        pair.set("Value", entry.getValue().value);
      }
    }
    reply.accept(200, map.put("HasNext", more).put("Ledger", revision));
  }

  private void get(String key, BiConsumer<Integer, ObjectNode> reply) {
    Entry entry = entries.get(key);
    if (entry == null) {
      reply.accept(404, Cbor.map().put("Ledger", revision));
      return;
    }
    ObjectNode map = Cbor.map().put("Path", key).put("Stamp", entry.version);
    map.set("Value", entry.value);
    reply.accept(200, map);
  }

  private void watch(String path, BiConsumer<Integer, ObjectNode> reply) {
    long since = Long.parseLong(query(path, "Since"));
    if (since < forgottenUntil) {
      reply.accept(410, Cbor.map());
      return;
    }
    Watch watch = new Watch(query(path, "Starts"), since, reply);
    if (answerIfChanged(watch)) {
      return;
    }
    watches.add(watch);
    loop.after(
        Duration.ofMillis(Long.parseLong(query(path, "HoldMs"))),
        () -> {
          if (watches.remove(watch)) {
            ObjectNode map = Cbor.map().put("Ledger", revision);
            map.putArray("Log");
            reply.accept(200, map);
          }
        });
  }

  private void grant(long lifeMs, BiConsumer<Integer, ObjectNode> reply) {
    long lease = nextLease++;
    leaseLives.put(lease, lifeMs);
    leases.put(lease, loop.now().plusMillis(lifeMs));
    reply.accept(200, Cbor.map().put("Permit", lease));
  }

  private void renew(long lease, BiConsumer<Integer, ObjectNode> reply) {
    if (leases.containsKey(lease)) {
      leases.put(lease, loop.now().plusMillis(leaseLives.get(lease)));
      reply.accept(200, Cbor.map());
    } else {
      reply.accept(404, Cbor.map());
    }
  }

  private void commit(ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    JsonNode changes = body.path("Then");
    if (!writeBucket.take(changes.size(), loop.now())) {
      refused++;
      reply.accept(429, Cbor.map());
      return;
    }
    for (JsonNode condition : body.path("When")) {
      Entry entry = entries.get(condition.get("Path").asText());
      if ((entry == null ? 0 : entry.version) != condition.get("Stamp").asLong()) {
        reply.accept(409, Cbor.map().put("Ledger", revision));
        return;
      }
    }
    for (JsonNode change : changes) {
      if (change.has("Permit") && !leases.containsKey(change.get("Permit").asLong())) {
        reply.accept(400, Cbor.map().put("error", "no such lease"));
        return;
      }
    }
    if (!changes.isEmpty()) {
      revision++;
    }
    changes.forEach(this::apply);
    reply.accept(200, Cbor.map().put("Ledger", revision));
    wakeWatches();
  }

  private void apply(JsonNode change) {
    if (change.has("Delete")) {
      put(change.get("Delete").asText(), null, 0);
    } else {
      ObjectNode value = (ObjectNode) change.get("Value");
      put(change.get("Write").asText(), value, change.path("Permit").asLong());
    }
  }
}
