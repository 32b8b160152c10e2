package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages of the state service's API. In it, {@code Path} is a key, {@code Stamp} the version of a
 * key (the revision that wrote it), {@code Ledger} the service's revision and {@code Permit} a
 * lease ID.
 */
public final class StoreProtocol {
  private StoreProtocol() {}

  /** The new value of a key, or its deletion ({@code value} is null), at the given revision. */
  public record Change(String key, ObjectNode value, long version) {}

  /**
   * Changes, and the revision up to which they are complete.
   *
   * @param hasMore whether further pages of a list follow
   */
  public record Changes(List<Change> changes, long revision, boolean hasMore) {}

  /** A condition of a transaction: the key has this version; 0 requires that it does not exist. */
  public record Condition(String key, long version) {}

  /**
   * A write of a transaction.
   *
   * @param value the new value; null deletes the key
   * @param leaseId the lease that the key is attached to; 0 for none
   */
  public record Write(String key, ObjectNode value, long leaseId) {}

  public static byte[] encodeTransaction(List<Condition> conditions, List<Write> writes) {
    ObjectNode map = Cbor.map();
    ArrayNode conditionNodes = map.putArray("When");
    for (Condition condition : conditions) {
      conditionNodes.addObject().put("Path", condition.key()).put("Stamp", condition.version());
    }
    ArrayNode writeNodes = map.putArray("Then");
    for (Write write : writes) {
      ObjectNode node = writeNodes.addObject();
      if (write.value() == null) {
        node.put("Delete", write.key());
      } else {
        node.put("Write", write.key()).set("Value", write.value());
        if (write.leaseId() != 0) {
          node.put("Permit", write.leaseId());
        }
      }
    }
    return Cbor.encode(map);
  }

  /**
   * Reads the service's revision.
   *
   * @param map the response; null if it was not readable
   */
  public static long readRevision(ObjectNode map) throws InvalidMessageException {
    if (map == null) {
      throw new InvalidMessageException("Ledger: missing");
    }
    return FieldReader.integer(map, "Ledger");
  }

  public static String keyPath(String key) {
    return "/store/" + key;
  }

  /** Reads a key with its value and version. */
  public static Change readKey(ObjectNode map) throws InvalidMessageException {
    return new Change(
        FieldReader.text(map, "Path"),
        FieldReader.map(map, "Value"),
        FieldReader.integer(map, "Stamp"));
  }

  /**
   * The path of a page of the keys with a prefix, in the order of the keys.
   *
   * @param afterKey the last key of the page before; empty for the first page
   */
  public static String listPath(String prefix, String afterKey) {
    return "/store?Starts="
        + prefix
        + (afterKey.isEmpty() ? "" : "&Since=" + afterKey)
        + "&Limit=1000";
  }

  /** The path of a list that is empty and returns only the service's revision. */
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

  /**
   * The path of a long poll for changes after a revision. The service responds once there is a
   * change, or after {@code maxWaitMs}.
   */
  public static String watchPath(String prefix, long afterRevision, long maxWaitMs) {
    return "/watch?Starts=" + prefix + "&Since=" + afterRevision + "&HoldMs=" + maxWaitMs;
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

  /** The body of a request for a lease that expires if it is not renewed within {@code ttlMs}. */
  public static byte[] encodeLeaseRequest(long ttlMs) {
    return Cbor.encode(Cbor.map().put("LifeMs", ttlMs));
  }

  public static long readLeaseId(ObjectNode map) throws InvalidMessageException {
    return FieldReader.integer(map, "Permit");
  }

  public static String renewPath(long leaseId) {
    return "/grants/" + leaseId + "/renew";
  }
}
