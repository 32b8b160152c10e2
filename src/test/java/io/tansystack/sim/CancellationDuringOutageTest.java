package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.settings.SettingsTest;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against cancelled work that runs on during an outage: the state service refuses one
 * controller while the others confirm cancellations to users, and then fails for all controllers.
 * Workers keep reporting to the refused controller, which has not read the cancellations. Cancelled
 * work must still be gone within {@code cancel_s} of the response to its user.
 */
class CancellationDuringOutageTest extends SimCluster {
  private SimUsers users;
  private int jobs;

  /** Starts jobs, half of them with two tasks; no task completes by itself during the outage. */
  private void startClusterWithJobs(double lease, double cancel, int count) throws Exception {
    settings =
        SettingsTest.VALID
            .replace("cpus_max = 40.0", "cpus_max = 0.0")
            .replace("lease_s = 36.0", "lease_s = " + lease)
            .replace("cancel_s = 61.0", "cancel_s = " + cancel);
    taskRunTime = Duration.ofSeconds(400);
    controllerCount = 4;
    maxMachines = 24;
    users = new SimUsers(this);
    for (int i = 0; i < controllerCount; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(12));
    for (int i = 0; i < count; i++) {
      users.submit(spec(id(jobs++), 1 + i % 2), SimUsers.ANY);
    }
    loop.runFor(Duration.ofSeconds(25));
  }

  private static String id(int job) {
    return String.format("wk-%06d", job);
  }

  /** The controller to which most workers report. */
  private int ownerOfMost() {
    Map<Integer, Integer> counts = new HashMap<>();
    workers.values().forEach(worker -> counts.merge(target(worker), 1, Integer::sum));
    return counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
  }

  private int holderOf(String role) {
    return role.equals("owner") ? ownerOfMost() : holder(role);
  }

  /**
   * Cancels one job every half second through one of the other controllers, from three seconds
   * before the leader is refused until the outage begins.
   */
  private void cancelThroughOthers(int leader, int from, Duration until) {
    int next = from;
    for (Duration at = Duration.ZERO; at.compareTo(until) < 0; at = at.plusMillis(500)) {
      String id = id(next++);
      int other = (leader + 1 + next % (controllerCount - 1)) % controllerCount;
      loop.after(at, () -> users.cancel(id, other));
    }
  }

  /**
   * Refuses the leader alone for a while, then makes the state service unavailable to all
   * controllers.
   */
  private void refuseThenOutage(int leader, int from, Duration refusedAlone, Duration outageLasts) {
    Duration headStart = Duration.ofSeconds(3);
    cancelThroughOthers(leader, from, headStart.plus(refusedAlone));
    loop.runFor(headStart);
    refusedByStore = leader;
    loop.after(Duration.ofSeconds(14), () -> refusedByStore = -1);
    loop.runFor(refusedAlone);
    outage = true;
    loop.runFor(outageLasts);
    outage = false;
  }

  private void assertCancelledWorkGoneInTime(String context) {
    assertEquals(Set.of(), users.checker().violations, context);
    assertTrue(
        users.checker().longestRunAfterCancel.compareTo(seconds("cancel_s")) <= 0,
        context + ": " + users.checker().longestRunAfterCancel);
    assertTrue(
        users.jobs.values().stream().filter(job -> job.cancelled != null).count() >= 8,
        context + ": at least 8 jobs were cancelled");
  }

  /**
   * The outage lasts from less than the time for which the controller may act to much longer than
   * {@code cancel_s}, and ends just before and just after each bound. The whole sequence is run
   * twice in a row.
   */
  @ParameterizedTest
  @CsvSource({
    // Refused controller, s refused alone, s of outage, lease_s, cancel_s.
    "ts/fleet, 2,   12,  18, 43",
    "ts/fleet, 2,   17,  18, 43",
    "ts/fleet, 2,   17.6, 18, 43",
    "ts/fleet, 2,   35,  18, 43",
    "ts/fleet, 1.5, 42,  18, 43",
    "ts/fleet, 2,   43.5, 18, 43",
    "ts/fleet, 6,   55,  18, 43",
    "ts/fleet, 13,  90,  18, 43",
    "owner,    2,   17,  18, 43",
    "owner,    4,   55,  18, 43",
    "ts/slots/0, 2, 55,  18, 43",
    "ts/fleet, 2,   17,  36, 61",
    "ts/fleet, 2,   54,  36, 61",
    "ts/fleet, 4,   62,  36, 61",
    "owner,    2,   75,  36, 61",
    "owner,    2,   58,  30, 55",
  })
  void workCancelledThroughOtherControllersIsGoneInTime(
      String target, double refusedAloneS, double outageS, double lease, double cancel) throws Exception {
    startClusterWithJobs(lease, cancel, 76);
    Duration outageLasts = Duration.ofMillis((long) (outageS * 1000));
    refuseThenOutage(holderOf(target), 0, Duration.ofMillis((long) (refusedAloneS * 1000)), outageLasts);
    loop.runFor(Duration.ofSeconds(4));
    refuseThenOutage(holderOf(target), 38, Duration.ofMillis((long) (refusedAloneS * 1000)), outageLasts);
    loop.runFor(Duration.ofSeconds(10));
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(130));
    assertEquals(Set.of(), users.checker().finalViolations());
    assertCancelledWorkGoneInTime(target + " " + outageS);
  }

  /** The same, with the cancelled tasks in every state that a task can be in. */
  @ParameterizedTest
  @CsvSource({"fetching", "hung", "hung past the lease", "launches held up", "commands held up", "saving"})
  void cancelledTasksInAnyStateAreGoneInTime(String state) throws Exception {
    random = new Random(7);
    if (state.equals("fetching")) {
      imageFetchTime = Duration.ofSeconds(120);
    }
    if (state.equals("saving")) {
      taskSaveTime = Duration.ofSeconds(9);
    }
    if (state.equals("launches held up")) {
      delayedCommandShare = 0.7;
      maxCommandDelay = Duration.ofSeconds(70);
    }
    startClusterWithJobs(18, 43, 40);
    List<EmulatedWorker> all = List.copyOf(workers.values());
    if (state.startsWith("hung")) {
      Duration until = loop.now().plusSeconds(state.equals("hung") ? 14 : 60);
      all.subList(0, all.size() / 2).forEach(worker -> worker.hangUntil(until));
    }
    if (state.equals("commands held up")) {
      delayedCommandShare = 0.7;
      maxCommandDelay = Duration.ofSeconds(70);
    }
    if (state.equals("saving")) {
      all.forEach(worker -> worker.reclaimNoticeS(200.0));
    }
    refuseThenOutage(holder("ts/fleet"), 0, Duration.ofSeconds(2), Duration.ofSeconds(55));
    delayedCommandShare = 0;
    all.forEach(worker -> worker.reclaimNoticeS(null));
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(130));
    assertEquals(Set.of(), users.checker().finalViolations());
    assertCancelledWorkGoneInTime(state);
  }

  /**
   * Reports of machines arrive and are answered, but no direct command reaches the machines. If
   * their owner kept renewing their leases, cancelled work there would run until a command got
   * through. An owner that reads the cancellation late, because the state service refused it alone,
   * must not treat it as a new one.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 8, 14})
  void cancelledWorkUnreachableByCommandsEndsWithItsLease(int refusedFor) throws Exception {
    startClusterWithJobs(18, 43, 20);
    commandsBlocked.addAll(workers.keySet());
    int owner = ownerOfMost();
    refusedByStore = refusedFor > 0 ? owner : -1;
    for (int i = 0; i < 10; i++) {
      users.cancel(id(i), (owner + 1) % controllerCount);
    }
    loop.runFor(Duration.ofSeconds(refusedFor));
    refusedByStore = -1;
    loop.runFor(Duration.ofSeconds(50));
    assertCancelledWorkGoneInTime("commands lost, refused for " + refusedFor + " s");
    commandsBlocked.clear();
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(100));
    assertEquals(Set.of(), users.checker().finalViolations());
    assertEquals("withdrawn", state(id(3)));
  }

  /**
   * Launches are delayed for very long and their jobs are cancelled. The state service's write
   * limit is used up by other writes, so no new claim, whose fencing token would invalidate the
   * launches, can be written. The reports don't list the tasks. Launches that may still arrive must
   * count nevertheless: otherwise the tasks would start long after the cancellation.
   */
  @Test
  void delayedLaunchesOfCancelledJobsEndWithTheLease() throws Exception {
    random = new Random(3);
    startClusterWithJobs(18, 43, 10);
    int firstDelayed = jobs;
    delayedCommandShare = 1;
    maxCommandDelay = Duration.ofSeconds(100);
    for (int i = 0; i < 30; i++) {
      users.submit(spec(id(jobs++), 1), SimUsers.ANY);
    }
    loop.runFor(Duration.ofSeconds(2));
    faultyWritePrefix = "ts/machines/";
    writesOverLimit = true;
    for (int job = firstDelayed; job < jobs; job++) {
      users.cancel(id(job), job % controllerCount);
    }
    loop.runFor(Duration.ofSeconds(110));
    writesOverLimit = false;
    delayedCommandShare = 0;
    assertCancelledWorkGoneInTime("launches held up");
    assertEquals(0, users.checker().lateStarts.stream().filter(s -> s.after().toSeconds() > 43).count());
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(130));
    assertEquals(Set.of(), users.checker().finalViolations());
  }

  /**
   * Controllers restart ten times and more, always before they would stop answering reports by
   * themselves. No direct command reaches a machine, while reports arrive. A restarted controller
   * must not count the time of cancelled work from its own first read: each restart would extend it
   * by another duration of a controller's lease. Clocks are off by as much as the settings allow.
   */
  @ParameterizedTest
  @CsvSource({"all, 9, 18, 43", "all, 14, 36, 61", "in turn, 3, 18, 43", "in turn, 5, 36, 61", "leader, 8, 36, 61"})
  void repeatedRestartsDoNotExtendCancelledWork(String restarted, int everyS, double lease, double cancel)
      throws Exception {
    random = new Random(everyS);
    maxClockError = Duration.ofMillis(250);
    startClusterWithJobs(lease, cancel, 30);
    commandsBlocked.addAll(workers.keySet());
    for (int i = 0; i < 12; i++) {
      users.cancel(id(i), i % controllerCount);
    }
    loop.runFor(Duration.ofSeconds(1));
    for (int round = 0; round * everyS < cancel * 2; round++) {
      for (int i = 0; i < controllerCount; i++) {
        if (restarted.equals("all")
            || i == (restarted.equals("leader") ? holder("ts/fleet") : round % controllerCount)) {
          kill(i);
          bootAfter(i, Duration.ofMillis(100 + 200L * i));
        }
      }
      loop.runFor(Duration.ofSeconds(everyS));
    }
    assertCancelledWorkGoneInTime(restarted + " every " + everyS + " s");
    commandsBlocked.clear();
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(130));
    assertEquals(Set.of(), users.checker().finalViolations());
  }

  /**
   * The owner of most machines crashes and does not restart, and jobs are cancelled at once. Its
   * machines fail over when their leases have little time left, and when the cancellations are
   * older than the time for which reports of a machine with cancelled work are answered. The
   * cancelled work is stopped first, by commands, and other work on these machines is kept.
   */
  @Test
  void ownerCrashDuringCancellationsLosesNoOtherWork() throws Exception {
    startClusterWithJobs(36, 61, 60);
    // The latest sign that the owner is alive; the leases of its workers are counted from it.
    users.submit(spec(id(jobs++), 1), SimUsers.ANY);
    loop.runFor(Duration.ofSeconds(1));
    int owner = ownerOfMost();
    kill(owner);
    for (int i = 0; i < 24; i++) {
      users.cancel(id(i), (owner + 1 + i % 3) % controllerCount);
    }
    loop.runFor(Duration.ofSeconds(60));
    assertCancelledWorkGoneInTime("the owner crashed");
    assertEquals(
        0,
        workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum(),
        "tasks lost to expired leases");
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(80));
    assertEquals(Set.of(), users.checker().finalViolations());
  }

  /**
   * All controllers crash, and are back when the cancellations are older than the time for which
   * reports of a machine with cancelled work are answered, and the machines' leases have little
   * time left. Cancelled work is stopped first.
   */
  @ParameterizedTest
  @ValueSource(ints = {12, 19, 24})
  void fullRestartDuringCancellationsLosesNoOtherWork(int downS) throws Exception {
    startClusterWithJobs(36, 61, 60);
    commandsBlocked.addAll(workers.keySet()); // Cancellations are confirmed before any task is stopped.
    for (int i = 0; i < 24; i++) {
      users.cancel(id(i), i % controllerCount);
    }
    loop.runFor(Duration.ofMillis(40));
    commandsBlocked.clear();
    for (int i = 0; i < controllerCount; i++) {
      kill(i);
      bootAfter(i, Duration.ofSeconds(downS).plusMillis(300L * i));
    }
    loop.runFor(Duration.ofSeconds(70));
    assertCancelledWorkGoneInTime("all controllers down for " + downS + " s");
    assertEquals(
        0,
        workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum(),
        "tasks lost to expired leases");
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(80));
    assertEquals(Set.of(), users.checker().finalViolations());
  }
}
