package io.tansystack.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a report from its bytes without building a tree first: hundreds come every second, each with
 * dozens of tasks. Whatever is out of the ordinary is left to {@link Report#read}, which says what is
 * wrong with it.
 */
final class StreamingReportParser {
  private static final TaskReport.State[] STATES = TaskReport.State.values();
  private static final TaskReport.Cause[] CAUSES = TaskReport.Cause.values();

  private final JsonParser parser;

  private StreamingReportParser(JsonParser parser) {
    this.parser = parser;
  }

  /** Null where the body isn't just what it is expected to be. */
  static Report read(byte[] body) {
    try (JsonParser parser = Cbor.parser(body)) {
      return parser.nextToken() == JsonToken.START_OBJECT
          ? new StreamingReportParser(parser).report()
          : null;
    } catch (IOException | InvalidMessageException e) {
      return null;
    }
  }

  private Report report() throws IOException, InvalidMessageException {
    String machine = null;
    String address = null;
    String type = null;
    String zone = null;
    boolean spot = false;
    long session = -1;
    long seq = -1;
    long token = 0;
    Double noticeS = null;
    List<TaskReport> tasks = List.of();
    for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
      parser.nextToken();
      switch (field) {
        case "Berth" -> machine = text();
        case "Endpoint" -> address = text();
        case "Fleet" -> type = text();
        case "Yard" -> zone = text();
        case "Loaners" -> spot = flag();
        case "Shift" -> session = integer();
        case "Tick" -> seq = integer();
        case "Baton" -> token = integer();
        case "RecallS" -> noticeS = amountOrNull();
        case "Wagons" -> tasks = tasks();
        default -> parser.skipChildren();
      }
    }
    boolean whole = parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null;
    if (!whole || address == null || type == null || zone == null || session < 0 || seq < 0) {
      throw new InvalidMessageException("not a whole report");
    }
    Report.checkName(machine);
    return new Report(machine, address, type, zone, spot, session, seq, token, noticeS, tasks);
  }

  private List<TaskReport> tasks() throws IOException, InvalidMessageException {
    expect(parser.currentToken() == JsonToken.START_ARRAY);
    List<TaskReport> tasks = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      expect(parser.currentToken() == JsonToken.START_OBJECT);
      tasks.add(task());
    }
    return List.copyOf(tasks);
  }

  private TaskReport task() throws IOException, InvalidMessageException {
    TaskId task = null;
    long attempt = -1;
    TaskReport.State state = null;
    TaskReport.Cause cause = TaskReport.Cause.OTHER;
    boolean saved = false;
    for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
      parser.nextToken();
      switch (field) {
        case "Wagon" -> task = TaskId.parse(text());
        case "Departure" -> attempt = integer();
        case "Status" -> state = state(text());
        case "Cause" -> cause = cause(text());
        case "Stored" -> saved = flag();
        default -> parser.skipChildren();
      }
    }
    expect(task != null && attempt >= 0 && state != null);
    return new TaskReport(
        task, attempt, state, state == TaskReport.State.EXITED ? cause : null, saved);
  }

  private static TaskReport.State state(String word) {
    for (TaskReport.State state : STATES) {
      if (state.wire.equals(word)) {
        return state;
      }
    }
    return null;
  }

  private static TaskReport.Cause cause(String word) {
    for (TaskReport.Cause cause : CAUSES) {
      if (cause.wire.equals(word)) {
        return cause;
      }
    }
    return TaskReport.Cause.OTHER;
  }

  private String text() throws IOException, InvalidMessageException {
    expect(parser.currentToken() == JsonToken.VALUE_STRING);
    return parser.getText();
  }

  private boolean flag() throws InvalidMessageException {
    expect(parser.currentToken().isBoolean());
    return parser.currentToken() == JsonToken.VALUE_TRUE;
  }

  private long integer() throws IOException, InvalidMessageException {
    expect(parser.currentToken() == JsonToken.VALUE_NUMBER_INT);
    long value = parser.getLongValue();
    expect(value >= 0);
    return value;
  }

  private Double amountOrNull() throws IOException, InvalidMessageException {
    if (parser.currentToken() == JsonToken.VALUE_NULL) {
      return null;
    }
    expect(parser.currentToken().isNumeric());
    double value = parser.getDoubleValue();
    expect(Double.isFinite(value) && value >= 0);
    return value;
  }

  private static void expect(boolean ordinary) throws InvalidMessageException {
    if (!ordinary) {
      throw new InvalidMessageException("not as it is expected");
    }
  }
}
