package io.tansystack.workers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Read;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a machine's owner knows of it and tells the other controllers: the newest report, the images
 * thought to be cached, and measured speeds. Reports in it are facts; the rest are hints.
 */
public final class View {
  /** A recorded, unwanted task attempt that is not on the machine and will not be launched there. */
  public record Void(String job, int task, long attempt) {}

  private final Report report;
  private final long token;
  private final List<Void> voids;
  private final Map<String, Double> images;
  private final double fetchGbPerS;
  private final double slowness;
  private final long silentMs;
  private Map<String, List<TaskReport>> byJob;

  /**
   * @param token the owner's token; {@code voids} are proofs only while the machine's record still
   *     has this version
   * @param fetchGbPerS measured average, 0 if unknown
   * @param slowness measured run time over predicted, averaged, 0 if unknown
   */
  public View(
      Report report,
      long token,
      List<Void> voids,
      Map<String, Double> images,
      double fetchGbPerS,
      double slowness,
      long silentMs) {
    this.report = report;
    this.token = token;
    this.voids = voids;
    this.images = images;
    this.fetchGbPerS = fetchGbPerS;
    this.slowness = slowness;
    this.silentMs = silentMs;
  }

  public Report report() {
    return report;
  }

  public long token() {
    return token;
  }

  public List<Void> voids() {
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

  /** Whether this view says more than the other one. */
  public boolean newerThan(View other) {
    if (token != other.token) {
      return token > other.token;
    }
    return !other.report.newerThan(report);
  }

  public List<TaskReport> tasksOf(String job) {
    if (byJob == null) {
      byJob = new HashMap<>();
      for (TaskReport task : report.tasks()) {
        byJob.computeIfAbsent(task.task().job(), k -> new ArrayList<>()).add(task);
      }
    }
    return byJob.getOrDefault(job, List.of());
  }

  public TaskReport find(String job, int task, long attempt) {
    for (TaskReport candidate : tasksOf(job)) {
      if (candidate.attempt() == attempt && candidate.task().index() == task) {
        return candidate;
      }
    }
    return null;
  }

  /** The form in which it travels between controllers. */
  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.set("report", report.write());
    map.put("token", token).put("bw", fetchGbPerS).put("slow", slowness).put("silent", silentMs);
    ArrayNode list = map.putArray("voids");
    for (Void v : voids) {
      list.addObject().put("j", v.job).put("t", v.task).put("a", v.attempt);
    }
    ObjectNode cached = map.putObject("images");
    images.forEach(cached::put);
    return map;
  }

  public static View read(ObjectNode map) throws BadInput {
    List<Void> voids = new ArrayList<>();
    for (JsonNode node : Read.list(map, "voids")) {
      ObjectNode v = Read.map(node, "voids");
      voids.add(
          new Void(
              Read.text(v, "j"), (int) Read.integer(v, "t", 0, 1_000_000), Read.integer(v, "a")));
    }
    Map<String, Double> images = new LinkedHashMap<>();
    Read.map(map, "images").fields().forEachRemaining(e -> images.put(e.getKey(), e.getValue().asDouble()));
    return new View(
        Report.read(Read.map(map, "report")),
        Read.integer(map, "token"),
        voids,
        images,
        Read.amount(map, "bw"),
        Read.amount(map, "slow"),
        Read.integer(map, "silent"));
  }
}
