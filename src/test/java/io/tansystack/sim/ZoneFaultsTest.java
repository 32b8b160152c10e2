package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Zones that are cut off or lose machines, machines whose reports are lost, and more work than
 * capacity.
 */
class ZoneFaultsTest extends FaultScenario {
  /**
   * A zone with workers and controllers is cut off for less and for longer than a lease, with the
   * leader on either side. Inside, tasks complete, also of jobs that were cancelled outside.
   * Outside, jobs are accepted and cancelled.
   */
  @ParameterizedTest
  @CsvSource({
    "b, 8, false", "b, 34, false", "b, 38, true", "b, 70, false", "a, 20, false", "a, 38, true", "a, 70, false",
    "a, 17, true"
  })
  void zoneIsPartitioned(String zone, int seconds, boolean leaderEnds) throws Exception {
    random = new Random(seconds);
    zones = List.of("a", "b");
    controllersInAllZones = true;
    taskRunTime = Duration.ofSeconds(25);
    start(4, 16);
    for (int i = 0; i < 24; i++) {
      submit("vision",
          i % 6 == 5 ? JobKind.SERVICE : i % 4 == 3 ? JobKind.GANG : JobKind.ARRAY,
          Priority.values()[i % 4],
          1 + i % 3, 1, 0, i % 5 == 0 ? "b" : null, i % 7 == 1, i % 7 == 2);
    }
    loop.runFor(Duration.ofSeconds(14));
    partitionedZone = zone;
    for (int i = 0; i < 12; i++) {
      String id = id(i);
      loop.after(Duration.ofMillis(seconds * 80L * i), () -> users().cancel(id, SimUsers.ANY));
    }
    submitJobs(5, 2);
    if (leaderEnds) {
      loop.after(Duration.ofSeconds(seconds / 2), () -> restart(Math.max(0, leader()), 6000));
    }
    loop.runFor(Duration.ofSeconds(seconds));
    partitionedZone = null;
    submitJobs(3, 2);
    loop.runFor(Duration.ofSeconds(15));
    assertRecovered(zone + " cut off for " + seconds + " s");
  }

  /**
   * Reports of machines reach no controller while commands reach the machines: for seconds, for
   * just under and just over a lease, and far longer. Jobs on them are cancelled, and a task is
   * restarted only once it is proven that the earlier attempt has ended.
   */
  @ParameterizedTest
  @CsvSource({"6, 4", "33, 4", "35, 8", "37, 4", "45, 100", "100, 5"})
  void machinesWithLostReportsStillTakeCommands(int seconds, int count) throws Exception {
    random = new Random(seconds);
    taskRunTime = Duration.ofSeconds(70);
    startWithJobs(3, 14, 20, 2);
    machines().stream().limit(count).forEach(worker -> reportsBlocked.add(worker.name()));
    for (int i = 0; i < 8; i++) {
      String id = id(i);
      loop.after(Duration.ofMillis(seconds * 100L * i), () -> users().cancel(id, SimUsers.ANY));
    }
    submitJobs(4, 2);
    loop.runFor(Duration.ofSeconds(seconds));
    reportsBlocked.clear();
    loop.runFor(Duration.ofSeconds(10));
    assertRecovered(count + " machines with lost reports for " + seconds + " s");
  }

  /**
   * Far more work of all priorities than the machines can run, with one array larger than the
   * cluster, over slow links. No task is placed twice, and the largest and the least urgent jobs
   * start too.
   */
  @ParameterizedTest
  @CsvSource({"0, 0", "700, 0", "300, 0.3", "1500, 0.2"})
  void moreWorkThanCapacityOverSlowLinks(int slowMs, double late) throws Exception {
    random = new Random(slowMs);
    taskRunTime = Duration.ofSeconds(4);
    maxStoreDelay = Duration.ofMillis(slowMs);
    delayedCommandShare = late;
    maxCommandDelay = Duration.ofSeconds(5);
    start(3, 6);
    users().submit(spec(id(jobCount++), 300), SimUsers.ANY);
    submit("vision", JobKind.GANG, Priority.LOW, 8, 2, 0, null, false, false);
    for (int round = 0; round < 40; round++) {
      submit("vision", JobKind.ARRAY, Priority.values()[round % 4],
          1 + round % 5, 1 + round % 2, 0, null, false, false);
      if (round % 6 == 0) {
        users().cancel(id(2 + random.nextInt(jobCount - 2)), SimUsers.ANY);
      }
      loop.runFor(Duration.ofMillis(1500));
    }
    assertRecovered("slow by " + slowMs + " ms");
  }

  /**
   * Jobs that may run in one zone only, in one place or not, and jobs spread over zones lose most
   * machines of a zone while the cloud has no more machines there. Lost tasks restart where their
   * jobs may run and nowhere else, once there is capacity.
   */
  @ParameterizedTest
  @CsvSource({"0, ends", "30, ends", "30, blinks", "60, refused", "60, all end", "20, apart"})
  void jobsBoundToOneZoneLoseMachines(int fullS, String change) throws Exception {
    random = new Random(fullS);
    zones = List.of("a", "b");
    taskRunTime = Duration.ofSeconds(20);
    start(4, 18);
    for (int i = 0; i < 18; i++) {
      JobKind kind = JobKind.values()[i % 3];
      boolean scatter = i % 6 > 3;
      submit("vision", kind, Priority.values()[i % 4], scatter ? 2 : 1 + i % 4, 1, 0, scatter ? null : "b", i % 2 == 0,
          scatter && i % 2 == 1);
    }
    loop.runFor(Duration.ofSeconds(14));
    List<EmulatedWorker> machinesInZone = machines().stream().filter(worker -> worker.zone().equals("b")).toList();
    assertTrue(machinesInZone.size() > 2, "machines in the zone");
    machinesInZone.subList(0, machinesInZone.size() * 3 / 4).forEach(EmulatedWorker::markDead);
    fullZones.add("b");
    loop.runFor(Duration.ofSeconds(1));
    inject(change, holder("ts/fleet"), Duration.ofSeconds(11));
    loop.runFor(Duration.ofSeconds(5));
    submit("vision", JobKind.GANG, Priority.NORMAL, 3, 1, 0, "b", false, false);
    loop.runFor(Duration.ofSeconds(fullS));
    fullZones.clear();
    loop.runFor(Duration.ofSeconds(25));
    assertRecovered("the zone is full for " + fullS + " s, " + change);
    assertEquals(0, users().checker().lateStarts.size(), users().checker().lateStarts.toString());
  }
}
