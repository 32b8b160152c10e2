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

/**
 * Checks that each rule's violation is reported when it occurs, and only then. A missed violation
 * would let a faulty scale run pass; a false one would fail a correct run.
 */
class RuleCheckerTest {
  private static final String JOB = "wk-000001";

  private final RuleChecker ruleChecker = new RuleChecker(Map.of("team", new Limit(4, 0)));

  @BeforeEach
  void submit() {
    ruleChecker.jobSubmitted(spec(JOB));
    ruleChecker.jobAccepted(JOB);
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
  void taskOnTwoMachinesIsAViolation(boolean concurrent, int violations) {
    ruleChecker.taskStarted("n-1", task(0));
    if (!concurrent) {
      ruleChecker.taskEnded("n-1", task(0));
    }
    ruleChecker.taskStarted("n-2", task(0));
    assertEquals(violations, ruleChecker.violationCount(), ruleChecker.violations().toString());
  }

  @Test
  void endOnAnotherMachineIsIgnored() {
    ruleChecker.taskStarted("n-1", task(0));
    ruleChecker.taskEnded("n-2", task(0));
    ruleChecker.taskStarted("n-2", task(0));
    assertTrue(
        ruleChecker.violations().get(0).startsWith("ran_twice"),
        ruleChecker.violations().toString());
  }

  @ParameterizedTest
  @CsvSource({"2,0", "3,1"})
  void teamOverItsLimitViolatesTheQuota(int tasks, int violations) {
    for (int i = 0; i < tasks; i++) {
      ruleChecker.taskStarted("n-" + i, task(i));
    }
    assertEquals(violations, ruleChecker.violationCount(), ruleChecker.violations().toString());
  }

  @Test
  void endedTasksReleaseTheQuota() {
    for (int i = 0; i < 10; i++) {
      ruleChecker.taskStarted("n-1", task(i));
      ruleChecker.taskEnded("n-1", task(i));
    }
    assertEquals(0, ruleChecker.violationCount());
    assertEquals(0, ruleChecker.runningTasks());
  }

  @Test
  void tasksOfACancelledJobThatStayOrStartAreViolations() {
    ruleChecker.taskStarted("n-1", task(0));
    ruleChecker.cancellationDue(JOB);
    assertEquals(1, ruleChecker.violationCount());
    ruleChecker.taskStarted("n-1", task(1));
    assertEquals(2, ruleChecker.violationCount());
  }

  @ParameterizedTest
  @CsvSource({"wk-000001,404,1", "wk-000001,200,0", "wk-000001,503,0", "wk-000002,404,0"})
  void notFoundForAnAcceptedJobIsAViolation(String job, int status, int violations) {
    ruleChecker.jobAnswered(job, status);
    assertEquals(violations, ruleChecker.violationCount());
  }

  @ParameterizedTest
  @CsvSource({"wk-000001,1", "wk-000002,0"})
  void acceptedJobWithoutAnswersIsAViolation(String job, int violations) {
    ruleChecker.jobUnanswered(job);
    assertEquals(violations, ruleChecker.violationCount());
  }

  @Test
  void runWithoutAnyStartIsAViolation() {
    ruleChecker.checkAtEnd();
    assertEquals(1, ruleChecker.violationCount());
    RuleChecker other = new RuleChecker(Map.of());
    other.taskStarted("n-1", task(0));
    other.checkAtEnd();
    assertEquals(0, other.violationCount());
  }
}
