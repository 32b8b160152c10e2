package io.tansystack.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.emulator.RuleChecker.Limit;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.TaskId;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each rule is found broken where it is, and not where it isn't. */
class RuleCheckerTest {
  private static final String JOB = "wk-000001";

  private final RuleChecker judge = new RuleChecker(Map.of("team", new Limit(4, 0)));

  @BeforeEach
  void submit() {
    judge.submitted(spec(JOB));
    judge.accepted(JOB);
  }

  private static JobSpec spec(String id) {
    return new JobSpec(
        id, "batch", "team", JobKind.ARRAY, Priority.LOW, 10, 2, 0, 1, "image", 1, null, null,
        false, false, false, 10, 0, 0, null);
  }

  private static TaskId task(int index) {
    return new TaskId(JOB, index);
  }

  @ParameterizedTest
  @CsvSource({"false,0", "true,1"})
  void aTaskOnTwoMachinesRanTwice(boolean before, int breaches) {
    judge.began("n-1", task(0));
    if (!before) {
      judge.ended("n-1", task(0));
    }
    judge.began("n-2", task(0));
    assertEquals(breaches, judge.brokenCount(), judge.broken().toString());
  }

  @Test
  void anEndElsewhereIsNoEndHere() {
    judge.began("n-1", task(0));
    judge.ended("n-2", task(0));
    judge.began("n-2", task(0));
    assertTrue(judge.broken().get(0).startsWith("ran_twice"), judge.broken().toString());
  }

  @ParameterizedTest
  @CsvSource({"2,0", "3,1"})
  void aTeamOverItsLimitBreaksTheQuota(int tasks, int breaches) {
    for (int i = 0; i < tasks; i++) {
      judge.began("n-" + i, task(i));
    }
    assertEquals(breaches, judge.brokenCount(), judge.broken().toString());
  }

  @Test
  void whatEndsComesOffTheQuota() {
    for (int i = 0; i < 10; i++) {
      judge.began("n-1", task(i));
      judge.ended("n-1", task(i));
    }
    assertEquals(0, judge.brokenCount());
    assertEquals(0, judge.running());
  }

  @Test
  void cancelledWorkThatStaysOrStartsIsFound() {
    judge.began("n-1", task(0));
    judge.cancelledLongAgo(JOB);
    assertEquals(1, judge.brokenCount());
    judge.began("n-1", task(1));
    assertEquals(2, judge.brokenCount());
  }

  @ParameterizedTest
  @CsvSource({"wk-000001,404,1", "wk-000001,200,0", "wk-000001,503,0", "wk-000002,404,0"})
  void anAcceptedJobThatNobodyKnowsIsForgotten(String job, int status, int breaches) {
    judge.answered(job, status);
    assertEquals(breaches, judge.brokenCount());
  }

  @ParameterizedTest
  @CsvSource({"wk-000001,1", "wk-000002,0"})
  void anAcceptedJobWithoutAnswersIsForgotten(String job, int breaches) {
    judge.unanswered(job);
    assertEquals(breaches, judge.brokenCount());
  }

  @Test
  void aRunInWhichNothingBeganIsBroken() {
    judge.atTheEnd();
    assertEquals(1, judge.brokenCount());
    RuleChecker other = new RuleChecker(Map.of());
    other.began("n-1", task(0));
    other.atTheEnd();
    assertEquals(0, other.brokenCount());
  }
}
