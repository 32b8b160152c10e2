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
 * Pairs of faults at the same time, one test for each pair that operators have listed;
 * docs/meetings.md maps pairs to tests. {@link CancellationDuringOutageTest} has the pair that
 * found most faults. {@link HistoryChecker} checks the whole history of each run.
 */
class CombinedFaultsTest extends FaultScenario {
  /**
   * Commands, or their responses, are delayed for less and for more than the owner's timeout, while
   * the machine is claimed again, fails over to a successor, begins a new session, or gets the same
   * task again.
   *
   * @param meanwhile "nothing", "heir" (the leader crashes and its machines fail over), "session"
   *     (machines hang until new sessions begin), "restart" (controllers restart), or "cancel"
   */
  @ParameterizedTest
  @CsvSource({
    "9,  nothing", "30, nothing", "9,  heir", "30, heir", "70, heir", "30, session", "70, session", "30, restart",
    "70, cancel"
  })
  void delayedCommandsAndResponses(int seconds, String meanwhile) throws Exception {
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

  /**
   * The state service is slow, then refuses the leader, then all controllers, while users cancel
   * jobs and ask about an unknown one.
   */
  @ParameterizedTest
  @CsvSource({"300, 10", "900, 20", "1500, 65", "1900, 30", "3000, 65"})
  void stateServiceSlowThenRefusesLeaderThenAll(int slowMs, int outageS) throws Exception {
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
   * A job is submitted again while another controller cancels it, and reads of single keys take a
   * second. The read executed before the cancellation returns after its confirmation, when the
   * controller's cache already shows the cancellation. The response must not be older than the
   * cache.
   */
  @Test
  void slowReadIsNoOlderThanLocalCache() throws Exception {
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

  /**
   * The leader crashes and restarts after the given time, then so does the next one, four times in
   * all. Then all controllers crash, and all but one come back 15 to 40 s later than the first.
   */
  @ParameterizedTest
  @CsvSource({"30, 0", "300, 0", "900, 0.3", "1500, 0", "3000, 0.3", "9000, 0.2", "20000, 0"})
  void leadershipMovesAndReturns(int backMs, double late) throws Exception {
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
   * Many writes to keys of one prefix get no response and are executed late, after newer ones.
   * Meanwhile jobs are accepted, placed, cancelled and completed, machines come, go and change
   * owner, and controllers restart.
   */
  @ParameterizedTest
  @MethodSource("keyPrefixes")
  void writesExecutedLate(String keyPrefix) throws Exception {
    runSeedsOfUnansweredWrites(keyPrefix, 0.15, false);
  }

  /**
   * Like {@link #writesExecutedLate}, but the writes are executed at once and only their responses
   * are lost. Other controllers read and use what was written, users query all nodes at short
   * intervals, and the writer does not know the outcome and retries, or crashes.
   */
  @ParameterizedTest
  @MethodSource("keyPrefixes")
  void writesWithLostResponses(String keyPrefix) throws Exception {
    runSeedsOfUnansweredWrites(keyPrefix, 0.25, true);
  }

  /** All prefixes of keys; the empty one stands for every key. */
  static List<String> keyPrefixes() {
    return List.of(
        "ts/jobs/", "ts/intake/", "ts/lots/", "ts/machines/", "ts/heirs/", "ts/controllers/", "ts/slots/", "ts/fleet",
        "ts/teams/", "ts/rentals", "ts/types", "ts-ended/", "");
  }

  private static void runSeedsOfUnansweredWrites(String keyPrefix, double baseShare, boolean atOnce) throws Exception {
    for (int seed = 1; seed <= 3; seed++) {
      CombinedFaultsTest test = new CombinedFaultsTest();
      test.random = new Random(seed);
      test.users().queryAllOnChange = atOnce;
      test.runUnansweredWrites(keyPrefix, baseShare + 0.25 * seed, atOnce);
    }
  }

  private void runUnansweredWrites(String keyPrefix, double share, boolean atOnce) throws Exception {
    faultyWritePrefix = keyPrefix;
    lateWriteShare = atOnce ? 0 : share / 2; // Fewer faults until the cluster has started.
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
    assertRecovered((atOnce ? "lost responses " : "late writes ") + keyPrefix + " " + share);
  }

  /**
   * A leader loses the state service and its peers but keeps its workers and users. Jobs are
   * cancelled through other controllers and through the leader itself: before, when and after its
   * own lease ends, and after the leases of its workers.
   */
  @ParameterizedTest
  @CsvSource({"5, 0", "16, 0", "17, 0.4", "25, 0", "45, 0.4", "70, 0"})
  void isolatedLeaderWhileOthersCancel(int seconds, double copyShare) throws Exception {
    random = new Random(seconds);
    taskRunTime = Duration.ofSeconds(100);
    duplicateReportShare = copyShare;
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
    assertRecovered("isolated for " + seconds + " s");
    assertTrue(users().checker().longestRunAfterCancel.compareTo(Duration.ofSeconds(61)) <= 0);
  }

  /**
   * Of a job's two or three tasks one completes before, one during and one long after a change of
   * leader. Gangs of the same sizes gather, run and complete meanwhile.
   */
  @ParameterizedTest
  @CsvSource({"ends", "back at once", "refused", "apart", "frozen", "all end", "silent"})
  void tasksEndingFarApartAcrossLeaderChange(String change) throws Exception {
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
    int tasks = users().jobs.values().stream().mapToInt(job -> job.spec.tasks()).sum();
    int lost = workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum();
    assertTrue(
        startedTasks.size() <= tasks + lost,
        startedTasks.size() + " starts for " + tasks + " tasks, " + lost + " lost");
    assertEquals(tasks, new HashSet<>(completed).size(), "every task completed");
  }

  /**
   * The leader crashes while machines with long tasks hang, their reports are lost, or responses
   * and commands don't reach them: for just under and just over a lease, and for much longer. One
   * of these machines has a reclaim notice.
   *
   * @param machineFault "hung", "unheard" (reports are lost), or "unhearing" (neither responses nor
   *     commands arrive)
   */
  @ParameterizedTest
  @CsvSource({
    "unheard, 33", "unheard, 37", "unheard, 90", "unhearing, 33", "unhearing, 37", "unhearing, 90", "hung, 34",
    "hung, 38"
  })
  void leaderCrashesWhileMachinesAreUnreachable(String machineFault, int seconds) throws Exception {
    random = new Random(seconds);
    taskRunTime = Duration.ofSeconds(130);
    startWithJobs(3, 15, 18, 2);
    List<EmulatedWorker> unreachable = List.copyOf(workers.values()).subList(0, 6);
    for (EmulatedWorker worker : unreachable) {
      switch (machineFault) {
        case "unheard" -> reportsBlocked.add(worker.name());
        case "unhearing" -> inboundBlocked.add(worker.name());
        default -> worker.hangUntil(loop.now().plusSeconds(seconds));
      }
    }
    unreachable.get(0).reclaimNoticeS(60.0);
    loop.runFor(Duration.ofSeconds(1));
    restart(holder("ts/fleet"), 60_000);
    loop.runFor(Duration.ofSeconds(2));
    users().cancel(id(0), SimUsers.ANY);
    submitJobs(6, 2);
    loop.runFor(Duration.ofSeconds(seconds - 3));
    reportsBlocked.clear();
    inboundBlocked.clear();
    loop.runFor(Duration.ofSeconds(60));
    unreachable.get(0).reclaimNoticeS(null);
    assertRecovered(machineFault + " for " + seconds + " s");
  }
}
