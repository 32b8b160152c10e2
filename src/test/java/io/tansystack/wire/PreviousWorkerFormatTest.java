package io.tansystack.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.wire.Command.Op;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares reports and commands with those of the previous version (commit 7ff9fad). Guards against
 * a renamed identifier that changes a field or a word of the protocol with workers, which are not
 * upgraded together with the controllers.
 */
class PreviousWorkerFormatTest {
  private static byte[] previous(String name) throws Exception {
    try (InputStream in =
        PreviousWorkerFormatTest.class.getResourceAsStream("/formats-7ff9fad/" + name)) {
      return in.readAllBytes();
    }
  }

  private static TaskReport task(String job, int index, long attempt, State state) {
    return new TaskReport(new TaskId(job, index), attempt, state, null, false);
  }

  private static List<TaskReport> tasks() {
    List<TaskReport> tasks = new ArrayList<>();
    tasks.add(task("wk-000001", 0, 3, State.RUNNING));
    tasks.add(task("wk-000001", 1, 3, State.RUNNING));
    tasks.add(task("wk-000001", 4, 3, State.RUNNING));
    tasks.add(task("wk-000002", 0, 1, State.FETCHING));
    tasks.add(task("wk-000002", 1, 1, State.WAITING));
    tasks.add(task("wk-000003", 7, 2, State.SAVING));
    List<Cause> causes =
        List.of(
            Cause.DONE, Cause.STOPPED, Cause.PEERS, Cause.ALONE, Cause.ERROR, Cause.NO_ROOM,
            Cause.BUSY, Cause.UNKNOWN, Cause.OTHER);
    for (Cause cause : causes) {
      int index = 10 + causes.indexOf(cause);
      tasks.add(
          new TaskReport(
              new TaskId("wk-000004", index), 5, State.EXITED, cause, cause == Cause.STOPPED));
    }
    return tasks;
  }

  private static void assertReport(Report report) {
    assertEquals("n-000001", report.machine());
    assertEquals("10.0.0.1:9000", report.address());
    assertEquals("g8", report.type());
    assertEquals("a", report.zone());
    assertTrue(report.spot());
    assertEquals(2, report.session());
    assertEquals(88, report.seq());
    assertEquals(41, report.token());
    assertEquals(12.5, report.reclaimNoticeS());
    assertEquals(15, report.tasks().size());
    TaskReport saving = report.tasks().get(5);
    assertEquals("wk-000003", saving.task().job());
    assertEquals(7, saving.task().index());
    assertEquals(2, saving.attempt());
    assertEquals(State.SAVING, saving.state());
    assertNull(saving.cause());
    assertFalse(saving.saved());
    TaskReport stopped = report.tasks().get(7);
    assertEquals(Cause.STOPPED, stopped.cause());
    assertTrue(stopped.saved());
    assertEquals(tasks(), report.tasks());
  }

  @Test
  void bothParsersReadReport() throws Exception {
    byte[] body = previous("report.cbor");
    assertReport(StreamingReportParser.read(body));
    assertReport(Report.read(Cbor.decodeMap(body)));
    ReportHeader header = ReportHeader.read(body);
    assertEquals("n-000001", header.machine());
    assertEquals(88, header.seq());
  }

  @Test
  void writesTheSameReport() throws Exception {
    Report report =
        new Report("n-000001", "10.0.0.1:9000", "g8", "a", true, 2, 88, 41, 12.5, tasks());
    assertArrayEquals(previous("report.cbor"), Cbor.encode(report.write()));
  }

  @Test
  void writesTheSameCommands() throws Exception {
    byte[] written =
        Command.encodeAll(
            43,
            2,
            List.of(
                new Command(Op.START, new TaskId("wk-000001", 3), 2, 0),
                new Command(Op.STOP, new TaskId("wk-000002", 1), 4, 12.5),
                new Command(Op.FORGET, new TaskId("wk-000003", 0), 6, 0)));
    assertEquals(
        Cbor.decodeMap(previous("orders.cbor")).toString(), Cbor.decodeMap(written).toString());
    assertArrayEquals(previous("orders.cbor"), written);
  }
}
