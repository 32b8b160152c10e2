package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.settings.SettingsTest;
import io.tansystack.sim.SimUsers.ObservedState;
import io.tansystack.sim.SimUsers.UserJob;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that {@link HistoryChecker}, on which the other simulation tests rely, detects a violation
 * of each rule. The violations are created without any controller.
 */
class HistoryCheckerTest extends SimCluster {
  {
    settings = twoTeams();
    types = List.of(new SimType("small", 40, 4, 64));
  }

  private final SimUsers users = new SimUsers(this);
  private final HistoryChecker checker = users.checker();
  private final EmulatedWorker first = worker("a");
  private final EmulatedWorker second = worker("b");
  private UserJob job;

  private EmulatedWorker worker(String zone) {
    return workers.get(addWorker(zone));
  }

  private static JobSpec job(int tasks, String zone, boolean sameZone, boolean scatter) {
    return job("wk-000001", "vision", tasks, 30, 0, null, zone, sameZone, scatter);
  }

  private static JobSpec job(
      String id, String team, int tasks, double cpus, double gpus, List<String> types, String zone,
      boolean sameZone, boolean scatter) {
    return new JobSpec(
        id, "c", team, JobKind.ARRAY, Priority.NORMAL, tasks, cpus, gpus, 1, "img", 1, types, zone,
        sameZone, scatter, false, 20, 0, 0, null);
  }

  private void accepted(JobSpec spec) {
    job = new UserJob(spec);
    users.jobs.put(spec.id(), job);
    answer("pending");
  }

  private void answer(String state) {
    answer(job.observed(), state);
  }

  private void answer(ObservedState known, String state) {
    users.answered(job, known, 200, Cbor.encode(Cbor.map().put("Status", state)));
  }

  private void start(EmulatedWorker worker, int task) {
    start(worker, "wk-000001/" + task);
  }

  private void start(EmulatedWorker worker, String task) {
    command(worker, "launch", task);
  }

  private void command(EmulatedWorker worker, String command, String task) {
    ObjectNode commands = Cbor.map().put("Baton", worker.token()).put("Shift", worker.session());
    commands.putArray("Signals").addObject().put("Aspect", command).put("Wagon", task).put("Departure", 1)
        .put("SlackS", 0);
    assertEquals(200, worker.handleCommands(commands));
  }

  /** Returns settings with two teams of at most 40 CPUs each; the second may use two GPUs. */
  private static String twoTeams() {
    return SettingsTest.VALID.replace("[cluster.workers]", "[[cluster.teams]]\nname = \"ops\"\ncpus_max = 40.0\n"
        + "gpus_max = 2.0\n\n[cluster.workers]");
  }

  private void causeViolation(String violation) {
    switch (violation) {
      case "ran_twice" -> {
        accepted(job(1, null, false, false));
        start(first, 0);
        start(second, 0);
      }
      case "quota" -> {
        accepted(job(2, null, false, false));
        start(first, 0);
        start(first, 1);
      }
      case "quota of GPUs of the second team" -> {
        for (int i = 0; i < 3; i++) {
          accepted(job("wk-00000" + i, "ops", 1, 1, 1, null, null, false, false));
          start(i == 0 ? first : second, "wk-00000" + i + "/0");
        }
      }
      case "quota for a moment" -> {
        accepted(job(2, null, false, false));
        start(first, 0);
        start(second, 1);
        command(second, "halt", "wk-000001/1");
      }
      case "ran_twice for a moment" -> {
        accepted(job(1, null, false, false));
        start(first, 0);
        start(second, 0);
        second.markDead();
      }
      case "wrong_place type" -> {
        accepted(job("wk-000001", "vision", 1, 1, 0, List.of("large"), null, false, false));
        start(first, 0);
      }
      case "wrong_place spot" -> {
        accepted(job(1, null, false, false));
        start(workers.get(addWorker(types.get(0), "a", true)), 0);
      }
      case "wrong_place zone" -> {
        accepted(job(1, "b", false, false));
        start(first, 0);
      }
      case "wrong_place apart" -> {
        accepted(job(2, null, true, false));
        start(first, 0);
        start(second, 1);
      }
      case "wrong_place crowded" -> {
        accepted(job(3, null, false, true));
        start(first, 0);
        start(first, 1);
        start(first, 2);
      }
      case "ran_cancelled" -> {
        accepted(job(1, null, false, false));
        job.cancelRequested = true;
        answer("withdrawn");
        loop.runFor(Duration.ofSeconds(62));
        start(first, 0);
      }
      case "ran_cancelled for a moment" -> {
        accepted(job(1, null, false, false));
        job.cancelRequested = true;
        answer("withdrawn");
        loop.runFor(Duration.ofSeconds(62));
        start(first, 0);
        command(first, "halt", "wk-000001/0");
      }
      case "ran_cancelled after it hung" -> {
        accepted(job(1, null, false, false));
        taskRunTime = Duration.ofSeconds(500);
        first.lease(Duration.ofSeconds(100));
        start(first, 0);
        first.hangUntil(loop.now().plusSeconds(60));
        job.cancelRequested = true;
        answer("withdrawn");
        loop.runFor(Duration.ofSeconds(62));
      }
      case "accepted what can't run" -> checker.onInvalidSubmissionAnswered("wk-000008", 201);
      case "forgotten denied" -> {
        accepted(job(1, null, false, false));
        users.answered(job, job.observed(), 404, Cbor.encode(Cbor.map()));
      }
      case "forgotten repetition" -> {
        accepted(job(1, null, false, false));
        users.answered(job, job.observed(), 422, Cbor.encode(Cbor.map()));
      }
      case "waits" -> {
        accepted(job("wk-000001", "vision", 1, 1, 0, null, null, false, false));
        users.faultsOver();
        for (int i = 0; i < 100; i++) {
          answer("pending");
          first.renewLease();
          loop.runFor(Duration.ofSeconds(1));
        }
      }
      case "begins late" -> {
        accepted(job("wk-000002", "vision", 1, 1, 0, null, null, false, false));
        start(first, "wk-000002/0");
        accepted(job("wk-000001", "vision", 9, 4, 0, null, null, false, false));
        users.faultsOver();
        loop.runFor(Duration.ofSeconds(241));
        start(first, 0);
      }
      case "less than half of class" -> {
        for (int i = 0; i < 3; i++) {
          accepted(job("wk-00000" + i, "vision", 1, 1, 0, null, null, false, false));
        }
        start(first, "wk-000000/0");
        users.faultsOver();
      }
      case "less than half of largest" -> {
        for (int i = 0; i < 3; i++) {
          accepted(job("wk-00000" + i, "vision", i == 0 ? 7 : 1, 1, 0, null, null, false, false));
        }
        start(first, "wk-000001/0");
        start(first, "wk-000002/0");
        users.faultsOver();
      }
      case "forgotten silence" -> {
        accepted(job(1, null, false, false));
        users.faultsOver();
        loop.runFor(Duration.ofSeconds(76));
      }
      case "invented" -> checker.onUnknownJobAnswered("wk-000009", 200);
      case "not_done" -> {
        accepted(job(2, null, false, false));
        completed.add("wk-000001/0");
        answer("done");
      }
      case "went_back" -> {
        accepted(job(1, null, false, false));
        completed.add("wk-000001/0");
        answer("done");
        answer("running");
      }
      case "went_back after another node" -> {
        accepted(job(1, null, false, false));
        job.cancelRequested = true;
        answer("withdrawn"); // One controller confirms; a later request goes to another.
        answer(new ObservedState(true, true), "pending");
      }
      case "went_back other end" -> {
        accepted(job(1, null, false, false));
        completed.add("wk-000001/0");
        job.cancelRequested = true;
        answer("done");
        answer(new ObservedState(true, false), "withdrawn");
      }
      case "went_back uncancelled" -> {
        accepted(job(1, null, false, false));
        answer("withdrawn");
      }
      default -> users.faultsOver();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ran_twice", "ran_twice for a moment", "quota", "quota for a moment", "quota of GPUs of the second team",
        "wrong_place type", "wrong_place spot", "wrong_place zone", "wrong_place apart", "wrong_place crowded",
        "ran_cancelled", "ran_cancelled for a moment", "ran_cancelled after it hung", "accepted what can't run",
        "forgotten denied", "forgotten repetition", "forgotten silence", "invented", "not_done", "went_back",
        "went_back after another node", "went_back other end", "went_back uncancelled", "nothing_ran", "waits",
        "begins late", "less than half of class", "less than half of largest"
      })
  void detectsViolationOfEachRule(String violation) {
    causeViolation(violation);
    if (users.faultsOverSince() == null) {
      users.faultsOver();
    }
    checker.finalViolations();
    String rule =
        violation.startsWith("less") || violation.startsWith("begins") ? violation : violation.split(" ")[0];
    assertTrue(
        checker.violations.stream().anyMatch(b -> b.startsWith(rule)), violation + ": " + checker.violations);
  }

  /** A start within {@code cancel_s} after the confirmation is recorded, but is no violation. */
  @Test
  void recordsStartsAfterConfirmedCancellation() {
    accepted(job(1, null, false, false));
    job.cancelRequested = true;
    answer("withdrawn");
    loop.runFor(Duration.ofSeconds(3));
    start(first, 0);
    assertEquals(
        List.of(new HistoryChecker.LateStart("wk-000001/0", first.name(), Duration.ofSeconds(3))),
        checker.lateStarts);
    assertEquals(0, checker.violations.size(), checker.violations.toString());
  }

  @Test
  void reportsNothingForCorrectHistory() {
    accepted(job(2, null, false, true));
    ObservedState before = job.observed();
    start(first, 0);
    loop.runFor(Duration.ofSeconds(30));
    start(second, 1);
    completed.addAll(List.of("wk-000001/0", "wk-000001/1"));
    answer("done");
    answer(before, "running"); // The request was sent before the end was reported.
    users.faultsOver();
    assertEquals(0, checker.finalViolations().size(), checker.violations.toString());
  }
}
