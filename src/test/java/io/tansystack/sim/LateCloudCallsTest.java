package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.wire.InvalidMessageException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against tasks that no controller knows of, on machines whose rental or deletion is carried
 * out late, or that are back within a second.
 */
class LateCloudCallsTest extends FaultScenario {
  private static final int CONTROLLERS = 3;

  /** Long enough for calls that are up to 60 s late, and for their consequences. */
  private static final Duration TROUBLE_TIME = Duration.ofSeconds(100);

  private enum Trouble { LATE_RENTALS_AND_DELETIONS, MACHINES_BACK_WITHIN_A_SECOND, BOTH }

  private final Set<String> unknownAttempts = new HashSet<>();

  static Stream<Arguments> troublesAndSeeds() {
    return withSeeds(Trouble.values());
  }

  @ParameterizedTest
  @MethodSource("troublesAndSeeds")
  void everyTaskOnAMachineIsRecorded(Trouble trouble, long seed) throws Exception {
    random = new Random(seed);
    taskRunTime = Duration.ofSeconds(8);
    maxMachines = 12;
    if (trouble != Trouble.MACHINES_BACK_WITHIN_A_SECOND) {
      lateCloudCallShare = 0.5;
    }
    onChange.add(this::collectUnknownAttempts);
    start(CONTROLLERS, 12);
    for (int i = 0; i < 10; i++) {
      loop.after(randomMs(90_000), () -> submitJobs(2, 3));
    }
    for (int i = 0; trouble != Trouble.LATE_RENTALS_AND_DELETIONS && i < 30; i++) {
      loop.after(randomMs(90_000), this::restartRandomMachine);
    }
    loop.after(randomMs(90_000), () -> inject("blinks", holder("ts/fleet"), Duration.ZERO));
    loop.runFor(TROUBLE_TIME);
    assertRecovered(trouble + " seed " + seed);
    assertEquals(Set.of(), unknownAttempts, trouble + " seed " + seed);
  }

  private Duration randomMs(int max) {
    return Duration.ofMillis(random.nextInt(max));
  }

  private void restartRandomMachine() {
    List<EmulatedWorker> machines = machines();
    if (!machines.isEmpty()) {
      EmulatedWorker machine = machines.get(random.nextInt(machines.size()));
      restartInPlace(machine, Duration.ofMillis(50 + random.nextInt(900)));
    }
  }

  /** Collects live attempts that no job's record places on their machine. */
  private void collectUnknownAttempts() {
    Set<String> recorded = recordedAttempts();
    for (EmulatedWorker machine : machines()) {
      for (String attempt : machine.liveAttempts()) {
        if (!recorded.contains(machine.name() + " " + attempt)) {
          unknownAttempts.add(machine.name() + " " + attempt);
        }
      }
    }
  }

  /** The recorded attempts, each as machine, task, attempt and session. */
  private Set<String> recordedAttempts() {
    Set<String> attempts = new HashSet<>();
    store
        .values("ts/jobs/")
        .forEach(
            (key, value) -> {
              for (Placement p : read(value).placements()) {
                String job = key.substring(key.lastIndexOf('/') + 1);
                p.tasks()
                    .forEach(
                        task ->
                            attempts.add(
                                p.machine() + " " + job + "/" + task + "#" + p.attempt() + "#"
                                    + p.session()));
              }
            });
    return attempts;
  }

  private static JobRecord read(JsonNode value) {
    try {
      return JobRecord.read((ObjectNode) value);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
