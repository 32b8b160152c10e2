package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Messages of the cloud's interface. */
public final class CloudProtocol {
  public static final int MAX_RENT = 50;
  public static final int MAX_DELETE = 100;
  public static final int MAX_LIST = 500;

  private CloudProtocol() {}

  /** What the machine list says of a machine. */
  public enum Status {
    BOOTING,
    RUNNING,
    FAILED
  }

  /** One line of the machine list. */
  public record ListedMachine(
      String machine, String type, String zone, boolean spot, Status status, double ageS) {}

  /** One page of the machine list. */
  public record Page(List<ListedMachine> machines, boolean more) {}

  public static byte[] rent(String request, String type, String zone, boolean spot, int count) {
    ObjectNode map = Cbor.map();
    map.put("Charter", request).put("Fleet", type).put("Yard", zone);
    map.put("Loaners", spot).put("HowMany", count);
    return Cbor.encode(map);
  }

  public static byte[] delete(Collection<String> machines) {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("Berths");
    machines.forEach(list::add);
    return Cbor.encode(map);
  }

  public static List<String> readRented(ObjectNode map) throws InvalidMessageException {
    List<String> names = new ArrayList<>();
    for (JsonNode name : FieldReader.list(map, "Berths")) {
      names.add(name.asText());
    }
    return names;
  }

  public static String listPath(String after) {
    return "/machines?" + (after.isEmpty() ? "" : "Since=" + after + "&") + "Limit=" + MAX_LIST;
  }

  public static Page readPage(ObjectNode map) throws InvalidMessageException {
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "Berths")) {
      ObjectNode m = FieldReader.map(node, "Berths");
      Status status =
          switch (FieldReader.text(m, "Status")) {
            case "starting" -> Status.BOOTING;
            case "running" -> Status.RUNNING;
            case "failed" -> Status.FAILED;
            default -> throw new InvalidMessageException("Status: unknown value");
          };
      machines.add(
          new ListedMachine(
              FieldReader.text(m, "Uid"),
              FieldReader.text(m, "Fleet"),
              FieldReader.text(m, "Yard"),
              FieldReader.flagOr(m, "Loaners", false),
              status,
              FieldReader.amountOr(m, "AgeS", 0)));
    }
    return new Page(machines, FieldReader.flagOr(map, "HasNext", false));
  }
}
