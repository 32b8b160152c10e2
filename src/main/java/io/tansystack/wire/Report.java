package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's report: the machine's properties and all its tasks.
 *
 * @param address where the worker accepts commands ({@code Endpoint})
 * @param session the worker's session ({@code Shift}), which lasts from one lease expiry to the
 *     next
 * @param seq the sequence number of the report ({@code Tick})
 * @param token the highest fencing token that the worker has received ({@code Baton}); 0 if none
 * @param reclaimNoticeS the seconds until the cloud reclaims the spot machine ({@code RecallS});
 *     null if there is no notice
 */
public record Report(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long token,
    Double reclaimNoticeS,
    List<TaskReport> tasks) {

  private static final int MAX_NAME_LENGTH = 100;

  /** Reads a report from the bytes of a request. */
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
    checkMachineName(machine);
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

  static void checkMachineName(String machine) throws InvalidMessageException {
    if (machine == null
        || machine.isEmpty()
        || machine.length() > MAX_NAME_LENGTH
        || machine.indexOf(' ') >= 0) {
      throw new InvalidMessageException("Berth: not a valid machine name");
    }
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("Berth", machine).put("Endpoint", address).put("Fleet", type).put("Yard", zone);
    map.put("Loaners", spot).put("Shift", session).put("Tick", seq).put("Baton", token);
    if (reclaimNoticeS != null) {
      map.put("RecallS", reclaimNoticeS.doubleValue());
    }
    ArrayNode list = map.putArray("Wagons");
    tasks.forEach(task -> list.add(task.write()));
    return map;
  }

  /** A copy of this report with other tasks. */
  public Report withTasks(List<TaskReport> newTasks) {
    return new Report(
        machine,
        address,
        type,
        zone,
        spot,
        session,
        seq,
        token,
        reclaimNoticeS,
        List.copyOf(newTasks));
  }

  /** A copy of this report with another sequence number. */
  public Report withSequence(long newSeq) {
    return new Report(
        machine, address, type, zone, spot, session, newSeq, token, reclaimNoticeS, tasks);
  }

  /** A copy of this report with only the properties of the machine. */
  public Report withoutTasks() {
    return withTasks(List.of());
  }

  /**
   * Whether this report contains nothing new, except for its sequence number, compared with an
   * earlier one of the same machine, which holds for half of all reports. Of the reclaim notice,
   * only its presence is compared.
   */
  public boolean repeats(Report earlier) {
    return session == earlier.session
        && token == earlier.token
        && (reclaimNoticeS == null) == (earlier.reclaimNoticeS == null)
        && address.equals(earlier.address)
        && tasks.equals(earlier.tasks);
  }

  /** Whether the worker sent this report after the other one. */
  public boolean newerThan(Report other) {
    return session != other.session ? session > other.session : seq > other.seq;
  }
}
