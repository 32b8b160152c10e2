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

/**
 * Which submissions each controller accepts and which it rejects. A job that was accepted once
 * stays known, whatever a repeated submission contains.
 */
class SubmissionValidationTest extends SimCluster {
  private static final List<String> TEXTS = List.of("Uid", "Consist", "Crew", "Shape", "Urgency", "Cargo");
  private static final List<String> AMOUNTS =
      List.of("Cpus", "Gpus", "MemGb", "PullGb", "TransitS", "WaypointS", "CoupleS");
  private static final List<String> FLAGS = List.of("SamePlace", "Scatter", "Loaners");

  @BeforeEach
  void bootThreeControllers() throws Exception {
    controllerCount = 3;
    types = List.of(new SimType("small", 4, 0, 16), new SimType("large", 64, 8, 64));
    for (int i = 0; i < 3; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(6));
  }

  private ObjectNode validJob(String id) {
    return spec(id, 2).write();
  }

  /** Submissions that are malformed in one field. */
  private static Map<String, Consumer<ObjectNode>> malformed() {
    Map<String, Consumer<ObjectNode>> cases = new LinkedHashMap<>();
    List<String> required = new ArrayList<>(TEXTS);
    required.addAll(AMOUNTS);
    required.addAll(FLAGS);
    required.add("Wagons");
    for (String field : required) {
      cases.put(field + " missing", map -> map.remove(field));
      cases.put(field + " null", map -> map.putNull(field));
      cases.put(field + " is a list", map -> map.putArray(field).add(1));
    }
    for (String field : TEXTS) {
      cases.put(field + " is a number", map -> map.put(field, 4));
      cases.put(field + " empty", map -> map.put(field, ""));
      cases.put(field + " too long", map -> map.put(field, "x".repeat(201)));
    }
    for (String field : AMOUNTS) {
      cases.put(field + " is a text", map -> map.put(field, "1.0"));
      cases.put(field + " below 0", map -> map.put(field, -0.5));
      cases.put(field + " infinite", map -> map.put(field, Double.POSITIVE_INFINITY));
      cases.put(field + " not a number", map -> map.put(field, Double.NaN));
    }
    for (String field : FLAGS) {
      cases.put(field + " is a number", map -> map.put(field, 1));
      cases.put(field + " is a text", map -> map.put(field, "true"));
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
    cases.put("Uid of invalid form", map -> map.put("Uid", "7"));
    cases.put("Shape unknown", map -> map.put("Shape", "pyramid"));
    cases.put("Urgency unknown", map -> map.put("Urgency", "whenever"));
    cases.put("Fleets is a text", map -> map.put("Fleets", "small"));
    cases.put("Fleets of numbers", map -> map.putArray("Fleets").add(8));
    cases.put("Yard is a number", map -> map.put("Yard", 1));
    cases.put("Yard empty", map -> map.put("Yard", ""));
    cases.put("DueS is a text", map -> map.put("DueS", "soon"));
    cases.put("DueS below 0", map -> map.put("DueS", -1.0));
    return cases;
  }

  /** Well-formed submissions of jobs that can never run. */
  private static Map<String, Consumer<ObjectNode>> impossible() {
    Map<String, Consumer<ObjectNode>> cases = new LinkedHashMap<>();
    cases.put("unknown team", map -> map.put("Crew", "nobody"));
    cases.put("more CPUs than any type has", map -> map.put("Cpus", 64.5));
    cases.put("more GPUs than any type has", map -> map.put("Gpus", 8.5));
    cases.put("more memory than any type has", map -> map.put("MemGb", 65.0));
    cases.put("more CPUs than the allowed type has", map -> map.put("Cpus", 5.0).putArray("Fleets").add("small"));
    cases.put("a service that needs next to no GPU of a type without GPUs",
        map -> map.put("Shape", "service").put("Gpus", 1e-10).putArray("Fleets").add("small"));
    cases.put("an array that needs next to no GPU of a type without GPUs",
        map -> map.put("Gpus", 1e-10).putArray("Fleets").add("small"));
    cases.put("unknown type", map -> map.putArray("Fleets").add("huge"));
    cases.put("empty list of types", map -> map.putArray("Fleets"));
    cases.put("unknown zone", map -> map.put("Yard", "z"));
    cases.put("a task over the limit on CPUs", map -> map.put("Cpus", 41.0));
    cases.put("a gang over the limit on CPUs", map -> map.put("Shape", "group").put("Wagons", 41));
    cases.put("a service over the limit on CPUs", map -> map.put("Shape", "service").put("Wagons", 99_999));
    cases.put("a gang over the limit on GPUs", map -> map.put("Shape", "group").put("Wagons", 3).put("Gpus", 3.0));
    cases.put("a scattered gang in a cluster of one zone", map -> map.put("Shape", "group").put("Scatter", true));
    cases.put(
        "a gang both scattered and in one place",
        map -> map.put("Shape", "group").put("Scatter", true).put("SamePlace", true));
    return cases;
  }

  /** Submissions close to the rejected ones, of jobs that can run. */
  private static Map<String, Consumer<ObjectNode>> possible() {
    Map<String, Consumer<ObjectNode>> cases = new LinkedHashMap<>();
    cases.put("unchanged", map -> { });
    cases.put("null in optional fields", map -> map.putNull("Fleets").putNull("Yard").putNull("DueS"));
    cases.put("an unknown field", map -> map.put("Colour", "red"));
    cases.put("an array of more CPUs than the limit", map -> map.put("Wagons", 41));
    cases.put("the largest array", map -> map.put("Wagons", 100_000));
    cases.put("a gang at the limit", map -> map.put("Shape", "group").put("Wagons", 20).put("Cpus", 2));
    cases.put("a scattered gang of one task", map -> map.put("Shape", "group").put("Scatter", true).put("Wagons", 1));
    cases.put("a whole machine", map -> map.put("Cpus", 40).put("Gpus", 8.0).put("MemGb", 64));
    cases.put("no CPUs and no memory", map -> map.put("Cpus", 0.0).put("MemGb", 0));
    return cases;
  }

  /** Submits a body to each of the three controllers; returns their response statuses. */
  private int[] submitToAll(byte[] body) {
    int[] status = new int[3];
    for (int i = 0; i < 3; i++) {
      int at = i;
      processes
          .get(i)
          .run(
              () ->
                  controllers
                      .get(at)
                      .handleFront("POST", "/v1/jobs", body, (s, b, r) -> status[at] = s));
    }
    loop.runFor(Duration.ofSeconds(2));
    return status;
  }

  private void assertAllAnswer(String context, ObjectNode body, int... statuses) {
    for (int status : submitToAll(Cbor.encode(body))) {
      assertTrue(IntStream.of(statuses).anyMatch(s -> s == status), context + ": " + status);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"malformed", "impossible", "possible"})
  void eachFieldIsValidatedAtEveryController(String kind) {
    Map<String, Consumer<ObjectNode>> cases =
        kind.equals("malformed") ? malformed() : kind.equals("impossible") ? impossible() : possible();
    int n = 0;
    for (Map.Entry<String, Consumer<ObjectNode>> c : cases.entrySet()) {
      String id = String.format("wk-%06d", n++);
      ObjectNode body = validJob(id);
      c.getValue().accept(body);
      switch (kind) {
        case "malformed" -> assertAllAnswer(c.getKey(), body, 400);
        case "impossible" -> assertAllAnswer(c.getKey(), body, 422);
        default -> assertAllAnswer(c.getKey(), body, 200, 201);
      }
      if (n % 10 == 0) {
        assertEquals(kind.equals("possible") ? "pending" : "404", state(id), c.getKey());
      }
    }
    assertEquals(kind.equals("possible") ? n : 0, acceptedJobs());
    if (kind.equals("malformed")) {
      assertEquals(400, submitToAll(new byte[] {(byte) 0xff})[1], "not CBOR");
      assertEquals(400, submitToAll(new byte[0])[2], "an empty body");
    }
  }

  /** Number of accepted jobs, under individual keys and in submission batches. */
  private long acceptedJobs() {
    return store.values("").entrySet().stream()
        .mapToLong(
            entry ->
                entry.getKey().startsWith("ts/jobs/")
                    ? 1
                    : entry.getKey().startsWith("ts/intake/") ? entry.getValue().get("jobs").size() : 0)
        .sum();
  }

  /**
   * A repeated submission of an accepted ID is answered with neither 400 nor 422, whatever its body
   * contains, before and after the job has finished and was archived.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 45})
  void acceptedJobIsKnownWhateverARepetitionContains(int afterS) {
    taskRunTime = Duration.ofSeconds(5);
    assertAllAnswer("first", validJob("wk-000001"), 200, 201);
    loop.runFor(Duration.ofSeconds(afterS));
    List<Map<String, Consumer<ObjectNode>>> all = List.of(malformed(), impossible(), possible());
    for (Map<String, Consumer<ObjectNode>> cases : all) {
      cases.forEach((name, change) -> {
        ObjectNode body = validJob("wk-000001");
        change.accept(body);
        if (body.path("Uid").asText().equals("wk-000001")) {
          assertAllAnswer(name, body, 200);
        }
      });
    }
  }

  /**
   * A controller that can't decide neither accepts nor rejects: it responds 503 with Retry-After.
   */
  @ParameterizedTest
  @CsvSource({
    "just started", "types unknown", "state service away", "refused alone",
    "isolated from state service and peers"
  })
  void controllerThatCannotDecideAnswers503(String cause) throws Exception {
    ObjectNode fits = validJob("wk-000001");
    ObjectNode impossible = validJob("wk-000002").put("Cpus", 64.5);
    ObjectNode incomplete = validJob("wk-000003").without("Cargo");
    switch (cause) {
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
    boolean restarted = cause.equals("just started");
    for (int round = 0; round < 3; round++) {
      // The ID of an incomplete submission is looked up first, which takes a while after a restart.
      for (ObjectNode body :
          restarted && round == 0
              ? List.of(fits, impossible)
              : List.of(fits, impossible, incomplete)) {
        int[] answer = {0};
        int[] retryAfter = {0};
        processes.get(1).run(() -> controllers.get(1).handleFront("POST", "/v1/jobs", Cbor.encode(body), (s, b, r) -> {
          answer[0] = s;
          retryAfter[0] = r;
        }));
        // In round 0 a restarted controller has read nothing yet and must answer at once; later it
        // can decide.
        loop.runFor(restarted && round == 0 ? Duration.ZERO : Duration.ofSeconds(5));
        boolean decided = restarted ? round > 0 : cause.equals("types unknown") && body == incomplete;
        int expected = !decided ? 503 : body == fits ? (round == 1 ? 201 : 200) : body == impossible ? 422 : 400;
        assertEquals(expected, answer[0], cause + " round " + round + " " + body);
        assertTrue(answer[0] != 503 || retryAfter[0] > 0, "Retry-After");
      }
      loop.runFor(Duration.ofSeconds(3));
    }
  }

  /** Tasks of a scattered gang run in two zones or more; with a second zone the gang can run. */
  @Test
  void scatteredGangNeedsSecondZone() throws Exception {
    zones = List.of("a", "b");
    store.clear();
    for (int i = 0; i < 3; i++) {
      kill(i);
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(6));
    ObjectNode gang = validJob("wk-000001").put("Shape", JobKind.GANG.wireName).put("Scatter", true);
    assertAllAnswer("two zones", gang, 200, 201);
    assertAllAnswer("bound to one of them", gang.deepCopy().put("Uid", "wk-000002").put("Yard", "a"), 422);
  }
}
