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

class RentPlannerTest {
  private static final MachineType SMALL =
      new MachineType("small", 4, 0, 16, 50, 1, 1.0, 0.3, 30, List.of("a", "b"));
  private static final MachineType ACCEL =
      new MachineType("accel", 16, 4, 64, 100, 1, 8.0, 3.0, 45, List.of("a", "b"));
  private static final Map<String, MachineType> TYPES = Map.of("small", SMALL, "accel", ACCEL);

  private static JobSpec spec(
      JobKind shape, int tasks, double cpus, boolean together, boolean scatter) {
    return new JobSpec(
        "wk-1", "c", "t", shape, Priority.LOW, tasks, cpus, 0, 1, "img", 1, null, null, together, scatter, false,
        20, 0, 0, null);
  }

  private static Map<MachineOffering, Integer> rent(
      UnmetDemand unmet,
      List<MachineOffering> coming,
      Map<String, MachineType> types,
      Predicate<MachineOffering> blocked) {
    return RentPlanner.decide(List.of(unmet), coming, types, blocked, OperatorSettings.defaults());
  }

  @Test
  void rentsTheCheapestAndCountsWhatIsBooting() {
    UnmetDemand unmet =
        new UnmetDemand("wk-1", spec(JobKind.ARRAY, 8, 1, false, false), 8, false, Map.of());
    MachineOffering small = new MachineOffering("small", "a", false);
    Map<MachineOffering, Integer> rent = rent(unmet, List.of(), TYPES, k -> false);
    assertEquals(2, rent.values().stream().mapToInt(i -> i).sum());
    assertTrue(rent.keySet().stream().allMatch(k -> k.type().equals("small")));
    assertTrue(rent(unmet, List.of(small, small), TYPES, k -> false).isEmpty());
    rent = rent(unmet, List.of(), TYPES, k -> k.type().equals("small"));
    assertEquals(
        Set.of("accel"),
        rent.keySet().stream().map(MachineOffering::type).collect(Collectors.toSet()));
  }

  /**
   * Each task takes a machine. Where a job may stand in a zone only so often, or in one zone only, machines
   * in another zone are of no use to it: they would be rented, idle, returned and rented again for ever.
   */
  @ParameterizedTest
  @CsvSource({
    // shape, tasks, left, how they stand, the others by zone, coming, refused, what is rented by zone
    "GANG, 2, 1, scatter, a1, '', '', b1",
    "GANG, 4, 2, scatter, a2, '', '', b2",
    "GANG, 4, 3, scatter, a1, '', '', a1 b2",
    "GANG, 4, 3, scatter, a1, '', b, ''",
    "GANG, 2, 2, scatter, '', a1, b, ''",
    "SERVICE, 2, 1, scatter, b1, '', '', a1",
    "SERVICE, 2, 1, scatter, b1, '', a, ''",
    "SERVICE, 5, 2, scatter, a2 b1, '', '', a1 b1",
    "ARRAY, 3, 1, scatter, a2, '', '', b1",
    "GANG, 3, 2, together, b1, '', '', b2",
    "GANG, 3, 2, together, b1, '', b, a3",
    "GANG, 3, 3, together, '', a1, a, b3",
    "GANG, 3, 3, together, '', b1, '', b2",
    "GANG, 3, 3, together, '', '', a b, ''",
    "ARRAY, 3, 2, together, b1, '', '', b2",
    "ARRAY, 3, 2, together, b1, '', b, ''",
    "ARRAY, 3, 2, anyhow, b1, '', b, a2",
  })
  void rentsWhereTheJobsOtherTasksLetItStand(
      JobKind shape,
      int tasks,
      int left,
      String how,
      String others,
      String coming,
      String refused,
      String rented) {
    JobSpec spec = spec(shape, tasks, 4, how.equals("together"), how.equals("scatter"));
    List<MachineOffering> booting =
        coming.isEmpty()
            ? List.of()
            : List.of(new MachineOffering("small", coming.substring(0, 1), false));
    Map<String, Integer> byZone = new TreeMap<>();
    rent(
            new UnmetDemand("wk-1", spec, left, false, counts(others)),
            booting,
            Map.of("small", SMALL),
            kind -> refused.contains(kind.zone()))
        .forEach((kind, count) -> byZone.merge(kind.zone(), count, Integer::sum));
    assertEquals(counts(rented), byZone);
  }

  private static Map<String, Integer> counts(String text) {
    Map<String, Integer> counts = new HashMap<>();
    for (String part : Splitter.on(' ').omitEmptyStrings().split(text)) {
      counts.put(part.substring(0, 1), Integer.parseInt(part.substring(1)));
    }
    return counts;
  }
}
