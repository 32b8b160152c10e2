package io.tansystack.schedule;

import io.tansystack.schedule.Plan.Unmet;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
    final boolean rented;
    double cpus;
    double gpus;
    double mem;

    Bin(Kind kind, MachineType type, boolean rented) {
      this.kind = kind;
      this.rented = rented;
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
   * @param booting machines rented and not yet of use
   * @param blocked kinds that were lately refused
   */
  public static Map<Kind, Integer> decide(
      List<Unmet> unmet,
      List<Kind> booting,
      Map<String, MachineType> types,
      Predicate<Kind> blocked,
      OperatorSettings settings,
      int maxNew) {
    List<Bin> bins = new ArrayList<>();
    for (Kind kind : booting) {
      MachineType type = types.get(kind.type());
      if (type != null) {
        bins.add(new Bin(kind, type, false));
      }
    }
    int opened = 0;
    for (Unmet need : unmet) {
      JobSpec spec = need.spec();
      Map<String, Integer> zones = new LinkedHashMap<>();
      int from = 0;
      for (int i = 0; i < need.tasks(); i++) {
        Bin bin = null;
        for (int b = spec.scatter() || spec.sameZone() ? 0 : from; b < bins.size(); b++) {
          Bin candidate = bins.get(b);
          from = b;
          if (allowed(spec, candidate.kind, zones) && candidate.take(spec)) {
            bin = candidate;
            break;
          }
        }
        if (bin == null) {
          if (opened >= maxNew) {
            break;
          }
          Kind kind = cheapest(spec, need.tasks() - i, types, zones, blocked, settings);
          if (kind == null) {
            break;
          }
          bin = new Bin(kind, types.get(kind.type()), true);
          bin.take(spec);
          bins.add(bin);
          from = bins.size() - 1;
          opened++;
        }
        zones.merge(bin.kind.zone(), 1, Integer::sum);
      }
    }
    Map<Kind, Integer> rent = new LinkedHashMap<>();
    for (Bin bin : bins) {
      if (bin.rented) {
        rent.merge(bin.kind, 1, Integer::sum);
      }
    }
    return rent;
  }

  private static boolean allowed(JobSpec spec, Kind kind, Map<String, Integer> zones) {
    return spec.allows(kind.type(), kind.zone(), kind.spot())
        && zones.getOrDefault(kind.zone(), 0) < spec.zoneCap()
        && !(spec.sameZone() && !zones.isEmpty() && !zones.containsKey(kind.zone()));
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
