package io.tansystack.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.wire.TaskReport.Cause;
import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FailureTrackerTest {
  /**
   * Events a second apart: {@code job/attempt!machine} failed, {@code job+machine} completed. What is
   * asked afterwards is whether job {@code j} is suspected, for how many seconds its next trial waits,
   * and whether machine {@code m} is passed over.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          one faulty machine                | j/1!m j/2!m j/3!m            | false | 0  | false
          a mistake: it fails everywhere    | j/1!a j/2!b j/3!m            | true  | 4  | false
          the tasks of a round are one trial| j/1!a j/1!b j/1!m j/1!d      | true  | 1  | false
          trials grow apart                 | j/1!a j/2!b j/3!m j/4!a j/5!b j/6!a | true | 32 | false
          one success clears the job        | j/1!a j/2!b j/3!m j+d        | false | 0  | false
          several jobs fail on the machine  | j/1!m k/1!m                  | false | 0  | true
          but others complete on it         | j/1!m k/1!m l+m              | false | 0  | false
          a suspected job says nothing of it| k/1!a k/2!b k/3!c k/4!m j/1!m| false | 0  | false
          known to be suspected only later  | k/1!m j/1!m k/2!a k/3!b      | false | 0  | false
          """)
  void mistakesAndFaultyMachines(
      String name, String events, boolean suspected, int pauseS, boolean faulty) {
    FailureTracker memory = new FailureTracker();
    Duration now = Duration.ofSeconds(100);
    for (String event : events.trim().split(" ")) {
      now = now.plusSeconds(1);
      if (event.contains("+")) {
        memory.succeeded(event.substring(0, 1), event.substring(2));
      } else {
        String[] parts = event.split("[/!]");
        memory.failed(parts[0], 0, Long.parseLong(parts[1]), parts[2], Cause.ERROR, now);
      }
    }
    assertEquals(suspected, memory.suspected("j"), name);
    int pause = 0;
    while (memory.pauses("j", now.plusSeconds(pause).plusMillis(600))) {
      pause++;
    }
    assertEquals(pauseS, pause, name);
    assertEquals(faulty, memory.faulty("m", now), name);
    assertEquals(false, memory.faulty("m", now.plusSeconds(31)), "it ends by time alone");
  }

  /** What is moved off a machine had better not come back at once, and is under no suspicion for it. */
  @Test
  void aMachineThatReplicasAreMovedOffIsAvoidedForAWhile() {
    FailureTracker memory = new FailureTracker();
    Duration now = Duration.ofSeconds(100);
    memory.failed("j", 0, 1, "bad", Cause.ERROR, now);
    memory.movedOff("j", "bad", now);
    memory.movedOff("j", "m", now);
    assertEquals(Set.of("bad", "m"), memory.avoid("j", now.plusSeconds(9)));
    assertEquals(Set.of("bad"), memory.avoid("j", now.plusSeconds(11)), "what failed lasts longer");
    assertEquals(Set.of(), memory.avoid("other", now));
    assertEquals(false, memory.suspected("j"));
  }
}
