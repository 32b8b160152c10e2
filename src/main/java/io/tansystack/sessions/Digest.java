package io.tansystack.sessions;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.settings.IdlePolicy.Activity;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Read;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one controller tells the holder of a slot when asked what it has heard: everything since the
 * question before, for sessions of that slot. The past is told as ages.
 *
 * @param keeps for how long before this answer its teller has forgotten nothing
 * @param revision up to which its copy of the records is complete: warnings written before are on offer
 *     to whoever watches there
 */
public record Digest(Duration keeps, long revision, Map<String, Seen> sessions) {

  /**
   * What was heard of a session.
   *
   * @param watchers so many are attached
   * @param returned the age of the latest arrival of one; null for none lately
   * @param ages the age of the latest activity of each kind
   */
  public record Seen(int watchers, Duration returned, Map<Activity, Duration> ages) {}

  public ObjectNode write() {
    ObjectNode map = Cbor.map().put("keepsMs", keeps.toMillis()).put("revision", revision);
    ObjectNode list = map.putObject("sessions");
    sessions.forEach(
        (id, seen) -> {
          ObjectNode one = list.putObject(id).put("watchers", seen.watchers);
          if (seen.returned != null) {
            one.put("returnedMs", seen.returned.toMillis());
          }
          ObjectNode ages = one.putObject("agesMs");
          seen.ages.forEach((kind, age) -> ages.put(kind.text(), age.toMillis()));
        });
    return map;
  }

  public static Digest read(ObjectNode map) throws BadInput {
    Map<String, Seen> sessions = new LinkedHashMap<>();
    ObjectNode list = Read.map(map, "sessions");
    for (Iterator<Map.Entry<String, JsonNode>> it = list.fields(); it.hasNext(); ) {
      Map.Entry<String, JsonNode> entry = it.next();
      ObjectNode one = Read.map(entry.getValue(), "sessions");
      Map<Activity, Duration> ages = new EnumMap<>(Activity.class);
      ObjectNode told = Read.map(one, "agesMs");
      for (Activity kind : Activity.values()) {
        if (Read.has(told, kind.text())) {
          ages.put(kind, Duration.ofMillis(Read.integer(told, kind.text())));
        }
      }
      Duration returned =
          Read.has(one, "returnedMs") ? Duration.ofMillis(Read.integer(one, "returnedMs")) : null;
      sessions.put(
          entry.getKey(),
          new Seen((int) Read.integer(one, "watchers", 0, Integer.MAX_VALUE), returned, ages));
    }
    return new Digest(
        Duration.ofMillis(Read.integer(map, "keepsMs")), Read.integer(map, "revision"), sessions);
  }
}
