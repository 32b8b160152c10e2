package io.tansystack.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.schedule.MachineHistory;
import io.tansystack.wire.Report;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What reports tell of whether their machine hears its owner, and what its lease counts from. */
class OwnedMachineTest {
  private static final long TOKEN = 40;

  private static Report report(String text) {
    String[] parts = text.trim().split(" ");
    return new Report(
        "n-1", "127.0.0.1:9000", "small", "a", false, Long.parseLong(parts[0]),
        Long.parseLong(parts[1]), Long.parseLong(parts[2]), null, List.of());
  }

  /**
   * Reports come six seconds apart, given as session, number and token; all are answered under token 40.
   * Then: which of them the lease counts from, and whether the machine doesn't hear.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          1 1 0                           | 1 | false
          1 1 0, 1 2 40, 1 3 40           | 3 | false
          1 1 0, 1 2 40, 1 2 40           | 2 | false
          1 5 40, 1 6 40, 1 3 0           | 2 | false
          2 1 40, 1 9 40                  | 1 | false
          1 1 0, 1 2 0                    | 2 | false
          1 1 0, 1 2 0, 1 3 0             | 3 | true
          1 1 0, 1 2 0, 1 3 0, 1 4 40     | 4 | false
          1 1 40, 1 3 40                  | 2 | false
          1 1 40, 1 3 40, 1 5 40          | 3 | true
          1 1 40, 1 3 40, 1 4 40, 1 6 40  | 4 | false
          1 1 40, 1 4 40                  | 2 | true
          1 1 40, 1 4 40, 1 5 40          | 3 | false
          1 1 40, 2 2 40                  | 2 | true
          1 1 40, 2 2 40, 1 2 40          | 2 | true
          """)
  void copiesRenewNothingAndWhoDoesNotHearIsTold(String reports, int from, boolean unhearing) {
    Duration now = Duration.ofSeconds(1000);
    OwnedMachine machine = new OwnedMachine("n-1", new MachineHistory(50), now, TOKEN, now);
    Duration answered = now;
    int at = 0;
    for (String text : reports.split(",")) {
      Report report = report(text);
      now = now.plusSeconds(6);
      machine.answered(report, TOKEN, now);
      if (machine.latest == null || report.newerThan(machine.latest)) {
        machine.take(report);
      }
      answered = ++at == from ? now : answered;
    }
    assertEquals(answered, machine.answeredAt);
    assertEquals(unhearing, machine.unhearing());
  }

  /**
   * What happens in which second after the machine came to be this controller's, while a former owner may act
   * for 17 s more: a report of it is answered, it shows the token, or its record changes and changes back.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          none 0                            | 17
          changed 1                         | 18
          answered 3                        | 17
          shown 3                           | 3
          answered 3, shown 5               | 5
          shown 5, answered 9               | 9
          answered 3, shown 20              | 17
          answered 20, shown 21             | 20
          shown 5, changed 8                | 25
          shown 5, changed 8, shown 10      | 10
          answered 3, changed 8, answered 9 | 25
          """)
  void aLeaseCountsFromAFormerOwnersAnswersUntilTheTokenIsShown(String events, int lastAnswerS) {
    Duration life = Duration.ofSeconds(17);
    OwnedMachine machine = new OwnedMachine("n-1", new MachineHistory(50), Duration.ZERO, TOKEN, life);
    long revision = TOKEN;
    int sequence = 0;
    for (String event : events.split(", ")) {
      String[] parts = event.split(" ");
      Duration now = Duration.ofSeconds(Long.parseLong(parts[1]));
      switch (parts[0]) {
        case "answered" -> {
          Report report = report("1 " + ++sequence + " 0");
          machine.answered(report, TOKEN, now);
          machine.take(report);
        }
        case "shown" -> machine.tokenShown(now);
        case "changed" -> machine.heldSince(++revision, now.plus(life));
        default -> assertEquals("none", parts[0]);
      }
    }
    assertEquals(Duration.ofSeconds(lastAnswerS), machine.lastAnswerAt());
  }
}
