package io.tansystack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.cluster.ClusterState;
import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord;
import io.tansystack.records.TaskSet;
import io.tansystack.wire.Command;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import io.tansystack.wire.TaskReport;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks which commands follow from the records and the report of a machine, for machine n-1 in
 * session 2.
 */
class ReconciliationTest {
  private static final String MACHINE = "n-1";
  private static final int SESSION = 2;

  private static JobSpec spec(String id, JobKind kind, Priority priority, double checkpointS) {
    return new JobSpec(
        id, "c", "t", kind, priority, 4, 1, 0, 1, "i", 1, null, null, false, false, true, 10,
        checkpointS, 3, null);
  }

  /** Task 0 of wk-1, attempt 1: wanted, to be stopped, cancelled, or not placed ("absent"). */
  private static JobRecord record(String placement, JobKind kind, double checkpointS, int session) {
    JobRecord created = JobRecord.created(spec("wk-1", kind, Priority.NORMAL, checkpointS), 0);
    JobRecord placed =
        created.placed(List.of(new Assignment(MACHINE, session, TaskSet.range(0, 1))));
    return switch (placement) {
      case "wanted" -> placed;
      case "stop" -> placed.stopped(MACHINE, TaskSet.range(0, 1));
      case "cancelled" -> placed.cancelled(1);
      case "absent" -> created;
      default -> throw new IllegalArgumentException(placement);
    };
  }

  private static Reconciliation reconcile(JobRecord record, Map<TaskAttempt, TaskReport> reported) {
    ClusterState clusterState = new ClusterState(delta -> {});
    clusterState.changes(List.of(new Change(ClusterState.jobKey("wk-1"), record.write(), 5)), 5);
    return Reconciliation.of(SESSION, reported, clusterState.placedOn(MACHINE));
  }

  private static String describe(Reconciliation reconciliation) {
    StringBuilder text = new StringBuilder();
    reconciliation
        .stops()
        .forEach(
            c ->
                text.append("stop#").append(c.attempt()).append(c.graceS() > 0 ? " saving" : ""));
    reconciliation.starts().forEach(c -> text.append("start#").append(c.attempt()));
    reconciliation.forgets().forEach(c -> text.append("forget#").append(c.attempt()));
    reconciliation.absentAttempts().forEach(a -> text.append("absent#").append(a.number()));
    return text.length() == 0 ? "nothing" : text.toString();
  }

  @ParameterizedTest
  @CsvSource({
    // placement, its session, job kind, checkpoint interval, report (attempt state cause): commands
    "wanted,    2, ARRAY,   0,  -,                 start#1",
    "wanted,    2, ARRAY,   0,  1 RUNNING -,       nothing",
    "wanted,    2, ARRAY,   0,  1 FETCHING -,      nothing",
    "wanted,    2, ARRAY,   0,  1 EXITED DONE,     nothing",
    "wanted,    2, ARRAY,   0,  1 EXITED ERROR,    nothing",
    "wanted,    2, ARRAY,   20, 1 EXITED STOPPED,  nothing",
    "wanted,    1, ARRAY,   0,  -,                 nothing",
    "wanted,    3, ARRAY,   0,  -,                 nothing",
    "wanted,    2, ARRAY,   0,  9 RUNNING -,       stop#9start#1",
    "wanted,    2, ARRAY,   0,  9 EXITED DONE,     start#1forget#9",
    "stop,      2, ARRAY,   0,  1 RUNNING -,       stop#1",
    "stop,      2, ARRAY,   20, 1 RUNNING -,       stop#1 saving",
    "stop,      2, GANG,    20, 1 WAITING -,       stop#1 saving",
    "stop,      2, ARRAY,   20, 1 SAVING -,        nothing",
    "stop,      2, ARRAY,   0,  1 EXITED STOPPED,  nothing",
    "stop,      2, ARRAY,   0,  -,                 absent#1",
    "stop,      1, ARRAY,   0,  -,                 nothing",
    "cancelled, 2, ARRAY,   20, 1 RUNNING -,       stop#1",
    "cancelled, 2, ARRAY,   20, 1 SAVING -,        stop#1",
    "cancelled, 2, SERVICE, 0,  1 FETCHING -,      stop#1",
    "cancelled, 2, ARRAY,   0,  1 EXITED DONE,     nothing",
    "cancelled, 2, ARRAY,   0,  -,                 absent#1",
    "absent,    2, ARRAY,   0,  1 RUNNING -,       stop#1",
    "absent,    2, ARRAY,   0,  1 EXITED DONE,     forget#1",
    "absent,    2, ARRAY,   0,  -,                 nothing",
  })
  void commandsFollowFromRecordAndReport(
      String placement,
      int session,
      JobKind kind,
      double checkpointS,
      String report,
      String expected) {
    Map<TaskAttempt, TaskReport> reported = new LinkedHashMap<>();
    if (!report.equals("-")) {
      String[] words = report.split(" ");
      TaskId task = new TaskId("wk-1", 0);
      long attempt = Long.parseLong(words[0]);
      Cause cause = words[2].equals("-") ? null : Cause.valueOf(words[2]);
      reported.put(
          new TaskAttempt(task, attempt),
          new TaskReport(task, attempt, State.valueOf(words[1]), cause, false));
    }
    Reconciliation first = reconcile(record(placement, kind, checkpointS, session), reported);
    assertEquals(expected, describe(first));
    assertEquals(
        first,
        reconcile(record(placement, kind, checkpointS, session), reported),
        "safe to repeat");
  }

  @Test
  void startsTheHighestPriorityFirstAndLeavesOutRecentStops() {
    ClusterState clusterState = new ClusterState(delta -> {});
    long revision = 1;
    for (Priority priority : List.of(Priority.LOW, Priority.PRODUCTION, Priority.NORMAL)) {
      String id = "wk-" + priority.ordinal();
      JobRecord record =
          JobRecord.created(spec(id, JobKind.ARRAY, priority, 0), 0)
              .placed(List.of(new Assignment(MACHINE, SESSION, TaskSet.range(0, 2))));
      clusterState.changes(
          List.of(new Change(ClusterState.jobKey(id), record.write(), revision)), revision);
      revision++;
    }
    TaskId unplaced = new TaskId("wk-7", 0);
    Map<TaskAttempt, TaskReport> reported =
        Map.of(
            new TaskAttempt(unplaced, 1),
            new TaskReport(unplaced, 1, State.RUNNING, null, false));
    Reconciliation all = Reconciliation.of(SESSION, reported, clusterState.placedOn(MACHINE));
    assertEquals(Reconciliation.STOP_URGENCY, all.urgency());
    Reconciliation rest = all.withoutStops(attempt -> attempt.task().equals(unplaced));
    assertEquals(List.of(), rest.stops());
    assertEquals(
        List.of("wk-0", "wk-0", "wk-2", "wk-2", "wk-3", "wk-3"),
        rest.starts().stream().map(Command::task).map(TaskId::job).toList());
    assertTrue(
        rest.urgency() > Reconciliation.STOP_URGENCY
            && rest.urgency() < Reconciliation.FORGET_URGENCY);
    assertEquals(
        Reconciliation.FORGET_URGENCY, Reconciliation.of(SESSION, Map.of(), List.of()).urgency());
  }
}
