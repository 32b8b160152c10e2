package io.tansystack.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Plan.Unmet;
import io.tansystack.schedule.SessionReclaim.IdleSession;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SessionReclaimTest {
  private static final MachineType TYPE =
      new MachineType("t", 8, 0, 64, 50, 1, 1, 0.3, 40, List.of("a", "b"));

  private static JobSpec spec(String id, Shape shape, int tasks, double cpus, double mem) {
    return new JobSpec(
        id, "c", "t", shape, Priority.NORMAL, tasks, cpus, 0, mem, "img", 4, null, null,
        shape == Shape.GANG, false, false, 20, 0, 0, null);
  }

  private static MachineState machine(String name, String zone, boolean cached) {
    return new MachineState(
        name, TYPE, zone, false, 1, true, false, cached ? Set.of("img") : Set.of(), Set.of(), 0, 1, 1);
  }

  /**
   * Machines of 8 processors and 64 GB: {@code m1} (zone a, without the image), {@code m2} and {@code m3}
   * (zone b, which hold it). Sessions as {@code name:machine:cpus:mem:idle}, those that are going already
   * with a {@code !}; what they leave is taken by other work. Waiting work as {@code tasks:cpus:mem},
   * a gang in one zone with a {@code g}.
   */
  @ParameterizedTest
  @CsvSource({
    "s1:m1:2:8:900,                             1:2:8,   s1",
    "s1:m1:2:8:900 s2:m2:2:8:700,               1:2:8,   s2", // Nothing to fetch there.
    "s1:m1:2:8:900 s2:m2:2:8:700,               2:2:8,   s1 s2",
    "s1:m2:2:8:900 s2:m3:4:16:700,              1:4:8,   s2", // Alone is enough.
    "s1:m2:2:8:900 s2:m2:2:8:950 s3:m3:4:8:700, 1:4:8,   s3", // One rather than two.
    "s1:m2:4:8:900 s2:m3:4:8:950,               1:4:8,   s2", // Out of use for longer.
    "s1:m2:2:8:900 s2:m2:2:8:800 s3:m2:4:8:700, 1:4:8,   s3",
    "s1:m2:2:8:900 s2:m2:2:8:800,               1:4:16,  s1 s2",
    "s1:m2:2:8:900 s2:m2:2:8:800,               1:5:8,   ''", // Not enough: then none.
    "s1:m1:2:8:900 s2:m2:2:8:700,               g2:2:8,  ''", // Both in one zone, or not at all.
    "s1:m3:2:8:900 s2:m2:2:8:700,               g2:2:8,  s1 s2",
    "s1:m2:2:8:900! s2:m3:2:8:700,              1:2:8,   ''", // Its room is about to come.
    "s1:m2:2:8:900! s2:m3:2:8:700,              2:2:8,   s2",
    "s1:m2:2:40:900 s2:m2:6:8:700,              1:1:36,  s1", // For its memory, not its processors.
  })
  void endsTheFewestWhereWorkIsDeliveredSoonest(String standing, String waiting, String expected) {
    List<JobState> jobs = new ArrayList<>();
    List<IdleSession> idle = new ArrayList<>();
    double[] cpus = new double[4];
    double[] mem = new double[4];
    for (String text : standing.split(" ")) {
      boolean going = text.endsWith("!");
      String[] part = text.replace("!", "").split(":");
      JobSpec spec =
          spec(part[0], Shape.SERVICE, 1, Double.parseDouble(part[2]), Double.parseDouble(part[3]));
      jobs.add(placed(spec, part[1]));
      int at = part[1].charAt(1) - '0';
      cpus[at] += spec.cpus();
      mem[at] += spec.memGb();
      idle.add(
          new IdleSession(
              part[0], part[1], spec, Duration.ofSeconds(Long.parseLong(part[4])), going));
    }
    List<MachineState> machines = new ArrayList<>();
    for (int at = 1; at <= 3; at++) {
      machines.add(machine("m" + at, at == 1 ? "a" : "b", at > 1));
      jobs.add(
          placed(spec("other" + at, Shape.SERVICE, 1, 8 - cpus[at], 64 - mem[at]), "m" + at));
    }
    String[] part = waiting.split(":");
    boolean gang = part[0].startsWith("g");
    int tasks = Integer.parseInt(part[0].replace("g", ""));
    JobSpec wants =
        spec(
            "w", gang ? Shape.GANG : Shape.ARRAY, tasks, Double.parseDouble(part[1]),
            Double.parseDouble(part[2]));
    jobs.add(new JobState("w", JobRecord.created(wants, 5), true, true, false, 0, Set.of()));
    Plan plan = new Plan(Map.of(), Map.of(), List.of(new Unmet("w", wants, tasks, false, Map.of())));
    Snapshot snapshot = new Snapshot(machines, List.of(), jobs, Map.of());
    assertEquals(
        expected, String.join(" ", SessionReclaim.wanted(snapshot, plan, idle).stream().sorted().toList()));
  }

  private static JobState placed(JobSpec spec, String machine) {
    JobRecord record =
        JobRecord.created(spec, 1)
            .placed(List.of(new Assignment(machine, 1, TaskSet.range(0, spec.tasks()))));
    return new JobState(spec.id(), record, true, false, false, 0, Set.of());
  }
}
