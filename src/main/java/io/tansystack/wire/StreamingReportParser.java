package io.tansystack.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses a report from its bytes without building a tree first, because hundreds arrive every
 * second, each with dozens of tasks. A report that this parser does not accept is parsed again by
 * {@link Report#read}, which either accepts it or says what is wrong with it.
 */
final class StreamingReportParser {
  private static final TaskReport.State[] STATES = TaskReport.State.values();
  private static final TaskReport.Cause[] CAUSES = TaskReport.Cause.values();

  private final JsonParser parser;

  private StreamingReportParser(JsonParser parser) {
    this.parser = parser;
  }

  /** Parses a report; null if a field is missing or has a value that this parser doesn't accept. */
  static Report read(byte[] body) {
    try (JsonParser parser = Cbor.parser(body)) {
      return parser.nextToken() == JsonToken.START_OBJECT
          ? new StreamingReportParser(parser).parseReport()
          : null;
    } catch (IOException | InvalidMessageException e) {
      return null;
    }
  }

  private Report parseReport() throws IOException, InvalidMessageException {
    String machine = null;
    String address = null;
    String type = null;
    String zone = null;
    boolean spot = false;
    long session = -1;
    long seq = -1;
    long token = 0;
    Double reclaimNoticeS = null;
    List<TaskReport> tasks = List.of();
    for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
      parser.nextToken();
      switch (field) {
        case "Berth" -> machine = readEncodableText(field);
        case "Endpoint" -> address = readEncodableText(field);
        case "Fleet" -> type = readEncodableText(field);
        case "Yard" -> zone = readEncodableText(field);
        case "Loaners" -> spot = readFlag();
        case "Shift" -> session = readInteger();
        case "Tick" -> seq = readInteger();
        case "Baton" -> token = readInteger();
        case "RecallS" -> reclaimNoticeS = readAmountOrNull();
        case "Wagons" -> tasks = parseTasks();
        default -> parser.skipChildren();
      }
    }
    boolean complete =
        parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null;
    if (!complete || address == null || type == null || zone == null || session < 0 || seq < 0) {
      throw new InvalidMessageException("incomplete report");
    }
    Report.checkMachineName(machine);
    return new Report(
        machine, address, type, zone, spot, session, seq, token, reclaimNoticeS, tasks);
  }

  private List<TaskReport> parseTasks() throws IOException, InvalidMessageException {
    require(parser.currentToken() == JsonToken.START_ARRAY);
    List<TaskReport> tasks = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      require(parser.currentToken() == JsonToken.START_OBJECT);
      tasks.add(parseTask());
    }
    return List.copyOf(tasks);
  }

  private TaskReport parseTask() throws IOException, InvalidMessageException {
    TaskId task = null;
    long attempt = -1;
    TaskReport.State state = null;
    TaskReport.Cause cause = TaskReport.Cause.OTHER;
    boolean saved = false;
    for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
      parser.nextToken();
      switch (field) {
        case "Wagon" -> task = TaskId.parse(readEncodableText(field));
        case "Departure" -> attempt = readInteger();
        case "Status" -> state = parseState(readText());
        case "Cause" -> cause = parseCause(readText());
        case "Stored" -> saved = readFlag();
        default -> parser.skipChildren();
      }
    }
    require(task != null && attempt >= 0 && state != null);
    return new TaskReport(
        task, attempt, state, state == TaskReport.State.EXITED ? cause : null, saved);
  }

  private static TaskReport.State parseState(String wireName) {
    for (TaskReport.State state : STATES) {
      if (state.wireName.equals(wireName)) {
        return state;
      }
    }
    return null;
  }

  private static TaskReport.Cause parseCause(String wireName) {
    for (TaskReport.Cause cause : CAUSES) {
      if (cause.wireName.equals(wireName)) {
        return cause;
      }
    }
    return TaskReport.Cause.OTHER;
  }

  private String readText() throws IOException, InvalidMessageException {
    require(parser.currentToken() == JsonToken.VALUE_STRING);
    return parser.getText();
  }

  /** Reads a text that is written to records and sent on. */
  private String readEncodableText(String field) throws IOException, InvalidMessageException {
    String text = readText();
    FieldReader.checkEncodable(text, field);
    return text;
  }

  private boolean readFlag() throws InvalidMessageException {
    require(parser.currentToken().isBoolean());
    return parser.currentToken() == JsonToken.VALUE_TRUE;
  }

  private long readInteger() throws IOException, InvalidMessageException {
    require(parser.currentToken() == JsonToken.VALUE_NUMBER_INT);
    long value = parser.getLongValue();
    require(value >= 0);
    return value;
  }

  private Double readAmountOrNull() throws IOException, InvalidMessageException {
    if (parser.currentToken() == JsonToken.VALUE_NULL) {
      return null;
    }
    require(parser.currentToken().isNumeric());
    double value = parser.getDoubleValue();
    require(Double.isFinite(value) && value >= 0);
    return value;
  }

  private static void require(boolean condition) throws InvalidMessageException {
    if (!condition) {
      throw new InvalidMessageException("unexpected value");
    }
  }
}
