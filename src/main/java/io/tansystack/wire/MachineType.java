package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A machine type as the cloud offers it. */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  public static List<MachineType> readAll(ObjectNode map) throws InvalidMessageException {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "Fleets")) {
      ObjectNode type = FieldReader.map(node, "Fleets");
      List<String> zones = new ArrayList<>();
      for (JsonNode zone : FieldReader.list(type, "Yards")) {
        zones.add(zone.asText());
      }
      types.add(
          new MachineType(
              FieldReader.text(type, "Label"),
              FieldReader.amount(type, "Cpus"),
              FieldReader.amountOr(type, "Gpus", 0),
              FieldReader.amount(type, "MemGb"),
              FieldReader.amountOr(type, "CacheGb", 0),
              FieldReader.amount(type, "PullGbPerS"),
              FieldReader.amount(type, "Price"),
              FieldReader.amountOr(type, "MarketPrice", FieldReader.amount(type, "Price")),
              FieldReader.amountOr(type, "BootS", 0),
              List.copyOf(zones)));
    }
    return List.copyOf(types);
  }

  /** Whether one task of the job fits into an empty machine of this type. */
  public boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus + 1e-9 && spec.gpus() <= gpus + 1e-9 && spec.memGb() <= memGb + 1e-9;
  }

  /** How many tasks of the job fit into an empty machine of this type. */
  public int capacityFor(JobSpec spec) {
    double n = 1e6;
    if (spec.cpus() > 0) {
      n = Math.min(n, cpus / spec.cpus());
    }
    if (spec.gpus() > 0) {
      n = Math.min(n, gpus / spec.gpus());
    }
    if (spec.memGb() > 0) {
      n = Math.min(n, memGb / spec.memGb());
    }
    return (int) (n + 1e-9);
  }
}
