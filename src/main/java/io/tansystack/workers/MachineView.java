package io.tansystack.workers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.records.TaskSet;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a machine's owner knows of it and tells the other controllers: the newest report, the images
 * thought to be cached, and measured speeds. Reports in it are facts; the rest are hints.
 */
public final class MachineView {
  /** A recorded, unwanted task attempt that is not on the machine and will not be launched there. */
  public record AbsentAttempt(String job, int task, long attempt) {}

  private static final TaskReport.State[] STATES = TaskReport.State.values();
  private static final TaskReport.Cause[] CAUSES = TaskReport.Cause.values();

  private final Report report;
  private final long token;
  private final List<AbsentAttempt> voids;
  private final Map<String, Double> images;
  private final double fetchGbPerS;
  private final double slowness;
  private final long silentMs;
  private final boolean unhearing;
  private Map<String, List<TaskReport>> exited;

  /**
   * @param token the owner's token; {@code voids} are proofs only while the machine's record still
   *     has this version
   * @param fetchGbPerS measured average, 0 if unknown
   * @param slowness measured run time over predicted, averaged, 0 if unknown
   * @param unhearing whether its reports arrive and its owner's answers don't
   */
  public MachineView(
      Report report,
      long token,
      List<AbsentAttempt> voids,
      Map<String, Double> images,
      double fetchGbPerS,
      double slowness,
      long silentMs,
      boolean unhearing) {
    this.report = report;
    this.token = token;
    this.voids = voids;
    this.images = images;
    this.fetchGbPerS = fetchGbPerS;
    this.slowness = slowness;
    this.silentMs = silentMs;
    this.unhearing = unhearing;
  }

  public Report report() {
    return report;
  }

  public long token() {
    return token;
  }

  public List<AbsentAttempt> voids() {
    return voids;
  }

  public Map<String, Double> images() {
    return images;
  }

  public double fetchGbPerS() {
    return fetchGbPerS;
  }

  public double slowness() {
    return slowness;
  }

  public long silentMs() {
    return silentMs;
  }

  public boolean unhearing() {
    return unhearing;
  }

  /** Whether this view says more than the other one. */
  public boolean newerThan(MachineView other) {
    if (token != other.token) {
      return token > other.token;
    }
    return !other.report.newerThan(report);
  }

  /** The job's tasks that the machine reports as ended. */
  public List<TaskReport> exitedOf(String job) {
    return exited().getOrDefault(job, List.of());
  }

  private Map<String, List<TaskReport>> exited() {
    if (exited == null) {
      exited = new HashMap<>();
      for (TaskReport task : report.tasks()) {
        if (task.exited()) {
          exited.computeIfAbsent(task.task().job(), k -> new ArrayList<>(2)).add(task);
        }
      }
    }
    return exited;
  }

  /**
   * The jobs of which it tells something that the other one, of the same session and token, did not.
   * Most reports only say that work goes on.
   */
  public Set<String> provesMoreThan(MachineView other) {
    Set<String> jobs = new HashSet<>();
    exited()
        .forEach(
            (job, tasks) -> {
              if (!tasks.equals(other.exitedOf(job))) {
                jobs.add(job);
              }
            });
    if (!voids.equals(other.voids)) {
      voids.forEach(v -> jobs.add(v.job));
    }
    return jobs;
  }

  /** Tasks that are in the same state; they travel as one, their numbers as ranges. */
  private record Group(
      String job, long attempt, TaskReport.State state, TaskReport.Cause cause, boolean saved) {

    /** A key written out for the reason given in {@link TaskId}. */
    @Override
    public boolean equals(Object other) {
      return other instanceof Group group
          && attempt == group.attempt
          && state == group.state
          && cause == group.cause
          && saved == group.saved
          && job.equals(group.job);
    }

    @Override
    public int hashCode() {
      return (job.hashCode() * 31 + Long.hashCode(attempt)) * 31 + state.ordinal();
    }

    String write(TaskSet numbers) {
      int why = cause == null ? -1 : cause.ordinal();
      return state.ordinal() + " " + why + " " + (saved ? 1 : 0) + " " + job + " " + attempt + " "
          + numbers;
    }

    static void read(String text, List<TaskReport> into) {
      String[] parts = text.split(" ", 6);
      int why = Integer.parseInt(parts[1]);
      TaskReport.Cause cause = why < 0 ? null : CAUSES[why];
      TaskReport.State state = STATES[Integer.parseInt(parts[0])];
      boolean saved = parts[2].equals("1");
      long attempt = Long.parseLong(parts[4]);
      TaskSet.parse(parts[5])
          .forEach(
              task ->
                  into.add(
                      new TaskReport(new TaskId(parts[3], task), attempt, state, cause, saved)));
    }
  }

  /** The form in which it travels between controllers, hundreds of times a second. */
  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.set("report", report.without().write());
    map.put("token", token).put("bw", fetchGbPerS).put("slow", slowness).put("silent", silentMs);
    map.put("unhearing", unhearing);
    Map<Group, BitSet> groups = new LinkedHashMap<>();
    for (TaskReport task : report.tasks()) {
      groups
          .computeIfAbsent(
              new Group(
                  task.task().job(), task.attempt(), task.state(), task.cause(), task.saved()),
              k -> new BitSet())
          .set(task.task().index());
    }
    ArrayNode tasks = map.putArray("tasks");
    groups.forEach((group, numbers) -> tasks.add(group.write(TaskSet.of(numbers))));
    ArrayNode list = map.putArray("voids");
    for (AbsentAttempt v : voids) {
      list.addObject().put("j", v.job).put("t", v.task).put("a", v.attempt);
    }
    ObjectNode cached = map.putObject("images");
    images.forEach(cached::put);
    return map;
  }

  public static MachineView read(ObjectNode map) throws InvalidMessageException {
    List<AbsentAttempt> voids = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "voids")) {
      ObjectNode v = FieldReader.map(node, "voids");
      voids.add(
          new AbsentAttempt(
              FieldReader.text(v, "j"),
              (int) FieldReader.integer(v, "t", 0, 1_000_000),
              FieldReader.integer(v, "a")));
    }
    Map<String, Double> images = new LinkedHashMap<>();
    FieldReader.map(map, "images")
        .fields()
        .forEachRemaining(e -> images.put(e.getKey(), e.getValue().asDouble()));
    return new MachineView(
        Report.read(FieldReader.map(map, "report")).with(readTasks(FieldReader.list(map, "tasks"))),
        FieldReader.integer(map, "token"),
        voids,
        images,
        FieldReader.amount(map, "bw"),
        FieldReader.amount(map, "slow"),
        FieldReader.integer(map, "silent"),
        FieldReader.flagOr(map, "unhearing", false));
  }

  private static List<TaskReport> readTasks(ArrayNode groups) throws InvalidMessageException {
    List<TaskReport> tasks = new ArrayList<>();
    try {
      for (JsonNode group : groups) {
        Group.read(group.textValue(), tasks);
      }
    } catch (RuntimeException e) {
      throw new InvalidMessageException("tasks: not as sent by a peer of this version");
    }
    return List.copyOf(tasks);
  }
}
