package io.tansystack.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Splitter;
import io.tansystack.schedule.Plan.UnmetDemand;
import io.tansystack.schedule.RentPlanner.MachineOffering;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against renting machines that are too expensive, of no use to the tasks that need
 * capacity, or not needed because pending machines suffice.
 */
class RentPlannerTest {
  private static final MachineType SMALL =
      new MachineType("small", 4, 0, 16, 50, 1, 1.0, 0.3, 30, List.of("a", "b"));
  private static final MachineType ACCEL =
      new MachineType("accel", 16, 4, 64, 100, 1, 8.0, 3.0, 45, List.of("a", "b"));
  private static final Map<String, MachineType> TYPES = Map.of("small", SMALL, "accel", ACCEL);

  private static JobSpec spec(
      JobKind kind, int tasks, double cpus, boolean sameZone, boolean scatter) {
    return new JobSpec(
        "wk-1", "c", "t", kind, Priority.LOW, tasks, cpus, 0, 1, "img", 1, null, null, sameZone,
        scatter, false, 20, 0, 0, null);
  }

  private static Map<MachineOffering, Integer> rent(
      UnmetDemand unmet,
      List<MachineOffering> pending,
      Map<String, MachineType> types,
      Predicate<MachineOffering> blocked) {
    return RentPlanner.decide(List.of(unmet), pending, types, blocked, OperatorSettings.defaults());
  }

  @Test
  void rentsCheapestOfferingAndCountsPendingMachines() {
    UnmetDemand unmet =
        new UnmetDemand("wk-1", spec(JobKind.ARRAY, 8, 1, false, false), 8, false, Map.of());
    MachineOffering small = new MachineOffering("small", "a", false);
    Map<MachineOffering, Integer> rentals = rent(unmet, List.of(), TYPES, k -> false);
    assertEquals(2, rentals.values().stream().mapToInt(i -> i).sum());
    assertTrue(rentals.keySet().stream().allMatch(k -> k.type().equals("small")));
    assertTrue(rent(unmet, List.of(small, small), TYPES, k -> false).isEmpty());
    rentals = rent(unmet, List.of(), TYPES, k -> k.type().equals("small"));
    assertEquals(
        Set.of("accel"),
        rentals.keySet().stream().map(MachineOffering::type).collect(Collectors.toSet()));
  }

  /**
   * Each task needs a whole machine. If a job limits its tasks in a zone, or must run in one zone,
   * machines in other zones can be of no use to it: they would be rented, stay idle, be returned
   * and be rented again without end.
   */
  @ParameterizedTest
  @CsvSource({
    // kind, tasks, unplaced, zone rule, other tasks by zone, zone of a pending machine,
    // zones without offerings, expected rentals by zone
    "GANG, 2, 1, scatter, a1, '', '', b1",
    "GANG, 4, 2, scatter, a2, '', '', b2",
    "GANG, 4, 3, scatter, a1, '', '', a1 b2",
    "GANG, 4, 3, scatter, a1, '', b, ''",
    "GANG, 2, 2, scatter, '', a1, b, ''",
    "SERVICE, 2, 1, scatter, b1, '', '', a1",
    "SERVICE, 2, 1, scatter, b1, '', a, ''",
    "SERVICE, 5, 2, scatter, a2 b1, '', '', a1 b1",
    "ARRAY, 3, 1, scatter, a2, '', '', b1",
    "GANG, 3, 2, sameZone, b1, '', '', b2",
    "GANG, 3, 2, sameZone, b1, '', b, a3",
    "GANG, 3, 3, sameZone, '', a1, a, b3",
    "GANG, 3, 3, sameZone, '', b1, '', b2",
    "GANG, 3, 3, sameZone, '', '', a b, ''",
    "ARRAY, 3, 2, sameZone, b1, '', '', b2",
    "ARRAY, 3, 2, sameZone, b1, '', b, ''",
    "ARRAY, 3, 2, any, b1, '', b, a2",
  })
  void rentsOnlyInZonesThatTheOtherTasksAllow(
      JobKind kind,
      int tasks,
      int unplaced,
      String zoneRule,
      String otherTasks,
      String pendingZone,
      String blockedZones,
      String expected) {
    JobSpec spec = spec(kind, tasks, 4, zoneRule.equals("sameZone"), zoneRule.equals("scatter"));
    List<MachineOffering> pending =
        pendingZone.isEmpty()
            ? List.of()
            : List.of(new MachineOffering("small", pendingZone.substring(0, 1), false));
    Map<String, Integer> rentedByZone = new TreeMap<>();
    rent(
            new UnmetDemand("wk-1", spec, unplaced, false, counts(otherTasks)),
            pending,
            Map.of("small", SMALL),
            offering -> blockedZones.contains(offering.zone()))
        .forEach((offering, count) -> rentedByZone.merge(offering.zone(), count, Integer::sum));
    assertEquals(counts(expected), rentedByZone);
  }

  /** Parses counts by zone, such as {@code a2 b1}. */
  private static Map<String, Integer> counts(String text) {
    Map<String, Integer> counts = new HashMap<>();
    for (String part : Splitter.on(' ').omitEmptyStrings().split(text)) {
      counts.put(part.substring(0, 1), Integer.parseInt(part.substring(1)));
    }
    return counts;
  }
}
