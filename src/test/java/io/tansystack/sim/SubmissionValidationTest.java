package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What is accepted and what isn't, at every controller; a job that was accepted once is known whatever comes. */
class SubmissionValidationTest extends SimCluster {
  private static final List<String> TEXTS = List.of("Uid", "Consist", "Crew", "Shape", "Urgency", "Cargo");
  private static final List<String> AMOUNTS =
      List.of("Cpus", "Gpus", "MemGb", "PullGb", "TransitS", "WaypointS", "CoupleS");
  private static final List<String> FLAGS = List.of("SamePlace", "Scatter", "Loaners");

  @BeforeEach
  void three() throws Exception {
    controllerCount = 3;
    types = List.of(new SimType("small", 4, 0, 16), new SimType("large", 64, 8, 64));
    for (int i = 0; i < 3; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(6));
  }

  private ObjectNode good(String id) {
    return spec(id, 2).write();
  }

  /** Each is well-formed but for one field. */
  private static Map<String, Consumer<ObjectNode>> malformed() {
    Map<String, Consumer<ObjectNode>> cases = new LinkedHashMap<>();
    List<String> required = new ArrayList<>(TEXTS);
    required.addAll(AMOUNTS);
    required.addAll(FLAGS);
    required.add("Wagons");
    for (String field : required) {
      cases.put(field + " missing", map -> map.remove(field));
      cases.put(field + " null", map -> map.putNull(field));
      cases.put(field + " a list", map -> map.putArray(field).add(1));
    }
    for (String field : TEXTS) {
      cases.put(field + " a number", map -> map.put(field, 4));
      cases.put(field + " empty", map -> map.put(field, ""));
      cases.put(field + " too long", map -> map.put(field, "x".repeat(201)));
    }
    for (String field : AMOUNTS) {
      cases.put(field + " a text", map -> map.put(field, "1.0"));
      cases.put(field + " below 0", map -> map.put(field, -0.5));
      cases.put(field + " infinite", map -> map.put(field, Double.POSITIVE_INFINITY));
      cases.put(field + " no number", map -> map.put(field, Double.NaN));
    }
    for (String field : FLAGS) {
      cases.put(field + " a number", map -> map.put(field, 1));
      cases.put(field + " a text", map -> map.put(field, "true"));
    }
    for (double tasks : new double[] {0, -1, 100_001, 1.5}) {
      cases.put("Wagons " + tasks, map -> {
        if (tasks == Math.rint(tasks)) {
          map.put("Wagons", (long) tasks);
        } else {
          map.put("Wagons", tasks);
        }
      });
    }
    cases.put("Uid of another form", map -> map.put("Uid", "7"));
    cases.put("Shape unknown", map -> map.put("Shape", "pyramid"));
    cases.put("Urgency unknown", map -> map.put("Urgency", "whenever"));
    cases.put("Fleets a text", map -> map.put("Fleets", "small"));
    cases.put("Fleets of numbers", map -> map.putArray("Fleets").add(8));
    cases.put("Yard a number", map -> map.put("Yard", 1));
    cases.put("Yard empty", map -> map.put("Yard", ""));
    cases.put("DueS a text", map -> map.put("DueS", "soon"));
    cases.put("DueS below 0", map -> map.put("DueS", -1.0));
    return cases;
  }

  /** Well-formed, and can never run. */
  private static Map<String, Consumer<ObjectNode>> impossible() {
    Map<String, Consumer<ObjectNode>> cases = new LinkedHashMap<>();
    cases.put("no such team", map -> map.put("Crew", "nobody"));
    cases.put("CPUs of no type", map -> map.put("Cpus", 64.5));
    cases.put("GPUs of no type", map -> map.put("Gpus", 8.5));
    cases.put("memory of no type", map -> map.put("MemGb", 65.0));
    cases.put("CPUs of another type only", map -> map.put("Cpus", 5.0).putArray("Fleets").add("small"));
    cases.put("no such type", map -> map.putArray("Fleets").add("huge"));
    cases.put("no type at all", map -> map.putArray("Fleets"));
    cases.put("no such zone", map -> map.put("Yard", "z"));
    cases.put("a task over the limit on CPUs", map -> map.put("Cpus", 41.0));
    cases.put("a gang over the limit on CPUs", map -> map.put("Shape", "group").put("Wagons", 41));
    cases.put("a service over the limit on CPUs", map -> map.put("Shape", "service").put("Wagons", 99_999));
    cases.put("a gang over the limit on GPUs", map -> map.put("Shape", "group").put("Wagons", 3).put("Gpus", 3.0));
    cases.put("a gang that scatters over one zone", map -> map.put("Shape", "group").put("Scatter", true));
    cases.put(
        "a gang that scatters and stands together",
        map -> map.put("Shape", "group").put("Scatter", true).put("SamePlace", true));
    return cases;
  }

  /** What differs from those above and can run. */
  private static Map<String, Consumer<ObjectNode>> possible() {
    Map<String, Consumer<ObjectNode>> cases = new LinkedHashMap<>();
    cases.put("as it is", map -> { });
    cases.put("nulls where they may be", map -> map.putNull("Fleets").putNull("Yard").putNull("DueS"));
    cases.put("a field that nobody knows", map -> map.put("Colour", "red"));
    cases.put("an array of more than the limit", map -> map.put("Wagons", 41));
    cases.put("the largest array", map -> map.put("Wagons", 100_000));
    cases.put("a gang at the limit", map -> map.put("Shape", "group").put("Wagons", 20).put("Cpus", 2));
    cases.put("a gang of one that scatters", map -> map.put("Shape", "group").put("Scatter", true).put("Wagons", 1));
    cases.put("all of a machine", map -> map.put("Cpus", 40).put("Gpus", 8.0).put("MemGb", 64));
    cases.put("nothing of a machine", map -> map.put("Cpus", 0.0).put("MemGb", 0));
    return cases;
  }

  private int[] submit(byte[] body) {
    int[] status = new int[3];
    for (int i = 0; i < 3; i++) {
      int at = i;
      processes.get(i).run(() -> controllers.get(at).handleFront("POST", "/v1/jobs", body, (s, b, r) -> status[at] = s));
    }
    loop.runFor(Duration.ofSeconds(2));
    return status;
  }

  private void allAnswer(String what, ObjectNode body, int... statuses) {
    for (int status : submit(Cbor.encode(body))) {
      assertTrue(IntStream.of(statuses).anyMatch(s -> s == status), what + ": " + status);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"malformed", "impossible", "possible"})
  void eachFieldAloneAtEveryController(String kind) {
    Map<String, Consumer<ObjectNode>> cases =
        kind.equals("malformed") ? malformed() : kind.equals("impossible") ? impossible() : possible();
    int n = 0;
    for (Map.Entry<String, Consumer<ObjectNode>> c : cases.entrySet()) {
      String id = String.format("wk-%06d", n++);
      ObjectNode body = good(id);
      c.getValue().accept(body);
      switch (kind) {
        case "malformed" -> allAnswer(c.getKey(), body, 400);
        case "impossible" -> allAnswer(c.getKey(), body, 422);
        default -> allAnswer(c.getKey(), body, 200, 201);
      }
      if (n % 10 == 0) {
        assertEquals(kind.equals("possible") ? "pending" : "404", state(id), c.getKey());
      }
    }
    assertEquals(kind.equals("possible") ? n : 0, acceptedKeys());
    if (kind.equals("malformed")) {
      assertEquals(400, submit(new byte[] {(byte) 0xff})[1], "not CBOR");
      assertEquals(400, submit(new byte[0])[2], "nothing");
    }
  }

  private long acceptedKeys() {
    return store.values("").entrySet().stream()
        .mapToLong(
            entry ->
                entry.getKey().startsWith("ts/jobs/")
                    ? 1
                    : entry.getKey().startsWith("ts/intake/") ? entry.getValue().get("jobs").size() : 0)
        .sum();
  }

  /** Neither 400 nor 422, whatever a repetition holds; before and after the job's end and its putting away. */
  @ParameterizedTest
  @ValueSource(ints = {1, 45})
  void whatWasAcceptedIsKnownWhateverARepetitionHolds(int afterS) {
    taskRunTime = Duration.ofSeconds(5);
    allAnswer("first", good("wk-000001"), 200, 201);
    loop.runFor(Duration.ofSeconds(afterS));
    List<Map<String, Consumer<ObjectNode>>> all = List.of(malformed(), impossible(), possible());
    for (Map<String, Consumer<ObjectNode>> cases : all) {
      cases.forEach((what, change) -> {
        ObjectNode body = good("wk-000001");
        change.accept(body);
        if (body.path("Uid").asText().equals("wk-000001")) {
          allAnswer(what, body, 200);
        }
      });
    }
  }

  /** Who can't decide says so, and when to come again: neither acceptance nor refusal. */
  @ParameterizedTest
  @CsvSource({"just started", "types unknown", "state service away", "refused alone", "cut off from it"})
  void whoCannotDecideSaysSo(String why) throws Exception {
    ObjectNode fits = good("wk-000001");
    ObjectNode never = good("wk-000002").put("Cpus", 64.5);
    ObjectNode lacks = good("wk-000003").without("Cargo");
    switch (why) {
      case "just started" -> {
        kill(1);
        boot(1);
      }
      case "types unknown" -> {
        types = List.of();
        store.clear();
        for (int i = 0; i < 3; i++) {
          kill(i);
          boot(i);
        }
        loop.runFor(Duration.ofSeconds(4));
      }
      case "state service away" -> outage = true;
      case "refused alone" -> refusedByStore = 1;
      default -> cutOffFromStoreAndPeers.add(1);
    }
    boolean starts = why.equals("just started");
    for (int round = 0; round < 3; round++) {
      // What lacks a field is looked up first, which a start takes a while for.
      for (ObjectNode body : starts && round == 0 ? List.of(fits, never) : List.of(fits, never, lacks)) {
        int[] answer = {0};
        int[] again = {0};
        processes.get(1).run(() -> controllers.get(1).handleFront("POST", "/v1/jobs", Cbor.encode(body), (s, b, r) -> {
          answer[0] = s;
          again[0] = r;
        }));
        // Before it has read anything it is asked and answers at one moment; afterwards it knows.
        loop.runFor(starts && round == 0 ? Duration.ZERO : Duration.ofSeconds(5));
        boolean decided = starts ? round > 0 : why.equals("types unknown") && body == lacks;
        int expected = !decided ? 503 : body == fits ? (round == 1 ? 201 : 200) : body == never ? 422 : 400;
        assertEquals(expected, answer[0], why + " round " + round + " " + body);
        assertTrue(answer[0] != 503 || again[0] > 0, "Retry-After");
      }
      loop.runFor(Duration.ofSeconds(3));
    }
  }

  /** A gang's tasks stand in two zones or more if it scatters; with a second zone it can run. */
  @Test
  void aGangThatScattersNeedsASecondZone() throws Exception {
    zones = List.of("a", "b");
    store.clear();
    for (int i = 0; i < 3; i++) {
      kill(i);
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(6));
    ObjectNode gang = good("wk-000001").put("Shape", JobKind.GANG.wireName).put("Scatter", true);
    allAnswer("two zones", gang, 200, 201);
    allAnswer("bound to one of them", gang.deepCopy().put("Uid", "wk-000002").put("Yard", "a"), 422);
  }
}
