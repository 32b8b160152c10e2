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

/**
 * Checks what is delayed during startup, and for how long: commands by urgency, and decisions until
 * the machines that they compare are known. Guards against a burst of commands and against needless
 * preemption or rentals right after a restart.
 */
class StartupPacingTest {
  private final SimEventLoop loop = new SimEventLoop();
  private final Map<String, Integer> pendingCommands = new HashMap<>();
  private final List<String> sent = new ArrayList<>();
  private final CommandThrottle throttle = new CommandThrottle(loop, this::trySend);
  private final Map<String, Integer> urgency = new HashMap<>();

  private void trySend(String machine) {
    if (pendingCommands.containsKey(machine)
        && throttle.admit(machine, urgency.get(machine), pendingCommands.get(machine))) {
      pendingCommands.remove(machine);
      sent.add(machine);
    }
  }

  private void enqueue(String machine, int level, int commandCount) {
    urgency.put(machine, level);
    pendingCommands.put(machine, commandCount);
    trySend(machine);
  }

  @Test
  void commandsAreThrottledByUrgencyAndStopsAreSentAtOnce() {
    throttle.begin(5, Duration.ofSeconds(20)); // 30 commands per second, 7 at once.
    for (int i = 0; i < 30; i++) {
      enqueue("forget-" + i, Reconciliation.FORGET_URGENCY, 4);
    }
    for (int i = 0; i < 30; i++) {
      enqueue("start-" + i, 1 + Priority.PRODUCTION.ordinal(), 4);
    }
    enqueue("stop", Reconciliation.STOP_URGENCY, 4);
    assertTrue(sent.contains("stop"));
    assertTrue(sent.size() < 6, sent.toString());
    loop.runFor(Duration.ofSeconds(1));
    assertTrue(sent.size() <= 3 + 30 / 4 + 7 / 4 + 1, sent.size() + " in the first second");
    loop.runFor(Duration.ofSeconds(3));
    Set<String> early = new HashSet<>(sent.subList(2, 26));
    assertTrue(early.stream().filter(m -> m.startsWith("start")).count() >= 23, sent.toString());
    loop.runFor(Duration.ofSeconds(8));
    assertEquals(61, sent.size(), "all are sent in the end");
    assertEquals(61, new HashSet<>(sent).size(), "each is sent once");
    assertEquals(0, throttle.waitingMachines());
  }

  @Test
  void commandsAreThrottledOnlyDuringStartup() {
    enqueue("before", Reconciliation.FORGET_URGENCY, 1000);
    assertEquals(List.of("before"), sent);
    throttle.begin(0.1, Duration.ofSeconds(5));
    for (int i = 0; i < 50; i++) {
      enqueue("m-" + i, Reconciliation.FORGET_URGENCY, 4);
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

  /** 20 machines of type small and 20 of type large, all recorded before the reset. */
  @ParameterizedTest
  @CsvSource({
    // known machines of type small, of type large: coverage for jobs of small, of large, of any
    // type
    "0,  0,  false, false, false",
    "20, 0,  true,  false, false",
    "20, 15, true,  false, false",
    "18, 18, true,  true,  true",
    "20, 16, true,  false, true",
  })
  void decisionsWaitOnlyForTheMachinesThatTheyCompare(
      int small, int large, boolean forSmall, boolean forLarge, boolean forAny) {
    FleetCoverage coverage = new FleetCoverage(Duration.ofSeconds(14));
    List<MachineRecord> machines = new ArrayList<>();
    Set<String> known = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      machines.add(machine(i, "small", 5));
      machines.add(machine(100 + i, "large", 6));
      if (i < small) {
        known.add("n-" + i);
      }
      if (i < large) {
        known.add("n-" + (100 + i));
      }
    }
    Duration now = Duration.ofSeconds(100);
    coverage.reset(10, now);
    coverage.recount(machines, known::contains, now);
    assertEquals(forSmall, coverage.covers(spec(List.of("small"))));
    assertEquals(forLarge, coverage.covers(spec(List.of("large"))));
    assertEquals(forAny, coverage.covers(spec(null)));
    assertEquals(40 - small - large, coverage.unknownMachines());
    coverage.recount(machines, known::contains, now.plusSeconds(14));
    assertTrue(coverage.covers(spec(null)), "waits for a limited time: some machines hang");
  }

  @Test
  void machinesClaimedAfterStartupAreNotWaitedFor() {
    FleetCoverage coverage = new FleetCoverage(Duration.ofSeconds(14));
    Duration now = Duration.ofSeconds(100);
    List<MachineRecord> machines = List.of(machine(0, "small", 11), machine(1, "small", 12));
    coverage.recount(machines, name -> false, now);
    assertTrue(coverage.covers(spec(null)), "not waiting yet");
    coverage.reset(10, now);
    coverage.recount(machines, name -> false, now);
    assertTrue(coverage.covers(spec(null)), "a cold start waits for no machine");
    assertFalse(coverage.isWaiting(now), "the wait is over");
  }
}
