package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against work that is lost, started twice or not stopped when another controller takes it
 * over, while jobs are cancelled, teams are at their limits, or stale reports arrive.
 */
class TakeoverTest extends FaultScenario {
  /**
   * Both teams have far more work than their limits of CPUs and GPUs allow. Jobs on machines that
   * are cut off or hang are cancelled, and the leader changes. Unreachable tasks count against the
   * limits until their end is proven, and free quota is used.
   *
   * @param machineFault "hung", "unheard" (reports are lost), "unhearing" (neither responses nor
   *     commands arrive), or "uncommanded" (commands are lost)
   */
  @ParameterizedTest
  @CsvSource({
    "hung, 30, ends", "hung, 45, blinks", "hung, 45, refused", "unheard, 34, ends", "unheard, 60, apart",
    "unhearing, 60, blinks", "uncommanded, 60, ends", "uncommanded, 30, all end", "unhearing, 34, all end",
    "unheard, 34, rolling", "hung, 34, frozen", "uncommanded, 45, silent"
  })
  void teamsAtTheirLimitsWithUnreachableMachines(String machineFault, int seconds, String change) throws Exception {
    random = new Random(seconds);
    settings = twoTeams(16, 4, 10);
    types = List.of(new SimType("small", 4, 0, 16), new SimType("large", 8, 4, 32));
    taskRunTime = Duration.ofSeconds(12);
    start(4, 18);
    for (int i = 0; i < 16; i++) {
      JobKind kind = i % 4 == 3 ? JobKind.GANG : JobKind.ARRAY;
      boolean gpus = i % 3 == 0;
      submit(i % 2 == 0 ? "vision" : "ops", kind, Priority.values()[i % 4], 1 + i % 3, 2, gpus && i % 2 == 0 ? 1 : 0,
          null, false, false);
    }
    loop.runFor(Duration.ofSeconds(9));
    List<EmulatedWorker> busy = machines().stream().filter(worker -> !worker.liveTasks().isEmpty()).toList();
    assertTrue(busy.size() > 2, "more than two machines run tasks");
    for (EmulatedWorker worker : busy.subList(0, busy.size() * 2 / 3)) {
      switch (machineFault) {
        case "hung" -> worker.hangUntil(loop.now().plusSeconds(seconds));
        case "unheard" -> reportsBlocked.add(worker.name());
        case "unhearing" -> inboundBlocked.add(worker.name());
        default -> commandsBlocked.add(worker.name());
      }
      worker.liveTasks().forEach(
          task -> users().cancel(task.substring(0, task.indexOf('/')), SimUsers.ANY));
    }
    loop.runFor(Duration.ofMillis(700));
    inject(change, holder("ts/fleet"), Duration.ofSeconds(12));
    for (int i = 0; i < 6; i++) {
      submit(
          i % 2 == 0 ? "vision" : "ops", JobKind.ARRAY, Priority.HIGH, 2, 2, 0, null, false, false);
      loop.runFor(Duration.ofSeconds(2));
    }
    loop.runFor(Duration.ofSeconds(Math.max(1, seconds - 13)));
    reportsBlocked.clear();
    inboundBlocked.clear();
    commandsBlocked.clear();
    loop.runFor(Duration.ofSeconds(20));
    assertRecovered(machineFault + " for " + seconds + " s, " + change);
  }

  /**
   * Jobs are cancelled at each step of a takeover of slots, machines, planning and the autoscaler
   * role: through the controller that holds the role, the one that takes it over and others, from
   * before the takeover until long after it, some of the jobs twice.
   */
  @ParameterizedTest
  @CsvSource({
    "ts/fleet, ends, 9000", "ts/fleet, blinks, 0", "ts/fleet, refused, 9000", "ts/fleet, apart, 20000",
    "ts/fleet, frozen, 9000", "ts/fleet, silent, 20000", "ts/slots/0, ends, 4000", "ts/slots/5, blinks, 0",
    "ts/slots/3, refused, 20000", "ts/fleet, rolling, 0", "ts/fleet, all end, 3000", "ts/slots/7, frozen, 20000"
  })
  void cancellationsAtEachStepOfATakeover(String key, String change, int durationMs) throws Exception {
    for (int controllers : new int[] {3, 5}) {
      TakeoverTest test = new TakeoverTest();
      test.random = new Random(controllers);
      test.cancelThroughout(controllers, key, change, Duration.ofMillis(durationMs));
    }
  }

  private void cancelThroughout(int controllers, String key, String change, Duration duration) throws Exception {
    taskRunTime = Duration.ofSeconds(60);
    users().queryAllOnChange = true;
    startWithJobs(controllers, 16, 40, 1);
    int victim = holder(key);
    int[] offsetsMs = {-2000, -300, -20, -3, 0, 1, 4, 10, 30, 100, 300, 700, 1000, 1500, 2000, 2600, 3300, 4000, 5000,
        6500, 8000, 9000, 9030, 9500, 10_500, 13_000, 16_000, 20_100, 22_000, 25_000};
    for (int i = 0; i < offsetsMs.length; i++) {
      String id = id(i);
      int through = (victim + i) % controllers;
      Duration when = Duration.ofMillis(2000 + offsetsMs[i]);
      loop.after(when, () -> users().cancel(id, through));
      if (i % 5 == 0) {
        loop.after(when, () -> users().cancel(id, (through + 1) % controllers));
      }
    }
    loop.runFor(Duration.ofMillis(2000));
    inject(change, victim, duration);
    for (int i = 0; i < 6; i++) {
      submitJobs(1, 2);
      loop.runFor(Duration.ofSeconds(5));
    }
    assertRecovered(key + " " + change);
  }

  /**
   * Old reports arrive at every controller just as a new one becomes leader: from ended sessions
   * and attempts and under old fencing tokens, from machines deleted since, and with completions of
   * tasks that were placed again.
   */
  @ParameterizedTest
  @CsvSource({
    "ends, 8", "blinks, 8", "refused, 12", "apart, 20", "silent, 20", "all end, 5", "rolling, 8",
    "frozen, 9"
  })
  void staleReportsReachNewLeader(String change, int seconds) throws Exception {
    random = new Random(seconds);
    duplicateReportShare = 0.7;
    duplicatesToNextLeader = true;
    taskRunTime = Duration.ofSeconds(8);
    startWithJobs(4, 12, 12, 4);
    for (int round = 0; round < 4; round++) {
      duplicatesToNextLeader = true;
      duplicateReportShare = 0.7;
      List<EmulatedWorker> all = machines();
      all.get(random.nextInt(all.size())).markDead();
      // Some hang for longer than a lease, so that a new session begins.
      all.stream().limit(3).forEach(worker -> worker.hangUntil(loop.now().plusSeconds(39)));
      submitJobs(4, 3);
      users().cancel(id(random.nextInt(jobCount)), SimUsers.ANY);
      loop.runFor(Duration.ofSeconds(30));
      delayedCommandShare = 0.4; // Launches are in flight as well.
      maxCommandDelay = Duration.ofSeconds(6);
      submitJobs(3, 2);
      loop.runFor(Duration.ofSeconds(1));
      inject(change, holder("ts/fleet"), Duration.ofSeconds(seconds));
      loop.runFor(Duration.ofSeconds(seconds + 12));
      clearFaults();
    }
    assertRecovered(change);
  }

  /**
   * New machines report within two seconds, before records, responses to rentals and the cloud's
   * list show them. Writes are late, and leaders crash.
   */
  @ParameterizedTest
  @CsvSource({
    "300, 0.4, 0, 0", "300, 0, 6, 0.6", "1200, 0.4, 12, 0.5", "1800, 0.3, 6, 0.3", "50, 0.5, 12, 1", "700, 0.6, 3, 0"
  })
  void machinesReportBeforeTheirRecordsWhileLeaderCrashes(int bootMs, double late, int lagS, double unanswered)
      throws Exception {
    random = new Random(bootMs);
    boot = Duration.ofMillis(bootMs);
    listLag = Duration.ofSeconds(lagS);
    lostRentalShare = unanswered;
    taskRunTime = Duration.ofSeconds(9);
    lateWriteShare = late / 2;
    start(4, 20);
    lateWriteShare = late;
    for (int round = 0; round < 6; round++) {
      submitJobs(3, 5);
      loop.runFor(Duration.ofMillis(300 + random.nextInt(2500)));
      restart(Math.max(0, leader()), new int[] {100, 700, 5000}[round % 3]);
      users().cancel(id(random.nextInt(jobCount)), SimUsers.ANY);
      loop.runFor(Duration.ofMillis(4000 + random.nextInt(6000)));
    }
    loop.runFor(Duration.ofSeconds(13));
    assertRecovered("up in " + bootMs + " ms");
  }

  /**
   * Responses can't be read or have an unknown status, though the requests were executed. Such
   * responses prove nothing, and no user is told that a job is unknown.
   */
  @ParameterizedTest
  @CsvSource({"store, 0.05", "store, 0.3", "cloud, 0.5", "workers, 0.2", "workers, 0.7", "peers, 0.5", "'', 0.15"})
  void unreadableResponsesProveNothing(String sender, double share) throws Exception {
    random = new Random(sender.hashCode());
    users().queryAllOnChange = true;
    taskRunTime = Duration.ofSeconds(10);
    startWithJobs(3, 14, 6, 3);
    invalidResponseSource = sender;
    invalidResponseShare = share;
    for (int round = 0; round < 6; round++) {
      submitJobs(2, 3);
      users().cancel(id(random.nextInt(jobCount)), SimUsers.ANY);
      if (round % 2 == 1) {
        restart(Math.max(0, leader()), 700);
      }
      loop.runFor(Duration.ofSeconds(7));
    }
    assertRecovered(sender + " " + share);
  }

  /**
   * For jobs that finished long ago, a restarted controller depends on the state service alone. A
   * 404 that carries no revision is not from the state service itself and must not make a job
   * unknown.
   */
  @Test
  void notFoundWithoutRevisionDeniesNoJob() throws Exception {
    taskRunTime = Duration.ofSeconds(3);
    startWithJobs(3, 8, 8, 1);
    loop.runFor(Duration.ofSeconds(60));
    assertTrue(store.keyCount("ts-ended/") >= 8, "all jobs are archived");
    restart(1, 100);
    loop.runFor(Duration.ofSeconds(6));
    invalidResponseSource = "store";
    invalidResponsePath = "/store/";
    invalidResponseVariant = 5;
    invalidResponseShare = 1;
    for (int job = 0; job < 8; job++) {
      users().queryAllControllers(users().jobs.get(id(job)));
      loop.runFor(Duration.ofSeconds(3));
    }
    assertRecovered("404 without revision");
  }

  /**
   * Launches are executed but answered with an unknown status. Their gang is dissolved before the
   * machine reports again, since another machine refuses its launch. The machine's earlier report
   * doesn't list the task and must not be taken as proof that the task isn't there: otherwise the
   * next attempt would run beside it.
   */
  @Test
  void launchesWithUnknownStatusMayHaveBeenExecuted() throws Exception {
    random = new Random(2);
    startWithJobs(3, 14, 3, 1);
    invalidResponseSource = "workers";
    invalidResponseVariant = 4;
    invalidResponseShare = 0.6;
    launchRefusalShare = 0.3;
    taskRunTime = Duration.ofSeconds(9);
    for (int round = 0; round < 25; round++) {
      submit("vision", JobKind.GANG, Priority.NORMAL, 3, 3, 0, null, false, false);
      loop.runFor(Duration.ofMillis(900 + random.nextInt(3000)));
    }
    assertRecovered("launches answered with 500");
  }

  /**
   * All controllers are down for about a lease or longer. They come back together, one by one, one
   * of them long before the others, or during an outage of the state service. Jobs are cancelled
   * before, meanwhile (users retry) and afterwards.
   */
  @ParameterizedTest
  @CsvSource({"38, 0, false", "38, 3000, false", "60, 9000, true", "90, 0, true", "35, 700, true", "45, 25000, false"})
  void allControllersDownForLongerThanALease(int seconds, int staggerMs, boolean inOutage) throws Exception {
    random = new Random(seconds);
    taskRunTime = Duration.ofSeconds(30);
    startWithJobs(4, 14, 20, 2);
    for (int i = 0; i < 5; i++) {
      users().cancel(id(i), SimUsers.ANY);
    }
    loop.runFor(Duration.ofMillis(30));
    for (int i = 0; i < 4; i++) {
      restart(i, seconds * 1000 + staggerMs * i);
    }
    for (int i = 5; i < 15; i++) {
      String id = id(i);
      loop.after(Duration.ofSeconds(seconds * (i - 5) / 6), () -> users().cancel(id, SimUsers.ANY));
    }
    submitJobs(3, 2);
    if (inOutage) {
      loop.after(Duration.ofSeconds(seconds - 5), () -> outage = true);
      loop.after(Duration.ofSeconds(seconds + 9), () -> outage = false);
    }
    loop.runFor(Duration.ofSeconds(seconds + 10).plusMillis(3L * staggerMs));
    assertRecovered("all controllers down for " + seconds + " s");
  }

  /**
   * Ten leaders in two minutes, each of which crashes and restarts at once or later. Jobs are
   * submitted, cancelled and completed all the time.
   */
  @ParameterizedTest
  @CsvSource({"11, 100, false", "11, 3000, false", "12, 20000, false", "9, 100, true", "12, 4000, true"})
  void leaderChangesTenTimes(int everyS, int backMs, boolean inOutage) throws Exception {
    random = new Random(everyS + backMs);
    taskRunTime = Duration.ofSeconds(15);
    startWithJobs(5, 16, 10, 3);
    // Cancelled work on this machine must end although leaders change.
    commandsBlocked.add(machines().get(0).name());
    for (int change = 0; change < 10; change++) {
      restart(Math.max(0, leader()), backMs);
      if (inOutage && change % 4 == 1) {
        outage = true;
        loop.after(Duration.ofSeconds(17), () -> outage = false);
      }
      submitJobs(2, 2);
      users().cancel(id(random.nextInt(jobCount)), SimUsers.ANY);
      loop.runFor(Duration.ofSeconds(everyS));
    }
    loop.runFor(Duration.ofSeconds(20));
    assertRecovered("every " + everyS + " s");
  }
}
