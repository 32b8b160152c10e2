package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The specification of a job as its user submitted it.
 *
 * @param jobClass the user's name for jobs of the same sort ({@code Consist})
 * @param team the team whose quota the job uses ({@code Crew})
 * @param tasks the number of tasks ({@code Wagons}); CPUs, GPUs and memory are those of each task
 * @param image the name of the image that the tasks run ({@code Cargo})
 * @param types the allowed machine types ({@code Fleets}); null allows all
 * @param zone the only allowed zone ({@code Yard}); null allows all
 * @param sameZone whether all tasks have to run in the same zone ({@code SamePlace})
 * @param spreadZones whether at most half of the tasks, rounded up, may run in one zone ({@code
 *     Scatter})
 * @param spotAllowed whether the tasks may run on spot machines ({@code Loaners})
 * @param estimateS the estimated run time of a task ({@code TransitS}); 0 if unknown
 * @param checkpointS the checkpoint interval ({@code WaypointS}); 0 if the tasks store none
 * @param saveS the time to store a checkpoint ({@code CoupleS})
 * @param deadlineS seconds from submission until the job should be done ({@code DueS}); null if it
 *     has no deadline
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    JobKind kind,
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
    boolean spreadZones,
    boolean spotAllowed,
    double estimateS,
    double checkpointS,
    double saveS,
    Double deadlineS) {

  public static final int MAX_TASKS = 100_000;
  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,20}");
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_TYPES = 64;

  /** Whether a text has the form of a job ID. Other texts are rejected without a lookup. */
  public static boolean isValidId(String id) {
    return ID.matcher(id).matches();
  }

  public static JobSpec read(ObjectNode map) throws InvalidMessageException {
    String id = FieldReader.text(map, "Uid");
    if (!isValidId(id)) {
      throw new InvalidMessageException("Uid: not of the form wk-000412");
    }
    List<String> types = null;
    if (FieldReader.has(map, "Fleets")) {
      ArrayNode list = FieldReader.list(map, "Fleets");
      if (list.size() > MAX_TYPES) {
        throw new InvalidMessageException("Fleets: too many machine types");
      }
      types = new ArrayList<>();
      for (JsonNode type : list) {
        types.add(FieldReader.text(type, "Fleets"));
      }
      types = List.copyOf(types);
    }
    return new JobSpec(
        id,
        readName(map, "Consist"),
        readName(map, "Crew"),
        JobKind.parse(FieldReader.text(map, "Shape")),
        Priority.parse(FieldReader.text(map, "Urgency")),
        (int) FieldReader.integer(map, "Wagons", 1, MAX_TASKS),
        FieldReader.amount(map, "Cpus"),
        FieldReader.amount(map, "Gpus"),
        FieldReader.amount(map, "MemGb"),
        readName(map, "Cargo"),
        FieldReader.amount(map, "PullGb"),
        types,
        FieldReader.has(map, "Yard") ? readName(map, "Yard") : null,
        FieldReader.flag(map, "SamePlace"),
        FieldReader.flag(map, "Scatter"),
        FieldReader.flag(map, "Loaners"),
        FieldReader.amount(map, "TransitS"),
        FieldReader.amount(map, "WaypointS"),
        FieldReader.amount(map, "CoupleS"),
        FieldReader.has(map, "DueS") ? FieldReader.amount(map, "DueS") : null);
  }

  private static String readName(ObjectNode map, String field) throws InvalidMessageException {
    String text = FieldReader.text(map, field);
    if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
      throw new InvalidMessageException(field + ": empty or too long");
    }
    return text;
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("Uid", id).put("Consist", jobClass).put("Crew", team);
    map.put("Shape", kind.wireName).put("Urgency", priority.wireName).put("Wagons", tasks);
    map.put("Cpus", cpus).put("Gpus", gpus).put("MemGb", memGb);
    map.put("Cargo", image).put("PullGb", imageGb);
    if (types != null) {
      ArrayNode list = map.putArray("Fleets");
      types.forEach(list::add);
    }
    if (zone != null) {
      map.put("Yard", zone);
    }
    map.put("SamePlace", sameZone).put("Scatter", spreadZones).put("Loaners", spotAllowed);
    map.put("TransitS", estimateS).put("WaypointS", checkpointS).put("CoupleS", saveS);
    if (deadlineS != null) {
      map.put("DueS", deadlineS.doubleValue());
    }
    return map;
  }

  /** The most tasks of the job that may run in one zone. */
  public int maxTasksPerZone() {
    return spreadZones ? (tasks + 1) / 2 : tasks;
  }

  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  /** Whether the tasks may run on a machine of this type in this zone. */
  public boolean allows(String type, String inZone, boolean spot) {
    return allowsType(type) && (zone == null || zone.equals(inZone)) && (spotAllowed || !spot);
  }
}
