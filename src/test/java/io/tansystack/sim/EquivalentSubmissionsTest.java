package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.CborSpelling;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against sound submissions that are refused, or become a second job, for their form. */
class EquivalentSubmissionsTest extends SimCluster {
  private static final int CONTROLLERS = 3;
  private static final int TASKS = 4;

  @BeforeEach
  void bootControllers() throws Exception {
    controllerCount = CONTROLLERS;
    for (int i = 0; i < CONTROLLERS; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(6));
  }

  private static ObjectNode job(String id) {
    return spec(id, TASKS).write();
  }

  /** Unknown fields of every type, deep ones and ones with the names of known fields included. */
  static Stream<Arguments> unknownFields() {
    ObjectNode texts = Cbor.map().put("Colour", "red").put("wagons", "many").put("", "");
    ObjectNode numbers = Cbor.map().put("Weight", 1e300).put("Count", -7).put("Nan", Double.NaN);
    ObjectNode others = Cbor.map().putNull("Nothing").put("Flag", true);
    ObjectNode nested = Cbor.map();
    nested.putObject("Meta").put("Uid", "wk-999999").putArray("Wagons").add(3).addObject();
    ObjectNode deep = Cbor.map();
    ObjectNode innermost = deep;
    for (int i = 0; i < 400; i++) {
      innermost = innermost.putObject("in");
    }
    ObjectNode large = Cbor.map().put("Notes", "n".repeat(40_000));
    return Stream.of(texts, numbers, others, nested, deep, large).map(Arguments::of);
  }

  private List<Integer> submitToAllAtOnce(List<byte[]> bodies) {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < bodies.size(); i++) {
      int to = i % CONTROLLERS;
      byte[] body = bodies.get(i);
      processes
          .get(to)
          .run(
              () ->
                  controllers
                      .get(to)
                      .handleFront("POST", "/v1/jobs", body, (s, b, r) -> statuses.add(s)));
    }
    loop.runFor(Duration.ofSeconds(3));
    return statuses;
  }

  private void assertOneJob(String id, List<byte[]> bodies) {
    uploaded.put(id, spec(id, TASKS));
    List<Integer> statuses = submitToAllAtOnce(bodies);
    assertEquals(bodies.size(), statuses.size(), "each submission is answered");
    assertTrue(statuses.contains(201), statuses.toString());
    assertTrue(statuses.stream().allMatch(status -> status == 200 || status == 201), statuses.toString());
    loop.runFor(Duration.ofSeconds(60));
    assertEquals("done", state(id));
    assertTrue(submitToAllAtOnce(bodies).stream().allMatch(status -> status == 200), "afterwards");
    loop.runFor(Duration.ofSeconds(30));
    assertEquals(TASKS, startedTasks.size(), "each task once: " + startedTasks);
    assertEquals(TASKS, new HashSet<>(startedTasks).size());
  }

  @ParameterizedTest
  @MethodSource("unknownFields")
  void unknownFieldsNeitherRefuseASubmissionNorMakeItASecondJob(ObjectNode unknown) {
    ObjectNode before = unknown.deepCopy().setAll(job("wk-000001"));
    ObjectNode after = job("wk-000001").setAll(unknown);
    after.put("Uid", "wk-000001");
    assertOneJob(
        "wk-000001",
        List.of(Cbor.encode(before), Cbor.encode(after), Cbor.encode(job("wk-000001"))));
  }

  @ParameterizedTest
  @EnumSource(CborSpelling.class)
  void submissionInAnotherSpellingIsTheSameJob(CborSpelling spelling) {
    ObjectNode job = job("wk-000001");
    assertOneJob(
        "wk-000001", List.of(spelling.encode(job), Cbor.encode(job), spelling.encode(job)));
  }

  /** The limit of 64 KiB is one of the JSON form. */
  @ParameterizedTest
  @CsvSource({"30000, 201", "33000, 400"})
  void submissionIsMeasuredInItsJsonForm(int numbers, int status) {
    ObjectNode job = job("wk-000001");
    ArrayNode list = job.putArray("Numbers");
    for (int i = 0; i < numbers; i++) {
      list.add(1);
    }
    byte[] body = CborSpelling.LONG_INTEGERS.encode(job);
    assertTrue(body.length > Cbor.MAX_BODY_CHARS && body.length <= Cbor.MAX_BODY_BYTES + 9 * 300);
    assertEquals(List.of(status), submitToAllAtOnce(List.of(body)));
  }

  @Test
  void allSpellingsTogetherAreOneJob() {
    List<byte[]> bodies = new ArrayList<>();
    for (CborSpelling spelling : CborSpelling.values()) {
      bodies.add(spelling.encode(job("wk-000001")));
    }
    assertOneJob("wk-000001", bodies);
  }
}
