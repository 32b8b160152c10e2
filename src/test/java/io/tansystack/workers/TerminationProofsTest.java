package io.tansystack.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.cluster.MachineRecord;
import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord;
import io.tansystack.records.TaskSet;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import io.tansystack.wire.TaskReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks what proves that attempts have ended, and that similar facts prove nothing: if an attempt
 * were taken for ended while it still runs, its task would be started a second time. Also checks
 * that views reach other controllers unchanged.
 */
class TerminationProofsTest {
  private static final long TOKEN = 50;
  private static final MachineRecord MACHINE =
      new MachineRecord("n-1", "c-0", "127.0.0.1:1", "g8", "a", false, false, TOKEN, false);

  /** Task 0 of wk-1 on n-1 in session 2, attempt 1. */
  private static final JobRecord RECORD =
      JobRecord.created(
              new JobSpec(
                  "wk-1", "c", "t", JobKind.ARRAY, Priority.LOW, 1, 1, 0, 1, "i", 1, null, null,
                  false, false, true, 10, 0, 0, null),
              0)
          .placed(List.of(new Assignment("n-1", 2, TaskSet.range(0, 1))));

  private static MachineView view(
      long session,
      long token,
      List<MachineView.AbsentAttempt> absentAttempts,
      TaskReport... tasks) {
    Report report =
        new Report(
            "n-1", "127.0.0.1:1", "g8", "a", false, session, 9, token, null, List.of(tasks));
    return new MachineView(report, token, absentAttempts, Map.of(), 0, 0, 0, false);
  }

  private static TaskReport task(int index, long attempt, State state, Cause cause) {
    return new TaskReport(new TaskId("wk-1", index), attempt, state, cause, false);
  }

  static Stream<Arguments> cases() {
    List<MachineView.AbsentAttempt> exact = List.of(new MachineView.AbsentAttempt("wk-1", 0, 1));
    return Stream.of(
        Arguments.of(
            "ended",
            MACHINE,
            view(2, TOKEN, List.of(), task(0, 1, State.EXITED, Cause.DONE)),
            1,
            0),
        Arguments.of(
            "refused",
            MACHINE,
            view(2, TOKEN, List.of(), task(0, 1, State.EXITED, Cause.NO_ROOM)),
            1,
            0),
        Arguments.of(
            "ended, published under an older token",
            MACHINE,
            view(2, 40, List.of(), task(0, 1, State.EXITED, Cause.ERROR)),
            1,
            0),
        Arguments.of("later session", MACHINE, view(3, TOKEN, List.of()), 1, 0),
        Arguments.of("record gone", null, null, 1, 0),
        Arguments.of(
            "record gone, old view still known",
            null,
            view(2, TOKEN, List.of(), task(0, 1, State.RUNNING, null)),
            1,
            0),
        Arguments.of("owner confirms that it is absent", MACHINE, view(2, TOKEN, exact), 1, 1),
        Arguments.of("nothing known", MACHINE, null, 0, 0),
        Arguments.of("not in the list of tasks", MACHINE, view(2, TOKEN, List.of()), 0, 0),
        Arguments.of(
            "earlier session",
            MACHINE,
            view(1, TOKEN, List.of(), task(0, 1, State.EXITED, Cause.DONE)),
            0,
            0),
        Arguments.of(
            "another attempt ended",
            MACHINE,
            view(2, TOKEN, List.of(), task(0, 2, State.EXITED, Cause.DONE)),
            0,
            0),
        Arguments.of(
            "another task ended",
            MACHINE,
            view(2, TOKEN, List.of(), task(1, 1, State.EXITED, Cause.DONE)),
            0,
            0),
        Arguments.of(
            "still saving",
            MACHINE,
            view(2, TOKEN, List.of(), task(0, 1, State.SAVING, null)),
            0,
            0),
        Arguments.of("confirmation of a former owner", MACHINE, view(2, 40, exact), 0, 0),
        Arguments.of(
            "confirmation for another attempt",
            MACHINE,
            view(2, TOKEN, List.of(new MachineView.AbsentAttempt("wk-1", 0, 2))),
            0,
            0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void onlyTheFourProofsEndAPlacement(
      String name, MachineRecord machine, MachineView view, int ended, int conditions) {
    TerminationProofs proofs =
        TerminationProofs.collect(
            "wk-1", RECORD, m -> view, m -> machine, MachineRecord::version, 10);
    assertEquals(ended, proofs.ended().size());
    assertEquals(conditions, proofs.conditions().size());
    assertEquals(ended, proofs.evidence().stream().mapToInt(e -> e.tasks().size()).sum());
    assertConditionsOnToken(proofs);
  }

  /**
   * Owners' confirmations that need more conditions than a transaction holds must be applied in
   * several transactions: they could never be written at once.
   */
  @Test
  void confirmationsBeyondATransactionsConditionsAreAppliedLater() {
    JobRecord record = JobRecord.created(RECORD.spec(), 0);
    List<Assignment> placementRound = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      placementRound.add(new Assignment("n-" + i, 2, TaskSet.range(i, i + 1)));
    }
    record = record.placed(placementRound).cancelled(1);
    int transactions = 0;
    while (record.spec() != null && transactions++ < 10) {
      TerminationProofs proofs =
          TerminationProofs.collect(
              "wk-1",
              record,
              m ->
                  view(
                      2,
                      TOKEN,
                      List.of(
                          new MachineView.AbsentAttempt(
                              "wk-1", Integer.parseInt(m.substring(2)), 1))),
              m ->
                  new MachineRecord(
                      m, "c-0", "127.0.0.1:1", "g8", "a", false, false, TOKEN, false),
              MachineRecord::version,
              2);
      assertEquals(Math.min(2, record.placements().size()), proofs.conditions().size());
      record = record.withProofsApplied(proofs.ended());
    }
    assertEquals(3, transactions);
  }

  private static void assertConditionsOnToken(TerminationProofs proofs) {
    proofs.conditions().forEach(c -> assertEquals(TOKEN, c.version()));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void viewIsReadAsWritten(
      String name, MachineRecord machine, MachineView view, int ended, int conditions)
      throws Exception {
    if (view != null) {
      MachineView back = MachineView.read(view.write());
      assertEquals(view.report(), back.report());
      assertEquals(view.absentAttempts(), back.absentAttempts());
      assertEquals(view.token(), back.token());
      assertEquals(Set.of(), back.jobsWithNewProofs(view));
    }
  }

  /** Tasks are written in groups; each must be read with its own state. */
  @Test
  void groupedTasksKeepTheirOwnStates() throws Exception {
    List<TaskReport> tasks = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      tasks.add(
          i % 3 == 0
              ? task(i, 1, State.RUNNING, null)
              : task(i, i % 2, State.EXITED, i % 3 == 1 ? Cause.DONE : Cause.ERROR));
    }
    MachineView view = view(2, TOKEN, List.of(), tasks.toArray(new TaskReport[0]));
    MachineView back = MachineView.read(view.write());
    assertEquals(Set.copyOf(tasks), Set.copyOf(back.report().tasks()));
    assertEquals(30, back.report().tasks().size());
    assertEquals(view.report().withoutTasks(), back.report().withoutTasks());
    MachineView nothing = view(2, TOKEN, List.of());
    assertEquals(Set.of("wk-1"), view.jobsWithNewProofs(nothing));
    assertEquals(
        Set.of(),
        view(2, TOKEN, List.of(), task(0, 1, State.RUNNING, null)).jobsWithNewProofs(nothing));
    MachineView withAbsentAttempt =
        view(2, TOKEN, List.of(new MachineView.AbsentAttempt("wk-1", 0, 1)));
    assertEquals(Set.of("wk-1"), withAbsentAttempt.jobsWithNewProofs(nothing));
  }
}
