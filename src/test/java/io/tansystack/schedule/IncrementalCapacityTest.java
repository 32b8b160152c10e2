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
 * Rooms that are kept from pass to pass give the plan that rooms made anew give, after any sequence of
 * changes of machines, records and plans carried out. More seeds by the property
 * {@code tansystack.seeds}, as {@code FROM-TO}.
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
  private final ClusterCapacity kept = new ClusterCapacity();
  private Random random;
  private int made;

  static LongStream seeds() {
    String[] range = System.getProperty("tansystack.seeds", "1-40").split("-");
    return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void keptRoomsGiveThePlanThatNewOnesGive(long seed) {
    random = new Random(seed);
    int placed = 0;
    for (int step = 0; step < STEPS; step++) {
      int changes = random.nextInt(6);
      for (int i = 0; i <= changes; i++) {
        change();
      }
      Snapshot snapshot = snapshot();
      Plan anew = Planner.plan(snapshot, BOUNDS);
      Plan fromKept = Planner.plan(snapshot, kept, BOUNDS);
      assertEquals(anew, fromKept, "seed " + seed + " step " + step);
      assertSound(anew);
      placed += anew.placements().size();
      if (random.nextInt(4) > 0) {
        carryOut(anew);
      }
    }
    assertTrue(placed > STEPS / 4, "too little was planned to compare: " + placed);
  }

  /** Whatever way the machines were found: all are allowed, none holds too much, and no team uses too much. */
  private void assertSound(Plan plan) {
    Map<String, double[]> machineUse = new TreeMap<>();
    Map<String, double[]> teamUse = new TreeMap<>();
    jobs.forEach(
        (id, job) -> {
          JobSpec spec = job.record().spec();
          for (Placement placement : job.record().placements()) {
            add(machineUse, placement.machine(), spec, placement.tasks().size());
            add(teamUse, spec.team(), spec, placement.tasks().size());
          }
        });
    plan.placements()
        .forEach(
            (id, round) -> {
              JobState job = jobs.get(id);
              JobSpec spec = job.record().spec();
              for (Assignment part : round) {
                MachineState machine = machines.get(part.machine());
                assertTrue(machine.acceptsTasks(), id + " on closed " + machine);
                assertTrue(
                    spec.allows(machine.type().name(), machine.zone(), machine.spot()),
                    id + " may not stand on " + machine);
                assertTrue(!job.excludedMachines().contains(machine.name()), id + " avoids " + machine);
                double[] use = add(machineUse, machine.name(), spec, part.tasks().size());
                MachineType type = machine.type();
                boolean fits =
                    use[0] <= type.cpus() + 1e-3
                        && use[1] <= type.gpus() + 1e-3
                        && use[2] <= type.memGb() + 1e-3;
                assertTrue(fits, id + " does not fit on " + machine);
                double[] ofTeam = add(teamUse, spec.team(), spec, part.tasks().size());
                Team team = TEAMS.get(spec.team());
                boolean overCpus = team.cpusMax() > 0 && ofTeam[0] > team.cpusMax() + 1e-3;
                boolean overGpus = team.gpusMax() > 0 && ofTeam[1] > team.gpusMax() + 1e-3;
                assertTrue(
                    !(overCpus && spec.cpus() > 0) && !(overGpus && spec.gpus() > 0),
                    id + " takes more than its team may use");
              }
            });
  }

  private static double[] add(Map<String, double[]> uses, String name, JobSpec spec, int tasks) {
    double[] use = uses.computeIfAbsent(name, k -> new double[3]);
    use[0] += tasks * spec.cpus();
    use[1] += tasks * spec.gpus();
    use[2] += tasks * spec.memGb();
    return use;
  }

  /** After everything has gone nothing is left of it in the kept state. */
  @Test
  void whatIsKeptEmptiesAgain() {
    random = new Random(7);
    for (int i = 0; i < 300; i++) {
      change();
    }
    carryOut(Planner.plan(snapshot(), kept, BOUNDS));
    for (String id : List.copyOf(jobs.keySet())) {
      replace(id, null);
    }
    for (String machine : List.copyOf(machines.keySet())) {
      machines.remove(machine);
      kept.remove(machine);
    }
    assertEquals(new Plan(Map.of(), Map.of(), List.of()), Planner.plan(snapshot(), kept, BOUNDS));
    assertEquals(0, kept.size());
    assertEquals(List.of(), List.copyOf(kept.free()));
    assertEquals(Map.of(), kept.leaving());
    assertEquals(0, kept.replicasLeaving());
    assertEquals(0, kept.cpus());
    assertEquals(0, kept.teams().cpus("owner"));
  }

  private Snapshot snapshot() {
    List<MachineState> booting = new ArrayList<>();
    if (random.nextBoolean()) {
      booting.add(Snapshot.booting("booting-0", TYPES.get(0), "a", false));
    }
    List<JobState> byArrival = new ArrayList<>(jobs.values());
    return new Snapshot(List.copyOf(machines.values()), booting, byArrival, TEAMS, true);
  }

  private void change() {
    switch (random.nextInt(10)) {
      case 0, 1 -> addMachine(String.format("n-%04d", made++));
      case 2 -> randomOf(machines.keySet(), this::addMachine);
      case 3 -> {
        if (machines.size() > 12) {
          randomOf(machines.keySet(), this::removeMachine);
        }
      }
      case 4, 5, 6 -> submit();
      case 7 -> randomOf(jobs.keySet(), this::finishSome);
      case 8 -> randomOf(jobs.keySet(), id -> replace(id, record(id).cancelled(1)));
      default -> randomOf(jobs.keySet(), id -> put(id, record(id)));
    }
  }

  private void randomOf(Set<String> names, Consumer<String> then) {
    if (!names.isEmpty()) {
      then.accept(List.copyOf(names).get(random.nextInt(names.size())));
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
    kept.machine(state);
  }

  private void removeMachine(String name) {
    machines.remove(name);
    kept.remove(name);
    for (String id : List.copyOf(jobs.keySet())) {
      JobRecord record = record(id);
      List<EndedAttempt> gone = new ArrayList<>();
      for (Placement placement : record.placements()) {
        if (placement.machine().equals(name) && random.nextInt(3) > 0) {
          placement.tasks().forEach(
              t -> gone.add(new EndedAttempt(t, placement.attempt(), name, false)));
        }
      }
      replace(id, record.absorbed(gone));
    }
  }

  private void submit() {
    JobKind shape = JobKind.values()[random.nextInt(JobKind.values().length)];
    boolean gpus = random.nextInt(3) == 0;
    String id = "wk-" + String.format("%05d", made++);
    int tasks = 1 + random.nextInt(shape == JobKind.ARRAY ? 30 : 6);
    boolean sameZone = shape == JobKind.GANG && random.nextBoolean();
    boolean alike = shape == JobKind.SERVICE && random.nextInt(4) > 0;
    JobSpec spec =
        new JobSpec(
            id,
            "c",
            List.copyOf(new TreeMap<>(TEAMS).keySet()).get(random.nextInt(3)),
            shape,
            Priority.values()[random.nextInt(Priority.values().length)],
            tasks,
            0.7 + random.nextInt(alike ? 1 : 4),
            gpus ? 1 + random.nextInt(3) : 0,
            1.1 + random.nextInt(alike ? 1 : 5),
            "img-" + random.nextInt(alike ? 2 : 4),
            1.5,
            random.nextInt(4) == 0 ? List.of("large", "accel") : null,
            random.nextInt(6) == 0 ? "b" : null,
            sameZone,
            !sameZone && random.nextInt(3) == 0,
            random.nextBoolean(),
            shape == JobKind.SERVICE ? 0 : 10 + random.nextInt(50),
            0,
            0,
            null);
    put(id, JobRecord.created(spec, 1000 + made));
  }

  private void finishSome(String id) {
    JobRecord record = record(id);
    List<EndedAttempt> over = new ArrayList<>();
    for (Placement placement : record.placements()) {
      boolean done = random.nextInt(3) > 0;
      placement
          .tasks()
          .forEach(
              task -> {
                if (random.nextBoolean()) {
                  over.add(new EndedAttempt(task, placement.attempt(), placement.machine(), done));
                }
              });
    }
    replace(id, record.absorbed(over));
  }

  private void carryOut(Plan plan) {
    plan.evictions()
        .forEach(
            (id, stops) -> {
              JobRecord next = record(id);
              for (Eviction stop : stops) {
                next = next.stopped(stop.machine(), stop.tasks());
              }
              replace(id, next);
            });
    plan.placements()
        .forEach(
            (id, round) -> {
              List<Assignment> part = random.nextInt(5) == 0 ? round.subList(0, 1) : round;
              if (random.nextInt(6) > 0) {
                replace(id, record(id).placed(part));
              }
            });
  }

  private JobRecord record(String id) {
    return jobs.get(id).record();
  }

  private void replace(String id, JobRecord next) {
    if (next == null || next.spec() == null) {
      kept.job(record(id), null);
      jobs.remove(id);
    } else {
      put(id, next);
    }
  }

  /** With time that has passed: how a pass sees a job changes without its record. */
  private void put(String id, JobRecord record) {
    JobState before = jobs.get(id);
    kept.job(before == null ? null : before.record(), record);
    Set<String> avoid =
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
            avoid,
            record.untouched() && random.nextInt(4) == 0));
  }
}
