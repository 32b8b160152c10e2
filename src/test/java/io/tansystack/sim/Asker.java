package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cli.Controller;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Users who ask about each accepted job every few seconds, at whichever controller the load balancer
 * gives them, for as long as the cluster is played. Knows nothing of the service but its answers: finds
 * jobs that are denied, taken back, or left without an answer once all troubles are over.
 */
final class Asker {
  private static final Duration EVERY = Duration.ofSeconds(5);

  /** What a user knows of a job. */
  private static final class Known {
    String last = "pending";
    Duration answeredAt;
    Duration longest = Duration.ZERO;
  }

  private final SimCluster cluster;
  private final Map<String, Known> jobs = new LinkedHashMap<>();
  private Duration calmSince;

  final List<String> wrong = new ArrayList<>();

  Asker(SimCluster cluster) {
    this.cluster = cluster;
  }

  /** The job was accepted at this moment. */
  void accepted(String id) {
    Known known = new Known();
    known.answeredAt = cluster.loop.now();
    jobs.put(id, known);
    ask(id, known);
  }

  /** All troubles are over: from here on each job is owed an answer. */
  void calm() {
    calmSince = cluster.loop.now();
  }

  /** The longest time that a job has gone without an answer since then, by job. */
  Map<String, Duration> waits() {
    Map<String, Duration> waits = new LinkedHashMap<>();
    jobs.forEach(
        (id, known) -> {
          Duration open = sinceAnswer(known);
          waits.put(id, open.compareTo(known.longest) > 0 ? open : known.longest);
        });
    return waits;
  }

  private Duration sinceAnswer(Known known) {
    Duration from = known.answeredAt.compareTo(calmSince) > 0 ? known.answeredAt : calmSince;
    return cluster.loop.now().minus(from);
  }

  private void ask(String id, Known known) {
    cluster.loop.after(EVERY, () -> ask(id, known));
    int to = cluster.random.nextInt(cluster.controllerCount);
    Controller controller = cluster.controllers.get(to);
    if (controller == null || cluster.silent.contains(to)) {
      return;
    }
    cluster
        .processes
        .get(to)
        .run(
            () ->
                controller.front(
                    "GET",
                    "/v1/jobs/" + id,
                    new byte[0],
                    (status, body, retryAfter) -> answered(id, known, status, body)));
  }

  private void answered(String id, Known known, int status, byte[] body) {
    if (status == 404) {
      wrong.add("denied: " + id);
    }
    if (status != 200) {
      return;
    }
    ObjectNode map = SimCluster.decode(body);
    String state = map.path("Status").asText();
    boolean over = known.last.equals("done") || known.last.equals("withdrawn");
    if (over && !state.equals(known.last)) {
      wrong.add("went back: " + id + " from " + known.last + " to " + state);
    }
    known.last = state;
    if (calmSince != null) {
      Duration wait = sinceAnswer(known);
      known.longest = wait.compareTo(known.longest) > 0 ? wait : known.longest;
    }
    known.answeredAt = cluster.loop.now();
  }
}
