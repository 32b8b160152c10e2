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
 * Startup after all controllers were down: they come back one after the other, without or with
 * other faults. Besides the general rules, the restart must not cause a storm of needless
 * operations: no command that a reconciled fleet does not need, no claim of a machine whose owner
 * comes back in time, no rental and no return of machines.
 */
class FullRestartTest extends SimCluster {
  private int jobs;
  private int submitted;

  /** ID of the job that was cancelled; null for none. */
  private String cancelled;

  /** Writes that change owners of machines: individual claims, claim batches and failovers. */
  private long ownershipWrites() {
    return store.writes("ts/machines/") + store.writes("ts/lots/") + store.writes("ts/heirs/");
  }

  private void work(int tasks) {
    submit(String.format("wk-%06d", jobs++), tasks);
    submitted += tasks;
  }

  private void startClusterWithWork(int controllers, int machines) throws Exception {
    settings = SettingsTest.VALID.replace("cpus_max = 40.0", "cpus_max = 0.0");
    controllerCount = controllers;
    maxMachines = machines;
    for (int i = 0; i < controllers; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(2));
    for (int remaining = machines * 4; remaining > 0; remaining -= 100) {
      work(Math.min(remaining, 100));
    }
    loop.runFor(Duration.ofSeconds(14));
    for (int remaining = machines * 4; remaining > 0; remaining -= 100) {
      // Waits when the controllers stop; placed as earlier tasks complete.
      work(Math.min(remaining, 100));
    }
    loop.runFor(Duration.ofSeconds(4));
  }

  /** Stops all controllers; each restarts after its delay in milliseconds, -1 for never. */
  private void stopAllControllers(List<Integer> restartDelaysMs) {
    for (int i = 0; i < controllerCount; i++) {
      if (controllers.containsKey(i)) {
        kill(i);
      }
      if (restartDelaysMs.get(i) >= 0) {
        bootAfter(i, Duration.ofMillis(restartDelaysMs.get(i)));
      }
    }
  }

  /** Random delays in milliseconds within a range; -1 for the first {@code neverRestarted}. */
  private List<Integer> restartDelays(int fromMs, int spreadMs, int neverRestarted) {
    List<Integer> delaysMs = new ArrayList<>();
    for (int i = 0; i < controllerCount; i++) {
      delaysMs.add(i < neverRestarted ? -1 : fromMs + (spreadMs == 0 ? 0 : random.nextInt(spreadMs)));
    }
    return delaysMs;
  }

  private int lostTasks() {
    return workers.values().stream().mapToInt(worker -> worker.lostTaskCount()).sum();
  }

  private void assertNoStorm() {
    check();
    assertEquals(Set.of(), violations);
    workers.values().forEach(worker -> assertEquals(List.of(), worker.redundantCommands(), worker.name()));
  }

  private void assertAllJobsDone(int lost) {
    loop.runFor(Duration.ofSeconds(150));
    assertNoStorm();
    for (int j = 0; j < jobs; j++) {
      assertEquals("done", state(String.format("wk-%06d", j)), "job " + j);
    }
    assertEquals(submitted + lost, startedTasks.size(), "each task was started once, and once more if lost");
  }

  @ParameterizedTest
  @CsvSource({
    // Controllers, machines, ms until the first restart, ms over which restarts spread,
    // controllers that never restart, maximum of ownership writes.
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
  void fullRestartLosesNoWorkAndCausesNoStorm(
      int controllers, int machines, int fromMs, int spreadMs, int neverRestarted, int maxOwnershipWrites)
      throws Exception {
    for (int seed = 1; seed <= (machines > 100 ? 1 : 3); seed++) {
      resetCluster(seed);
      startClusterWithWork(controllers, machines);
      long before = ownershipWrites();
      int rentedBefore = cloud.rentals();
      stopAllControllers(restartDelays(fromMs, spreadMs, neverRestarted));
      loop.runFor(Duration.ofMillis(fromMs + spreadMs + 15_000));
      assertNoStorm();
      assertEquals(0, lostTasks(), "no lease ran out");
      assertTrue(
          ownershipWrites() - before <= maxOwnershipWrites,
          "seed " + seed + ": " + (ownershipWrites() - before) + " ownership writes");
      assertEquals(rentedBefore, cloud.rentals(), "nothing was rented for machines that have not reported yet");
      assertAllJobsDone(0);
    }
  }

  /** Stops every running controller; each restarts after 3 to 4.5 s. */
  private void restartAllControllers() {
    for (int i = 0; i < controllerCount; i++) {
      if (controllers.containsKey(i)) {
        kill(i);
        bootAfter(i, Duration.ofMillis(3000 + random.nextInt(1500)));
      }
    }
  }

  /** Injects another fault during the restart; returns whether the fault may lose work. */
  private boolean injectFault(String fault) throws Exception {
    List<EmulatedWorker> all = List.copyOf(workers.values());
    switch (fault) {
      case "again" -> {
        loop.runFor(Duration.ofMillis(3000 + random.nextInt(4000)));
        restartAllControllers();
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
    return fault.equals("dying") || fault.equals("hung") || fault.equals("cancel");
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

  /**
   * Checks that no rule is violated, that there was no storm, that every job has the right state,
   * and that no task was started more often than needed.
   */
  private void assertRecovered(String context, boolean mayLose) {
    loop.runFor(Duration.ofSeconds(60));
    assertTrue(
        workers.values().stream()
            .flatMap(worker -> worker.liveTasks().stream())
            .noneMatch(task -> task.startsWith(cancelled + "/")),
        context + ": work that was cancelled during startup is gone");
    loop.runFor(Duration.ofSeconds(240));
    assertNoStorm();
    for (int j = 0; j < jobs; j++) {
      String id = String.format("wk-%06d", j);
      assertEquals(id.equals(cancelled) ? "withdrawn" : "done", state(id), context + " job " + j);
    }
    if (!mayLose) {
      assertEquals(0, lostTasks(), context);
      assertEquals(submitted, startedTasks.size(), context);
    }
  }

  private void resetCluster(long seed) {
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
  void fullRestartWithAnotherFaultBreaksNoRule(String fault) throws Exception {
    for (int seed = 1; seed <= 2; seed++) {
      resetCluster(seed);
      startClusterWithWork(5, 40);
      if (fault.equals("pending")) {
        maxMachines += 4; // A rental is in flight when the controllers stop.
        work(100);
        loop.runFor(Duration.ofMillis(120));
      }
      stopAllControllers(restartDelays(3000, 1500, 0));
      boolean mayLose = injectFault(fault);
      assertRecovered(fault + " seed " + seed, mayLose);
    }
  }

  /** Restarts of random size and spread, with up to three random faults at random times. */
  @ParameterizedTest
  @MethodSource("seeds")
  void fullRestartWithRandomFaultsBreaksNoRule(long seed) throws Exception {
    resetCluster(seed);
    startClusterWithWork(3 + random.nextInt(5), 12 + random.nextInt(30));
    stopAllControllers(restartDelays(random.nextInt(7000), 1 + random.nextInt(30_000), 0));
    List<String> faults =
        List.of("again", "outage", "dying", "hung", "cut", "rolling", "cancel", "frozen", "none");
    boolean mayLose = false;
    String context = "seed " + seed;
    boolean anyFault = false;
    for (int i = random.nextInt(4); i > 0; i--) {
      loop.runFor(Duration.ofMillis(random.nextInt(15_000)));
      String fault = faults.get(random.nextInt(faults.size()));
      context += " " + fault;
      mayLose |= injectFault(fault);
      // Two faults in a row, on top of the full restart, may last longer than a lease.
      mayLose |= anyFault;
      anyFault = true;
    }
    assertRecovered(context, mayLose || anyFault);
  }
}
