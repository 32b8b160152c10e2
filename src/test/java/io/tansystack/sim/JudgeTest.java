package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.sim.Users.Told;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The judge of the other tests sees a breach of each rule, planted without any controller. */
class JudgeTest extends SimCluster {
  private final Users users = new Users(this);
  private final Judge judge = users.judge();
  private final StandInWorker first = worker("a");
  private final StandInWorker second = worker("b");
  private Told told;

  private StandInWorker worker(String zone) {
    return workers.get(addWorker(zone));
  }

  private JobSpec job(int tasks, String zone, boolean together, boolean spread) {
    return new JobSpec(
        "wk-000001", "c", "vision", Shape.ARRAY, Priority.NORMAL, tasks, 30, 0, 1, "img", 1, null, zone,
        together, spread, false, 20, 0, 0, null);
  }

  private void accepted(JobSpec spec) {
    told = new Told(spec);
    users.jobs.put(spec.id(), told);
    answer("pending");
  }

  private void answer(String state) {
    users.answered(told, told.over(), 200, Cbor.encode(Cbor.map().put("Status", state)));
  }

  private void start(StandInWorker worker, int task) {
    ObjectNode orders = Cbor.map().put("Baton", worker.token).put("Shift", worker.session);
    orders.putArray("Signals").addObject().put("Aspect", "launch").put("Wagon", "wk-000001/" + task)
        .put("Departure", 1);
    assertEquals(200, worker.orders(orders));
  }

  private void plant(String breach) {
    switch (breach) {
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
        told.asksToCancel = true;
        answer("withdrawn");
        loop.runFor(Duration.ofSeconds(62));
        start(first, 0);
      }
      case "forgotten denied" -> {
        accepted(job(1, null, false, false));
        users.answered(told, false, 404, Cbor.encode(Cbor.map()));
      }
      case "forgotten repetition" -> {
        accepted(job(1, null, false, false));
        judge.refusedSubmission(told, 422);
      }
      case "forgotten silence" -> {
        accepted(job(1, null, false, false));
        users.calm();
        loop.runFor(Duration.ofSeconds(76));
      }
      case "invented" -> judge.answerForNone("wk-000009", 200);
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
      case "went_back other end" -> {
        accepted(job(1, null, false, false));
        completed.add("wk-000001/0");
        told.asksToCancel = true;
        answer("done");
        users.answered(told, false, 200, Cbor.encode(Cbor.map().put("Status", "withdrawn")));
      }
      case "went_back uncancelled" -> {
        accepted(job(1, null, false, false));
        answer("withdrawn");
      }
      default -> users.calm();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ran_twice", "quota", "wrong_place zone", "wrong_place apart", "wrong_place crowded", "ran_cancelled",
        "forgotten denied", "forgotten repetition", "forgotten silence", "invented", "not_done", "went_back",
        "went_back other end", "went_back uncancelled", "nothing_ran"
      })
  void seesABreachOfEachRule(String breach) {
    plant(breach);
    judge.look();
    if (breach.startsWith("forgotten s") || breach.equals("nothing_ran")) {
      judge.atTheEnd();
    }
    String rule = breach.split(" ")[0];
    assertTrue(judge.broken.stream().anyMatch(b -> b.startsWith(rule)), breach + ": " + judge.broken);
  }

  @Test
  void seesNothingWhereNothingIsWrong() {
    accepted(job(2, null, false, true));
    start(first, 0);
    judge.look();
    loop.runFor(Duration.ofSeconds(30));
    start(second, 1);
    judge.look();
    completed.addAll(List.of("wk-000001/0", "wk-000001/1"));
    answer("done");
    assertEquals(0, judge.broken.size(), judge.broken.toString());
  }
}
