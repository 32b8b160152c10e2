package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.wire.Cbor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lost jobs when connectivity is partial: workers whose reports arrive but which
 * receive no responses, duplicated messages, controllers that can reach only their workers and
 * users, and processes that restart before their crash is detected. No accepted job is forgotten.
 */
class PartialConnectivityTest extends SimCluster {
  private final SimUsers users = new SimUsers(this);
  private int jobs;

  private void startClusterWithWork(int controllers, int machines, int tasks) throws Exception {
    controllerCount = controllers;
    maxMachines = machines;
    for (int i = 0; i < controllers; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(12));
    work(tasks);
    loop.runFor(Duration.ofSeconds(14));
  }

  private void work(int tasks) {
    String id = String.format("wk-%06d", jobs++);
    users.submit(spec(id, tasks), SimUsers.ANY);
    loop.runFor(Duration.ofSeconds(1));
  }

  private void assertRecovered(String context) {
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(300));
    check();
    assertEquals(Set.of(), violations, context);
    assertEquals(Set.of(), users.checker().finalViolations(), context);
    for (int j = 0; j < jobs; j++) {
      assertEquals("done", state(String.format("wk-%06d", j)), context + " job " + j);
    }
  }

  /**
   * Reports of machines arrive but nothing reaches the machines, for less than a lease, about a
   * lease, and far longer. Their tasks run elsewhere once the worker's next session proves that
   * they have ended, no more tasks are sent to them, and neither the owner nor other controllers
   * write a record for each report.
   */
  @ParameterizedTest
  @CsvSource({"5, 3", "34, 3", "38, 3", "150, 3", "150, 8"})
  void machinesNotReceivingResponsesAreLeftAlone(int seconds, int count) throws Exception {
    startClusterWithWork(3, 20, 80);
    List<EmulatedWorker> unreachable = List.copyOf(workers.values()).subList(0, count);
    unreachable.forEach(worker -> inboundBlocked.add(worker.name()));
    Map<String, Long> before = new HashMap<>();
    unreachable.forEach(worker -> before.put(worker.name(), store.writes("ts/machines/" + worker.name())));
    loop.runFor(Duration.ofSeconds(seconds));
    for (EmulatedWorker worker : unreachable) {
      long writes = store.writes("ts/machines/" + worker.name()) - before.get(worker.name());
      assertTrue(writes <= 5, writes + " writes for " + worker.name());
    }
    inboundBlocked.clear();
    work(40);
    assertRecovered(count + " for " + seconds + " s");
  }

  /**
   * Cancelled work on a machine that receives no responses ends with its lease, which is not
   * renewed.
   */
  @Test
  void cancelledWorkOnMachineNotReceivingResponsesIsGoneInTime() throws Exception {
    startClusterWithWork(3, 12, 40);
    workers.keySet().stream().limit(4).forEach(inboundBlocked::add);
    loop.runFor(Duration.ofSeconds(2));
    users.cancel("wk-000000", SimUsers.ANY);
    loop.runFor(Duration.ofSeconds(62));
    workers.values().forEach(worker -> assertEquals(List.of(), worker.liveTasks(), worker.name()));
    assertEquals(Set.of(), users.checker().violations);
    assertEquals("withdrawn", state("wk-000000"));
  }

  /**
   * A controller reaches only its users and workers. It tells both at once, its workers move to
   * other controllers before their leases end, and no running task is lost, whether the isolation
   * is short or long.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 8, 12, 18, 25, 40, 90})
  void controllerIsolatedFromPeersAndStateServiceLosesNoWork(int seconds) throws Exception {
    startClusterWithWork(3, 18, 72);
    int victim = holder("ts/fleet");
    int before = startedTasks.size();
    cutOffFromStoreAndPeers.add(victim);
    loop.runFor(Duration.ofSeconds(seconds));
    if (seconds > 5 && seconds < 90) {
      int[] status = new int[1];
      controllers.get(victim).handleFront("GET", "/up", new byte[0], (s, b, r) -> status[0] = s);
      assertEquals(503, status[0], "users are sent to another controller");
    }
    cutOffFromStoreAndPeers.clear();
    loop.runFor(Duration.ofSeconds(60));
    assertEquals(
        0,
        workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum(),
        "tasks lost to expired leases");
    assertTrue(startedTasks.size() >= before);
    assertRecovered("isolated for " + seconds + " s");
  }

  /**
   * Copies of reports arrive at any controller, from seconds to well over a lease late, while each
   * controller crashes and restarts in turn.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void duplicatedReportsProveNothing(long seed) throws Exception {
    random = new Random(seed);
    duplicateReportShare = 0.5;
    startClusterWithWork(3, 12, 100);
    for (int i = 0; i < 3; i++) {
      List<EmulatedWorker> all = List.copyOf(workers.values());
      all.get(random.nextInt(all.size())).markDead();
      kill(i);
      loop.runFor(Duration.ofMillis(200));
      boot(i);
      loop.runFor(Duration.ofSeconds(20));
      work(30);
    }
    duplicateReportShare = 0;
    assertRecovered("seed " + seed);
  }

  /**
   * A late copy of a report must not make a controller claim a machine that was returned to the
   * cloud.
   */
  @Test
  void duplicatedReportOfDeletedMachineIsNotClaimed() throws Exception {
    startClusterWithWork(3, 12, 20);
    EmulatedWorker returned = workers.values().iterator().next();
    byte[] body = Cbor.encode(returned.report().write());
    loop.runFor(Duration.ofSeconds(200));
    assertTrue(!workers.containsKey(returned.name()), "the idle machine was returned");
    long before = store.writes("ts/lots/") + store.writes("ts/machines/");
    int[] status = new int[controllerCount];
    for (int i = 0; i < controllerCount; i++) {
      int to = i;
      processes.get(to).run(() -> controllers.get(to).handleFront("POST", "/v1/report", body,
          (s, bytes, retryAfter) -> status[to] = s));
    }
    loop.runFor(Duration.ofSeconds(6));
    assertEquals(before, store.writes("ts/lots/") + store.writes("ts/machines/"));
    assertEquals(List.of(503, 503, 503), IntStream.of(status).boxed().toList());
  }

  /** Injects a random fault of random duration; the next one may begin before it ends. */
  private void injectRandomFault() {
    List<EmulatedWorker> all = List.copyOf(workers.values());
    int victim = random.nextInt(controllerCount);
    Duration duration = Duration.ofMillis(300 + random.nextInt(50_000));
    switch (random.nextInt(9)) {
      case 0 -> {
        List<String> names = new ArrayList<>();
        all.subList(0, all.size() * 2 / 5).forEach(worker -> names.add(worker.name()));
        inboundBlocked.addAll(names);
        loop.after(duration, () -> inboundBlocked.removeAll(names));
      }
      case 1 -> duplicateReportShare = random.nextDouble();
      case 2, 3 -> {
        cutOffFromStoreAndPeers.add(victim);
        loop.after(duration, () -> cutOffFromStoreAndPeers.remove(victim));
      }
      case 4, 5 -> restartQuickly(victim, 1 + random.nextInt(2));
      case 6 -> {
        for (int i = 0; i < controllerCount; i++) {
          restartQuickly(i, 1);
        }
      }
      case 7 -> processes.get(victim).freeze(duration);
      default -> {
        outage = true;
        loop.after(duration.dividedBy(3), () -> outage = false);
      }
    }
  }

  /** Crashes a controller and restarts it within a second, the given number of times in a row. */
  private void restartQuickly(int index, int times) {
    if (!controllers.containsKey(index)) {
      return;
    }
    kill(index);
    loop.after(
        Duration.ofMillis(30 + random.nextInt(900)),
        () -> {
          try {
            boot(index);
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
          if (times > 1) {
            loop.after(Duration.ofMillis(random.nextInt(1500)), () -> restartQuickly(index, times - 1));
          }
        });
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void randomFaultsForgetNoJob(long seed) throws Exception {
    random = new Random(seed);
    startClusterWithWork(3 + random.nextInt(4), 10 + random.nextInt(20), 60);
    for (int remaining = 3 + random.nextInt(4); remaining > 0; remaining--) {
      injectRandomFault();
      loop.runFor(Duration.ofMillis(random.nextInt(15_000)));
      check();
      work(20);
    }
    loop.runFor(Duration.ofSeconds(51)); // Longer than the longest fault.
    clearFaults();
    assertRecovered("seed " + seed);
  }
}
