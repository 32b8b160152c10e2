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

/** Emulates the state service's published protocol in memory. Confined to one event loop. */
public final class EmulatedStore {
  /** Minimum number of recent changes that are retained for watches. */
  private static final int RETAINED_EVENTS = 10_000;

  private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(50);

  private record Entry(ObjectNode value, long version, long lease) {}

  private record Event(String key, ObjectNode value, long version) {}

  private record Watch(String prefix, long since, BiConsumer<Integer, ObjectNode> reply) {}

  private final EventLoop loop;
  private final BooleanSupplier unavailable;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<String, Long> writesByFolder = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<Long, Duration> leaseDeadlines = new HashMap<>();
  private final Map<Long, Long> leaseDurationsMs = new HashMap<>();
  private final TokenBucket requestBucket;
  private final TokenBucket writeBucket;
  private StoreLimits limits;
  private long revision;

  /** Revision of the newest change that is no longer retained for watches. */
  private long discardedRevision;

  private long nextLease = 1;
  private boolean wasUnavailable;
  private long requests;
  private long rejected;
  private long writes;

  /**
   * @param unavailable whether the service is down: no lease expires then, and each lease has its
   *     full duration again afterwards
   */
  public EmulatedStore(EventLoop loop, StoreLimits limits, BooleanSupplier unavailable) {
    this.loop = loop;
    this.limits = limits;
    this.unavailable = unavailable;
    this.requestBucket = new TokenBucket(limits.requestsPerSecond(), loop.now());
    this.writeBucket = new TokenBucket(limits.writesPerSecond(), loop.now());
    expireLeases();
  }

  public StoreLimits limits() {
    return limits;
  }

  /** Changes the limits from now on. */
  public void limits(StoreLimits newLimits) {
    limits = newLimits;
    requestBucket.setRate(newLimits.requestsPerSecond(), loop.now());
    writeBucket.setRate(newLimits.writesPerSecond(), loop.now());
  }

  /** Number of requests since the start or the last reset of the counters. */
  public long requests() {
    return requests;
  }

  /** Number of requests and transactions rejected because they exceeded a limit. */
  public long rejected() {
    return rejected;
  }

  /** Number of puts and deletes that were carried out. */
  public long writes() {
    return writes;
  }

  public void resetCounters() {
    requests = 0;
    rejected = 0;
    writes = 0;
  }

  /** Discards all keys, retained changes and pending watches; leases and the revision stay. */
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

  /** All keys with a prefix and their values, ordered by key. */
  public Map<String, JsonNode> values(String prefix) {
    Map<String, JsonNode> values = new TreeMap<>();
    entriesWithPrefix(prefix).forEach((key, entry) -> values.put(key, entry.value));
    return values;
  }

  /** Number of keys with a prefix. */
  public long keyCount(String prefix) {
    return entriesWithPrefix(prefix).size();
  }

  private SortedMap<String, Entry> entriesWithPrefix(String prefix) {
    return prefix.isEmpty()
        ? Collections.unmodifiableSortedMap(entries)
        : entries.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /**
   * Number of writes and deletions since the start in all folders that start with a prefix. A
   * folder is a key up to and including its last slash.
   */
  public long writes(String folder) {
    return writesByFolder.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(folder))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /** Number of writes and deletions by the first two segments of their keys. */
  public Map<String, Long> writesByKind() {
    Map<String, Long> kinds = new TreeMap<>();
    writesByFolder.forEach((folder, count) -> kinds.merge(keyKind(folder), count, Long::sum));
    return kinds;
  }

  private static String keyKind(String folder) {
    String[] parts = folder.split("/");
    return parts.length < 2 ? folder : parts[0] + "/" + parts[1];
  }

  /** Stores a value that exists before the run, without a transaction, a lease or an event. */
  public void preset(String key, ObjectNode value) {
    revision++;
    entries.put(key, new Entry(value, revision, 0));
  }

  private void expireLeases() {
    boolean isUnavailable = unavailable.getAsBoolean();
    if (isUnavailable || wasUnavailable) {
      leaseDeadlines.replaceAll(
          (lease, deadline) -> loop.now().plusMillis(leaseDurationsMs.get(lease)));
    }
    wasUnavailable = isUnavailable;
    for (Long lease : List.copyOf(leaseDeadlines.keySet())) {
      if (loop.now().compareTo(leaseDeadlines.get(lease)) > 0) {
        leaseDeadlines.remove(lease);
        removeAttached(lease);
      }
    }
    loop.after(EXPIRY_CHECK_INTERVAL, this::expireLeases);
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
      notifyWatches();
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
    if (events.size() > 2 * RETAINED_EVENTS) {
      discardedRevision = events.get(events.size() - RETAINED_EVENTS - 1).version;
      events.subList(0, events.size() - RETAINED_EVENTS).clear();
    }
  }

  private void notifyWatches() {
    for (Watch watch : List.copyOf(watches)) {
      if (replyIfChanged(watch)) {
        watches.remove(watch);
      }
    }
  }

  private boolean replyIfChanged(Watch watch) {
    ObjectNode map = Cbor.map();
    ArrayNode log = map.putArray("Log");
    for (Event event : events.subList(firstIndexAfter(watch.since), events.size())) {
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

  /** Index of the first change after a revision; changes are stored in order of revision. */
  private int firstIndexAfter(long since) {
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

  /** Value of a query parameter; empty if it is missing. */
  static String queryParameter(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return "";
  }

  /**
   * Carries out a request and replies at once; a watch is replied to when a key with its prefix has
   * changed, or with no changes when its hold time is over.
   *
   * @param body null for requests without a body
   * @param reply receives the HTTP status and the response body
   */
  public void handle(
      String method, String path, ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    requests++;
    if (!requestBucket.tryTake(1, loop.now())) {
      rejected++;
      reply.accept(429, Cbor.map());
    } else if (path.startsWith("/store?")) {
      listKeys(path, reply);
    } else if (path.startsWith("/store/")) {
      getKey(path.substring("/store/".length()), reply);
    } else if (path.startsWith("/watch?")) {
      watch(path, reply);
    } else if (path.equals("/commit")) {
      commit(body, reply);
    } else if (path.equals("/grants")) {
      grant(body.get("LifeMs").asLong(), reply);
    } else if (path.endsWith("/renew")) {
      renew(Long.parseLong(path.split("/")[2]), reply);
    } else {
      throw new IllegalStateException(method + " request to an unknown path: " + path);
    }
  }

  private void listKeys(String path, BiConsumer<Integer, ObjectNode> reply) {
    ObjectNode map = Cbor.map();
    ArrayNode pairs = map.putArray("Pairs");
    String prefix = queryParameter(path, "Starts");
    String afterKey = queryParameter(path, "Since");
    boolean more = false;
    for (Map.Entry<String, Entry> entry : entriesWithPrefix(prefix).entrySet()) {
      if (entry.getKey().compareTo(afterKey) > 0) {
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

  private void getKey(String key, BiConsumer<Integer, ObjectNode> reply) {
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
    long since = Long.parseLong(queryParameter(path, "Since"));
    if (since < discardedRevision) {
      reply.accept(410, Cbor.map());
      return;
    }
    Watch watch = new Watch(queryParameter(path, "Starts"), since, reply);
    if (replyIfChanged(watch)) {
      return;
    }
    watches.add(watch);
    loop.after(
        Duration.ofMillis(Long.parseLong(queryParameter(path, "HoldMs"))),
        () -> {
          if (watches.remove(watch)) {
            ObjectNode map = Cbor.map().put("Ledger", revision);
            map.putArray("Log");
            reply.accept(200, map);
          }
        });
  }

  private void grant(long durationMs, BiConsumer<Integer, ObjectNode> reply) {
    long lease = nextLease++;
    leaseDurationsMs.put(lease, durationMs);
    leaseDeadlines.put(lease, loop.now().plusMillis(durationMs));
    reply.accept(200, Cbor.map().put("Permit", lease));
  }

  private void renew(long lease, BiConsumer<Integer, ObjectNode> reply) {
    if (leaseDeadlines.containsKey(lease)) {
      leaseDeadlines.put(lease, loop.now().plusMillis(leaseDurationsMs.get(lease)));
      reply.accept(200, Cbor.map());
    } else {
      reply.accept(404, Cbor.map());
    }
  }

  private void commit(ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    JsonNode changes = body.path("Then");
    if (!writeBucket.tryTake(changes.size(), loop.now())) {
      rejected++;
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
      if (change.has("Permit") && !leaseDeadlines.containsKey(change.get("Permit").asLong())) {
        reply.accept(400, Cbor.map().put("error", "no such lease"));
        return;
      }
    }
    if (!changes.isEmpty()) {
      revision++;
    }
    changes.forEach(this::apply);
    reply.accept(200, Cbor.map().put("Ledger", revision));
    notifyWatches();
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
