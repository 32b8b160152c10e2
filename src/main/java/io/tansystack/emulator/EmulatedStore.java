package io.tansystack.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.records.JobRecord;
import io.tansystack.wire.Cbor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** A stand-in for the state service, after its published protocol. */
final class StandInStore {
  private record Entry(ObjectNode value, long version, long lease) {}

  private record Event(String key, ObjectNode value, long version) {}

  private record Waiting(String prefix, long since, BiConsumer<Integer, ObjectNode> reply) {}

  private final SimLoop loop;
  final TreeMap<String, JsonNode> values = new TreeMap<>();
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Event> log = new ArrayList<>();
  private final List<Waiting> watches = new ArrayList<>();
  private final Map<Long, Duration> leases = new HashMap<>();
  private final Map<Long, Long> lives = new HashMap<>();
  private long revision;

  /** Items in one page of a list: few, so that a copy is loaded from many. */
  int pageSize = 5;

  /** Requests that it carries out in a second, as its limit; unlimited where nobody says. */
  double requestsPerSecond = Double.MAX_VALUE;

  /** Puts and deletes that it carries out in a second; those of transactions whose conditions fail count too. */
  double writesPerSecond = Double.MAX_VALUE;

  private double writesLeft;
  private Duration writesAt = Duration.ZERO;

  private double left;
  private Duration refilledAt = Duration.ZERO;

  /** Requests that came, and those of them that were over the limit. */
  int requests;

  int refused;

  private long nextLease = 1;

  private final BooleanSupplier away;
  private boolean wasAway;

  /** @param away whether it serves nobody: then no lease ends, and afterwards each has its full time again */
  StandInStore(SimLoop loop, BooleanSupplier away) {
    this.loop = loop;
    this.away = away;
    expire();
  }

  /** A new deployment: nothing was ever written. */
  void clear() {
    entries.clear();
    values.clear();
    log.clear();
    watches.clear();
  }

  long keys(String prefix) {
    return entries.keySet().stream().filter(key -> key.startsWith(prefix)).count();
  }

  /** How often something under the prefix was written. */
  long writes(String prefix) {
    return log.stream().filter(event -> event.key.startsWith(prefix)).count();
  }

  private void expire() {
    boolean isAway = away.getAsBoolean();
    if (isAway || wasAway) {
      leases.replaceAll((lease, until) -> loop.now().plusMillis(lives.get(lease)));
    }
    wasAway = isAway;
    for (Long lease : List.copyOf(leases.keySet())) {
      if (loop.now().compareTo(leases.get(lease)) > 0) {
        leases.remove(lease);
        List<String> gone = new ArrayList<>();
        entries.forEach((k, e) -> { if (e.lease == lease) { gone.add(k); } });
        if (!gone.isEmpty()) {
          revision++;
          gone.forEach(k -> put(k, null, 0));
          wake();
        }
      }
    }
    loop.after(Duration.ofMillis(50), this::expire);
  }

  private void put(String key, ObjectNode value, long lease) {
    if (value == null) {
      if (entries.remove(key) == null) {
        return;
      }
      values.remove(key);
    } else {
      entries.put(key, new Entry(value, revision, lease));
      values.put(key, value);
    }
    log.add(new Event(key, value, revision));
  }

  private void wake() {
    for (Waiting w : List.copyOf(watches)) {
      if (answer(w)) {
        watches.remove(w);
      }
    }
  }

  private boolean answer(Waiting w) {
    ObjectNode map = Cbor.map();
    ArrayNode events = map.putArray("Log");
    for (Event e : log) {
      if (e.version > w.since && e.key.startsWith(w.prefix)) {
        ObjectNode node = events.addObject().put("Stamp", e.version);
        if (e.value == null) {
          node.put("Delete", e.key);
        } else {
          node.put("Write", e.key).set("Value", e.value);
        }
      }
    }
    if (events.isEmpty()) {
      return false;
    }
    w.reply.accept(200, map.put("Ledger", revision));
    return true;
  }

  private static String query(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return "";
  }

  private boolean overLimit() {
    requests++;
    if (requestsPerSecond == Double.MAX_VALUE) {
      return false;
    }
    double passed = loop.now().minus(refilledAt).toNanos() / 1e9;
    refilledAt = loop.now();
    left = Math.min(requestsPerSecond, left + passed * requestsPerSecond);
    if (left < 1) {
      refused++;
      return true;
    }
    left--;
    return false;
  }

  /** Outcomes of jobs that ended long ago, as if a deployment had run for so long. */
  void fillWith(int jobs, Function<String, String> key) {
    ObjectNode outcome = JobRecord.outcome(JobRecord.Phase.DONE).write();
    revision++;
    for (int i = 0; i < jobs; i++) {
      entries.put(key.apply(String.format("wk-%07d", i)), new Entry(outcome, revision, 0));
    }
  }

  void handle(String method, String path, ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    if (overLimit()) {
      reply.accept(429, Cbor.map());
      return;
    }
    if (path.startsWith("/store?")) {
      ObjectNode map = Cbor.map();
      ArrayNode pairs = map.putArray("Pairs");
      boolean more = false;
      for (Map.Entry<String, Entry> entry : entries.tailMap(query(path, "Since"), false).entrySet()) {
        if (entry.getKey().startsWith(query(path, "Starts"))) {
          more = pairs.size() == pageSize;
          if (more) {
            break;
          }
          Entry e = entry.getValue();
          pairs.addObject().put("Path", entry.getKey()).put("Stamp", e.version).set("Value", e.value);
        }
      }
      reply.accept(200, map.put("HasNext", more).put("Ledger", revision));
    } else if (path.startsWith("/store/")) {
      Entry e = entries.get(path.substring(7));
      if (e == null) {
        reply.accept(404, Cbor.map().put("Ledger", revision));
      } else {
        ObjectNode map = Cbor.map().put("Path", path.substring(7)).put("Stamp", e.version);
        map.set("Value", e.value);
        reply.accept(200, map);
      }
    } else if (path.startsWith("/watch?")) {
      Waiting w =
          new Waiting(query(path, "Starts"), Long.parseLong(query(path, "Since")), reply);
      if (!answer(w)) {
        watches.add(w);
        loop.after(
            Duration.ofMillis(Long.parseLong(query(path, "HoldMs"))),
            () -> {
              if (watches.remove(w)) {
                ObjectNode map = Cbor.map().put("Ledger", revision);
                map.putArray("Log");
                reply.accept(200, map);
              }
            });
      }
    } else if (path.equals("/commit")) {
      commit(body, reply);
    } else if (path.equals("/grants")) {
      long lease = nextLease++;
      lives.put(lease, body.get("LifeMs").asLong());
      leases.put(lease, loop.now().plusMillis(lives.get(lease)));
      reply.accept(200, Cbor.map().put("Permit", lease));
    } else if (path.endsWith("/renew")) {
      long lease = Long.parseLong(path.split("/")[2]);
      if (leases.containsKey(lease)) {
        leases.put(lease, loop.now().plusMillis(lives.get(lease)));
        reply.accept(200, Cbor.map());
      } else {
        reply.accept(404, Cbor.map());
      }
    } else {
      throw new IllegalStateException(method + " " + path);
    }
  }

  /** Bursts of one second's worth are allowed. */
  private boolean overWrites(int writes) {
    if (writesPerSecond == Double.MAX_VALUE) {
      return false;
    }
    double passed = loop.now().minus(writesAt).toNanos() / 1e9;
    writesAt = loop.now();
    writesLeft = Math.min(writesPerSecond, writesLeft + passed * writesPerSecond);
    boolean over = writesLeft < writes;
    writesLeft -= over ? 0 : writes;
    refused += over ? 1 : 0;
    return over;
  }

  private void commit(ObjectNode body, BiConsumer<Integer, ObjectNode> reply) {
    if (overWrites(body.get("Then").size())) {
      reply.accept(429, Cbor.map());
      return;
    }
    for (JsonNode c : body.get("When")) {
      Entry e = entries.get(c.get("Path").asText());
      if ((e == null ? 0 : e.version) != c.get("Stamp").asLong()) {
        reply.accept(409, Cbor.map().put("Ledger", revision));
        return;
      }
    }
    for (JsonNode w : body.get("Then")) {
      if (w.has("Permit") && !leases.containsKey(w.get("Permit").asLong())) {
        reply.accept(400, Cbor.map().put("error", "no such lease"));
        return;
      }
    }
    revision++;
    for (JsonNode w : body.get("Then")) {
      if (w.has("Delete")) {
        put(w.get("Delete").asText(), null, 0);
      } else {
        put(w.get("Write").asText(), (ObjectNode) w.get("Value"), w.path("Permit").asLong());
      }
    }
    reply.accept(200, Cbor.map().put("Ledger", revision));
    wake();
  }
}
