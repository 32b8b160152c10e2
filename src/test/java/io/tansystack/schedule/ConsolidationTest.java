package io.tansystack.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against draining machines whose replicas do not all fit elsewhere at the same time, and
 * against draining more machines than allowed.
 */
class ConsolidationTest {
  private static final MachineType EXPENSIVE =
      new MachineType("expensive", 8, 8, 64, 50, 1, 20, 5, 25, List.of("a"));
  private static final MachineType CHEAP =
      new MachineType("cheap", 8, 0, 64, 50, 1, 1, 0.3, 40, List.of("a"));

  private static MachineState machine(String name, MachineType type, boolean drain) {
    return new MachineState(
        name, type, "a", false, 1, !drain, drain, Set.of(), Set.of(), 0, 1, 1);
  }

  /**
   * Three expensive machines run two replicas of 1 CPU each. A cheap machine runs one replica and
   * has {@code freeCpus} left. Capacity for {@code spareReplicas} must remain, and at most {@code
   * maxDraining} machines drain at a time; the first one may be draining already.
   */
  @ParameterizedTest
  @CsvSource({
    // free CPUs, spare replicas, max draining, first is draining, expected
    "7, 0, 5, false, d0 d1 d2",
    "7, 1, 5, false, d0 d1 d2",
    "7, 2, 5, false, d0 d1",
    "7, 0, 2, false, d0 d1",
    "3, 0, 5, false, d0 d1", // All six replicas are on d2 then, and don't fit on the cheap machine.
    "0, 0, 5, false, d0 d1",
    "7, 0, 2, true, d1",
    "3, 0, 5, true, d1",
    "7, 0, 1, true, ''",
  })
  void drainsMachinesWhoseReplicasFitElsewhere(
      int freeCpus, int spareReplicas, int maxDraining, boolean draining, String expected) {
    List<MachineState> machines = new ArrayList<>();
    List<JobState> jobs = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      machines.add(machine("d" + i, EXPENSIVE, draining && i == 0));
      jobs.add(replicas("wk-" + i, 1, "d" + i, 2));
    }
    machines.add(machine("c", CHEAP, false));
    jobs.add(replicas("wk-3", 8 - freeCpus, "c", 1));
    Snapshot snapshot = new Snapshot(machines, List.of(), jobs, Map.of());
    assertEquals(
        expected,
        String.join(
            " ",
            Consolidation.selectMachinesToDrain(
                snapshot, m -> m.type() == EXPENSIVE, spareReplicas, maxDraining)));
  }

  /** A service with {@code tasks} replicas, all of them on the machine. */
  private static JobState replicas(String id, double cpus, String machine, int tasks) {
    JobSpec spec =
        new JobSpec(
            id, "c", "t", JobKind.SERVICE, Priority.PRODUCTION, tasks, cpus, 0, 1, "img", 2,
            List.of("expensive", "cheap"), null, false, false, false, 0, 0, 0, null);
    JobRecord record =
        JobRecord.created(spec, 0)
            .placed(List.of(new Assignment(machine, 1, TaskSet.range(0, tasks))));
    return new JobState(id, record, true, true, false, 0, Set.of());
  }
}
