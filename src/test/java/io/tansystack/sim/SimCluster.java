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

/** A cluster and its users: what they ask, and what must hold at any moment. */
abstract class SimCluster extends SimFleet {
  /**
   * The seeds that a test plays: a few, or those that the property {@code tansystack.seeds} names as
   * {@code FROM-TO}, for many to be played once.
   */
  static LongStream seeds() {
    String[] range = System.getProperty("tansystack.seeds", "1-8").split("-");
    return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
  }

  /** That a task is never on two machines, nor a team over its limit, at every moment at which one may start. */
  @Override
  void check() {
    Set<String> seen = new HashSet<>();
    int running = workers.values().stream().mapToInt(worker -> worker.liveTasks().size()).sum();
    if (settings.contains("cpus_max = 40.0") && running > 40) {
      broken.add("quota: " + running + " tasks of one processor, 40 allowed");
    }
    for (EmulatedWorker worker : workers.values()) {
      for (String task : worker.liveTasks()) {
        if (!seen.add(task)) {
          broken.add("on two machines: " + task);
        }
      }
    }
  }

  /** Which controller holds a slot or the fleet. */
  int holder(String key) {
    return Integer.parseInt(store.value(key).get("label").asText().substring(2));
  }

  /** Its process starts after a while, unless it is there by then. */
  void bootIn(int index, Duration in) {
    loop.after(in, () -> bootIfAway(index));
  }

  void bootIfAway(int index) {
    if (controllers.containsKey(index)) {
      return;
    }
    try {
      boot(index);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  int call(String method, String path, byte[] body, ObjectNode[] into) {
    int[] status = {0};
    for (Map.Entry<Integer, Controller> entry : new TreeMap<>(controllers).entrySet()) {
      if (silent.contains(entry.getKey())) {
        continue;
      }
      processes.get(entry.getKey()).run(() -> entry.getValue().handleFront(method, path, body, (s, bytes, r) -> {
        status[0] = s;
        into[0] = decode(bytes);
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
    ObjectNode[] answer = new ObjectNode[1];
    for (int i = 0; i < 30; i++) {
      int status = call("POST", "/v1/jobs", Cbor.encode(spec(id, tasks).write()), answer);
      if (status == 200 || status == 201) {
        return;
      }
      loop.runFor(Duration.ofSeconds(3)); // Nobody may have been there to ask.
    }
    throw new AssertionError("never accepted: " + id);
  }

  /** Submits jobs to one controller at the same moment; tells how each was answered, 0 for not at all. */
  Map<String, Integer> submitTogether(int to, List<JobSpec> specs) {
    Map<String, Integer> answers = new LinkedHashMap<>();
    Controller controller = controllers.get(to);
    for (JobSpec spec : specs) {
      answers.put(spec.id(), 0);
      if (controller != null) {
        processes.get(to).run(() -> controller.handleFront("POST", "/v1/jobs", Cbor.encode(spec.write()),
            (status, bytes, r) -> answers.put(spec.id(), status)));
      }
    }
    return answers;
  }

  String state(String id) {
    ObjectNode[] answer = new ObjectNode[1];
    for (int i = 0; i < 20; i++) {
      int status = call("GET", "/v1/jobs/" + id, new byte[0], answer);
      if (status == 404) {
        return "404";
      }
      if (status == 200) {
        return answer[0].get("Status").asText();
      }
    }
    return "no answer";
  }
}
