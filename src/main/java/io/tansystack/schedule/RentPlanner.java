package io.tansystack.schedule;

import io.tansystack.schedule.Plan.UnmetDemand;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Decides what to rent for tasks that found no room: they are first given to machines that are still
 * booting, then to new ones of the kind that is cheapest for each task. Pure.
 */
public final class RentPlanner {
  /** A type in a zone, spot or ordinary. */
  public record MachineOffering(String type, String zone, boolean spot) {}

  private static final class Bin {
    final MachineOffering kind;
    double cpus;
    double gpus;
    double mem;

    Bin(MachineOffering kind, MachineType type) {
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

    void leave(JobSpec s) {
      cpus += s.cpus();
      gpus += s.gpus();
      mem += s.memGb();
    }
  }

  private final Map<String, MachineType> types;
  private final Predicate<MachineOffering> blocked;
  private final OperatorSettings settings;
  private final Map<String, List<Bin>> bins = new TreeMap<>();
  private final Map<MachineOffering, Integer> rent = new LinkedHashMap<>();

  private RentPlanner(
      Map<String, MachineType> types,
      Predicate<MachineOffering> blocked,
      OperatorSettings settings) {
    this.types = types;
    this.blocked = blocked;
    this.settings = settings;
  }

  /**
   * @param coming machines rented and not yet of use
   * @param blocked kinds that were lately refused
   */
  public static Map<MachineOffering, Integer> decide(
      List<UnmetDemand> unmet,
      List<MachineOffering> coming,
      Map<String, MachineType> types,
      Predicate<MachineOffering> blocked,
      OperatorSettings settings) {
    RentPlanner planner = new RentPlanner(types, blocked, settings);
    for (MachineOffering kind : coming) {
      MachineType type = types.get(kind.type());
      if (type != null) {
        planner.open(new Bin(kind, type));
      }
    }
    unmet.forEach(planner::rentFor);
    return planner.rent;
  }

  private void rentFor(UnmetDemand need) {
    JobSpec spec = need.spec();
    if (rentFor(spec, need.tasks(), need.tasksByZone()) || spec.shape() != JobKind.GANG) {
      return;
    }
    // Nothing of it stands yet: where there is no more to be had beside what has room, it may gather elsewhere.
    for (Map<String, Integer> zones : elsewhere(spec)) {
      if (rentFor(spec, spec.tasks(), zones)) {
        return;
      }
    }
  }

  /** Where a gang may begin anew: in any one zone if it stands together, else anywhere. */
  private List<Map<String, Integer>> elsewhere(JobSpec spec) {
    if (!spec.sameZone()) {
      return List.of(Map.of());
    }
    Set<String> zones = new TreeSet<>();
    types.values().forEach(type -> zones.addAll(type.zones()));
    return zones.stream().map(zone -> Map.of(zone, 0)).toList();
  }

  /**
   * For tasks of one job. Those of a gang are given machines all together or not at all, so that what it
   * can't use is left to others.
   *
   * @param before the job's other tasks by zone, so that none is rented for in a zone where it may not stand
   * @return whether there is something for all
   */
  private boolean rentFor(JobSpec spec, int tasks, Map<String, Integer> before) {
    Map<String, Integer> zones = new LinkedHashMap<>(before);
    Object2IntOpenHashMap<String> next = new Object2IntOpenHashMap<>();
    List<Bin> taken = new ArrayList<>();
    List<Bin> rented = new ArrayList<>();
    while (taken.size() < tasks) {
      Bin bin = firstFitting(spec, zones, next);
      if (bin == null) {
        MachineOffering kind = cheapest(spec, tasks - taken.size(), zones);
        if (kind == null) {
          break;
        }
        bin = new Bin(kind, types.get(kind.type()));
        bin.take(spec);
        open(bin);
        rented.add(bin);
      }
      taken.add(bin);
      zones.merge(bin.kind.zone(), 1, Integer::sum);
    }
    boolean all = taken.size() == tasks;
    if (all || spec.shape() != JobKind.GANG) {
      rented.forEach(bin -> rent.merge(bin.kind, 1, Integer::sum));
    } else {
      taken.forEach(bin -> bin.leave(spec));
      rented.forEach(bin -> bins.get(bin.kind.zone()).remove(bin));
    }
    return all;
  }

  private void open(Bin bin) {
    bins.computeIfAbsent(bin.kind.zone(), k -> new ArrayList<>()).add(bin);
  }

  /** What a task doesn't fit into is passed over for the rest of its job: bins only fill up. */
  private Bin firstFitting(
      JobSpec spec, Map<String, Integer> zones, Object2IntOpenHashMap<String> next) {
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

  private static boolean allowed(JobSpec spec, MachineOffering kind, Map<String, Integer> zones) {
    return spec.allows(kind.type(), kind.zone(), kind.spot())
        && zoneAllowed(spec, kind.zone(), zones);
  }

  private static boolean zoneAllowed(JobSpec spec, String zone, Map<String, Integer> zones) {
    return zones.getOrDefault(zone, 0) < spec.zoneCap()
        && !(spec.sameZone() && !zones.isEmpty() && !zones.containsKey(zone));
  }

  private MachineOffering cheapest(JobSpec spec, int tasks, Map<String, Integer> zones) {
    double lowest = Double.MAX_VALUE;
    for (MachineType type : types.values()) {
      if (spec.allowsType(type.name()) && type.capacityFor(spec) > 0) {
        double price = spec.spotOk() ? Math.min(type.price(), type.spotPrice()) : type.price();
        lowest = Math.min(lowest, price / type.capacityFor(spec));
      }
    }
    MachineOffering best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : types.values()) {
      int capacity = type.capacityFor(spec);
      if (capacity == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : spec.spotOk() ? new boolean[] {true, false} : new boolean[] {false}) {
          MachineOffering kind = new MachineOffering(type.name(), zone, spot);
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
