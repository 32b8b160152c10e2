package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against stale reads: users query all nodes within milliseconds after a job was accepted,
 * finished or cancelled, and repeat the submission and the cancellation there. No response may be
 * older than what any node has already answered.
 */
class ReadConsistencyTest extends FaultScenario {
  /**
   * Users query all nodes at short intervals during the given fault. Some jobs are submitted alone,
   * others in bursts.
   */
  @ParameterizedTest
  @CsvSource({
    "nothing", "slow reads", "slow store", "answers lost", "one refused", "one just started", "all just started",
    "late writes", "outcomes not remembered", "frozen"
  })
  void noNodeAnswersWithOlderStateThanAnother(String fault) throws Exception {
    random = new Random(fault.hashCode());
    taskRunTime = Duration.ofSeconds(4);
    start(4, 14);
    submitJobs(3, 1);
    loop.runFor(Duration.ofSeconds(12));
    users().queryAllOnChange = true;
    switch (fault) {
      case "slow reads" -> readDelay = Duration.ofMillis(900);
      case "slow store" -> maxStoreDelay = Duration.ofMillis(300);
      case "answers lost" -> lostResponseShare = 0.4;
      case "late writes" -> lateWriteShare = 0.3;
      default -> { }
    }
    for (int round = 0; round < 8; round++) {
      int at = round % 4;
      int from = jobCount;
      submitJobs(1 + round % 3 * 3, 1 + round % 2);
      switch (fault) {
        case "one refused" -> refusedByStore = at;
        case "one just started" -> restart(at, 40);
        case "all just started" -> {
          for (int i = 0; i < 4; i++) {
            restart(i, 40 + 400 * i);
          }
        }
        case "outcomes not remembered" -> {
          if (round == 5) {
            // Enough jobs for finished ones to be archived; then a controller restarts, which has
            // not seen them.
            submitJobs(4, 1);
            loop.runFor(Duration.ofSeconds(30));
            restart(at, 100);
          }
        }
        case "frozen" -> processes.get(at).freeze(Duration.ofMillis(700));
        default -> { }
      }
      for (int job = from; job < jobCount; job += 2) {
        String id = id(job);
        loop.after(Duration.ofMillis(random.nextInt(6000)), () -> users().cancel(id, SimUsers.ANY));
      }
      loop.runFor(Duration.ofSeconds(3));
      refusedByStore = -1;
      loop.runFor(Duration.ofSeconds(4));
      if (round > 1) {
        // Also queries jobs that finished long ago.
        users().queryAllControllers(users().jobs.get(id(random.nextInt(from))));
      }
    }
    assertRecovered(fault);
    assertTrue(users().answerCount > 2000, users().answerCount + " answers");
  }

  /**
   * A job is cancelled the given number of milliseconds after its last task has completed on its
   * machine, while the outcome is being written, is recorded, and is archived, with no other fault.
   * The job must be either done or cancelled, the same at all nodes and permanently.
   */
  @ParameterizedTest
  @CsvSource({"0, 1", "2, 1", "4, 2", "6, 1", "8, 2", "12, 1", "20, 3", "40, 1", "500, 1", "1500, 2", "2600, 1"})
  void cancellationRacesWithLastTaskCompletion(int ms, int tasks) throws Exception {
    random = new Random(ms);
    taskRunTime = Duration.ofSeconds(3);
    startWithJobs(3, 10, 0, 0);
    users().queryAllOnChange = true;
    onCompleted.add(
        task -> {
          if (task.endsWith("/" + (tasks - 1))) {
            String id = task.substring(0, task.indexOf('/'));
            loop.after(Duration.ofMillis(ms), () -> users().cancel(id, SimUsers.ANY));
            loop.after(Duration.ofMillis(ms), () -> users().queryAllControllers(users().jobs.get(id)));
          }
        });
    for (int i = 0; i < 30; i++) {
      submitJobs(1, tasks);
      loop.runFor(Duration.ofMillis(370));
    }
    assertRecovered("cancelled " + ms + " ms after the end");
    assertEquals(0, users().checker().lateStarts.size(), users().checker().lateStarts.toString());
  }
}
