package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.sim.HistoryChecker.LateStart;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against start commands that arrive after their job's time for cancelling is over. */
class HeldUpStartCommandTest extends FaultScenario {
  private static final int CONTROLLERS = 3;
  private static final int MACHINES = 4;

  /** What happens while the start commands are on their way. */
  private enum Meanwhile {
    NOTHING, MACHINES_MUTE, MACHINES_DEAF, MACHINES_RESTART, MACHINES_HANG, OWNERS_END, OUTAGE
  }

  static Stream<Arguments> eventsAndSeeds() {
    return withSeeds(Meanwhile.values());
  }

  @ParameterizedTest
  @MethodSource("eventsAndSeeds")
  void startCommandHeldUpBeyondTheTimeForCancellingStartsNothing(Meanwhile event, long seed)
      throws Exception {
    random = new Random(seed);
    taskRunTime = Duration.ofSeconds(200);
    start(CONTROLLERS, MACHINES);
    for (int i = 0; i < MACHINES; i++) {
      submit("vision", JobKind.ARRAY, Priority.NORMAL, 1, 3, 0, null, false, false);
    }
    loop.runFor(Duration.ofSeconds(14)); // Each machine is busy, and has room for one task.
    assertTrue(machines().stream().noneMatch(machine -> machine.liveTasks().isEmpty()), "busy");
    delayedCommandShare = 1;
    minCommandDelay = seconds("cancel_s").plusSeconds(5);
    int firstHeldUp = jobCount;
    submitJobs(MACHINES, 1);
    loop.runFor(Duration.ofSeconds(4));
    delayedCommandShare = 0;
    assertTrue(delayedCommands > 0, "commands are on their way");
    for (int i = firstHeldUp; i < jobCount; i++) {
      String id = id(i);
      loop.after(Duration.ofMillis(random.nextInt(3000)), () -> users().cancel(id, SimUsers.ANY));
    }
    loop.after(Duration.ofMillis(random.nextInt(8000)), () -> begin(event));
    loop.runFor(Duration.ofSeconds(40));
    outage = false;
    loop.runFor(Duration.ofSeconds(60));
    List<LateStart> afterLimit =
        users().checker().lateStarts.stream()
            .filter(start -> start.after().compareTo(seconds("cancel_s")) > 0)
            .toList();
    assertEquals(List.of(), afterLimit, event + " seed " + seed);
    assertRecovered(event + " seed " + seed);
  }

  private void begin(Meanwhile event) {
    for (EmulatedWorker machine : machines()) {
      switch (event) {
        case MACHINES_MUTE -> reportsBlocked.add(machine.name());
        case MACHINES_DEAF -> inboundBlocked.add(machine.name());
        case MACHINES_RESTART -> restartInPlace(machine, Duration.ofMillis(900));
        case MACHINES_HANG -> machine.hangUntil(loop.now().plusSeconds(80));
        default -> { }
      }
    }
    switch (event) {
      case OWNERS_END -> inject("all end", 0, Duration.ofMillis(300));
      case OUTAGE -> outage = true;
      case MACHINES_MUTE, MACHINES_DEAF ->
          loop.after(
              Duration.ofSeconds(30),
              () -> {
                reportsBlocked.clear();
                inboundBlocked.clear();
              });
      default -> { }
    }
  }
}
