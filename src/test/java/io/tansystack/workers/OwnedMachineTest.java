package io.tansystack.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.recovery.TaskAttempt;
import io.tansystack.schedule.MachineHistory;
import io.tansystack.wire.Command;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What an owner concludes from a worker's reports: the moment from which the worker's lease counts,
 * and whether responses reach the worker. If a copy of an old report renewed the lease, the owner
 * would declare a lost machine gone too late; if a former owner's responses were left out, too
 * early.
 */
class OwnedMachineTest {
  private static final long TOKEN = 40;
  private static final TaskAttempt ATTEMPT = new TaskAttempt(new TaskId("wk-1", 0), 1);
  private static final Command START =
      new Command(Command.Op.START, ATTEMPT.task(), ATTEMPT.number(), 0);

  private static Report report(String text) {
    String[] parts = text.trim().split(" ");
    return new Report(
        "n-1", "127.0.0.1:9000", "small", "a", false, Long.parseLong(parts[0]),
        Long.parseLong(parts[1]), Long.parseLong(parts[2]), null, List.of());
  }

  /**
   * Reports arrive six seconds apart, given as session, sequence number and token; all are answered
   * under token 40. Columns: the reports, the one from which the lease counts, and whether
   * responses are taken for lost.
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
  void copiesDoNotRenewTheLeaseAndMissedResponsesAreDetected(
      String reports, int countsFrom, boolean responsesLost) {
    Duration now = Duration.ofSeconds(1000);
    OwnedMachine machine = new OwnedMachine("n-1", new MachineHistory(50), now, TOKEN, now);
    Duration answered = now;
    int position = 0;
    for (String text : reports.split(",")) {
      Report report = report(text);
      now = now.plusSeconds(6);
      machine.onAnswered(report, TOKEN, now);
      if (machine.latest == null || report.newerThan(machine.latest)) {
        machine.apply(report, TOKEN);
      }
      answered = ++position == countsFrom ? now : answered;
    }
    assertEquals(answered, machine.leaseStart.answeredAt());
    assertEquals(responsesLost, machine.responsesLost());
  }

  /**
   * Events and the seconds in which they happen, after this controller became the owner while a
   * former owner may act for another 17 s: a report is answered, the worker reports the token
   * ("shown"), a later session is first seen, or the record changes and changes back. Last column:
   * the second from which the lease can count.
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
          shown 5, session 9                | 9
          shown 5, answered 6, session 9    | 9
          shown 5, session 6, answered 9    | 9
          shown 5, session 9, session 30    | 30
          session 9                         | 17
          session 9, shown 12               | 12
          session 20, changed 21, shown 22  | 22
          """)
  void leaseCountsFromTheLatestEventThatMayHaveBegunOrRenewedIt(String events, int lastAnswerS) {
    Duration leaseDuration = Duration.ofSeconds(17);
    OwnedMachine machine =
        new OwnedMachine("n-1", new MachineHistory(50), Duration.ZERO, TOKEN, leaseDuration);
    long revision = TOKEN;
    int sequence = 0;
    long session = 1;
    for (String event : events.split(", ")) {
      String[] parts = event.split(" ");
      Duration now = Duration.ofSeconds(Long.parseLong(parts[1]));
      switch (parts[0]) {
        case "answered" -> {
          Report report = report("1 " + ++sequence + " 0");
          machine.onAnswered(report, TOKEN, now);
          machine.apply(report, TOKEN);
        }
        case "shown" -> machine.leaseStart.onTokenReported(now);
        case "session" -> machine.leaseStart.onSessionSeen(++session, now);
        case "changed" -> machine.updateOwnedSince(++revision, now.plus(leaseDuration));
        default -> assertEquals("none", parts[0]);
      }
    }
    assertEquals(Duration.ofSeconds(lastAnswerS), machine.leaseStart.latest());
  }

  private static Report report(int sequence, long token, TaskReport.State state) {
    TaskReport.Cause cause = state == TaskReport.State.EXITED ? TaskReport.Cause.DONE : null;
    List<TaskReport> tasks =
        state == null
            ? List.of()
            : List.of(new TaskReport(ATTEMPT.task(), ATTEMPT.number(), state, cause, false));
    return new Report(
        "n-1", "127.0.0.1:9000", "small", "a", false, 1, sequence, token, null, tasks);
  }

  private static OwnedMachine machine() {
    return new OwnedMachine("n-1", new MachineHistory(50), Duration.ZERO, TOKEN, Duration.ZERO);
  }

  @Test
  void startCommandsAreKnownUnderTheirTokenAndSessionOnly() {
    SentStarts sentStarts = new SentStarts();
    sentStarts.onSent(TOKEN, 1, List.of(START));
    assertTrue(sentStarts.sentUnder(TOKEN, ATTEMPT));
    assertFalse(sentStarts.sentUnder(TOKEN + 1, ATTEMPT));
    sentStarts.onSent(TOKEN, 1, List.of());
    assertTrue(sentStarts.sentUnder(TOKEN, ATTEMPT));
    sentStarts.onSent(TOKEN, 2, List.of());
    assertFalse(sentStarts.sentUnder(TOKEN, ATTEMPT));
  }

  @Test
  void raisedTokenIsReplacedByThatOfALaterClaim() {
    OwnedMachine machine = machine();
    machine.raiseToken(TOKEN + 5);
    assertEquals(TOKEN + 5, machine.token(TOKEN));
    machine.raiseToken(TOKEN + 3);
    assertEquals(TOKEN + 5, machine.token(TOKEN));
    assertEquals(TOKEN + 9, machine.token(TOKEN + 9));
  }

  /** Columns: reports (a: answered, u: not answered) by session, and whether tasks may go there. */
  @ParameterizedTest
  @CsvSource({"a1, true", "u1, false", "a1 u2, false", "a1 u2 a2, true", "a1 u2 a1, false"})
  void machineWhoseNewestSessionHasNoAnsweredReportGetsNoTasks(String reports, boolean fit) {
    OwnedMachine machine = machine();
    int sequence = 0;
    for (String text : reports.split(" ")) {
      Report report = report(text.substring(1) + " " + ++sequence + " " + TOKEN);
      if (text.startsWith("a")) {
        machine.onAnswered(report, TOKEN, Duration.ofSeconds(sequence));
      }
      if (machine.latest == null || report.newerThan(machine.latest)) {
        machine.apply(report, TOKEN);
      }
    }
    assertEquals(fit, !machine.sessionUnanswered());
  }

  /** Columns: the token of the report before, that of the report, who started the attempt. */
  @ParameterizedTest
  @CsvSource({
    "40, 40, nobody, 1", "40, 45, nobody, 1", "40, 40, owner, 0", "39, 40, nobody, 0", "40, 39, nobody, 0"
  })
  void attemptThatNobodyStartedIsNoticed(long before, long shown, String startedBy, int noticed) {
    OwnedMachine machine = machine();
    machine.apply(report(1, before, null), TOKEN);
    if (startedBy.equals("owner")) {
      machine.sentStarts.onSent(TOKEN, 1, List.of(START));
    }
    assertEquals(
        noticed, machine.apply(report(2, shown, TaskReport.State.RUNNING), TOKEN).size());
  }
}
