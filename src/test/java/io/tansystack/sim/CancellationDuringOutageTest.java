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
 * The gap: the state service refuses one controller alone; others confirm cancellations to users; then
 * it is away for everybody, while workers go on reporting to the one that never heard of them. What was
 * cancelled is gone within {@code cancel_s} of the answer to its user all the same.
 */
class CancellationDuringOutageTest extends SimCluster {
  private SimUsers users;
  private int jobs;

  /** Half of the jobs have two tasks; none ends by itself while the gap lasts. */
  private void running(double lease, double cancel, int count) throws Exception {
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

  private int leader(String which) {
    return which.equals("owner") ? ownerOfMost() : holder(which);
  }

  /** At every half second from three seconds before it is refused until the outage, another confirms one. */
  private void cancelThroughOthers(int leader, int from, Duration until) {
    int next = from;
    for (Duration at = Duration.ZERO; at.compareTo(until) < 0; at = at.plusMillis(500)) {
      String id = id(next++);
      int other = (leader + 1 + next % (controllerCount - 1)) % controllerCount;
      loop.after(at, () -> users.cancel(id, other));
    }
  }

  private void gap(int leader, int from, Duration alone, Duration outageLasts) {
    Duration lead = Duration.ofSeconds(3);
    cancelThroughOthers(leader, from, lead.plus(alone));
    loop.runFor(lead);
    refusedByStore = leader;
    loop.after(Duration.ofSeconds(14), () -> refusedByStore = -1);
    loop.runFor(alone);
    outage = true;
    loop.runFor(outageLasts);
    outage = false;
  }

  private void inTime(String what) {
    assertEquals(Set.of(), users.checker().violations, what);
    assertTrue(
        users.checker().longestRunAfterCancel.compareTo(Duration.ofMillis((long) (setting("cancel_s") * 1000))) <= 0,
        what + ": " + users.checker().longestRunAfterCancel);
    assertTrue(
        users.jobs.values().stream().filter(told -> told.cancelled != null).count() >= 8,
        what + ": enough was cancelled to be a test");
  }

  /**
   * The outage is from shorter than the controller may act to much longer than {@code cancel_s}, and ends
   * just before and after each bound; the whole comes twice in a row.
   */
  @ParameterizedTest
  @CsvSource({
    // whom, alone s, outage s, lease, cancel
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
  void whatOthersCancelledIsGoneInTime(
      String whom, double alone, double outageS, double lease, double cancel) throws Exception {
    running(lease, cancel, 76);
    Duration lasts = Duration.ofMillis((long) (outageS * 1000));
    gap(leader(whom), 0, Duration.ofMillis((long) (alone * 1000)), lasts);
    loop.runFor(Duration.ofSeconds(4));
    gap(leader(whom), 38, Duration.ofMillis((long) (alone * 1000)), lasts);
    loop.runFor(Duration.ofSeconds(10));
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(130));
    assertEquals(Set.of(), users.checker().finalViolations());
    inTime(whom + " " + outageS);
  }

  /** The same, with the cancelled tasks in every state that a task can be in. */
  @ParameterizedTest
  @CsvSource({"fetching", "hung", "hung past the lease", "launches held up", "commands held up", "saving"})
  void inWhateverStateTheTasksAre(String state) throws Exception {
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
    running(18, 43, 40);
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
    gap(holder("ts/fleet"), 0, Duration.ofSeconds(2), Duration.ofSeconds(55));
    delayedCommandShare = 0;
    all.forEach(worker -> worker.reclaimNoticeS(null));
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(130));
    assertEquals(Set.of(), users.checker().finalViolations());
    inTime(state);
  }

  /**
   * Machines whose reports are heard and answered, while no direct command reaches them. Their leases are
   * renewed by their owner, so what was cancelled there would go on as long as nobody gets through to them.
   * One that hears of the cancellation late, since it alone was refused, must not take it for a new one.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 8, 14})
  void cancelledWorkThatNoCommandReachesIsLeftToItsLease(int refusedFor) throws Exception {
    running(18, 43, 20);
    commandsBlocked.addAll(workers.keySet());
    int owner = ownerOfMost();
    refusedByStore = refusedFor > 0 ? owner : -1;
    for (int i = 0; i < 10; i++) {
      users.cancel(id(i), (owner + 1) % controllerCount);
    }
    loop.runFor(Duration.ofSeconds(refusedFor));
    refusedByStore = -1;
    loop.runFor(Duration.ofSeconds(50));
    inTime("commands lost, refused for " + refusedFor + " s");
    commandsBlocked.clear();
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(100));
    assertEquals(Set.of(), users.checker().finalViolations());
    assertEquals("withdrawn", state(id(3)));
  }

  /**
   * Launches are held up for very long, and their job is cancelled; the state service's write limit is used up
   * by others, so that no new claim, whose token would void them, can be written. The reports don't list the
   * tasks: what may still arrive counts all the same, or they would start when the cancellation is long past.
   */
  @Test
  void launchesUnderWayAreLeftToTheLeaseToo() throws Exception {
    random = new Random(3);
    running(18, 43, 10);
    int busy = jobs;
    delayedCommandShare = 1;
    maxCommandDelay = Duration.ofSeconds(100);
    for (int i = 0; i < 30; i++) {
      users.submit(spec(id(jobs++), 1), SimUsers.ANY);
    }
    loop.runFor(Duration.ofSeconds(2));
    faultyWritePrefix = "ts/machines/";
    writesOverLimit = true;
    for (int job = busy; job < jobs; job++) {
      users.cancel(id(job), job % controllerCount);
    }
    loop.runFor(Duration.ofSeconds(110));
    writesOverLimit = false;
    delayedCommandShare = 0;
    inTime("launches held up");
    assertEquals(0, users.checker().lateStarts.stream().filter(s -> s.after().toSeconds() > 43).count());
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(130));
    assertEquals(Set.of(), users.checker().finalViolations());
  }

  /**
   * Controllers start anew ten times and more, always before they would stop answering by themselves, while
   * no direct command reaches a machine and reports do. A start must not count cancelled work from its own
   * first reading: each would give it another {@code life}. Clocks are off by as much as the settings allow.
   */
  @ParameterizedTest
  @CsvSource({"all, 9, 18, 43", "all, 14, 36, 61", "in turn, 3, 18, 43", "in turn, 5, 36, 61", "leader, 8, 36, 61"})
  void startsInARowGiveCancelledWorkNoMoreTime(String who, int everyS, double lease, double cancel)
      throws Exception {
    random = new Random(everyS);
    maxClockError = Duration.ofMillis(250);
    running(lease, cancel, 30);
    commandsBlocked.addAll(workers.keySet());
    for (int i = 0; i < 12; i++) {
      users.cancel(id(i), i % controllerCount);
    }
    loop.runFor(Duration.ofSeconds(1));
    for (int round = 0; round * everyS < cancel * 2; round++) {
      for (int i = 0; i < controllerCount; i++) {
        if (who.equals("all") || i == (who.equals("leader") ? holder("ts/fleet") : round % controllerCount)) {
          kill(i);
          bootAfter(i, Duration.ofMillis(100 + 200L * i));
        }
      }
      loop.runFor(Duration.ofSeconds(everyS));
    }
    inTime(who + " every " + everyS + " s");
    commandsBlocked.clear();
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(130));
    assertEquals(Set.of(), users.checker().finalViolations());
  }

  /**
   * The owner of most machines ends for good, and jobs are cancelled at once. Its machines are handed over
   * when their leases have little time left, and longer after the cancellations than a machine with
   * cancelled work is answered: that work is stopped first, by commands, and the other work there is kept.
   */
  @Test
  void anOwnersEndAmidCancellationsCostsNoOtherWork() throws Exception {
    running(36, 61, 60);
    // A sign of life, from which its workers' leases are reckoned.
    users.submit(spec(id(jobs++), 1), SimUsers.ANY);
    loop.runFor(Duration.ofSeconds(1));
    int owner = ownerOfMost();
    kill(owner);
    for (int i = 0; i < 24; i++) {
      users.cancel(id(i), (owner + 1 + i % 3) % controllerCount);
    }
    loop.runFor(Duration.ofSeconds(60));
    inTime("its owner ended");
    assertEquals(0, workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum(), "leases that ran out");
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(80));
    assertEquals(Set.of(), users.checker().finalViolations());
  }

  /**
   * All controllers end and are back when the cancellations are older than a machine with cancelled work is
   * answered, and the machines' leases have little time left: what was cancelled is stopped first.
   */
  @ParameterizedTest
  @ValueSource(ints = {12, 19, 24})
  void anEndOfAllAmidCancellationsCostsNoOtherWork(int awayS) throws Exception {
    running(36, 61, 60);
    commandsBlocked.addAll(workers.keySet()); // Confirmed, and none of it stopped yet.
    for (int i = 0; i < 24; i++) {
      users.cancel(id(i), i % controllerCount);
    }
    loop.runFor(Duration.ofMillis(40));
    commandsBlocked.clear();
    for (int i = 0; i < controllerCount; i++) {
      kill(i);
      bootAfter(i, Duration.ofSeconds(awayS).plusMillis(300L * i));
    }
    loop.runFor(Duration.ofSeconds(70));
    inTime("all away for " + awayS + " s");
    assertEquals(0, workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum(), "leases that ran out");
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(80));
    assertEquals(Set.of(), users.checker().finalViolations());
  }
}
