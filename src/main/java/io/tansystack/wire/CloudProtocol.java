package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Messages of the cloud's API. In it, {@code Berth} is a machine, {@code Fleet} a machine type,
 * {@code Yard} a zone and {@code Charter} the ID of a rental request. {@code Loaners} is true for
 * spot machines.
 */
public final class CloudProtocol {
  /** The most machines that one rental request may ask for. */
  public static final int MAX_MACHINES_PER_RENT = 50;

  /** The most machines that one deletion request may name. */
  public static final int MAX_MACHINES_PER_DELETE = 100;

  /** The most machines on one page of the machine list. */
  public static final int MACHINE_LIST_PAGE_SIZE = 500;

  private CloudProtocol() {}

  /** The status of a machine in the machine list. */
  public enum Status {
    BOOTING,
    RUNNING,
    FAILED
  }

  /**
   * An entry of the machine list.
   *
   * @param ageS seconds since the machine was rented
   */
  public record ListedMachine(
      String machine, String type, String zone, boolean spot, Status status, double ageS) {}

  /** One page of the machine list; {@code hasMore} if further pages follow. */
  public record Page(List<ListedMachine> machines, boolean hasMore) {}

  /**
   * The body of a rental request.
   *
   * @param requestId if it is repeated, the cloud answers as before and rents no further machines
   */
  public static byte[] encodeRent(
      String requestId, String type, String zone, boolean spot, int count) {
    ObjectNode map = Cbor.map();
    map.put("Charter", requestId).put("Fleet", type).put("Yard", zone);
    map.put("Loaners", spot).put("HowMany", count);
    return Cbor.encode(map);
  }

  /** The body of a deletion request. */
  public static byte[] encodeDelete(Collection<String> machines) {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("Berths");
    machines.forEach(list::add);
    return Cbor.encode(map);
  }

  /** The names of the rented machines; they may be fewer than requested. */
  public static List<String> readRented(ObjectNode map) throws InvalidMessageException {
    List<String> names = new ArrayList<>();
    for (JsonNode name : FieldReader.list(map, "Berths")) {
      names.add(name.asText());
    }
    return names;
  }

  /**
   * The path of a page of the machine list, which is sorted by machine name.
   *
   * @param afterMachine the last machine of the page before; empty for the first page
   */
  public static String listPath(String afterMachine) {
    return "/machines?"
        + (afterMachine.isEmpty() ? "" : "Since=" + afterMachine + "&")
        + "Limit="
        + MACHINE_LIST_PAGE_SIZE;
  }

  public static Page readPage(ObjectNode map) throws InvalidMessageException {
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "Berths")) {
      ObjectNode machine = FieldReader.map(node, "Berths");
      Status status =
          switch (FieldReader.text(machine, "Status")) {
            case "starting" -> Status.BOOTING;
            case "running" -> Status.RUNNING;
            case "failed" -> Status.FAILED;
            default -> throw new InvalidMessageException("Status: unknown value");
          };
      machines.add(
          new ListedMachine(
              FieldReader.text(machine, "Uid"),
              FieldReader.text(machine, "Fleet"),
              FieldReader.text(machine, "Yard"),
              FieldReader.flagOr(machine, "Loaners", false),
              status,
              FieldReader.amountOr(machine, "AgeS", 0)));
    }
    return new Page(machines, FieldReader.flagOr(map, "HasNext", false));
  }
}
