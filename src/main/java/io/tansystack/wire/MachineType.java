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

  public static List<MachineType> readAll(ObjectNode map) throws BadInput {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode node : Read.list(map, "Fleets")) {
      ObjectNode type = Read.map(node, "Fleets");
      List<String> zones = new ArrayList<>();
      for (JsonNode zone : Read.list(type, "Yards")) {
        zones.add(zone.asText());
      }
      types.add(
          new MachineType(
              Read.text(type, "Label"),
              Read.amount(type, "Cpus"),
              Read.amountOr(type, "Gpus", 0),
              Read.amount(type, "MemGb"),
              Read.amountOr(type, "CacheGb", 0),
              Read.amount(type, "PullGbPerS"),
              Read.amount(type, "Price"),
              Read.amountOr(type, "MarketPrice", Read.amount(type, "Price")),
              Read.amountOr(type, "BootS", 0),
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
