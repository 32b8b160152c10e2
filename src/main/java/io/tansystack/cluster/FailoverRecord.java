package io.tansystack.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import java.util.List;
import java.util.Map;

/**
 * Names the successors that own the machines of a failed controller until it registers again. All
 * machines change their owner by this one record, {@code ts/heirs/<label>}; a claim of each would
 * use up the write limit for seconds. The record applies to machines that were claimed before it
 * was written, and is removed in the transaction in which the controller registers again: from that
 * revision on the controller owns its machines again. So the latest of a machine's claim, the
 * failover record and the owner's registration decides about the owner, and its revision is the
 * machine's fencing token.
 *
 * @param successorsByZone labels of controllers by the zone of the machines that they take over;
 *     under {@link #OTHER_ZONES} those for machines of all other zones
 * @param version the revision at which the record was written
 */
public record FailoverRecord(Map<String, List<String>> successorsByZone, long version) {
  /** The key in {@link #successorsByZone} for zones that are not listed. */
  public static final String OTHER_ZONES = "";

  static FailoverRecord read(ObjectNode value, long version) throws InvalidMessageException {
    ImmutableMap.Builder<String, List<String>> successorsByZone = ImmutableMap.builder();
    ObjectNode zones = FieldReader.map(value, "zones");
    for (Map.Entry<String, JsonNode> zone : zones.properties()) {
      ImmutableList.Builder<String> labels = ImmutableList.builder();
      zone.getValue().forEach(label -> labels.add(label.asText()));
      successorsByZone.put(zone.getKey(), labels.build());
    }
    return new FailoverRecord(successorsByZone.build(), version);
  }

  /** The value to be written under the record's key; its version results from the write. */
  public static ObjectNode write(Map<String, List<String>> successorsByZone) {
    ObjectNode map = Cbor.map();
    ObjectNode zones = map.putObject("zones");
    successorsByZone.forEach(
        (zone, labels) -> {
          ArrayNode list = zones.putArray(zone);
          labels.forEach(list::add);
        });
    return map;
  }

  /**
   * The machine's effective record: owned by a successor, which is selected by a hash of the
   * machine's name, or unchanged if the machine was claimed after this failover record was written.
   */
  MachineRecord applyTo(MachineRecord machine) {
    List<String> labels = successorsByZone.get(machine.zone());
    if (labels == null || labels.isEmpty()) {
      labels = successorsByZone.getOrDefault(OTHER_ZONES, List.of());
    }
    return machine.version() > version || labels.isEmpty()
        ? machine
        : machine.failedOverTo(
            labels.get(Math.floorMod(machine.name().hashCode(), labels.size())), version);
  }
}
