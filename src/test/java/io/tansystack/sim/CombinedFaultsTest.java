package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.wire.Cbor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Two troubles that meet, each meeting of the operators' page; {@link
 * CancellationDuringOutageTest} has the one that broke most, docs/meetings.md tells which test
 * causes what. {@link HistoryChecker} sees the whole history.
 */
class CombinedFaultsTest extends FaultScenario {
  /**
   * Commands, or their answers, are held up for shorter and longer than the owner waits for them, while the
   * machine is claimed anew, handed to an heir, begins a new session, or is given the same task again.
   */
  @ParameterizedTest
  @CsvSource({
    "9,  nothing", "30, nothing", "9,  heir", "30, heir", "70, heir", "30, session", "70, session", "30, restart",
    "70, cancel"
  })
  void commandsAndAnswersHeldUp(int seconds, String meanwhile) throws Exception {
    random = new Random(seconds);
    startWithJobs(3, 14, 6, 8);
    delayedCommandShare = 0.6;
    maxCommandDelay = Duration.ofSeconds(seconds);
    submitJobs(4, 6);
    loop.runFor(Duration.ofSeconds(3));
    List<EmulatedWorker> all = List.copyOf(workers.values());
    switch (meanwhile) {
      case "heir" -> {
        kill(holder("ts/fleet"));
        loop.runFor(Duration.ofSeconds(40));
      }
      case "session" -> {
        all.subList(0, 7).forEach(worker -> worker.hangUntil(loop.now().plusSeconds(38)));
        loop.runFor(Duration.ofSeconds(45));
      }
      case "restart" -> {
        for (int i = 0; i < 4; i++) {
          restart(i % 3, 200);
          loop.runFor(Duration.ofSeconds(7));
        }
      }
      case "cancel" -> users().jobs.keySet().forEach(id -> users().cancel(id, SimUsers.ANY));
      default -> { }
    }
    submitJobs(4, 3);
    loop.runFor(Duration.ofSeconds(80));
    if (meanwhile.equals("heir")) {
      for (int i = 0; i < 3; i++) {
        bootAfter(i, Duration.ZERO);
      }
    }
    assertRecovered(seconds + " s, " + meanwhile);
  }

  /** The state service is slow, then refuses the leader, then everybody, while users cancel and ask. */
  @ParameterizedTest
  @CsvSource({"300, 10", "900, 20", "1500, 65", "1900, 30", "3000, 65"})
  void slowThenRefusingOneThenAll(int slowMs, int outageS) throws Exception {
    random = new Random(slowMs);
    startWithJobs(4, 14, 20, 2);
    taskRunTime = Duration.ofSeconds(90);
    maxStoreDelay = Duration.ofMillis(slowMs);
    for (int i = 0; i < 12; i++) {
      String cancelled = id(i);
      loop.after(Duration.ofMillis(1700L * i), () -> users().cancel(cancelled, SimUsers.ANY));
      loop.after(Duration.ofMillis(1100L * i), () -> users().pollUnknown("wk-999999"));
    }
    loop.runFor(Duration.ofSeconds(6));
    submitJobs(6, 2);
    loop.runFor(Duration.ofSeconds(4));
    refusedByStore = holder("ts/fleet");
    loop.runFor(Duration.ofSeconds(5));
    outage = true;
    loop.runFor(Duration.ofSeconds(outageS));
    outage = false;
    loop.runFor(Duration.ofSeconds(5));
    assertRecovered(slowMs + " ms, " + outageS + " s");
  }

  /**
   * A job is submitted once more while another controller cancels it, and single reads take a second: what
   * was read before the cancellation is answered after its confirmation, and the copy has shown that by then.
   */
  @Test
  void whatIsReadSlowlyIsNoOlderThanTheCopy() throws Exception {
    startWithJobs(3, 14, 10, 2);
    taskRunTime = Duration.ofSeconds(90);
    readDelay = Duration.ofSeconds(1);
    List<String> answers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      String id = id(i);
      users().cancel(id, 0);
      loop.after(Duration.ofMillis(900), () -> processes.get(1).run(() -> controllers.get(1).handleFront(
          "POST", "/v1/jobs", Cbor.encode(spec(id, 2).write()), (status, body, retry) -> answers.add(
              (users().jobs.get(id).cancelled != null) + " " + status + " " + decode(body).path("Status").asText()))));
    }
    loop.runFor(Duration.ofSeconds(4));
    assertEquals(Collections.nCopies(10, "true 200 withdrawn"), answers);
    assertRecovered("slow reads");
  }

  /** There and back: the leader ends and is back within the time, so does the next one, then all but one. */
  @ParameterizedTest
  @CsvSource({"30, 0", "300, 0", "900, 0.3", "1500, 0", "3000, 0.3", "9000, 0.2", "20000, 0"})
  void handOverAndBack(int backMs, double late) throws Exception {
    random = new Random(backMs);
    startWithJobs(4, 14, 8, 5);
    lateWriteShare = late;
    for (int i = 0; i < 4; i++) {
      restart(holder(i % 2 == 0 ? "ts/fleet" : "ts/slots/0"), backMs);
      loop.runFor(Duration.ofMillis(backMs / 2 + 700));
      submitJobs(2, 3);
    }
    int first = random.nextInt(4);
    for (int i = 0; i < 4; i++) {
      restart(i, i == first ? backMs : backMs + 15_000 + random.nextInt(25_000));
    }
    loop.runFor(Duration.ofMillis(backMs + 41_000));
    assertRecovered("back after " + backMs + " ms");
  }

  /**
   * Of one kind of write most get no answer and are carried out late, after newer ones, while jobs are
   * accepted, placed, cancelled and end, machines come, go and change hands, and controllers start anew.
   */
  @ParameterizedTest
  @MethodSource("kindsOfKeys")
  void writesCarriedOutLate(String kind) throws Exception {
    unansweredWritesOf(kind, 0.15, false);
  }

  /**
   * The same, carried out at once: others read what was written and build on it at once, users look closely at
   * all nodes, and whoever wrote knows of nothing and tries again, or ends.
   */
  @ParameterizedTest
  @MethodSource("kindsOfKeys")
  void writesOfWhichOnlyTheAnswerIsLost(String kind) throws Exception {
    unansweredWritesOf(kind, 0.25, true);
  }

  /** All of them, and one that names any. */
  static List<String> kindsOfKeys() {
    return List.of(
        "ts/jobs/", "ts/intake/", "ts/lots/", "ts/machines/", "ts/heirs/", "ts/controllers/", "ts/slots/", "ts/fleet",
        "ts/teams/", "ts/rentals", "ts/types", "ts-ended/", "");
  }

  private static void unansweredWritesOf(String kind, double least, boolean atOnce) throws Exception {
    for (int seed = 1; seed <= 3; seed++) {
      CombinedFaultsTest anew = new CombinedFaultsTest();
      anew.random = new Random(seed);
      anew.users().queryAllOnChange = atOnce;
      anew.playUnanswered(kind, least + 0.25 * seed, atOnce);
    }
  }

  private void playUnanswered(String kind, double share, boolean atOnce) throws Exception {
    faultyWritePrefix = kind;
    lateWriteShare = atOnce ? 0 : share / 2; // So that a cluster comes to be at all.
    lostResponseShare = atOnce ? share / 2 : 0;
    startWithJobs(4, 16, 12, 3);
    lateWriteShare = atOnce ? 0 : share;
    lostResponseShare = atOnce ? share : 0;
    for (int round = 0; round < 4; round++) {
      int size = 1 + random.nextInt(6);
      submitJobs(size, 1 + random.nextInt(4));
      users().cancel(id(random.nextInt(jobCount)), SimUsers.ANY);
      loop.runFor(Duration.ofMillis(500 + random.nextInt(6000)));
      if (round == 1) {
        workers.values().stream().limit(3).forEach(worker -> worker.hangUntil(loop.now().plusSeconds(45)));
      }
      restart(random.nextInt(4), new int[] {100, 900, 4000, 12_000}[random.nextInt(4)]);
      loop.runFor(Duration.ofMillis(500 + random.nextInt(9000)));
    }
    loop.runFor(Duration.ofSeconds(13));
    assertRecovered((atOnce ? "unanswered " : "late ") + kind + " " + share);
  }

  /**
   * A leader has nothing left but its workers and users, and jobs are cancelled through others, and through
   * itself once it is back: before, when and after it may no longer act, and after its workers' leases.
   */
  @ParameterizedTest
  @CsvSource({"5, 0", "16, 0", "17, 0.4", "25, 0", "45, 0.4", "70, 0"})
  void aLeaderApartWhileOthersCancel(int seconds, double copied) throws Exception {
    random = new Random(seconds);
    taskRunTime = Duration.ofSeconds(100);
    duplicateReportShare = copied;
    startWithJobs(4, 14, 24, 2);
    int leader = holder("ts/fleet");
    cutOffFromStoreAndPeers.add(leader);
    for (int i = 0; i < 16; i++) {
      String cancelled = id(i);
      int through = i % 4 == 3 ? leader : (leader + 1 + i % 3) % 4;
      loop.after(Duration.ofMillis(seconds * 70L * i), () -> users().cancel(cancelled, through));
    }
    for (int i = 0; i < 4; i++) {
      users().submit(spec(id(jobCount++), 2), leader);
    }
    loop.runFor(Duration.ofSeconds(seconds));
    cutOffFromStoreAndPeers.clear();
    loop.runFor(Duration.ofSeconds(3));
    assertRecovered("apart for " + seconds + " s");
    assertTrue(users().checker().longestRunAfterCancel.compareTo(Duration.ofSeconds(61)) <= 0);
  }

  /**
   * Of two or three tasks one ends before, one while and one long after their leader changes; gangs of as
   * many gather, run and end meanwhile.
   */
  @ParameterizedTest
  @CsvSource({"ends", "back at once", "refused", "apart", "frozen", "all end", "silent"})
  void tasksThatEndFarApartAcrossAChangeOfLeader(String change) throws Exception {
    random = new Random(change.hashCode());
    unevenRunTimes = true;
    taskRunTime = Duration.ofSeconds(12);
    startWithJobs(3, 18, 10, 3);
    submitJobs(6, 2);
    for (int i = 0; i < 5; i++) {
      users().submit(gang(id(jobCount++), 2 + i % 2), SimUsers.ANY);
    }
    loop.runFor(Duration.ofSeconds(3));
    for (int round = 0; round < 3; round++) {
      int leader = holder("ts/fleet");
      switch (change) {
        case "ends" -> restart(leader, 21_000);
        case "back at once" -> restart(leader, 150);
        case "refused" -> refusedByStore = leader;
        case "apart" -> cutOffFromStoreAndPeers.add(leader);
        case "frozen" -> processes.get(leader).freeze(Duration.ofSeconds(13));
        case "silent" -> isolated.add(leader);
        default -> {
          for (int i = 0; i < 3; i++) {
            restart(i, 2000 + 1500 * i);
          }
        }
      }
      loop.runFor(Duration.ofSeconds(14));
      clearFaults();
      loop.runFor(Duration.ofSeconds(8));
      submitJobs(3, 3);
    }
    assertRecovered(change);
    int tasks = users().jobs.values().stream().mapToInt(told -> told.spec.tasks()).sum();
    int lost = workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum();
    assertTrue(startedTasks.size() <= tasks + lost, startedTasks.size() + " starts of " + tasks + ", " + lost + " lost");
    assertEquals(tasks, new HashSet<>(completed).size(), "none is lost and none is done twice");
  }

  /**
   * The leader ends while machines with long tasks are not heard, or do not hear the next one's answer, for
   * just under and just over a lease, and much longer; some are about to be taken away.
   */
  @ParameterizedTest
  @CsvSource({
    "unheard, 33", "unheard, 37", "unheard, 90", "unhearing, 33", "unhearing, 37", "unhearing, 90", "hung, 34",
    "hung, 38"
  })
  void aLeaderEndsWhileMachinesAreOutOfReach(String how, int seconds) throws Exception {
    random = new Random(seconds);
    taskRunTime = Duration.ofSeconds(130);
    startWithJobs(3, 15, 18, 2);
    List<EmulatedWorker> some = List.copyOf(workers.values()).subList(0, 6);
    for (EmulatedWorker worker : some) {
      switch (how) {
        case "unheard" -> reportsBlocked.add(worker.name());
        case "unhearing" -> inboundBlocked.add(worker.name());
        default -> worker.hangUntil(loop.now().plusSeconds(seconds));
      }
    }
    some.get(0).reclaimNoticeS(60.0);
    loop.runFor(Duration.ofSeconds(1));
    restart(holder("ts/fleet"), 60_000);
    loop.runFor(Duration.ofSeconds(2));
    users().cancel(id(0), SimUsers.ANY);
    submitJobs(6, 2);
    loop.runFor(Duration.ofSeconds(seconds - 3));
    reportsBlocked.clear();
    inboundBlocked.clear();
    loop.runFor(Duration.ofSeconds(60));
    some.get(0).reclaimNoticeS(null);
    assertRecovered(how + " for " + seconds + " s");
  }
}
