package io.tansystack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.cluster.MachineRecord;
import io.tansystack.sim.SimEventLoop;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a start holds up, and for how long: orders by urgency, decisions by what they compare. */
class StartupPacingTest {
  private final SimEventLoop loop = new SimEventLoop();
  private final Map<String, Integer> lacks = new HashMap<>();
  private final List<String> sent = new ArrayList<>();
  private final CommandThrottle pace = new CommandThrottle(loop, this::tend);
  private final Map<String, Integer> urgency = new HashMap<>();

  private void tend(String machine) {
    if (lacks.containsKey(machine)
        && pace.mayGo(machine, urgency.get(machine), lacks.get(machine))) {
      lacks.remove(machine);
      sent.add(machine);
    }
  }

  private void lack(String machine, int how, int orders) {
    urgency.put(machine, how);
    lacks.put(machine, orders);
    tend(machine);
  }

  @Test
  void ordersAreSpreadTheUrgentFirstAndHaltsAtOnce() {
    pace.begin(5, Duration.ofSeconds(20)); // 30 a second, 7 at once.
    for (int i = 0; i < 30; i++) {
      lack("forget-" + i, Reconciliation.FORGETS, 4);
    }
    for (int i = 0; i < 30; i++) {
      lack("launch-" + i, 1 + Priority.PRODUCTION.ordinal(), 4);
    }
    lack("halt", Reconciliation.HALTS, 4);
    assertTrue(sent.contains("halt"));
    assertTrue(sent.size() < 6, sent.toString());
    loop.runFor(Duration.ofSeconds(1));
    assertTrue(sent.size() <= 3 + 30 / 4 + 7 / 4 + 1, sent.size() + " in the first second");
    loop.runFor(Duration.ofSeconds(3));
    Set<String> early = new HashSet<>(sent.subList(2, 26));
    assertTrue(early.stream().filter(m -> m.startsWith("launch")).count() >= 23, sent.toString());
    loop.runFor(Duration.ofSeconds(8));
    assertEquals(61, sent.size(), "all in the end");
    assertEquals(61, new HashSet<>(sent).size(), "each once");
    assertEquals(0, pace.waiting());
  }

  @Test
  void withNoStartNothingIsHeldUpAndItsEndLetsAllGo() {
    lack("before", Reconciliation.FORGETS, 1000);
    assertEquals(List.of("before"), sent);
    pace.begin(0.1, Duration.ofSeconds(5));
    for (int i = 0; i < 50; i++) {
      lack("m-" + i, Reconciliation.FORGETS, 4);
    }
    loop.runFor(Duration.ofSeconds(4));
    assertTrue(sent.size() < 10);
    loop.runFor(Duration.ofSeconds(2));
    assertEquals(51, sent.size());
  }

  private static MachineRecord machine(int i, String type, long version) {
    return new MachineRecord("n-" + i, "c", "h:1", type, "a", false, false, version, false);
  }

  private static JobSpec spec(List<String> types) {
    return new JobSpec(
        "wk-1", "c", "t", JobKind.ARRAY, Priority.LOW, 1, 1, 0, 1, "i", 1, types, null, false,
        false, true, 10, 0, 0, null);
  }

  /** 20 machines of type small and 20 of type large, recorded before; some more came up since. */
  @ParameterizedTest
  @CsvSource({
    // heard of small and of large: decided for jobs of small, of large, and of any type.
    "0,  0,  false, false, false",
    "20, 0,  true,  false, false",
    "20, 15, true,  false, false",
    "18, 18, true,  true,  true",
    "20, 16, true,  false, true",
  })
  void aDecisionWaitsForWhatItCompares(
      int small, int large, boolean forSmall, boolean forLarge, boolean forAny) {
    FleetCoverage coverage = new FleetCoverage(Duration.ofSeconds(14));
    List<MachineRecord> machines = new ArrayList<>();
    Set<String> heard = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      machines.add(machine(i, "small", 5));
      machines.add(machine(100 + i, "large", 6));
      if (i < small) {
        heard.add("n-" + i);
      }
      if (i < large) {
        heard.add("n-" + (100 + i));
      }
    }
    Duration now = Duration.ofSeconds(100);
    coverage.startAnew(10, now);
    coverage.count(machines, heard::contains, now);
    assertEquals(forSmall, coverage.covers(spec(List.of("small"))));
    assertEquals(forLarge, coverage.covers(spec(List.of("large"))));
    assertEquals(forAny, coverage.covers(spec(null)));
    assertEquals(40 - small - large, coverage.unheard());
    coverage.count(machines, heard::contains, now.plusSeconds(14));
    assertTrue(coverage.covers(spec(null)), "but not for ever: some hang");
  }

  @Test
  void whatComesUpOrIsLostLaterIsNoMatterOfAStart() {
    FleetCoverage coverage = new FleetCoverage(Duration.ofSeconds(14));
    Duration now = Duration.ofSeconds(100);
    List<MachineRecord> machines = List.of(machine(0, "small", 11), machine(1, "small", 12));
    coverage.count(machines, name -> false, now);
    assertTrue(coverage.covers(spec(null)), "never began");
    coverage.startAnew(10, now);
    coverage.count(machines, name -> false, now);
    assertTrue(coverage.covers(spec(null)), "a cold start waits for nobody");
    assertFalse(coverage.open(now), "and is over");
  }
}
