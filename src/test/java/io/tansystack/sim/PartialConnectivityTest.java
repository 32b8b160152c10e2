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
 * Who is heard but doesn't hear, messages that come once more, controllers that keep their workers and
 * nothing else, and processes that are back before anybody noticed. Nothing accepted is forgotten.
 */
class PartialConnectivityTest extends SimCluster {
  private final SimUsers users = new SimUsers(this);
  private int jobs;

  private void running(int controllers, int machines, int tasks) throws Exception {
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

  private void allIsWell(String what) {
    users.faultsOver();
    loop.runFor(Duration.ofSeconds(300));
    check();
    assertEquals(Set.of(), violations, what);
    assertEquals(Set.of(), users.checker().finalViolations(), what);
    for (int j = 0; j < jobs; j++) {
      assertEquals("done", state(String.format("wk-%06d", j)), what + " job " + j);
    }
  }

  /**
   * Its reports arrive, nothing reaches it, for less than a lease, about a lease, and far longer. What ran
   * there runs elsewhere once the worker's next session proves it over, nothing more is sent there, and
   * neither the owner nor the others write for each report.
   */
  @ParameterizedTest
  @CsvSource({"5, 3", "34, 3", "38, 3", "150, 3", "150, 8"})
  void machinesThatDoNotHearAreLeftAlone(int seconds, int count) throws Exception {
    running(3, 20, 80);
    List<EmulatedWorker> deaf = List.copyOf(workers.values()).subList(0, count);
    deaf.forEach(worker -> inboundBlocked.add(worker.name()));
    Map<String, Long> before = new HashMap<>();
    deaf.forEach(worker -> before.put(worker.name(), store.writes("ts/machines/" + worker.name())));
    loop.runFor(Duration.ofSeconds(seconds));
    for (EmulatedWorker worker : deaf) {
      long writes = store.writes("ts/machines/" + worker.name()) - before.get(worker.name());
      assertTrue(writes <= 5, writes + " writes for " + worker.name());
    }
    inboundBlocked.clear();
    work(40);
    allIsWell(count + " for " + seconds + " s");
  }

  /** Cancelled work on a machine that hears nothing ends with its lease, which nobody renews. */
  @Test
  void cancelledWorkOnAMachineThatDoesNotHearIsGoneInTime() throws Exception {
    running(3, 12, 40);
    workers.keySet().stream().limit(4).forEach(inboundBlocked::add);
    loop.runFor(Duration.ofSeconds(2));
    users.cancel("wk-000000", SimUsers.ANY);
    loop.runFor(Duration.ofSeconds(62));
    workers.values().forEach(worker -> assertEquals(List.of(), worker.liveTasks(), worker.name()));
    assertEquals(Set.of(), users.checker().violations);
    assertEquals("withdrawn", state("wk-000000"));
  }

  /**
   * A controller has only its users and workers left. They are told so at once, its workers go while
   * their leases have time, and nothing that ran is lost, whether it is away for a moment or for good.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 8, 12, 18, 25, 40, 90})
  void aControllerWithNothingButItsWorkersLosesNone(int seconds) throws Exception {
    running(3, 18, 72);
    int victim = holder("ts/fleet");
    int before = startedTasks.size();
    cutOffFromStoreAndPeers.add(victim);
    loop.runFor(Duration.ofSeconds(seconds));
    if (seconds > 5 && seconds < 90) {
      int[] status = new int[1];
      controllers.get(victim).handleFront("GET", "/up", new byte[0], (s, b, r) -> status[0] = s);
      assertEquals(503, status[0], "users had better go to another");
    }
    cutOffFromStoreAndPeers.clear();
    loop.runFor(Duration.ofSeconds(60));
    assertEquals(0, workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum(), "leases that ran out");
    assertTrue(startedTasks.size() >= before);
    allIsWell("apart for " + seconds + " s");
  }

  /** Copies of reports, from seconds to well over a lease late, at any controller, through ends of all. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void copiesOfReportsProveNothing(long seed) throws Exception {
    random = new Random(seed);
    duplicateReportShare = 0.5;
    running(3, 12, 100);
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
    allIsWell("seed " + seed);
  }

  /** A machine that was given back is not claimed anew for what it said when it was there. */
  @Test
  void aCopyFromAMachineThatIsGoneStartsNothing() throws Exception {
    running(3, 12, 20);
    EmulatedWorker gone = workers.values().iterator().next();
    byte[] body = Cbor.encode(gone.report().write());
    loop.runFor(Duration.ofSeconds(200));
    assertTrue(!workers.containsKey(gone.name()), "idle, and given back");
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

  /** What is drawn: each lasts for a while of its own, and the next may come before it is over. */
  private void strike() {
    List<EmulatedWorker> all = List.copyOf(workers.values());
    int victim = random.nextInt(controllerCount);
    Duration lasts = Duration.ofMillis(300 + random.nextInt(50_000));
    switch (random.nextInt(9)) {
      case 0 -> {
        List<String> deaf = new ArrayList<>();
        all.subList(0, all.size() * 2 / 5).forEach(worker -> deaf.add(worker.name()));
        inboundBlocked.addAll(deaf);
        loop.after(lasts, () -> inboundBlocked.removeAll(deaf));
      }
      case 1 -> duplicateReportShare = random.nextDouble();
      case 2, 3 -> {
        cutOffFromStoreAndPeers.add(victim);
        loop.after(lasts, () -> cutOffFromStoreAndPeers.remove(victim));
      }
      case 4, 5 -> blink(victim, 1 + random.nextInt(2));
      case 6 -> {
        for (int i = 0; i < controllerCount; i++) {
          blink(i, 1);
        }
      }
      case 7 -> processes.get(victim).freeze(lasts);
      default -> {
        outage = true;
        loop.after(lasts.dividedBy(3), () -> outage = false);
      }
    }
  }

  /** It ends and is back within a fraction of a second, so many times in a row. */
  private void blink(int index, int times) {
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
            loop.after(Duration.ofMillis(random.nextInt(1500)), () -> blink(index, times - 1));
          }
        });
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void drawnTroublesForgetNothing(long seed) throws Exception {
    random = new Random(seed);
    running(3 + random.nextInt(4), 10 + random.nextInt(20), 60);
    for (int left = 3 + random.nextInt(4); left > 0; left--) {
      strike();
      loop.runFor(Duration.ofMillis(random.nextInt(15_000)));
      check();
      work(20);
    }
    loop.runFor(Duration.ofSeconds(51)); // The longest of them is over by then.
    clearFaults();
    allIsWell("seed " + seed);
  }
}
