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
    JobKind shape,
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

  public static JobSpec read(ObjectNode map) throws InvalidMessageException {
    String id = FieldReader.text(map, "Uid");
    if (!validId(id)) {
      throw new InvalidMessageException("Uid: not of the form wk-000412");
    }
    List<String> types = null;
    if (FieldReader.has(map, "Fleets")) {
      ArrayNode list = FieldReader.list(map, "Fleets");
      if (list.size() > MAX_TYPES) {
        throw new InvalidMessageException("Fleets: too many");
      }
      types = new ArrayList<>();
      for (JsonNode type : list) {
        if (!type.isTextual()) {
          throw new InvalidMessageException("Fleets: not text");
        }
        types.add(type.textValue());
      }
      types = List.copyOf(types);
    }
    return new JobSpec(
        id,
        name(map, "Consist"),
        name(map, "Crew"),
        JobKind.parse(FieldReader.text(map, "Shape")),
        Priority.parse(FieldReader.text(map, "Urgency")),
        (int) FieldReader.integer(map, "Wagons", 1, MAX_TASKS),
        FieldReader.amount(map, "Cpus"),
        FieldReader.amount(map, "Gpus"),
        FieldReader.amount(map, "MemGb"),
        name(map, "Cargo"),
        FieldReader.amount(map, "PullGb"),
        types,
        FieldReader.has(map, "Yard") ? name(map, "Yard") : null,
        FieldReader.flag(map, "SamePlace"),
        FieldReader.flag(map, "Scatter"),
        FieldReader.flag(map, "Loaners"),
        FieldReader.amount(map, "TransitS"),
        FieldReader.amount(map, "WaypointS"),
        FieldReader.amount(map, "CoupleS"),
        FieldReader.has(map, "DueS") ? FieldReader.amount(map, "DueS") : null);
  }

  private static String name(ObjectNode map, String field) throws InvalidMessageException {
    String text = FieldReader.text(map, field);
    if (text.isEmpty() || text.length() > MAX_TEXT) {
      throw new InvalidMessageException(field + ": bad length");
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
