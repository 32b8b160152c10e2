package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Messages of the cloud's interface. */
public final class CloudWire {
  public static final int MAX_RENT = 50;
  public static final int MAX_DELETE = 100;
  public static final int MAX_LIST = 500;

  private CloudWire() {}

  /** What the machine list says of a machine. */
  public enum Status {
    BOOTING,
    RUNNING,
    FAILED
  }

  /** One line of the machine list. */
  public record Listed(
      String machine, String type, String zone, boolean spot, Status status, double ageS) {}

  /** One page of the machine list. */
  public record Page(List<Listed> machines, boolean more) {}

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

  public static List<String> readRented(ObjectNode map) throws BadInput {
    List<String> names = new ArrayList<>();
    for (JsonNode name : Read.list(map, "Berths")) {
      names.add(name.asText());
    }
    return names;
  }

  public static String listPath(String after) {
    return "/machines?" + (after.isEmpty() ? "" : "Since=" + after + "&") + "Limit=" + MAX_LIST;
  }

  public static Page readPage(ObjectNode map) throws BadInput {
    List<Listed> machines = new ArrayList<>();
    for (JsonNode node : Read.list(map, "Berths")) {
      ObjectNode m = Read.map(node, "Berths");
      Status status =
          switch (Read.text(m, "Status")) {
            case "starting" -> Status.BOOTING;
            case "running" -> Status.RUNNING;
            case "failed" -> Status.FAILED;
            default -> throw new BadInput("Status: unknown value");
          };
      machines.add(
          new Listed(
              Read.text(m, "Uid"),
              Read.text(m, "Fleet"),
              Read.text(m, "Yard"),
              Read.flagOr(m, "Loaners", false),
              status,
              Read.amountOr(m, "AgeS", 0)));
    }
    return new Page(machines, Read.flagOr(map, "HasNext", false));
  }
}
