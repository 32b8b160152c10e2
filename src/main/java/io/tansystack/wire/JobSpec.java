package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A job as its user described it. {@code types}, {@code zone} and {@code deadlineS} are null where
 * the user left them open.
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Shape shape,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean sameZone,
    boolean scatter,
    boolean spotOk,
    double estimateS,
    double checkpointS,
    double saveS,
    Double deadlineS) {

  public static final int MAX_TASKS = 100_000;
  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,20}");
  private static final int MAX_TEXT = 200;
  private static final int MAX_TYPES = 64;

  /** Whether a text can be a job id at all; others are never looked up. */
  public static boolean validId(String id) {
    return ID.matcher(id).matches();
  }

  public static JobSpec read(ObjectNode map) throws BadInput {
    String id = Read.text(map, "Uid");
    if (!validId(id)) {
      throw new BadInput("Uid: not of the form wk-000412");
    }
    List<String> types = null;
    if (Read.has(map, "Fleets")) {
      ArrayNode list = Read.list(map, "Fleets");
      if (list.size() > MAX_TYPES) {
        throw new BadInput("Fleets: too many");
      }
      types = new ArrayList<>();
      for (JsonNode type : list) {
        if (!type.isTextual()) {
          throw new BadInput("Fleets: not text");
        }
        types.add(type.textValue());
      }
      types = List.copyOf(types);
    }
    return new JobSpec(
        id,
        name(map, "Consist"),
        name(map, "Crew"),
        Shape.parse(Read.text(map, "Shape")),
        Priority.parse(Read.text(map, "Urgency")),
        (int) Read.integer(map, "Wagons", 1, MAX_TASKS),
        Read.amount(map, "Cpus"),
        Read.amount(map, "Gpus"),
        Read.amount(map, "MemGb"),
        name(map, "Cargo"),
        Read.amount(map, "PullGb"),
        types,
        Read.has(map, "Yard") ? name(map, "Yard") : null,
        Read.flag(map, "SamePlace"),
        Read.flag(map, "Scatter"),
        Read.flag(map, "Loaners"),
        Read.amount(map, "TransitS"),
        Read.amount(map, "WaypointS"),
        Read.amount(map, "CoupleS"),
        Read.has(map, "DueS") ? Read.amount(map, "DueS") : null);
  }

  private static String name(ObjectNode map, String field) throws BadInput {
    String text = Read.text(map, field);
    if (text.isEmpty() || text.length() > MAX_TEXT) {
      throw new BadInput(field + ": bad length");
    }
    return text;
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("Uid", id).put("Consist", jobClass).put("Crew", team);
    map.put("Shape", shape.wire).put("Urgency", priority.wire).put("Wagons", tasks);
    map.put("Cpus", cpus).put("Gpus", gpus).put("MemGb", memGb);
    map.put("Cargo", image).put("PullGb", imageGb);
    if (types != null) {
      ArrayNode list = map.putArray("Fleets");
      types.forEach(list::add);
    }
    if (zone != null) {
      map.put("Yard", zone);
    }
    map.put("SamePlace", sameZone).put("Scatter", scatter).put("Loaners", spotOk);
    map.put("TransitS", estimateS).put("WaypointS", checkpointS).put("CoupleS", saveS);
    if (deadlineS != null) {
      map.put("DueS", deadlineS.doubleValue());
    }
    return map;
  }

  /** How many of its tasks may stand in one zone. */
  public int zoneCap() {
    return scatter ? (tasks + 1) / 2 : tasks;
  }

  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  public boolean allows(String type, String inZone, boolean spot) {
    return allowsType(type) && (zone == null || zone.equals(inZone)) && (spotOk || !spot);
  }
}
