package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.settings.SettingsTest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The start after all controllers went down: they come back one after the other, alone or crossed with
 * other failures. Besides the rules there must be no storm: no order that a reconciled fleet would not
 * need, no claim of a machine whose owner comes back in time, no rental and no return.
 */
class FullRestartTest extends SimCluster {
  private int jobs;
  private int submitted;

  /** The job that was cancelled; null for none. */
  private String cancelled;

  /** What is written for machines that change hands: claims of one, of several, and heirs. */
  private long handedOver() {
    return store.writes("ts/machines/") + store.writes("ts/lots/") + store.writes("ts/heirs/");
  }

  private void work(int tasks) {
    submit(String.format("wk-%06d", jobs++), tasks);
    submitted += tasks;
  }

  private void running(int controllers, int machines) throws Exception {
    settings = SettingsTest.VALID.replace("cpus_max = 40.0", "cpus_max = 0.0");
    controllerCount = controllers;
    maxMachines = machines;
    for (int i = 0; i < controllers; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(2));
    for (int left = machines * 4; left > 0; left -= 100) {
      work(Math.min(left, 100));
    }
    loop.runFor(Duration.ofSeconds(14));
    for (int left = machines * 4; left > 0; left -= 100) {
      work(Math.min(left, 100)); // What waits at the end of all, and follows what ends meanwhile.
    }
    loop.runFor(Duration.ofSeconds(4));
  }

  /** All end, and come back as told: milliseconds after the end, -1 for never. */
  private void endOfAll(List<Integer> back) {
    for (int i = 0; i < controllerCount; i++) {
      if (controllers.containsKey(i)) {
        kill(i);
      }
      if (back.get(i) >= 0) {
        bootAfter(i, Duration.ofMillis(back.get(i)));
      }
    }
  }

  private List<Integer> spread(int from, int over, int never) {
    List<Integer> back = new ArrayList<>();
    for (int i = 0; i < controllerCount; i++) {
      back.add(i < never ? -1 : from + (over == 0 ? 0 : random.nextInt(over)));
    }
    return back;
  }

  private int lost() {
    return workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum();
  }

  private void noStorm() {
    check();
    assertEquals(Set.of(), violations);
    workers.values().forEach(worker -> assertEquals(List.of(), worker.redundantCommands(), worker.name()));
  }

  private void allIsDoneInTheEnd(int lost) {
    loop.runFor(Duration.ofSeconds(150));
    noStorm();
    for (int j = 0; j < jobs; j++) {
      assertEquals("done", state(String.format("wk-%06d", j)), "job " + j);
    }
    assertEquals(submitted + lost, startedTasks.size(), "each task was started once, and again if lost");
  }

  @ParameterizedTest
  @CsvSource({
    // controllers, machines, first back, over so long, never back, writes for machines, at most.
    "3,  12,  3000,  0,     0, 0",
    "3,  12,  3000,  1500,  0, 0",
    "5,  40,  6000,  2000,  0, 0",
    "7,  60,  6000,  1500,  0, 0",
    "7,  300, 6000,  1500,  0, 0",
    "5,  40,  500,   14000, 0, 0",
    "5,  40,  3000,  27000, 0, 5",
    "5,  40,  3000,  1500,  1, 1",
    "7,  60,  3000,  1500,  4, 4",
    "4,  20,  20000, 1500,  0, 0",
  })
  void aStartCostsNoWorkAndNoStorm(
      int controllers, int machines, int first, int over, int never, int most) throws Exception {
    for (int seed = 1; seed <= (machines > 100 ? 1 : 3); seed++) {
      anew(seed);
      running(controllers, machines);
      long before = handedOver();
      int rentedBefore = cloud.rentals();
      endOfAll(spread(first, over, never));
      loop.runFor(Duration.ofMillis(first + over + 15_000));
      noStorm();
      assertEquals(0, lost(), "no lease ran out");
      assertTrue(
          handedOver() - before <= most,
          "seed " + seed + ": " + (handedOver() - before) + " writes for machines");
      assertEquals(rentedBefore, cloud.rentals(), "nothing was rented for what was not heard of yet");
      allIsDoneInTheEnd(0);
    }
  }

  /** Ends all controllers, if there is one left; they come back some seconds later. */
  private void again() {
    for (int i = 0; i < controllerCount; i++) {
      if (controllers.containsKey(i)) {
        kill(i);
        bootAfter(i, Duration.ofMillis(3000 + random.nextInt(1500)));
      }
    }
  }

  /** What else may happen in such a night; whether work may be lost by it. */
  private boolean strike(String trouble) throws Exception {
    List<EmulatedWorker> all = List.copyOf(workers.values());
    switch (trouble) {
      case "again" -> {
        loop.runFor(Duration.ofMillis(3000 + random.nextInt(4000)));
        again();
      }
      case "outage" -> {
        loop.runFor(Duration.ofMillis(1000 + random.nextInt(4000)));
        outage = true;
        loop.after(Duration.ofSeconds(12), () -> outage = false);
      }
      case "dying" -> {
        loop.runFor(Duration.ofSeconds(1));
        for (EmulatedWorker worker : all.subList(0, Math.min(5, all.size()))) {
          worker.markDead();
          workers.remove(worker.name());
        }
      }
      case "hung" -> {
        all.subList(0, all.size() / 3).forEach(worker -> reportsBlocked.add(worker.name()));
        loop.after(Duration.ofSeconds(25 + random.nextInt(40)), reportsBlocked::clear);
      }
      case "cut" -> {
        isolated.add(0);
        loop.after(Duration.ofSeconds(40), isolated::clear);
      }
      case "rolling" -> {
        loop.runFor(Duration.ofSeconds(6));
        for (int i = 0; i < controllerCount; i++) {
          if (controllers.containsKey(i)) {
            kill(i);
            boot(i);
          }
          loop.runFor(Duration.ofSeconds(3));
        }
      }
      case "cancel" -> cancel(String.format("wk-%06d", jobs - 1));
      case "frozen" -> {
        loop.runFor(Duration.ofSeconds(5));
        int victim = random.nextInt(controllerCount);
        if (controllers.containsKey(victim)) {
          processes.get(victim).freeze(Duration.ofSeconds(20));
        }
      }
      default -> loop.runFor(Duration.ofSeconds(1));
    }
    return trouble.equals("dying") || trouble.equals("hung") || trouble.equals("cancel");
  }

  private void cancel(String id) {
    loop.runFor(Duration.ofSeconds(6));
    ObjectNode[] answer = new ObjectNode[1];
    int status = 0;
    for (int tries = 0; tries < 20 && status != 200; tries++) {
      status = callFirstAvailable("POST", "/v1/jobs/" + id + "/abort", new byte[0], answer);
      loop.runFor(Duration.ofSeconds(1));
    }
    assertEquals(200, status);
    cancelled = answer[0].get("Status").asText().equals("withdrawn") ? id : null;
  }

  /** The end of a night: the rules, no storm, every answer, and each task started no more than needed. */
  private void quietInTheEnd(String what, boolean mayLose) {
    loop.runFor(Duration.ofSeconds(60));
    assertTrue(
        workers.values().stream()
            .flatMap(worker -> worker.liveTasks().stream())
            .noneMatch(task -> task.startsWith(cancelled + "/")),
        what + ": what was cancelled during the start is gone");
    loop.runFor(Duration.ofSeconds(240));
    noStorm();
    for (int j = 0; j < jobs; j++) {
      String id = String.format("wk-%06d", j);
      assertEquals(id.equals(cancelled) ? "withdrawn" : "done", state(id), what + " job " + j);
    }
    if (!mayLose) {
      assertEquals(0, lost(), what);
      assertEquals(submitted, startedTasks.size(), what);
    }
  }

  private void anew(long seed) {
    for (int i = 0; i < controllerCount; i++) {
      if (controllers.containsKey(i)) {
        kill(i);
      }
    }
    store.clear();
    workers.values().forEach(worker -> worker.markDead());
    workers.clear();
    startedTasks.clear();
    completed.clear();
    submitted = 0;
    jobs = 0;
    cancelled = null;
    random = new Random(seed);
  }

  @ParameterizedTest
  @CsvSource({"again", "outage", "dying", "hung", "cut", "rolling", "cancel", "frozen", "pending"})
  void aStartCrossedWithOtherTroublesBreaksNothing(String trouble) throws Exception {
    for (int seed = 1; seed <= 2; seed++) {
      anew(seed);
      running(5, 40);
      if (trouble.equals("pending")) {
        maxMachines += 4; // A rental is under way at the end.
        work(100);
        loop.runFor(Duration.ofMillis(120));
      }
      endOfAll(spread(3000, 1500, 0));
      boolean mayLose = strike(trouble);
      quietInTheEnd(trouble + " seed " + seed, mayLose);
    }
  }

  /** Starts of any size and spread, with up to three troubles that come as they like. */
  @ParameterizedTest
  @MethodSource("seeds")
  void aDrawnStartBreaksNothing(long seed) throws Exception {
    anew(seed);
    running(3 + random.nextInt(5), 12 + random.nextInt(30));
    endOfAll(spread(random.nextInt(7000), 1 + random.nextInt(30_000), 0));
    List<String> troubles =
        List.of("again", "outage", "dying", "hung", "cut", "rolling", "cancel", "frozen", "none");
    boolean mayLose = false;
    String what = "seed " + seed;
    boolean cutOrOut = false;
    for (int i = random.nextInt(4); i > 0; i--) {
      loop.runFor(Duration.ofMillis(random.nextInt(15_000)));
      String trouble = troubles.get(random.nextInt(troubles.size()));
      what += " " + trouble;
      mayLose |= strike(trouble);
      // Two of these after each other, on top of the end, may well outlast a lease.
      mayLose |= cutOrOut;
      cutOrOut = true;
    }
    quietInTheEnd(what, mayLose || cutOrOut);
  }
}
