package io.tansystack.schedule;

import io.tansystack.schedule.Plan.Unmet;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Decides what to rent for tasks that found no room: they are first given to machines that are still
 * booting, then to new ones of the kind that is cheapest for each task. Pure.
 */
public final class RentPlanner {
  /** A type in a zone, spot or ordinary. */
  public record Kind(String type, String zone, boolean spot) {}

  private static final class Bin {
    final Kind kind;
    double cpus;
    double gpus;
    double mem;

    Bin(Kind kind, MachineType type) {
      this.kind = kind;
      cpus = type.cpus();
      gpus = type.gpus();
      mem = type.memGb();
    }

    boolean take(JobSpec s) {
      if (s.cpus() > cpus + 1e-6 || s.gpus() > gpus + 1e-6 || s.memGb() > mem + 1e-6) {
        return false;
      }
      cpus -= s.cpus();
      gpus -= s.gpus();
      mem -= s.memGb();
      return true;
    }
  }

  private RentPlanner() {}

  /**
   * @param coming machines rented and not yet of use
   * @param blocked kinds that were lately refused
   */
  public static Map<Kind, Integer> decide(
      List<Unmet> unmet,
      List<Kind> coming,
      Map<String, MachineType> types,
      Predicate<Kind> blocked,
      OperatorSettings settings) {
    Map<String, List<Bin>> bins = new TreeMap<>();
    for (Kind kind : coming) {
      MachineType type = types.get(kind.type());
      if (type != null) {
        open(bins, new Bin(kind, type));
      }
    }
    Map<Kind, Integer> rent = new LinkedHashMap<>();
    for (Unmet need : unmet) {
      JobSpec spec = need.spec();
      Map<String, Integer> zones = new LinkedHashMap<>();
      Object2IntOpenHashMap<String> next = new Object2IntOpenHashMap<>();
      for (int i = 0; i < need.tasks(); i++) {
        Bin bin = firstFitting(spec, bins, zones, next);
        if (bin == null) {
          Kind kind = cheapest(spec, need.tasks() - i, types, zones, blocked, settings);
          if (kind == null) {
            break;
          }
          bin = new Bin(kind, types.get(kind.type()));
          bin.take(spec);
          open(bins, bin);
          rent.merge(kind, 1, Integer::sum);
        }
        zones.merge(bin.kind.zone(), 1, Integer::sum);
      }
    }
    return rent;
  }

  private static void open(Map<String, List<Bin>> bins, Bin bin) {
    bins.computeIfAbsent(bin.kind.zone(), k -> new ArrayList<>()).add(bin);
  }

  /** What a task doesn't fit into is passed over for the rest of its job: bins only fill up. */
  private static Bin firstFitting(
      JobSpec spec,
      Map<String, List<Bin>> bins,
      Map<String, Integer> zones,
      Object2IntOpenHashMap<String> next) {
    for (Map.Entry<String, List<Bin>> zone : bins.entrySet()) {
      if (!zoneAllowed(spec, zone.getKey(), zones)) {
        continue;
      }
      List<Bin> there = zone.getValue();
      for (int b = next.getInt(zone.getKey()); b < there.size(); b++) {
        Bin bin = there.get(b);
        if (spec.allows(bin.kind.type(), bin.kind.zone(), bin.kind.spot()) && bin.take(spec)) {
          next.put(zone.getKey(), b);
          return bin;
        }
      }
      next.put(zone.getKey(), there.size());
    }
    return null;
  }

  private static boolean allowed(JobSpec spec, Kind kind, Map<String, Integer> zones) {
    return spec.allows(kind.type(), kind.zone(), kind.spot())
        && zoneAllowed(spec, kind.zone(), zones);
  }

  private static boolean zoneAllowed(JobSpec spec, String zone, Map<String, Integer> zones) {
    return zones.getOrDefault(zone, 0) < spec.zoneCap()
        && !(spec.sameZone() && !zones.isEmpty() && !zones.containsKey(zone));
  }

  private static Kind cheapest(
      JobSpec spec,
      int tasks,
      Map<String, MachineType> types,
      Map<String, Integer> zones,
      Predicate<Kind> blocked,
      OperatorSettings settings) {
    double lowest = Double.MAX_VALUE;
    for (MachineType type : types.values()) {
      if (spec.allowsType(type.name()) && type.capacityFor(spec) > 0) {
        double price = spec.spotOk() ? Math.min(type.price(), type.spotPrice()) : type.price();
        lowest = Math.min(lowest, price / type.capacityFor(spec));
      }
    }
    Kind best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : types.values()) {
      int capacity = type.capacityFor(spec);
      if (capacity == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : spec.spotOk() ? new boolean[] {true, false} : new boolean[] {false}) {
          Kind kind = new Kind(type.name(), zone, spot);
          if (!allowed(spec, kind, zones) || blocked.test(kind)) {
            continue;
          }
          double price = spot ? type.spotPrice() : type.price();
          if (price / capacity > lowest * settings.priceFactor(spec.priority()) + 1e-9) {
            continue;
          }
          // A machine larger than the need is paid for as a whole, though others may use the rest.
          double used = Math.min(capacity, Math.max(tasks, capacity * 0.5));
          double cost = price / used + zones.getOrDefault(zone, 0) * 1e-3 * price;
          if (cost < bestCost) {
            best = kind;
            bestCost = cost;
          }
        }
      }
    }
    return best;
  }
}
