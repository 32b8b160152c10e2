package io.tansystack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Worker reports: their order, the recognition of repeated ones, and the two parsers. */
class ReportTest {
  // In CBOR, "dTick" is the encoded field name "Tick", so a plain search for its bytes would match
  // this job ID.
  private static final TaskReport RUNNING =
      new TaskReport(new TaskId("wk-dTick1", 3), 2, TaskReport.State.RUNNING, null, false);

  public static Report report(long session, long seq, long token, TaskReport... tasks) {
    return new Report(
        "n-1", "127.0.0.1:9000", "g8", "a", false, session, seq, token, null, List.of(tasks));
  }

  @Test
  void writtenReportReadsBackEqual() throws Exception {
    Report report =
        report(
            2, 88, 41,
            new TaskReport(new TaskId("wk-1", 3), 2, TaskReport.State.RUNNING, null, false),
            new TaskReport(
                new TaskId("wk-2", 0), 1, TaskReport.State.EXITED, TaskReport.Cause.STOPPED, true));
    assertEquals(report, Report.read(Cbor.decodeMap(Cbor.encode(report.write()))));
  }

  /** Half of a surrogate pair could be written to no record and sent in no command. */
  @ParameterizedTest
  @ValueSource(strings = {"Berth", "Endpoint", "Fleet", "Yard", "Wagon"})
  void rejectsTextThatIsNotValidUtf8(String field) {
    TaskReport task =
        new TaskReport(new TaskId("wk-1XXX", 3), 2, TaskReport.State.RUNNING, null, false);
    ObjectNode map = report(2, 88, 41, task).write();
    if (!field.equals("Wagon")) {
      map.put(field, "n-1XXX");
    }
    byte[] body = InvalidText.replaceIn(Cbor.encode(map), field.equals("Wagon") ? "wk-1" : "n-1");
    assertThrows(InvalidMessageException.class, () -> Report.read(body));
  }

  /**
   * A late report of an earlier session must not count as newer because of its higher sequence
   * number.
   */
  @ParameterizedTest
  @CsvSource({"1,5,1,4,true", "1,4,1,5,false", "1,5,1,5,false", "2,1,1,99,true", "1,99,2,1,false"})
  void orderIsBySessionThenSequence(
      long session1, long seq1, long session2, long seq2, boolean newer) {
    assertEquals(newer, report(session1, seq1, 0).newerThan(report(session2, seq2, 0)));
  }

  /**
   * A report that differs from the one before only in its sequence number is recognized by its
   * bytes. If anything else has changed, or the order of the fields doesn't allow the sequence
   * number to be located, the whole report must be decoded.
   */
  @ParameterizedTest
  @CsvSource({
    "Tick 89, true", "Tick 70000, true", "Baton 42, false", "Shift 3, false", "Berth n-2, false",
    "RecallS 3.5, false", "last Tick, false", "first Wagons, false"
  })
  void recognizesRepeatedReportByItsBytes(String change, boolean same) {
    ObjectNode before = report(2, 88, 41, RUNNING).write();
    ObjectNode after = before.deepCopy();
    String[] words = change.split(" ");
    switch (words[0]) {
      case "Berth" -> after.put("Berth", words[1]);
      case "RecallS" -> after.put("RecallS", Double.parseDouble(words[1]));
      case "last" -> after.set("Tick", after.remove("Tick"));
      case "first" -> {
        after.removeAll();
        after.set("Wagons", before.get("Wagons"));
        after.setAll(before);
      }
      default -> after.put(words[0], Long.parseLong(words[1]));
    }
    byte[] bytesBefore = Cbor.encode(before);
    byte[] bytesAfter = Cbor.encode(after);
    ReportHeader header = ReportHeader.read(bytesAfter);
    assertEquals(
        same,
        header != null
            && header.equalsExceptSequence(
                bytesAfter, ReportHeader.read(bytesBefore), bytesBefore));
    if (same) {
      assertEquals(after.get("Tick").longValue(), header.seq());
      assertEquals("n-1", header.machine());
    }
  }

  /**
   * The streaming parser must return the same report as the tree parser, or null for input that it
   * leaves to the tree parser.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      textBlock =
          """
          none       |                                                 | true
          spot       | {"Loaners":true,"RecallS":7.5,"Baton":null}     | false
          notice     | {"RecallS":7}                                   | true
          null       | {"RecallS":null}                                | true
          unknown    | {"New":{"a":[1,{"b":2}]},"Newer":[[1],2]}       | true
          no tasks   | {"Wagons":[]}                                   | true
          ended      | {"Wagons":[{"Wagon":"wk-1/2","Departure":3,"Status":"ended","Cause":"done"}]} | true
          new cause  | {"Wagons":[{"Wagon":"wk-1/2","Departure":3,"Status":"ended","Cause":"new"}]}  | true
          saved      | {"Wagons":[{"Wagon":"wk-1/2","Departure":3,"Status":"ended","Cause":"halted","Stored":true,"X":{}}]} | true
          no cause   | {"Wagons":[{"Wagon":"wk-1/2","Departure":3,"Status":"ended"}]}   | true
          bad state  | {"Wagons":[{"Wagon":"wk-1/2","Departure":3,"Status":"asleep"}]}  | false
          bad task   | {"Wagons":[{"Wagon":"wk-1","Departure":3,"Status":"running"}]}   | false
          negative   | {"Tick":-1}                                     | false
          huge       | {"Tick":99999999999999999999}                   | false
          text       | {"Shift":"2"}                                   | false
          bad name   | {"Berth":"a b"}                                 | false
          """)
  void streamingParserAgreesWithTreeParser(
      String name, String changes, boolean parsedAsStream) throws Exception {
    ObjectNode map = report(2, 88, 41, RUNNING).write();
    if (changes != null) {
      map.setAll((ObjectNode) new ObjectMapper().readTree(changes));
    }
    byte[] body = Cbor.encode(map);
    Report parsed = StreamingReportParser.read(body);
    assertEquals(parsedAsStream, parsed != null, name);
    if (parsedAsStream) {
      assertEquals(Report.read(Cbor.decodeMap(body)), parsed, name);
    }
    assertNull(StreamingReportParser.read(Arrays.copyOf(body, body.length - 3)), "cut off");
  }
}
