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
 * Who keeps the machines of a controller that has ended, until it is back: all of them change hands by
 * this one record, {@code ts/heirs/<label>}, where a claim of each would use up the write limit for
 * seconds. It counts for machines that were claimed before it, and is removed in the transaction in
 * which the controller registers anew: its machines are its own again from that revision on. So of a
 * machine's claim, the naming of heirs and the owner's registration the latest decides, and its
 * revision is the machine's token.
 *
 * @param byZone labels of controllers by the zone of the machines that they take; under {@link #ELSEWHERE}
 *     those for machines of all other zones
 */
public record FailoverRecord(Map<String, List<String>> byZone, long version) {
  public static final String ELSEWHERE = "";

  static FailoverRecord read(ObjectNode value, long version) throws InvalidMessageException {
    ImmutableMap.Builder<String, List<String>> byZone = ImmutableMap.builder();
    ObjectNode zones = FieldReader.map(value, "zones");
    for (Map.Entry<String, JsonNode> zone : zones.properties()) {
      ImmutableList.Builder<String> labels = ImmutableList.builder();
      zone.getValue().forEach(label -> labels.add(label.asText()));
      byZone.put(zone.getKey(), labels.build());
    }
    return new FailoverRecord(byZone.build(), version);
  }

  /** What is written under the key; the version comes with the write. */
  public static ObjectNode write(Map<String, List<String>> byZone) {
    ObjectNode map = Cbor.map();
    ObjectNode zones = map.putObject("zones");
    byZone.forEach(
        (zone, labels) -> {
          ArrayNode list = zones.putArray(zone);
          labels.forEach(list::add);
        });
    return map;
  }

  /** The record as it counts: the heir's, by the machine's name, unless it was claimed since. */
  MachineRecord applied(MachineRecord machine) {
    List<String> labels = byZone.get(machine.zone());
    if (labels == null || labels.isEmpty()) {
      labels = byZone.getOrDefault(ELSEWHERE, List.of());
    }
    return machine.version() > version || labels.isEmpty()
        ? machine
        : machine.keptBy(
            labels.get(Math.floorMod(machine.name().hashCode(), labels.size())), version);
  }
}
