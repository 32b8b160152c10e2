package io.tansystack.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord;
import io.tansystack.records.RecordSizeLimit;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings.Objective;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which machines a pass chooses, what it preempts and what it reports as unmet. */
class PlannerTest {
  private static final MachineType SMALL =
      new MachineType("small", 4, 0, 16, 50, 0.5, 1, 0.3, 40, List.of("a", "b"));
  private static final MachineType ACCEL =
      new MachineType("accel", 16, 4, 64, 50, 0.5, 10, 3, 30, List.of("a", "b"));
  private static final Team OPEN = new Team("t", 0, 0, 0, 0);

  private final List<MachineState> machines = new ArrayList<>();
  private final List<MachineState> booting = new ArrayList<>();
  private final List<JobState> jobs = new ArrayList<>();
  private final Map<String, Team> teams = new HashMap<>(Map.of("t", OPEN));

  private MachineState machine(String name, MachineType type, String zone) {
    return machine(name, type, zone, Set.of(), 0, 1);
  }

  private MachineState machine(
      String name, MachineType type, String zone, Set<String> images, double queued, double slow) {
    MachineState m =
        new MachineState(
            name, type, zone, false, 1, true, false, images, Set.of(), queued, 0.5, slow);
    machines.add(m);
    return m;
  }

  private static JobSpec spec(
      String id, JobKind kind, Priority priority, int tasks, double cpus, double gpus,
      boolean sameZone, boolean scatter) {
    return new JobSpec(
        id, "c", "t", kind, priority, tasks, cpus, gpus, 1, "img", 2, null, null, sameZone,
        scatter, false, 10, 0, 0, null);
  }

  private JobState job(JobSpec spec, long at, Assignment... placed) {
    JobRecord record = JobRecord.created(spec, at);
    if (placed.length > 0) {
      record = record.placed(List.of(placed));
    }
    JobState state = new JobState(spec.id(), record, true, true, false, 0, Set.of());
    jobs.add(state);
    return state;
  }

  private Plan plan() {
    return Planner.plan(
        new Snapshot(machines, booting, jobs, teams),
        new Planner.Bounds(new RecordSizeLimit(8192), 30, 1000));
  }

  private static int placed(Plan plan, String job, String machine) {
    return plan.placements().getOrDefault(job, List.of()).stream()
        .filter(a -> a.machine().equals(machine))
        .mapToInt(a -> a.tasks().size())
        .sum();
  }

  private static int placed(Plan plan, String job) {
    return plan.placements().getOrDefault(job, List.of()).stream()
        .mapToInt(a -> a.tasks().size())
        .sum();
  }

  /**
   * Fetch time (queue and image at 0.5 GB/s) plus 10 s times the slowness: the smaller sum wins.
   */
  @ParameterizedTest
  @CsvSource({
    "true,0,1, false,0,1, x",
    "false,0,1, true,0,1, y",
    "false,0,1, false,3,1, x",
    "true,0,2, false,0,1, y",
    "true,0,1.3, false,0,1, x",
    "true,0,1.5, false,0,1, y"
  })
  void choosesLeastPredictedCompletionTime(
      boolean xCached, double xQueue, double xSlow,
      boolean yCached, double yQueue, double ySlow, String best) {
    machine("x", SMALL, "a", xCached ? Set.of("img") : Set.of(), xQueue, xSlow);
    machine("y", SMALL, "a", yCached ? Set.of("img") : Set.of(), yQueue, ySlow);
    job(spec("wk-1", JobKind.ARRAY, Priority.LOW, 1, 1, 0, false, false), 0);
    assertEquals(1, placed(plan(), "wk-1", best));
  }

  /**
   * Places a task that needs one accelerator, with a partly used machine of the given slowness and
   * a whole machine to choose from. While there are gangs that need whole machines, a partly used
   * machine that is nearly as fast must be preferred.
   */
  @ParameterizedTest
  @CsvSource({"1,true,partly-used", "1.05,true,partly-used", "1.05,false,whole", "1.3,true,whole"})
  void prefersPartlyUsedMachinesWhileGangsNeedWholeOnes(
      double slowness, boolean gangs, String best) {
    machine("partly-used", ACCEL, "a", Set.of("img"), 0, slowness);
    machine("other", ACCEL, "a", Set.of("img"), 0, 1);
    machine("whole", ACCEL, "a", Set.of("img"), 0, 1);
    job(spec("wk-1", JobKind.ARRAY, Priority.LOW, 1, 1, 1, false, false), 0,
        new Assignment("partly-used", 1, TaskSet.range(0, 1)));
    job(spec("wk-2", JobKind.GANG, Priority.HIGH, 1, 8, gangs ? 4 : 1, false, false), 0,
        new Assignment("other", 1, TaskSet.range(0, 1)));
    job(spec("wk-3", JobKind.ARRAY, Priority.LOW, 1, 0.5, 1, false, false), 1);
    Plan plan = plan();
    assertEquals(1, placed(plan, "wk-3"));
    assertEquals(best.equals("partly-used"), placed(plan, "wk-3", "partly-used") == 1);
  }

  /**
   * Four tasks fit on a whole machine. While there are gangs, tasks that fill whole machines take
   * them, except for the last whole machine, and the others go to the partly used machine.
   */
  @ParameterizedTest
  @CsvSource({"3,3,0", "4,0,4", "7,3,4", "11,3,8"})
  void tasksThatFillWholeMachinesArePlacedTogether(int tasks, int onPartlyUsed, int onWhole) {
    machine("partly-used", ACCEL, "a", Set.of("img"), 0, 1);
    machine("gang", ACCEL, "a", Set.of("img"), 0, 1);
    for (int i = 0; i < 3; i++) {
      machine("whole" + i, ACCEL, "a", Set.of("img"), 0, 1);
    }
    job(spec("wk-1", JobKind.ARRAY, Priority.LOW, 1, 1, 1, false, false), 0,
        new Assignment("partly-used", 1, TaskSet.range(0, 1)));
    job(spec("wk-2", JobKind.GANG, Priority.HIGH, 1, 8, 4, false, false), 0,
        new Assignment("gang", 1, TaskSet.range(0, 1)));
    job(spec("wk-3", JobKind.ARRAY, Priority.LOW, tasks, 1, 1, false, false), 1);
    Plan plan = plan();
    assertEquals(onPartlyUsed, placed(plan, "wk-3", "partly-used"));
    assertEquals(onWhole, placed(plan, "wk-3") - onPartlyUsed);
  }

  /** At most half of the replicas of a scattered service, rounded up, may run in one zone. */
  @ParameterizedTest
  @CsvSource({"1,1", "2,2", "3,3", "4,3", "5,4"})
  void scatterLimitsReplicasPerZone(int tasks, int expected) {
    for (int i = 0; i < 6; i++) {
      machine("a" + i, SMALL, "a");
    }
    machine("b0", SMALL, "b");
    job(spec("wk-1", JobKind.SERVICE, Priority.PRODUCTION, tasks, 4, 0, false, true), 0);
    assertEquals(expected, placed(plan(), "wk-1"), "one task fits in zone b");
  }

  @Test
  void gangsArePlacedWhollyAndInOneZoneIfRequested() {
    machine("a0", SMALL, "a");
    machine("b0", SMALL, "b");
    machine("b1", SMALL, "b");
    job(spec("wk-1", JobKind.GANG, Priority.NORMAL, 2, 4, 0, true, false), 0);
    Plan plan = plan();
    assertEquals(1, placed(plan, "wk-1", "b0"));
    assertEquals(1, placed(plan, "wk-1", "b1"));
    jobs.clear();
    job(spec("wk-2", JobKind.GANG, Priority.NORMAL, 3, 4, 0, true, false), 0);
    assertEquals(0, placed(plan(), "wk-2"));
  }

  @Test
  void nextGangAttemptWaitsUntilThePreviousOneHasEnded() {
    machine("a0", SMALL, "a");
    machine("a1", SMALL, "a");
    JobState gang = job(spec("wk-1", JobKind.GANG, Priority.NORMAL, 1, 4, 0, false, false), 0,
        new Assignment("a0", 1, TaskSet.range(0, 1)));
    jobs.clear();
    jobs.add(new JobState("wk-1", gang.record().allStopped(), true, true, false, 0, Set.of()));
    assertEquals(0, placed(plan(), "wk-1"));
  }

  @ParameterizedTest
  @CsvSource({"0,0,4", "2,0,2", "3,0,3", "4,2,2", "4,4,0"})
  void teamLimitsCountTasksThatMayStillExist(double cpusMax, int already, int expected) {
    teams.put("t", new Team("t", 0, 0, cpusMax, 0));
    machine("a0", SMALL, "a");
    machine("a1", SMALL, "a");
    if (already > 0) {
      job(spec("wk-9", JobKind.ARRAY, Priority.LOW, already, 1, 0, false, false), 0,
          new Assignment("gone", 1, TaskSet.range(0, already)));
    }
    job(spec("wk-1", JobKind.ARRAY, Priority.LOW, 4, 1, 0, false, false), 1);
    assertEquals(expected, placed(plan(), "wk-1"));
  }

  /** Tasks of a lower priority are preempted; those of the same or a higher priority are not. */
  @ParameterizedTest
  @CsvSource({
    "PRODUCTION,LOW,true", "HIGH,NORMAL,true", "NORMAL,LOW,true",
    "NORMAL,NORMAL,false", "LOW,LOW,false", "HIGH,PRODUCTION,false"
  })
  void preemptsOnlyLowerPriorities(Priority newcomer, Priority running, boolean preempts) {
    machine("a0", SMALL, "a");
    job(spec("wk-1", JobKind.ARRAY, running, 4, 1, 0, false, false), 0,
        new Assignment("a0", 1, TaskSet.range(0, 4)));
    job(spec("wk-2", JobKind.ARRAY, newcomer, 1, 2, 0, false, false), 1);
    Plan plan = plan();
    assertEquals(preempts, plan.evictions().containsKey("wk-1"));
    if (preempts) {
      assertEquals(2, plan.evictions().get("wk-1").get(0).tasks().size(), "no more than needed");
      assertTrue(plan.unmet().isEmpty(), "the evicted tasks free the capacity");
    } else {
      assertFalse(plan.unmet().isEmpty());
    }
  }

  @Test
  void doesNotPreemptBeforeThePreemptionDelay() {
    machine("a0", SMALL, "a");
    job(spec("wk-1", JobKind.ARRAY, Priority.LOW, 4, 1, 0, false, false), 0,
        new Assignment("a0", 1, TaskSet.range(0, 4)));
    JobSpec spec = spec("wk-2", JobKind.ARRAY, Priority.HIGH, 1, 1, 0, false, false);
    jobs.add(new JobState("wk-2", JobRecord.created(spec, 1), true, false, false, 0, Set.of()));
    assertTrue(plan().evictions().isEmpty());
  }

  /**
   * Deadline 100 s, estimate 20 s, objectives at 1 and 1.5 times the deadline: how many of them are
   * missed at a given age by a job that has not started and by one that has.
   */
  @ParameterizedTest
  @CsvSource({
    "0,0,0", "69,0,0", "71,1,0", "81,1,1", "119,1,1", "121,2,1", "131,2,2", "499,2,2", "501,0,0"
  })
  void countsObjectivesThatCannotBeMet(int ageS, int missedIfNotStarted, int missedIfStarted) {
    JobSpec spec =
        new JobSpec(
            "wk-1", "c", "t", JobKind.ARRAY, Priority.LOW, 4, 1, 0, 1, "img", 2, null, null, false,
            false, false, 20, 0, 0, 100.0);
    Deadlines deadlines =
        new Deadlines(
            List.of(
                new Objective("deadline", "c", Duration.ZERO, 0.8, 1.5),
                new Objective("deadline", "c", Duration.ZERO, 0.5, 1),
                new Objective("deadline", "other", Duration.ZERO, 0.5, 0.1)));
    JobRecord record = JobRecord.created(spec, 7000);
    JobRecord started = record.placed(List.of(new Assignment("m", 1, TaskSet.range(0, 1))));
    assertEquals(missedIfNotStarted, deadlines.missedObjectives(record, 7000 + ageS * 1000L));
    assertEquals(missedIfStarted, deadlines.missedObjectives(started, 7000 + ageS * 1000L));
  }

  @Test
  void jobsThatMissObjectivesGoLast() {
    machine("m", SMALL, "a");
    JobSpec late = spec("wk-1", JobKind.ARRAY, Priority.LOW, 4, 1, 0, false, false);
    JobSpec inTime = spec("wk-2", JobKind.ARRAY, Priority.LOW, 4, 1, 0, false, false);
    jobs.add(new JobState("wk-1", JobRecord.created(late, 0), true, true, false, 1, Set.of()));
    jobs.add(new JobState("wk-2", JobRecord.created(inTime, 1), true, true, false, 0, Set.of()));
    Plan plan = plan();
    assertEquals(4, placed(plan, "wk-2"));
    assertEquals(0, placed(plan, "wk-1"));
  }

  /** A huge array lets later small jobs go first, but not those submitted much later. */
  @ParameterizedTest
  @CsvSource({"0, wk-2", "30, wk-2", "20000, wk-1"})
  void hugeArrayLetsSmallJobsGoFirst(long delayS, String first) {
    machine("a0", SMALL, "a");
    job(spec("wk-1", JobKind.ARRAY, Priority.LOW, 1000, 1, 0, false, false), 0);
    job(spec("wk-2", JobKind.ARRAY, Priority.LOW, 4, 1, 0, false, false), delayS * 1000);
    assertEquals(4, placed(plan(), first));
  }

  /**
   * A large array whose start is overdue starts with one task before other jobs of its priority,
   * even if it misses objectives.
   */
  @ParameterizedTest
  @CsvSource({"25000,LOW,true,1", "25000,LOW,false,0", "2,LOW,true,0", "25000,NORMAL,true,0"})
  void starvedLargeArrayStartsOneTask(
      int tasks, Priority otherPriority, boolean startOverdue, int expected) {
    machine("a0", SMALL, "a");
    JobSpec large = spec("wk-1", JobKind.ARRAY, Priority.LOW, tasks, 1, 0, false, false);
    jobs.add(
        new JobState(
            "wk-1", JobRecord.created(large, 0), true, true, false, 2, Set.of(), startOverdue));
    job(spec("wk-2", JobKind.ARRAY, otherPriority, 4, 1, 0, false, false), 1);
    Plan plan = plan();
    assertEquals(expected, placed(plan, "wk-1"));
    assertEquals(4 - expected, placed(plan, "wk-2"));
    assertTrue(
        plan.unmet().stream().anyMatch(u -> u.job().equals("wk-1")),
        "the other tasks are reported as unmet");
  }

  /** Otherwise hundreds of tasks that all fail would cause useless preemptions and rentals. */
  @Test
  void suspectedJobGetsOneTaskAndNoEvictionsOrRentals() {
    machine("a0", SMALL, "a");
    job(spec("wk-1", JobKind.ARRAY, Priority.LOW, 2, 1, 0, false, false), 0,
        new Assignment("a0", 1, TaskSet.range(0, 2)));
    JobSpec spec = spec("wk-2", JobKind.ARRAY, Priority.HIGH, 9, 1, 0, false, false);
    jobs.add(new JobState("wk-2", JobRecord.created(spec, 1), true, true, true, 0, Set.of()));
    Plan plan = plan();
    assertEquals(1, placed(plan, "wk-2"));
    assertTrue(plan.evictions().isEmpty());
    assertTrue(plan.unmet().isEmpty());
  }

  @Test
  void teamReclaimsItsGuaranteeFromABorrowingTeam() {
    teams.put("t", new Team("t", 0, 4, 0, 8));
    teams.put("u", new Team("u", 0, 4, 0, 8));
    machine("a0", ACCEL, "a");
    machine("a1", ACCEL, "a");
    for (int i = 0; i < 2; i++) {
      job(spec("wk-" + i, JobKind.GANG, Priority.NORMAL, 1, 8, 4, false, false), i,
          new Assignment("a" + i, 1, TaskSet.range(0, 1)));
    }
    JobSpec other =
        new JobSpec("wk-9", "c", "u", JobKind.GANG, Priority.NORMAL, 1, 8, 4, 1, "img", 2, null,
            null, false, false, false, 10, 0, 0, null);
    job(other, 9);
    Plan plan = plan();
    assertTrue(
        plan.evictions().containsKey("wk-1"),
        "the later job, which is beyond its team's guarantee");
    assertNull(plan.evictions().get("wk-0"));
  }

  @Test
  void cpuOnlyTaskLeavesTheOnlyGpuMachineToAWaitingGang() {
    machine("acc", ACCEL, "a");
    JobSpec gang = spec("wk-1", JobKind.GANG, Priority.NORMAL, 1, 14, 4, false, false);
    job(gang, 0);
    job(spec("wk-2", JobKind.SERVICE, Priority.PRODUCTION, 1, 4, 0, false, false), 0);
    Plan plan = plan();
    assertEquals(1, placed(plan, "wk-1"), "the only machine that fits it is reserved for it");
    assertEquals(0, placed(plan, "wk-2"));
    assertTrue(plan.evictions().isEmpty());
  }

  @Test
  void excludedMachinesAreNotUsed() {
    machine("a0", SMALL, "a", Set.of("img"), 0, 1);
    machine("a1", SMALL, "a");
    JobSpec spec = spec("wk-1", JobKind.ARRAY, Priority.LOW, 1, 1, 0, false, false);
    jobs.add(new JobState("wk-1", JobRecord.created(spec, 0), true, true, false, 0, Set.of("a0")));
    assertEquals(1, placed(plan(), "wk-1", "a1"));
  }

  @Test
  void replicasLeaveADrainedMachineOneAtATime() {
    machines.add(
        new MachineState(
            "old", SMALL, "a", false, 1, false, true, Set.of("img"), Set.of(), 0, 0.5, 1));
    machine("new", SMALL, "a");
    job(spec("wk-1", JobKind.SERVICE, Priority.PRODUCTION, 2, 1, 0, false, false), 0,
        new Assignment("old", 1, TaskSet.range(0, 2)));
    Plan plan = plan();
    assertEquals(1, plan.evictions().get("wk-1").size());
    assertEquals(1, plan.evictions().get("wk-1").get(0).tasks().size());
    assertTrue(plan.evictions().get("wk-1").get(0).isMove());
  }

  /** Without the zones of the job's other tasks, machines would be rented in the wrong zones. */
  @ParameterizedTest
  @CsvSource({
    "GANG, 2, false, true, 1, a=1", "GANG, 3, true, false, 1, a=2", "GANG, 3, false, false, 1, ''",
    "SERVICE, 3, false, true, 1, a=2", "SERVICE, 2, false, true, 1, a=1",
    "ARRAY, 4, true, false, 2, a=2", "ARRAY, 4, false, false, 2, ''"
  })
  void unmetDemandNamesTheZonesOfTheOtherTasks(
      JobKind kind, int tasks, boolean sameZone, boolean scatter, int unmetTasks, String zones) {
    machine("x", SMALL, "a", Set.of(), 0, 1);
    machine("y", SMALL, "a", Set.of(), 0, 1);
    job(spec("wk-1", kind, Priority.NORMAL, tasks, SMALL.cpus(), 0, sameZone, scatter), 0);
    Plan.UnmetDemand unmet = plan().unmet().get(0);
    assertEquals(unmetTasks, unmet.tasks());
    assertEquals(
        zones,
        unmet.tasksByZone().entrySet().stream()
            .map(Object::toString)
            .collect(Collectors.joining(" ")));
  }

  private Plan planWithMachineLimit(int maxMachines) {
    return Planner.plan(
        new Snapshot(machines, booting, jobs, teams),
        new Planner.Bounds(new RecordSizeLimit(8192), maxMachines, 1000));
  }

  /**
   * A gang of 12 tasks, 12 partly used machines that fit one task each and are preferred, and three
   * whole machines. If a transaction can't include 12 machines, the gang has to use the three whole
   * ones.
   */
  @ParameterizedTest
  @CsvSource({"12,0", "3,12", "2,0"})
  void gangUsesLargestMachinesWhereTheBestExceedTheTransaction(int maxMachines, int onWhole) {
    for (int i = 0; i < 12; i++) {
      machine("partly-used-" + i, SMALL, "a", Set.of("img"), 0, 1);
      job(
          spec("wk-1" + i, JobKind.SERVICE, Priority.PRODUCTION, 1, 3, 0, false, false),
          0,
          new Assignment("partly-used-" + i, 1, TaskSet.EMPTY.with(0)));
    }
    for (int i = 0; i < 3; i++) {
      machine("whole-" + i, SMALL, "a", Set.of("img"), 0, 1);
    }
    job(spec("wk-2", JobKind.GANG, Priority.HIGH, 12, 1, 0, false, false), 1);
    Plan plan = planWithMachineLimit(maxMachines);
    int placed = 0;
    for (int i = 0; i < 3; i++) {
      placed += placed(plan, "wk-2", "whole-" + i);
    }
    assertEquals(onWhole, placed);
  }

  /** Such a gang would reserve capacity permanently; machines rented for it would stay idle. */
  @Test
  void gangTooLargeForOneTransactionReservesNothing() {
    for (int i = 0; i < 4; i++) {
      machine("n-" + i, SMALL, "a");
    }
    job(spec("wk-1", JobKind.GANG, Priority.HIGH, 16, 1, 0, false, false), 0);
    job(spec("wk-2", JobKind.ARRAY, Priority.LOW, 8, 1, 0, false, false), 1);
    Plan plan = planWithMachineLimit(3);
    assertEquals(0, placed(plan, "wk-1"));
    assertEquals(8, placed(plan, "wk-2"));
    assertEquals(List.of(), plan.unmet());
  }

  /**
   * For jobs beyond the write limit only their shortage is reported, computed from the capacity
   * that the jobs before them leave.
   */
  @ParameterizedTest
  @CsvSource({"2,1,2", "4,2,2", "6,2,2"})
  void beyondTheWriteLimitOnlyShortagesAreReported(
      int maxJobWrites, int placedJobs, int unmetTasks) {
    machine("n-0", SMALL, "a");
    machine("n-1", SMALL, "b");
    for (int i = 1; i <= 3; i++) {
      job(spec("wk-" + i, JobKind.ARRAY, Priority.LOW, i == 3 ? 4 : 3, 1, 0, false, false), i);
    }
    Plan plan =
        Planner.plan(
            new Snapshot(machines, booting, jobs, teams),
            new Planner.Bounds(new RecordSizeLimit(8192), 30, maxJobWrites));
    assertEquals(placedJobs, Math.min(2, plan.placements().size()));
    assertEquals(unmetTasks, plan.unmet().stream().mapToInt(Plan.UnmetDemand::tasks).sum());
  }
}
