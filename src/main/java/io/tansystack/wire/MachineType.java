package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine type that the cloud offers ({@code Fleet} in the protocol).
 *
 * @param cacheGb the size of the machine's image cache
 * @param fetchGbPerS the rate at which it fetches images
 * @param spotPrice the price as a spot machine; equal to {@code price} if the cloud states none
 * @param bootS the seconds from rental until the machine is usable, as the cloud states them
 */
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

  /** Tolerance for rounding errors of decimal amounts. */
  private static final double EPSILON = 1e-9;

  /** Limits the result for tasks that request next to no resources. */
  private static final double MAX_CAPACITY = 1e6;

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
    return spec.cpus() <= cpus + EPSILON
        && spec.gpus() <= gpus + EPSILON
        && spec.memGb() <= memGb + EPSILON
        && capacityFor(spec) >= 1; // The tolerance grants no part of what the type has nothing of.
  }

  /** How many tasks of the job fit into an empty machine of this type. */
  public int capacityFor(JobSpec spec) {
    double tasks = MAX_CAPACITY;
    if (spec.cpus() > 0) {
      tasks = Math.min(tasks, cpus / spec.cpus());
    }
    if (spec.gpus() > 0) {
      tasks = Math.min(tasks, gpus / spec.gpus());
    }
    if (spec.memGb() > 0) {
      tasks = Math.min(tasks, memGb / spec.memGb());
    }
    return (int) (tasks + EPSILON);
  }
}
