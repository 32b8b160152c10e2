package io.tansystack.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord.EndedAttempt;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.records.RecordSizeLimit;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Plan.Eviction;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a {@link ClusterCapacity} that differs from the records after incremental updates.
 * After random sequences of changed machines, changed job records and applied plans, a pass over
 * capacity that was updated incrementally must give the same plan as one over capacity that was
 * built from scratch. The property {@code tansystack.seeds} sets the range of seeds, as {@code
 * FROM-TO}.
 */
class IncrementalCapacityTest {
  private static final int STEPS = 60;
  private static final Planner.Bounds BOUNDS =
      new Planner.Bounds(new RecordSizeLimit(4096), 8, 12);
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final List<MachineType> TYPES =
      List.of(
          new MachineType("small", 4, 0, 16, 50, 0.5, 1, 0.3, 40, ZONES),
          new MachineType("large", 16.3, 0, 40.7, 50, 0.5, 3, 1, 40, ZONES),
          new MachineType("accel", 12, 4, 64, 50, 0.5, 10, 3, 30, ZONES));
  private static final Map<String, Team> TEAMS =
      Map.of(
          "owner", new Team("owner", 20, 4, 60, 12),
          "guest", new Team("guest", 0, 0, 30.5, 6),
          "open", new Team("open", 0, 0, 0, 0));

  private final Map<String, MachineState> machines = new TreeMap<>();
  private final Map<String, JobState> jobs = new TreeMap<>();
  private final ClusterCapacity incremental = new ClusterCapacity();
  private Random random;
  private int created;

  static LongStream seeds() {
    String[] range = System.getProperty("tansystack.seeds", "1-40").split("-");
    return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void incrementalCapacityGivesSamePlanAsRebuiltOne(long seed) {
    random = new Random(seed);
    int placed = 0;
    for (int step = 0; step < STEPS; step++) {
      int changes = random.nextInt(6);
      for (int i = 0; i <= changes; i++) {
        applyRandomChange();
      }
      Snapshot snapshot = snapshot();
      Plan expected = Planner.plan(snapshot, BOUNDS);
      Plan actual = Planner.plan(snapshot, incremental, BOUNDS);
      assertEquals(expected, actual, "seed " + seed + " step " + step);
      assertValid(expected);
      placed += expected.placements().size();
      if (random.nextInt(4) > 0) {
        applyPlan(expected);
      }
    }
    assertTrue(placed > STEPS / 4, "too little was planned to compare: " + placed);
  }

  /**
   * Checks, independently of how the planner found the machines, that all of them accept tasks and
   * are allowed, that none is overcommitted, and that no team exceeds its quota.
   */
  private void assertValid(Plan plan) {
    Map<String, double[]> machineUsage = new TreeMap<>();
    Map<String, double[]> teamUsage = new TreeMap<>();
    jobs.forEach(
        (id, job) -> {
          JobSpec spec = job.record().spec();
          for (Placement placement : job.record().placements()) {
            addUsage(machineUsage, placement.machine(), spec, placement.tasks().size());
            addUsage(teamUsage, spec.team(), spec, placement.tasks().size());
          }
        });
    plan.placements()
        .forEach(
            (id, assignments) -> {
              JobState job = jobs.get(id);
              JobSpec spec = job.record().spec();
              for (Assignment assignment : assignments) {
                MachineState machine = machines.get(assignment.machine());
                assertTrue(machine.acceptsTasks(), id + " on closed " + machine);
                assertTrue(
                    spec.allows(machine.type().name(), machine.zone(), machine.spot()),
                    id + " may not run on " + machine);
                assertTrue(
                    !job.excludedMachines().contains(machine.name()), id + " excludes " + machine);
                double[] usage =
                    addUsage(machineUsage, machine.name(), spec, assignment.tasks().size());
                MachineType type = machine.type();
                boolean fits =
                    usage[0] <= type.cpus() + 1e-3
                        && usage[1] <= type.gpus() + 1e-3
                        && usage[2] <= type.memGb() + 1e-3;
                assertTrue(fits, id + " does not fit on " + machine);
                double[] ofTeam =
                    addUsage(teamUsage, spec.team(), spec, assignment.tasks().size());
                Team team = TEAMS.get(spec.team());
                boolean overCpus = team.cpusMax() > 0 && ofTeam[0] > team.cpusMax() + 1e-3;
                boolean overGpus = team.gpusMax() > 0 && ofTeam[1] > team.gpusMax() + 1e-3;
                assertTrue(
                    !(overCpus && spec.cpus() > 0) && !(overGpus && spec.gpus() > 0),
                    id + " exceeds the quota of its team");
              }
            });
  }

  /** Adds the tasks to the CPUs, GPUs and memory used under a name, and returns the sums. */
  private static double[] addUsage(
      Map<String, double[]> usages, String name, JobSpec spec, int tasks) {
    double[] usage = usages.computeIfAbsent(name, k -> new double[3]);
    usage[0] += tasks * spec.cpus();
    usage[1] += tasks * spec.gpus();
    usage[2] += tasks * spec.memGb();
    return usage;
  }

  /** After all machines and jobs are removed, the incremental state has no remains of them. */
  @Test
  void isEmptyAfterEverythingIsRemoved() {
    random = new Random(7);
    for (int i = 0; i < 300; i++) {
      applyRandomChange();
    }
    applyPlan(Planner.plan(snapshot(), incremental, BOUNDS));
    for (String id : List.copyOf(jobs.keySet())) {
      replaceRecord(id, null);
    }
    for (String machine : List.copyOf(machines.keySet())) {
      machines.remove(machine);
      incremental.removeMachine(machine);
    }
    assertEquals(
        new Plan(Map.of(), Map.of(), List.of()), Planner.plan(snapshot(), incremental, BOUNDS));
    assertEquals(0, incremental.size());
    assertEquals(List.of(), List.copyOf(incremental.withFreeCpus()));
    assertEquals(Map.of(), incremental.releasing());
    assertEquals(0, incremental.stoppingReplicas());
    assertEquals(0, incremental.totalCpus());
    assertEquals(0, incremental.teamUsage().cpus("owner"));
  }

  private Snapshot snapshot() {
    List<MachineState> booting = new ArrayList<>();
    if (random.nextBoolean()) {
      booting.add(Snapshot.booting("booting-0", TYPES.get(0), "a", false));
    }
    List<JobState> byArrival = new ArrayList<>(jobs.values());
    return new Snapshot(List.copyOf(machines.values()), booting, byArrival, TEAMS, true);
  }

  private void applyRandomChange() {
    switch (random.nextInt(10)) {
      case 0, 1 -> addMachine(String.format("n-%04d", created++));
      case 2 -> randomOf(machines.keySet(), this::addMachine);
      case 3 -> {
        if (machines.size() > 12) {
          randomOf(machines.keySet(), this::removeMachine);
        }
      }
      case 4, 5, 6 -> submit();
      case 7 -> randomOf(jobs.keySet(), this::finishSome);
      case 8 -> randomOf(jobs.keySet(), id -> replaceRecord(id, record(id).cancelled(1)));
      default -> randomOf(jobs.keySet(), id -> putRecord(id, record(id)));
    }
  }

  private void randomOf(Set<String> names, Consumer<String> action) {
    if (!names.isEmpty()) {
      action.accept(List.copyOf(names).get(random.nextInt(names.size())));
    }
  }

  private void addMachine(String name) {
    MachineState before = machines.get(name);
    MachineType type = before == null ? TYPES.get(random.nextInt(TYPES.size())) : before.type();
    String zone = before == null ? ZONES.get(random.nextInt(ZONES.size())) : before.zone();
    MachineState state =
        new MachineState(
            name,
            type,
            zone,
            before == null ? random.nextInt(4) == 0 : before.spot(),
            1,
            random.nextInt(8) > 0,
            random.nextInt(12) == 0,
            random.nextBoolean() ? Set.of("img-0") : Set.of("img-1", "img-2"),
            random.nextInt(3) == 0 ? Set.of("img-3") : Set.of(),
            random.nextInt(3),
            0.4 + random.nextInt(3) * 0.1,
            1 + random.nextInt(3) * 0.07);
    machines.put(name, state);
    incremental.updateMachine(state);
  }

  private void removeMachine(String name) {
    machines.remove(name);
    incremental.removeMachine(name);
    for (String id : List.copyOf(jobs.keySet())) {
      JobRecord record = record(id);
      List<EndedAttempt> ended = new ArrayList<>();
      for (Placement placement : record.placements()) {
        if (placement.machine().equals(name) && random.nextInt(3) > 0) {
          placement.tasks().forEach(
              t -> ended.add(new EndedAttempt(t, placement.attempt(), name, false)));
        }
      }
      replaceRecord(id, record.withProofsApplied(ended));
    }
  }

  private void submit() {
    JobKind kind = JobKind.values()[random.nextInt(JobKind.values().length)];
    boolean gpus = random.nextInt(3) == 0;
    String id = "wk-" + String.format("%05d", created++);
    int tasks = 1 + random.nextInt(kind == JobKind.ARRAY ? 30 : 6);
    boolean sameZone = kind == JobKind.GANG && random.nextBoolean();
    boolean similar = kind == JobKind.SERVICE && random.nextInt(4) > 0;
    JobSpec spec =
        new JobSpec(
            id,
            "c",
            List.copyOf(new TreeMap<>(TEAMS).keySet()).get(random.nextInt(3)),
            kind,
            Priority.values()[random.nextInt(Priority.values().length)],
            tasks,
            0.7 + random.nextInt(similar ? 1 : 4),
            gpus ? 1 + random.nextInt(3) : 0,
            1.1 + random.nextInt(similar ? 1 : 5),
            "img-" + random.nextInt(similar ? 2 : 4),
            1.5,
            random.nextInt(4) == 0 ? List.of("large", "accel") : null,
            random.nextInt(6) == 0 ? "b" : null,
            sameZone,
            !sameZone && random.nextInt(3) == 0,
            random.nextBoolean(),
            kind == JobKind.SERVICE ? 0 : 10 + random.nextInt(50),
            0,
            0,
            null);
    putRecord(id, JobRecord.created(spec, 1000 + created));
  }

  private void finishSome(String id) {
    JobRecord record = record(id);
    List<EndedAttempt> ended = new ArrayList<>();
    for (Placement placement : record.placements()) {
      boolean done = random.nextInt(3) > 0;
      placement
          .tasks()
          .forEach(
              task -> {
                if (random.nextBoolean()) {
                  ended.add(new EndedAttempt(task, placement.attempt(), placement.machine(), done));
                }
              });
    }
    replaceRecord(id, record.withProofsApplied(ended));
  }

  /**
   * Applies all evictions, and placements in part: some jobs get one assignment only, some none.
   */
  private void applyPlan(Plan plan) {
    plan.evictions()
        .forEach(
            (id, evictions) -> {
              JobRecord next = record(id);
              for (Eviction eviction : evictions) {
                next = next.stopped(eviction.machine(), eviction.tasks());
              }
              replaceRecord(id, next);
            });
    plan.placements()
        .forEach(
            (id, assignments) -> {
              List<Assignment> applied =
                  random.nextInt(5) == 0 ? assignments.subList(0, 1) : assignments;
              if (random.nextInt(6) > 0) {
                replaceRecord(id, record(id).placed(applied));
              }
            });
  }

  private JobRecord record(String id) {
    return jobs.get(id).record();
  }

  private void replaceRecord(String id, JobRecord next) {
    if (next == null || next.spec() == null) {
      incremental.updateJob(record(id), null);
      jobs.remove(id);
    } else {
      putRecord(id, next);
    }
  }

  /**
   * Stores a job's record with a random {@link JobState}: apart from the record, how a pass sees a
   * job also changes as time passes.
   */
  private void putRecord(String id, JobRecord record) {
    JobState before = jobs.get(id);
    incremental.updateJob(before == null ? null : before.record(), record);
    Set<String> excluded =
        random.nextInt(6) == 0 && !machines.isEmpty()
            ? Set.of(List.copyOf(machines.keySet()).get(0))
            : Set.of();
    jobs.put(
        id,
        new JobState(
            id,
            record,
            random.nextInt(8) > 0,
            random.nextBoolean(),
            random.nextInt(12) == 0,
            random.nextInt(2),
            excluded,
            record.neverPlaced() && random.nextInt(4) == 0));
  }
}
