package io.tansystack.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.wire.TaskReport.Cause;
import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against wrong blame for failures: of machines for a job that was submitted with a mistake,
 * and of a job for a faulty machine.
 */
class FailureTrackerTest {
  /**
   * Events that are one second apart: {@code job/attempt!machine} is a failure, {@code job+machine}
   * a completion. Afterwards the test checks whether job {@code j} is suspected, for how many
   * seconds its next trial waits, and whether machine {@code m} counts as faulty.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          one faulty machine                | j/1!m j/2!m j/3!m            | false | 0  | false
          a faulty job fails on all machines| j/1!a j/2!b j/3!m            | true  | 4  | false
          tasks of a round are one trial    | j/1!a j/1!b j/1!m j/1!d      | true  | 1  | false
          trials become less frequent       | j/1!a j/2!b j/3!m j/4!a j/5!b j/6!a | true | 32 | false
          one success clears the job        | j/1!a j/2!b j/3!m j+d        | false | 0  | false
          several jobs fail on a machine    | j/1!m k/1!m                  | false | 0  | true
          then another job completes on it  | j/1!m k/1!m l+m              | false | 0  | false
          a suspected job does not count    | k/1!a k/2!b k/3!c k/4!m j/1!m| false | 0  | false
          a job becomes suspected later     | k/1!m j/1!m k/2!a k/3!b      | false | 0  | false
          """)
  void distinguishesFaultyJobsFromFaultyMachines(
      String name, String events, boolean suspected, int expectedPauseS, boolean faulty) {
    FailureTracker tracker = new FailureTracker();
    Duration now = Duration.ofSeconds(100);
    for (String event : events.trim().split(" ")) {
      now = now.plusSeconds(1);
      if (event.contains("+")) {
        tracker.recordSuccess(event.substring(0, 1), event.substring(2));
      } else {
        String[] parts = event.split("[/!]");
        tracker.recordFailure(parts[0], 0, Long.parseLong(parts[1]), parts[2], Cause.ERROR, now);
      }
    }
    assertEquals(suspected, tracker.isSuspected("j"), name);
    int pauseSeconds = 0;
    while (tracker.isBackingOff("j", now.plusSeconds(pauseSeconds).plusMillis(600))) {
      pauseSeconds++;
    }
    assertEquals(expectedPauseS, pauseSeconds, name);
    assertEquals(faulty, tracker.faulty("m", now), name);
    assertEquals(
        false,
        tracker.faulty("m", now.plusSeconds(31)),
        "a machine ceases to be faulty by time alone");
  }

  /**
   * A replica that was migrated off a machine must not return there at once, and the migration must
   * not make the job suspected.
   */
  @Test
  void jobAvoidsMachineForAWhileAfterMigration() {
    FailureTracker tracker = new FailureTracker();
    Duration now = Duration.ofSeconds(100);
    tracker.recordFailure("j", 0, 1, "bad", Cause.ERROR, now);
    tracker.recordMigration("j", "bad", now);
    tracker.recordMigration("j", "m", now);
    assertEquals(Set.of("bad", "m"), tracker.excludedMachines("j", now.plusSeconds(9)));
    assertEquals(
        Set.of("bad"),
        tracker.excludedMachines("j", now.plusSeconds(11)),
        "the exclusion after a failure lasts longer than that after a migration");
    assertEquals(Set.of(), tracker.excludedMachines("other", now));
    assertEquals(false, tracker.isSuspected("j"));
  }
}
