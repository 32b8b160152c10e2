package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cli.Controller;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** A simulated cluster with requests of users and the rules that must hold at every moment. */
abstract class SimCluster extends SimFleet {
  /**
   * Returns the seeds that a test runs: 1 to 8, or those that the property {@code tansystack.seeds}
   * names as {@code FROM-TO}, for longer runs.
   */
  static LongStream seeds() {
    String[] range = System.getProperty("tansystack.seeds", "1-8").split("-");
    return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
  }

  /** Returns each of the values with each seed that a test runs. */
  static Stream<Arguments> withSeeds(Object[] values) {
    return Stream.of(values)
        .flatMap(value -> seeds().mapToObj(seed -> Arguments.of(value, seed)));
  }

  /**
   * Checks that no task is on two machines and no team is over its limit; called at every moment at
   * which a task may start.
   */
  @Override
  void check() {
    Set<String> liveTasks = new HashSet<>();
    int running = workers.values().stream().mapToInt(worker -> worker.liveTasks().size()).sum();
    if (settings.contains("cpus_max = 40.0") && running > 40) {
      violations.add("quota: " + running + " tasks of one processor, 40 allowed");
    }
    for (EmulatedWorker worker : workers.values()) {
      for (String task : worker.liveTasks()) {
        if (!liveTasks.add(task)) {
          violations.add("on two machines: " + task);
        }
      }
    }
  }

  /** Returns the index of the controller that holds a slot or the autoscaler role. */
  int holder(String key) {
    return Integer.parseInt(store.value(key).get("label").asText().substring(2));
  }

  /** Starts the controller after a delay, unless it is running by then. */
  void bootAfter(int index, Duration delay) {
    loop.after(delay, () -> bootIfDown(index));
  }

  void bootIfDown(int index) {
    if (controllers.containsKey(index)) {
      return;
    }
    try {
      boot(index);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Sends a request to the running controllers in turn until one responds with 200, 201 or 404;
   * returns the last status, 0 for no response, and stores the last body in {@code response[0]}.
   */
  int callFirstAvailable(String method, String path, byte[] body, ObjectNode[] response) {
    int[] status = {0};
    for (Map.Entry<Integer, Controller> entry : new TreeMap<>(controllers).entrySet()) {
      if (isolated.contains(entry.getKey())) {
        continue;
      }
      processes.get(entry.getKey()).run(() -> entry.getValue().handleFront(method, path, body, (s, bytes, r) -> {
        status[0] = s;
        response[0] = decode(bytes);
      }));
      loop.runFor(Duration.ofSeconds(3));
      if (status[0] == 200 || status[0] == 201 || status[0] == 404) {
        break;
      }
    }
    return status[0];
  }

  static JobSpec spec(String id, int tasks) {
    return new JobSpec(
        id, "c", "vision", JobKind.ARRAY, Priority.NORMAL, tasks, 1, 0, 1, "img", 1, null, null,
        false, false, false, 20, 0, 0, null);
  }

  void submit(String id, int tasks) {
    uploaded.put(id, spec(id, tasks));
    ObjectNode[] response = new ObjectNode[1];
    for (int i = 0; i < 30; i++) {
      int status = callFirstAvailable("POST", "/v1/jobs", Cbor.encode(spec(id, tasks).write()), response);
      if (status == 200 || status == 201) {
        return;
      }
      loop.runFor(Duration.ofSeconds(3)); // All controllers may have been down.
    }
    throw new AssertionError("never accepted: " + id);
  }

  /**
   * Submits jobs to one controller at the same moment. The returned map holds the status of each
   * response by job ID, 0 until there is one.
   */
  Map<String, Integer> submitTogether(int controllerIndex, List<JobSpec> specs) {
    Map<String, Integer> statuses = new LinkedHashMap<>();
    Controller controller = controllers.get(controllerIndex);
    for (JobSpec spec : specs) {
      statuses.put(spec.id(), 0);
      if (controller != null) {
        processes.get(controllerIndex).run(() -> controller.handleFront("POST", "/v1/jobs", Cbor.encode(spec.write()),
            (status, bytes, r) -> statuses.put(spec.id(), status)));
      }
    }
    return statuses;
  }

  /** Returns the job's published state, "404", or "no answer" after 20 attempts. */
  String state(String id) {
    ObjectNode[] response = new ObjectNode[1];
    for (int i = 0; i < 20; i++) {
      int status = callFirstAvailable("GET", "/v1/jobs/" + id, new byte[0], response);
      if (status == 404) {
        return "404";
      }
      if (status == 200) {
        return response[0].get("Status").asText();
      }
    }
    return "no answer";
  }
}
