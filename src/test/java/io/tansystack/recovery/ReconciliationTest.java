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

/** What follows from a machine's records and its report, on machine n-1 in session 2. */
class ReconciliationTest {
  private static final String M = "n-1";
  private static final int SESSION = 2;

  private static JobSpec spec(String id, JobKind shape, Priority priority, double checkpointS) {
    return new JobSpec(
        id, "c", "t", shape, priority, 4, 1, 0, 1, "i", 1, null, null, false, false, true, 10,
        checkpointS, 3, null);
  }

  /** Task 0 of wk-1, attempt 1, as the word says: wanted, to be stopped, cancelled, or not placed. */
  private static JobRecord record(String said, JobKind shape, double checkpointS, int session) {
    JobRecord created = JobRecord.created(spec("wk-1", shape, Priority.NORMAL, checkpointS), 0);
    JobRecord placed = created.placed(List.of(new Assignment(M, session, TaskSet.range(0, 1))));
    return switch (said) {
      case "wanted" -> placed;
      case "stop" -> placed.stopped(M, TaskSet.range(0, 1));
      case "cancelled" -> placed.cancelled(1);
      case "absent" -> created;
      default -> throw new IllegalArgumentException(said);
    };
  }

  private static Reconciliation reconcile(JobRecord record, Map<TaskAttempt, TaskReport> listed) {
    ClusterState world = new ClusterState(touched -> {});
    world.changes(List.of(new Change(ClusterState.jobKey("wk-1"), record.write(), 5)), 5);
    return Reconciliation.of(SESSION, listed, world.placedOn(M));
  }

  private static String told(Reconciliation s) {
    StringBuilder told = new StringBuilder();
    s.halts().forEach(c -> told.append("halt#").append(c.attempt()).append(c.graceS() > 0 ? " saving" : ""));
    s.launches().forEach(c -> told.append("launch#").append(c.attempt()));
    s.forgets().forEach(c -> told.append("forget#").append(c.attempt()));
    s.absent().forEach(a -> told.append("absent#").append(a.number()));
    return told.length() == 0 ? "nothing" : told.toString();
  }

  @ParameterizedTest
  @CsvSource({
    // record, session placed in, shape, checkpoints, report (attempt state cause): what follows.
    "wanted,    2, ARRAY,   0,  -,                 launch#1",
    "wanted,    2, ARRAY,   0,  1 RUNNING -,       nothing",
    "wanted,    2, ARRAY,   0,  1 FETCHING -,      nothing",
    "wanted,    2, ARRAY,   0,  1 EXITED DONE,     nothing",
    "wanted,    2, ARRAY,   0,  1 EXITED ERROR,    nothing",
    "wanted,    2, ARRAY,   20, 1 EXITED STOPPED,  nothing",
    "wanted,    1, ARRAY,   0,  -,                 nothing",
    "wanted,    3, ARRAY,   0,  -,                 nothing",
    "wanted,    2, ARRAY,   0,  9 RUNNING -,       halt#9launch#1",
    "wanted,    2, ARRAY,   0,  9 EXITED DONE,     launch#1forget#9",
    "stop,      2, ARRAY,   0,  1 RUNNING -,       halt#1",
    "stop,      2, ARRAY,   20, 1 RUNNING -,       halt#1 saving",
    "stop,      2, GANG,    20, 1 WAITING -,       halt#1 saving",
    "stop,      2, ARRAY,   20, 1 SAVING -,        nothing",
    "stop,      2, ARRAY,   0,  1 EXITED STOPPED,  nothing",
    "stop,      2, ARRAY,   0,  -,                 absent#1",
    "stop,      1, ARRAY,   0,  -,                 nothing",
    "cancelled, 2, ARRAY,   20, 1 RUNNING -,       halt#1",
    "cancelled, 2, ARRAY,   20, 1 SAVING -,        halt#1",
    "cancelled, 2, SERVICE, 0,  1 FETCHING -,      halt#1",
    "cancelled, 2, ARRAY,   0,  1 EXITED DONE,     nothing",
    "cancelled, 2, ARRAY,   0,  -,                 absent#1",
    "absent,    2, ARRAY,   0,  1 RUNNING -,       halt#1",
    "absent,    2, ARRAY,   0,  1 EXITED DONE,     forget#1",
    "absent,    2, ARRAY,   0,  -,                 nothing",
  })
  void whatFollows(
      String said, int session, JobKind shape, double checkpointS, String report, String follows) {
    Map<TaskAttempt, TaskReport> listed = new LinkedHashMap<>();
    if (!report.equals("-")) {
      String[] words = report.split(" ");
      TaskId task = new TaskId("wk-1", 0);
      long attempt = Long.parseLong(words[0]);
      Cause cause = words[2].equals("-") ? null : Cause.valueOf(words[2]);
      listed.put(
          new TaskAttempt(task, attempt),
          new TaskReport(task, attempt, State.valueOf(words[1]), cause, false));
    }
    Reconciliation first = reconcile(record(said, shape, checkpointS, session), listed);
    assertEquals(follows, told(first));
    assertEquals(first, reconcile(record(said, shape, checkpointS, session), listed), "safe to repeat");
  }

  @Test
  void theMostUrgentIsLaunchedFirstAndAHaltIsNotRepeatedAtOnce() {
    ClusterState world = new ClusterState(touched -> {});
    long revision = 1;
    for (Priority priority : List.of(Priority.LOW, Priority.PRODUCTION, Priority.NORMAL)) {
      String id = "wk-" + priority.ordinal();
      JobRecord record =
          JobRecord.created(spec(id, JobKind.ARRAY, priority, 0), 0)
              .placed(List.of(new Assignment(M, SESSION, TaskSet.range(0, 2))));
      world.changes(
          List.of(new Change(ClusterState.jobKey(id), record.write(), revision)), revision);
      revision++;
    }
    TaskId stray = new TaskId("wk-7", 0);
    Map<TaskAttempt, TaskReport> listed =
        Map.of(new TaskAttempt(stray, 1), new TaskReport(stray, 1, State.RUNNING, null, false));
    Reconciliation all = Reconciliation.of(SESSION, listed, world.placedOn(M));
    assertEquals(Reconciliation.HALTS, all.urgency());
    Reconciliation rest = all.without(attempt -> attempt.task().equals(stray));
    assertEquals(List.of(), rest.halts());
    assertEquals(
        List.of("wk-0", "wk-0", "wk-2", "wk-2", "wk-3", "wk-3"),
        rest.launches().stream().map(Command::task).map(TaskId::job).toList());
    assertTrue(rest.urgency() > Reconciliation.HALTS && rest.urgency() < Reconciliation.FORGETS);
    assertEquals(
        Reconciliation.FORGETS, Reconciliation.of(SESSION, Map.of(), List.of()).urgency());
  }
}
