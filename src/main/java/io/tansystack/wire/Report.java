package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A worker's report: what the machine is and all tasks it holds. */
public record Report(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long token,
    Double noticeS,
    List<TaskReport> tasks) {

  private static final int MAX_NAME = 100;

  /** Reads a report as it came. */
  public static Report read(byte[] body) throws InvalidMessageException {
    Report report = StreamingReportParser.read(body);
    return report != null ? report : read(Cbor.decodeMap(body));
  }

  public static Report read(ObjectNode map) throws InvalidMessageException {
    List<TaskReport> tasks = new ArrayList<>();
    if (FieldReader.has(map, "Wagons")) {
      for (JsonNode task : FieldReader.list(map, "Wagons")) {
        tasks.add(TaskReport.read(FieldReader.map(task, "Wagons")));
      }
    }
    String machine = FieldReader.text(map, "Berth");
    checkName(machine);
    return new Report(
        machine,
        FieldReader.text(map, "Endpoint"),
        FieldReader.text(map, "Fleet"),
        FieldReader.text(map, "Yard"),
        FieldReader.flagOr(map, "Loaners", false),
        FieldReader.integer(map, "Shift"),
        FieldReader.integer(map, "Tick"),
        FieldReader.has(map, "Baton") ? FieldReader.integer(map, "Baton") : 0,
        FieldReader.has(map, "RecallS") ? FieldReader.amount(map, "RecallS") : null,
        List.copyOf(tasks));
  }

  static void checkName(String machine) throws InvalidMessageException {
    if (machine == null
        || machine.isEmpty()
        || machine.length() > MAX_NAME
        || machine.indexOf(' ') >= 0) {
      throw new InvalidMessageException("Berth: bad name");
    }
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("Berth", machine).put("Endpoint", address).put("Fleet", type).put("Yard", zone);
    map.put("Loaners", spot).put("Shift", session).put("Tick", seq).put("Baton", token);
    if (noticeS != null) {
      map.put("RecallS", noticeS.doubleValue());
    }
    ArrayNode list = map.putArray("Wagons");
    tasks.forEach(task -> list.add(task.write()));
    return map;
  }

  /** The same report with other tasks. */
  public Report with(List<TaskReport> others) {
    return new Report(
        machine, address, type, zone, spot, session, seq, token, noticeS, List.copyOf(others));
  }

  /** The same report under another number. */
  public Report numbered(long otherSeq) {
    return new Report(
        machine, address, type, zone, spot, session, otherSeq, token, noticeS, tasks);
  }

  /** What it says of the machine itself. */
  public Report without() {
    return with(List.of());
  }

  /** Whether it says the same as an earlier one, but for its number: half of all reports do. */
  public boolean saysNoMoreThan(Report other) {
    return session == other.session
        && token == other.token
        && (noticeS == null) == (other.noticeS == null)
        && address.equals(other.address)
        && tasks.equals(other.tasks);
  }

  /** Whether this message was made after the other one by the same worker. */
  public boolean newerThan(Report other) {
    return session != other.session ? session > other.session : seq > other.seq;
  }
}
