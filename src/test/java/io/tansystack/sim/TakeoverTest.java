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

/** One controller's work changes hands while jobs are cancelled, teams are at their limits, or old reports come. */
class TakeoverTest extends FaultScenario {
  /**
   * Both teams have far more work than their limits, of CPUs and of GPUs; some is cancelled whose machines are
   * cut off or hang, and the leader changes. What is out of reach counts until it is proven over, and what is
   * free is used.
   */
  @ParameterizedTest
  @CsvSource({
    "hung, 30, ends", "hung, 45, blinks", "hung, 45, refused", "unheard, 34, ends", "unheard, 60, apart",
    "unhearing, 60, blinks", "uncommanded, 60, ends", "uncommanded, 30, all end", "unhearing, 34, all end",
    "unheard, 34, rolling", "hung, 34, frozen", "uncommanded, 45, silent"
  })
  void teamsAtTheirLimits(String how, int seconds, String change) throws Exception {
    random = new Random(seconds);
    settings = twoTeams(16, 4, 10);
    types = List.of(new SimType("small", 4, 0, 16), new SimType("large", 8, 4, 32));
    taskRunTime = Duration.ofSeconds(12);
    start(4, 18);
    for (int i = 0; i < 16; i++) {
      JobKind shape = i % 4 == 3 ? JobKind.GANG : JobKind.ARRAY;
      boolean gpus = i % 3 == 0;
      submit(i % 2 == 0 ? "vision" : "ops", shape, Priority.values()[i % 4], 1 + i % 3, 2, gpus && i % 2 == 0 ? 1 : 0,
          null, false, false);
    }
    loop.runFor(Duration.ofSeconds(9));
    List<EmulatedWorker> busy = machines().stream().filter(worker -> !worker.liveTasks().isEmpty()).toList();
    assertTrue(busy.size() > 2, "enough runs");
    for (EmulatedWorker worker : busy.subList(0, busy.size() * 2 / 3)) {
      switch (how) {
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
    assertRecovered(how + " for " + seconds + " s, " + change);
  }

  /**
   * Jobs are cancelled at each step of a change of hands, of slots, machines, planning and the cloud: through
   * who has them, who takes them and others, from before it until long after, some of them twice.
   */
  @ParameterizedTest
  @CsvSource({
    "ts/fleet, ends, 9000", "ts/fleet, blinks, 0", "ts/fleet, refused, 9000", "ts/fleet, apart, 20000",
    "ts/fleet, frozen, 9000", "ts/fleet, silent, 20000", "ts/slots/0, ends, 4000", "ts/slots/5, blinks, 0",
    "ts/slots/3, refused, 20000", "ts/fleet, rolling, 0", "ts/fleet, all end, 3000", "ts/slots/7, frozen, 20000"
  })
  void cancelledWhileWorkChangesHands(String what, String change, int lastsMs) throws Exception {
    for (int controllers : new int[] {3, 5}) {
      TakeoverTest anew = new TakeoverTest();
      anew.random = new Random(controllers);
      anew.cancelThroughout(controllers, what, change, Duration.ofMillis(lastsMs));
    }
  }

  private void cancelThroughout(int controllers, String what, String change, Duration lasts) throws Exception {
    taskRunTime = Duration.ofSeconds(60);
    users().queryAllOnChange = true;
    startWithJobs(controllers, 16, 40, 1);
    int victim = holder(what);
    int[] at = {-2000, -300, -20, -3, 0, 1, 4, 10, 30, 100, 300, 700, 1000, 1500, 2000, 2600, 3300, 4000, 5000, 6500,
        8000, 9000, 9030, 9500, 10_500, 13_000, 16_000, 20_100, 22_000, 25_000};
    for (int i = 0; i < at.length; i++) {
      String id = id(i);
      int through = (victim + i) % controllers;
      Duration when = Duration.ofMillis(2000 + at[i]);
      loop.after(when, () -> users().cancel(id, through));
      if (i % 5 == 0) {
        loop.after(when, () -> users().cancel(id, (through + 1) % controllers));
      }
    }
    loop.runFor(Duration.ofMillis(2000));
    inject(change, victim, lasts);
    for (int i = 0; i < 6; i++) {
      submitJobs(1, 2);
      loop.runFor(Duration.ofSeconds(5));
    }
    assertRecovered(what + " " + change);
  }

  /**
   * Reports of before come to every controller just as a new one begins to lead: from sessions, attempts and
   * tokens that are over, of machines deleted since, and with the ends of tasks that were placed anew.
   */
  @ParameterizedTest
  @CsvSource({"ends, 8", "blinks, 8", "refused, 12", "apart, 20", "silent, 20", "all end, 5", "rolling, 8", "frozen, 9"})
  void oldReportsMeetANewLeader(String change, int seconds) throws Exception {
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
      all.stream().limit(3).forEach(worker -> worker.hangUntil(loop.now().plusSeconds(39))); // A session more.
      submitJobs(4, 3);
      users().cancel(id(random.nextInt(jobCount)), SimUsers.ANY);
      loop.runFor(Duration.ofSeconds(30));
      delayedCommandShare = 0.4; // Launches are under way as well.
      maxCommandDelay = Duration.ofSeconds(6);
      submitJobs(3, 2);
      loop.runFor(Duration.ofSeconds(1));
      inject(change, holder("ts/fleet"), Duration.ofSeconds(seconds));
      loop.runFor(Duration.ofSeconds(seconds + 12));
      clearFaults();
    }
    assertRecovered(change);
  }

  /** New machines report within two seconds, before records, rental answers and lists tell of them. */
  @ParameterizedTest
  @CsvSource({
    "300, 0.4, 0, 0", "300, 0, 6, 0.6", "1200, 0.4, 12, 0.5", "1800, 0.3, 6, 0.3", "50, 0.5, 12, 1", "700, 0.6, 3, 0"
  })
  void machinesUpAtOnceWhileWritesLagAndTheLeaderEnds(int bootMs, double late, int lagS, double unanswered)
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
   * Answers that can't be read, or with a status that nobody knows, though what was asked for was done: they
   * prove nothing, and nobody is told that a job isn't known.
   */
  @ParameterizedTest
  @CsvSource({"store, 0.05", "store, 0.3", "cloud, 0.5", "workers, 0.2", "workers, 0.7", "peers, 0.5", "'', 0.15"})
  void answersThatCannotBeReadProveNothing(String by, double share) throws Exception {
    random = new Random(by.hashCode());
    users().queryAllOnChange = true;
    taskRunTime = Duration.ofSeconds(10);
    startWithJobs(3, 14, 6, 3);
    invalidResponseSource = by;
    invalidResponseShare = share;
    for (int round = 0; round < 6; round++) {
      submitJobs(2, 3);
      users().cancel(id(random.nextInt(jobCount)), SimUsers.ANY);
      if (round % 2 == 1) {
        restart(Math.max(0, leader()), 700);
      }
      loop.runFor(Duration.ofSeconds(7));
    }
    assertRecovered(by + " " + share);
  }

  /**
   * For jobs that ended long ago a start has the state service's word alone. A 404 that is not the service's own
   * (it doesn't tell the revision) is not taken for that.
   */
  @Test
  void aDenialOfAnotherMakingDeniesNoJob() throws Exception {
    taskRunTime = Duration.ofSeconds(3);
    startWithJobs(3, 8, 8, 1);
    loop.runFor(Duration.ofSeconds(60));
    assertTrue(store.keyCount("ts-ended/") >= 8, "put away");
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
    assertRecovered("denials");
  }

  /**
   * Launches are carried out and answered with a status that nobody knows, and their gang is broken up before
   * the machine reports again, since another one refuses: the report of before doesn't list the task, and must
   * not be taken for proof that it isn't there, or the next attempt would start beside it.
   */
  @Test
  void launchesAnsweredAsNobodyKnowsMayHaveBeenCarriedOut() throws Exception {
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

  /** Back at once, one by one, one alone, in an outage; cancelled before, meanwhile (asked for) and after. */
  @ParameterizedTest
  @CsvSource({"38, 0, false", "38, 3000, false", "60, 9000, true", "90, 0, true", "35, 700, true", "45, 25000, false"})
  void allAreAwayForLongerThanALease(int seconds, int apartMs, boolean inOutage) throws Exception {
    random = new Random(seconds);
    taskRunTime = Duration.ofSeconds(30);
    startWithJobs(4, 14, 20, 2);
    for (int i = 0; i < 5; i++) {
      users().cancel(id(i), SimUsers.ANY);
    }
    loop.runFor(Duration.ofMillis(30));
    for (int i = 0; i < 4; i++) {
      restart(i, seconds * 1000 + apartMs * i);
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
    loop.runFor(Duration.ofSeconds(seconds + 10).plusMillis(3L * apartMs));
    assertRecovered("all away for " + seconds + " s");
  }

  /** Ten leaders in two minutes, each ends or is back at once; jobs are cancelled, come and end all the time. */
  @ParameterizedTest
  @CsvSource({"11, 100, false", "11, 3000, false", "12, 20000, false", "9, 100, true", "12, 4000, true"})
  void leadersChangeTenTimes(int everyS, int backMs, boolean inOutage) throws Exception {
    random = new Random(everyS + backMs);
    taskRunTime = Duration.ofSeconds(15);
    startWithJobs(5, 16, 10, 3);
    commandsBlocked.add(machines().get(0).name()); // Cancelled work must not live on from leader to leader.
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
