package io.tansystack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReportTest {
  public static Report report(long session, long seq, long token, TaskReport... tasks) {
    return new Report(
        "n-1", "127.0.0.1:9000", "g8", "a", false, session, seq, token, null, List.of(tasks));
  }

  @Test
  void readsBackAsWritten() throws Exception {
    Report report =
        report(
            2, 88, 41,
            new TaskReport(new TaskId("wk-1", 3), 2, TaskReport.State.RUNNING, null, false),
            new TaskReport(
                new TaskId("wk-2", 0), 1, TaskReport.State.EXITED, TaskReport.Cause.STOPPED, true));
    assertEquals(report, Report.read(Cbor.decodeMap(Cbor.encode(report.write()))));
  }

  /** A late report of an earlier session must not look newer for its larger sequence number. */
  @ParameterizedTest
  @CsvSource({"1,5,1,4,true", "1,4,1,5,false", "1,5,1,5,false", "2,1,1,99,true", "1,99,2,1,false"})
  void orderIsBySessionThenSequence(long s1, long q1, long s2, long q2, boolean newer) {
    assertEquals(newer, report(s1, q1, 0).newerThan(report(s2, q2, 0)));
  }
}
