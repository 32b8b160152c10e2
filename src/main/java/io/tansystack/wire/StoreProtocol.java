package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Messages of the state service's interface. */
public final class StoreProtocol {
  private StoreProtocol() {}

  /** The new value of a key, or its removal ({@code value} null), at a revision. */
  public record Change(String key, ObjectNode value, long version) {}

  /** Changes and the revision up to which they are complete. */
  public record Changes(List<Change> changes, long revision, boolean more) {}

  /** A condition of a transaction: the key has this version; 0 means that it does not exist. */
  public record Condition(String key, long version) {}

  /** A write of a transaction; {@code value} null deletes, {@code lease} 0 attaches to none. */
  public record Write(String key, ObjectNode value, long lease) {}

  public static byte[] txn(List<Condition> conditions, List<Write> writes) {
    ObjectNode map = Cbor.map();
    ArrayNode when = map.putArray("When");
    for (Condition condition : conditions) {
      when.addObject().put("Path", condition.key()).put("Stamp", condition.version());
    }
    ArrayNode then = map.putArray("Then");
    for (Write write : writes) {
      ObjectNode node = then.addObject();
      if (write.value() == null) {
        node.put("Delete", write.key());
      } else {
        node.put("Write", write.key()).set("Value", write.value());
        if (write.lease() != 0) {
          node.put("Permit", write.lease());
        }
      }
    }
    return Cbor.encode(map);
  }

  /** @param map the answer; null where it could not be read */
  public static long readRevision(ObjectNode map) throws InvalidMessageException {
    if (map == null) {
      throw new InvalidMessageException("Ledger: missing");
    }
    return FieldReader.integer(map, "Ledger");
  }

  public static String keyPath(String key) {
    return "/store/" + key;
  }

  public static Change readKey(ObjectNode map) throws InvalidMessageException {
    return new Change(
        FieldReader.text(map, "Path"),
        FieldReader.map(map, "Value"),
        FieldReader.integer(map, "Stamp"));
  }

  public static String listPath(String prefix, String after) {
    return "/store?Starts=" + prefix + (after.isEmpty() ? "" : "&Since=" + after) + "&Limit=1000";
  }

  /** Lists nothing, but tells the service's revision. */
  public static String revisionPath(String prefix) {
    return "/store?Starts=" + prefix + "none/&Limit=1";
  }

  public static Changes readList(ObjectNode map) throws InvalidMessageException {
    List<Change> changes = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "Pairs")) {
      changes.add(readKey(FieldReader.map(node, "Pairs")));
    }
    return new Changes(changes, readRevision(map), FieldReader.flagOr(map, "HasNext", false));
  }

  public static String watchPath(String prefix, long after, long holdMs) {
    return "/watch?Starts=" + prefix + "&Since=" + after + "&HoldMs=" + holdMs;
  }

  public static Changes readWatch(ObjectNode map) throws InvalidMessageException {
    List<Change> changes = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "Log")) {
      ObjectNode event = FieldReader.map(node, "Log");
      long version = FieldReader.integer(event, "Stamp");
      if (FieldReader.has(event, "Write")) {
        changes.add(
            new Change(FieldReader.text(event, "Write"), FieldReader.map(event, "Value"), version));
      } else {
        changes.add(new Change(FieldReader.text(event, "Delete"), null, version));
      }
    }
    return new Changes(changes, readRevision(map), false);
  }

  public static byte[] grant(long lifeMs) {
    return Cbor.encode(Cbor.map().put("LifeMs", lifeMs));
  }

  public static long readGrant(ObjectNode map) throws InvalidMessageException {
    return FieldReader.integer(map, "Permit");
  }

  public static String renewPath(long lease) {
    return "/grants/" + lease + "/renew";
  }
}
