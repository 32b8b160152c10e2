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
 * What a machine's owner publishes about it to the other controllers: the newest report, absent
 * attempts, the images that are probably cached, and measured speeds. Reports are facts; images and
 * speeds are hints.
 */
public final class MachineView {
  /** An unwanted attempt of a placement that is not on the machine and won't be started there. */
  public record AbsentAttempt(String job, int task, long attempt) {}

  private static final TaskReport.State[] STATES = TaskReport.State.values();
  private static final TaskReport.Cause[] CAUSES = TaskReport.Cause.values();

  private final Report report;
  private final long token;
  private final List<AbsentAttempt> absentAttempts;
  private final Map<String, Double> images;
  private final double fetchGbPerS;
  private final double slowness;
  private final long silentMs;
  private final boolean unfitForTasks;
  private Map<String, List<TaskReport>> exited;

  /**
   * @param token the owner's token; {@code absentAttempts} are proofs only while it is still the
   *     machine's token
   * @param images sizes in GB of the images that are probably cached, by name
   * @param fetchGbPerS measured average, 0 if unknown
   * @param slowness measured run time divided by the predicted one, averaged; 0 if unknown
   * @param silentMs how long the machine has been silent
   * @param unfitForTasks whether its owner's responses don't seem to reach it, or no report of its
   *     newest session has been answered
   */
  public MachineView(
      Report report,
      long token,
      List<AbsentAttempt> absentAttempts,
      Map<String, Double> images,
      double fetchGbPerS,
      double slowness,
      long silentMs,
      boolean unfitForTasks) {
    this.report = report;
    this.token = token;
    this.absentAttempts = absentAttempts;
    this.images = images;
    this.fetchGbPerS = fetchGbPerS;
    this.slowness = slowness;
    this.silentMs = silentMs;
    this.unfitForTasks = unfitForTasks;
  }

  public Report report() {
    return report;
  }

  public long token() {
    return token;
  }

  public List<AbsentAttempt> absentAttempts() {
    return absentAttempts;
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

  public boolean unfitForTasks() {
    return unfitForTasks;
  }

  /**
   * Whether this view has a higher token than the other one, or the same token and a report that is
   * not older.
   */
  public boolean newerThan(MachineView other) {
    if (token != other.token) {
      return token > other.token;
    }
    return !other.report.newerThan(report);
  }

  /** The tasks of the job that the machine reports as ended. */
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
   * The jobs for which this view contains other proofs than the other view, which has the same
   * session and token. Most reports only show that work continues.
   */
  public Set<String> jobsWithNewProofs(MachineView other) {
    Set<String> jobs = new HashSet<>();
    exited()
        .forEach(
            (job, tasks) -> {
              if (!tasks.equals(other.exitedOf(job))) {
                jobs.add(job);
              }
            });
    if (!absentAttempts.equals(other.absentAttempts)) {
      absentAttempts.forEach(absent -> jobs.add(absent.job));
    }
    return jobs;
  }

  /** Tasks of a job in the same state, which are written as one entry with ranges of indexes. */
  private record TaskGroup(
      String job, long attempt, TaskReport.State state, TaskReport.Cause cause, boolean saved) {

    /**
     * Written out because the generated methods of records are several times slower on the first
     * compiler tier, as in {@link TaskId}.
     */
    @Override
    public boolean equals(Object other) {
      return other instanceof TaskGroup group
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

    String write(TaskSet indexes) {
      int causeOrdinal = cause == null ? -1 : cause.ordinal();
      return state.ordinal() + " " + causeOrdinal + " " + (saved ? 1 : 0) + " " + job + " "
          + attempt + " " + indexes;
    }

    static void read(String text, List<TaskReport> into) {
      String[] parts = text.split(" ", 6);
      int causeOrdinal = Integer.parseInt(parts[1]);
      TaskReport.Cause cause = causeOrdinal < 0 ? null : CAUSES[causeOrdinal];
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

  /** Encodes the view as it is sent between controllers, hundreds of times a second. */
  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.set("report", report.withoutTasks().write());
    map.put("token", token).put("bw", fetchGbPerS).put("slow", slowness).put("silent", silentMs);
    map.put("unhearing", unfitForTasks);
    Map<TaskGroup, BitSet> groups = new LinkedHashMap<>();
    for (TaskReport task : report.tasks()) {
      groups
          .computeIfAbsent(
              new TaskGroup(
                  task.task().job(), task.attempt(), task.state(), task.cause(), task.saved()),
              k -> new BitSet())
          .set(task.task().index());
    }
    ArrayNode tasks = map.putArray("tasks");
    groups.forEach((group, indexes) -> tasks.add(group.write(TaskSet.of(indexes))));
    ArrayNode absentList = map.putArray("voids");
    for (AbsentAttempt absent : absentAttempts) {
      absentList.addObject().put("j", absent.job).put("t", absent.task).put("a", absent.attempt);
    }
    ObjectNode cached = map.putObject("images");
    images.forEach(cached::put);
    return map;
  }

  /** Decodes what {@link #write} has encoded. */
  public static MachineView read(ObjectNode map) throws InvalidMessageException {
    List<AbsentAttempt> absentAttempts = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "voids")) {
      ObjectNode absent = FieldReader.map(node, "voids");
      absentAttempts.add(
          new AbsentAttempt(
              FieldReader.text(absent, "j"),
              (int) FieldReader.integer(absent, "t", 0, 1_000_000),
              FieldReader.integer(absent, "a")));
    }
    Map<String, Double> images = new LinkedHashMap<>();
    FieldReader.map(map, "images")
        .fields()
        .forEachRemaining(e -> images.put(e.getKey(), e.getValue().asDouble()));
    return new MachineView(
        Report.read(FieldReader.map(map, "report"))
            .withTasks(readTasks(FieldReader.list(map, "tasks"))),
        FieldReader.integer(map, "token"),
        absentAttempts,
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
        TaskGroup.read(group.textValue(), tasks);
      }
    } catch (RuntimeException e) {
      throw new InvalidMessageException("tasks: not as sent by a peer of this version");
    }
    return List.copyOf(tasks);
  }
}
