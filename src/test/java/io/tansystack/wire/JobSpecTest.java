package io.tansystack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of job specifications, task IDs and message bodies, and what is rejected. */
class JobSpecTest {
  private static final String VALID_SPEC =
      """
      {"Uid":"wk-000412","Consist":"train","Crew":"vision","Shape":"group","Urgency":"urgent",
       "Wagons":16,"Cpus":8.0,"Gpus":1.0,"MemGb":64.0,"Cargo":"img-07","PullGb":6.2,
       "Fleets":["g8"],"Yard":null,"SamePlace":true,"Scatter":false,"Loaners":true,
       "TransitS":240.0,"WaypointS":30.0,"CoupleS":4.0,"DueS":900.0,"Unheard":{"of":1}}
      """;

  private static ObjectNode validSpec() throws Exception {
    return (ObjectNode) new ObjectMapper().readTree(VALID_SPEC);
  }

  @Test
  void readsProtocolExampleAndIgnoresUnknownFields() throws Exception {
    JobSpec spec = JobSpec.read(validSpec());
    assertEquals(16, spec.tasks());
    assertEquals(JobKind.GANG, spec.kind());
    assertEquals(Priority.HIGH, spec.priority());
    assertEquals(spec, JobSpec.read(spec.write()));
  }

  /** The error names the field, so that the user can correct the submission. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "Uid|\"412\"", "Uid|null", "Uid|\"wk-\"", "Uid|\"wk-1/2\"", "Uid|7",
        "Shape|\"swarm\"", "Urgency|\"now\"", "Wagons|0", "Wagons|100001", "Wagons|1.5",
        "Wagons|\"3\"", "Cpus|-1", "Cpus|\"8\"", "Cpus|null", "MemGb|true", "Cargo|\"\"",
        "PullGb|-0.5", "Fleets|\"g8\"", "Fleets|[1]", "Yard|5", "SamePlace|null", "SamePlace|0",
        "TransitS|-1", "DueS|\"soon\"", "CoupleS|null", "Crew|[]",
        // Half of a surrogate pair, which has no form in UTF-8.
        "Consist|\"a\\ud83d\"", "Crew|\"\\ud83d\"", "Cargo|\"\\ude00b\"", "Yard|\"\\ud83d\"",
        "Fleets|[\"g8\",\"\\ud83d\"]"
      })
  void rejectsInvalidFieldAndNamesIt(String field, String json) throws Exception {
    ObjectNode map = validSpec();
    map.set(field, new ObjectMapper().readTree(json));
    InvalidMessageException e =
        assertThrows(InvalidMessageException.class, () -> JobSpec.read(map));
    assertTrue(e.getMessage().startsWith(field), e.getMessage());
  }

  @ParameterizedTest
  @ValueSource(strings = {"Fleets", "Yard", "DueS"})
  void nullableFieldsMayBeAbsent(String field) throws Exception {
    ObjectNode map = validSpec();
    map.remove(field);
    assertEquals("wk-000412", JobSpec.read(map).id());
  }

  @ParameterizedTest
  @CsvSource({"true,9,5", "true,1,1", "true,2,1", "false,4,4"})
  void spreadJobMayHaveHalfItsTasksRoundedUpInOneZone(
      boolean spread, int tasks, int maxPerZone) throws Exception {
    ObjectNode map = validSpec().put("Scatter", spread).put("Wagons", tasks);
    assertEquals(maxPerZone, JobSpec.read(map).maxTasksPerZone());
  }

  @Test
  void rejectsBodiesThatAreNotCborMaps() {
    for (byte[] body :
        new byte[][] {{}, {(byte) 0xff}, "{\"a\":1}".getBytes(), {0x01}, {(byte) 0x80}}) {
      assertThrows(InvalidMessageException.class, () -> Cbor.decodeMap(body));
    }
  }

  @ParameterizedTest
  @CsvSource({"wk-1/3,wk-1,3", "wk-000412/99999,wk-000412,99999"})
  void parsesTaskIds(String text, String job, int index) throws Exception {
    assertEquals(new TaskId(job, index), TaskId.parse(text));
  }

  @ParameterizedTest
  @ValueSource(strings = {"wk-1", "/3", "wk-1/", "wk-1/x", "wk-1/-1", "wk-1/12345678"})
  void rejectsMalformedTaskIds(String text) {
    assertThrows(InvalidMessageException.class, () -> TaskId.parse(text));
  }
}
