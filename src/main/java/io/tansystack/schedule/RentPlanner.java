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
 * Decides which machines to rent for tasks that found no capacity. Tasks are first assigned to
 * pending machines, then to new machines of the offering that is cheapest for each task. A pure
 * function of its arguments.
 */
public final class RentPlanner {
  /** Tolerance of comparisons, so that rounding errors of sums don't decide. */
  private static final double EPS = 1e-6;

  /** Tolerance of comparisons of prices. */
  private static final double PRICE_EPS = 1e-9;

  /** Part of a machine's price added for each task that the job has in the zone. */
  private static final double PRICE_PART_PER_TASK_IN_ZONE = 1e-3;

  /** A machine type in a zone, as spot or on-demand machine. */
  public record MachineOffering(String type, String zone, boolean spot) {}

  /** The free capacity of a pending or new machine. */
  private static final class Bin {
    final MachineOffering offering;
    double freeCpus;
    double freeGpus;
    double freeMemGb;

    Bin(MachineOffering offering, MachineType type) {
      this.offering = offering;
      freeCpus = type.cpus();
      freeGpus = type.gpus();
      freeMemGb = type.memGb();
    }

    /** Reserves capacity for one task; false if it does not fit. */
    boolean reserve(JobSpec spec) {
      if (spec.cpus() > freeCpus + EPS
          || spec.gpus() > freeGpus + EPS
          || spec.memGb() > freeMemGb + EPS) {
        return false;
      }
      freeCpus -= spec.cpus();
      freeGpus -= spec.gpus();
      freeMemGb -= spec.memGb();
      return true;
    }

    void release(JobSpec spec) {
      freeCpus += spec.cpus();
      freeGpus += spec.gpus();
      freeMemGb += spec.memGb();
    }
  }

  private final Map<String, MachineType> types;
  private final Predicate<MachineOffering> blocked;
  private final OperatorSettings settings;
  private final Map<String, List<Bin>> binsByZone = new TreeMap<>();
  private final Map<MachineOffering, Integer> rentals = new LinkedHashMap<>();

  private RentPlanner(
      Map<String, MachineType> types,
      Predicate<MachineOffering> blocked,
      OperatorSettings settings) {
    this.types = types;
    this.blocked = blocked;
    this.settings = settings;
  }

  /**
   * Returns the number of machines to rent of each offering.
   *
   * @param unmet tasks without capacity, in planning order
   * @param pending machines that are rented and not usable yet
   * @param types all machine types by name
   * @param blocked accepts offerings that the cloud refused recently
   */
  public static Map<MachineOffering, Integer> decide(
      List<UnmetDemand> unmet,
      List<MachineOffering> pending,
      Map<String, MachineType> types,
      Predicate<MachineOffering> blocked,
      OperatorSettings settings) {
    RentPlanner planner = new RentPlanner(types, blocked, settings);
    for (MachineOffering offering : pending) {
      MachineType type = types.get(offering.type());
      if (type != null) {
        planner.addBin(new Bin(offering, type));
      }
    }
    unmet.forEach(planner::rentFor);
    return planner.rentals;
  }

  private void rentFor(UnmetDemand demand) {
    JobSpec spec = demand.spec();
    if (rentFor(spec, demand.tasks(), demand.tasksByZone()) || spec.kind() != JobKind.GANG) {
      return;
    }
    // None of the gang's tasks runs yet, so it is not bound to the zones where some of them found
    // capacity. If the remaining tasks can't get machines that go with those zones, machines for
    // all of its tasks may be rented elsewhere.
    for (Map<String, Integer> tasksByZone : alternativeZones(spec)) {
      if (rentFor(spec, spec.tasks(), tasksByZone)) {
        return;
      }
    }
  }

  /**
   * Initial task counts by zone with which a gang may be assigned from the start: one alternative
   * for each zone if all tasks must be in the same zone, else a single one without restriction.
   */
  private List<Map<String, Integer>> alternativeZones(JobSpec spec) {
    if (!spec.sameZone()) {
      return List.of(Map.of());
    }
    Set<String> zones = new TreeSet<>();
    types.values().forEach(type -> zones.addAll(type.zones()));
    return zones.stream().map(zone -> Map.of(zone, 0)).toList();
  }

  /**
   * Assigns tasks of one job to machines and rents what is missing. A gang gets machines for all
   * its tasks or none, so that other jobs can use capacity that is of no use to it.
   *
   * @param otherTasks the job's other tasks by zone, so that no machine is rented in a zone where
   *     the remaining tasks may not run
   * @return whether all tasks were assigned
   */
  private boolean rentFor(JobSpec spec, int tasks, Map<String, Integer> otherTasks) {
    Map<String, Integer> tasksByZone = new LinkedHashMap<>(otherTasks);
    Object2IntOpenHashMap<String> nextBin = new Object2IntOpenHashMap<>();
    List<Bin> targets = new ArrayList<>();
    List<Bin> rented = new ArrayList<>();
    while (targets.size() < tasks) {
      Bin bin = firstFitting(spec, tasksByZone, nextBin);
      if (bin == null) {
        MachineOffering offering = cheapest(spec, tasks - targets.size(), tasksByZone);
        if (offering == null) {
          break;
        }
        bin = new Bin(offering, types.get(offering.type()));
        bin.reserve(spec);
        addBin(bin);
        rented.add(bin);
      }
      targets.add(bin);
      tasksByZone.merge(bin.offering.zone(), 1, Integer::sum);
    }
    boolean allPlaced = targets.size() == tasks;
    if (allPlaced || spec.kind() != JobKind.GANG) {
      rented.forEach(bin -> rentals.merge(bin.offering, 1, Integer::sum));
    } else {
      targets.forEach(bin -> bin.release(spec));
      rented.forEach(bin -> binsByZone.get(bin.offering.zone()).remove(bin));
    }
    return allPlaced;
  }

  private void addBin(Bin bin) {
    binsByZone.computeIfAbsent(bin.offering.zone(), k -> new ArrayList<>()).add(bin);
  }

  /**
   * Reserves capacity in the first bin that a task fits into; null if there is none. A bin that a
   * task does not fit into is skipped for the rest of the job, since bins only fill up.
   *
   * @param nextBin first bin to try, by zone
   */
  private Bin firstFitting(
      JobSpec spec, Map<String, Integer> tasksByZone, Object2IntOpenHashMap<String> nextBin) {
    for (Map.Entry<String, List<Bin>> zone : binsByZone.entrySet()) {
      if (!zoneAllowed(spec, zone.getKey(), tasksByZone)) {
        continue;
      }
      List<Bin> zoneBins = zone.getValue();
      for (int i = nextBin.getInt(zone.getKey()); i < zoneBins.size(); i++) {
        Bin bin = zoneBins.get(i);
        if (spec.allows(bin.offering.type(), bin.offering.zone(), bin.offering.spot())
            && bin.reserve(spec)) {
          nextBin.put(zone.getKey(), i);
          return bin;
        }
      }
      nextBin.put(zone.getKey(), zoneBins.size());
    }
    return null;
  }

  private static boolean allowed(
      JobSpec spec, MachineOffering offering, Map<String, Integer> tasksByZone) {
    return spec.allows(offering.type(), offering.zone(), offering.spot())
        && zoneAllowed(spec, offering.zone(), tasksByZone);
  }

  private static boolean zoneAllowed(JobSpec spec, String zone, Map<String, Integer> tasksByZone) {
    return tasksByZone.getOrDefault(zone, 0) < spec.maxTasksPerZone()
        && !(spec.sameZone() && !tasksByZone.isEmpty() && !tasksByZone.containsKey(zone));
  }

  /**
   * The offering with the lowest cost for each task; null if none is allowed, available and within
   * the price limit of the job's priority.
   */
  private MachineOffering cheapest(JobSpec spec, int tasks, Map<String, Integer> tasksByZone) {
    double lowestPricePerTask = Double.MAX_VALUE;
    for (MachineType type : types.values()) {
      if (spec.allowsType(type.name()) && type.capacityFor(spec) > 0) {
        double price = spec.spotAllowed() ? Math.min(type.price(), type.spotPrice()) : type.price();
        lowestPricePerTask = Math.min(lowestPricePerTask, price / type.capacityFor(spec));
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
        for (boolean spot :
            spec.spotAllowed() ? new boolean[] {true, false} : new boolean[] {false}) {
          MachineOffering offering = new MachineOffering(type.name(), zone, spot);
          if (!allowed(spec, offering, tasksByZone) || blocked.test(offering)) {
            continue;
          }
          double price = spot ? type.spotPrice() : type.price();
          if (price / capacity
              > lowestPricePerTask * settings.priceFactor(spec.priority()) + PRICE_EPS) {
            continue;
          }
          // A machine that is larger than needed is paid for as a whole, though other jobs may use
          // the rest: at least half of it counts as used.
          double usedTasks = Math.min(capacity, Math.max(tasks, capacity * 0.5));
          // Zones with fewer tasks of the job are preferred slightly.
          double cost =
              price / usedTasks
                  + tasksByZone.getOrDefault(zone, 0) * PRICE_PART_PER_TASK_IN_ZONE * price;
          if (cost < bestCost) {
            best = offering;
            bestCost = cost;
          }
        }
      }
    }
    return best;
  }
}
