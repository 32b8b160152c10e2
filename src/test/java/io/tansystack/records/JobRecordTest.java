package io.tansystack.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.TextNode;
import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.JobRecord.EndedAttempt;
import io.tansystack.records.JobRecord.Phase;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Responses.JobStatus;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class JobRecordTest {
  static JobSpec spec(JobKind shape, int tasks) {
    return new JobSpec(
        "wk-000001", "c", "t", shape, Priority.LOW, tasks, 1, 0, 1, "i", 1, null, null, false,
        false, true, 10, 0, 0, null);
  }

  private static JobRecord placed(JobKind shape, int tasks) {
    return JobRecord.created(spec(shape, tasks), 5)
        .placed(List.of(new Assignment("n-1", 1, TaskSet.range(0, tasks))));
  }

  @ParameterizedTest
  @CsvSource({"'',0,0", "'3',1,0", "'0-5,7',7,6", "'0,2,4-5',4,1"})
  void taskSetsKeepTheirWrittenForm(String text, int size, int firstMissing) {
    TaskSet set = TaskSet.parse(text);
    assertEquals(text, set.toString());
    assertEquals(size, set.size());
    assertEquals(firstMissing, set.firstMissing());
  }

  @ParameterizedTest
  @ValueSource(strings = {"1,", "x", "3-1", "-1", "1-", "1,,2", "1 2", "0-9999999"})
  void whatIsNoTaskSetIsRefused(String text) {
    assertThrows(IllegalArgumentException.class, () -> TaskSet.parse(text));
  }

  @ParameterizedTest
  @CsvSource({"n-1 2 3 0-4,stop", "n-1 2 3,none", "n-1 2,none", "n-1 2 x 0-4,none", "'',none"})
  void whatIsNoPlacementIsRefused(String text, String kind) throws Exception {
    if (kind.equals("none")) {
      assertThrows(InvalidMessageException.class, () -> Placement.read(TextNode.valueOf(text)));
      return;
    }
    Placement placement = Placement.read(TextNode.valueOf(text + " " + kind));
    assertEquals(new Placement("n-1", 2, 3, TaskSet.range(0, 5), true), placement);
    assertEquals(text + " stop", placement.write());
  }

  /** A proof counts only for the very attempt on the very machine; anything near it changes nothing. */
  @ParameterizedTest
  @CsvSource({
    "0,1,n-1,true,true",
    "0,1,n-1,false,true",
    "0,2,n-1,true,false",
    "0,0,n-1,true,false",
    "0,1,n-2,true,false",
    "9,1,n-1,true,false"
  })
  void onlyExactProofsCount(int task, long attempt, String machine, boolean done, boolean counts) {
    JobRecord before = placed(JobKind.ARRAY, 3);
    JobRecord after = before.absorbed(List.of(new EndedAttempt(task, attempt, machine, done)));
    if (!counts) {
      assertSame(before, after);
      return;
    }
    assertNull(after.find(machine, attempt, task));
    assertEquals(done, after.done().contains(task));
    assertEquals(done ? 0 : 1, after.unplaced().size());
  }

  @Test
  void doneOnlyWithItsLastTask() {
    JobRecord record =
        placed(JobKind.ARRAY, 2).absorbed(List.of(new EndedAttempt(0, 1, "n-1", true)));
    assertEquals(Phase.ACTIVE, record.phase());
    record = record.absorbed(List.of(new EndedAttempt(1, 1, "n-1", true)));
    assertEquals(JobStatus.DONE, record.state());
    assertNull(record.spec(), "a job that is over keeps its outcome alone");
  }

  @Test
  void cancelledStaysCancelledAndKeepsPlacementsUntilProof() {
    JobRecord record = placed(JobKind.ARRAY, 1).cancelled(1);
    assertEquals(1, record.placedCount());
    record = record.absorbed(List.of(new EndedAttempt(0, 1, "n-1", true)));
    assertEquals(JobStatus.CANCELLED, record.state());
    assertNull(record.spec());
  }

  @Test
  void aServiceTaskThatEndsIsOnlyUnplaced() {
    JobRecord record =
        placed(JobKind.SERVICE, 1).absorbed(List.of(new EndedAttempt(0, 1, "n-1", true)));
    assertEquals(JobStatus.PENDING, record.state());
    assertEquals(1, record.unplaced().size());
  }

  @Test
  void aGangThatLosesATaskIsStoppedAsAWhole() {
    JobRecord record =
        placed(JobKind.GANG, 3).absorbed(List.of(new EndedAttempt(1, 1, "n-1", false)));
    assertEquals(2, record.placedCount());
    assertTrue(record.placements().stream().allMatch(Placement::stop));
    JobRecord done = placed(JobKind.GANG, 3).absorbed(List.of(new EndedAttempt(1, 1, "n-1", true)));
    assertEquals(Phase.DONE, done.phase(), "they complete together");
  }

  @Test
  void recordsReadBackAsWritten() throws Exception {
    for (JobKind shape : JobKind.values()) {
      JobRecord record = placed(shape, 4).stopped("n-1", TaskSet.parse("1-2"));
      byte[] stored = Cbor.encode(record.write());
      assertEquals(record, JobRecord.read(Cbor.decodeMap(stored)));
      JobRecord over = record.cancelled(1_764_650_000_000L);
      assertEquals(over, JobRecord.read(Cbor.decodeMap(Cbor.encode(over.write()))));
    }
  }

  /**
   * The worst mix: as many machines as a record may hold, each with tasks from all over the window,
   * every second one stopped, ends scattered. A record that can't be written would be stuck for ever.
   */
  @ParameterizedTest
  @CsvSource({
    "8192,400", "8192,600", "8192,100000", "16384,1200", "16384,100000", "32768,1200", "32768,100000"
  })
  void theLongestRecordFitsIntoOneValue(int valueBytes, int tasks) {
    RecordSizeLimit limit = new RecordSizeLimit(valueBytes);
    String longName = "x".repeat(limit.description() - 400);
    JobSpec spec =
        new JobSpec(
            "wk-00000000000000000001", longName, "t", JobKind.ARRAY, Priority.LOW, tasks, 1, 0, 1,
            "i", 1, null, null, false, false, true, 10, 0, 0, 1000.0);
    assertTrue(limit.accepts(spec));
    // All below the last window is done.
    int from = Math.max(0, tasks - limit.window());
    BitSet prefix = new BitSet();
    prefix.set(0, from);
    JobRecord record =
        new JobRecord(spec, Long.MAX_VALUE / 2, Phase.ACTIVE, TaskSet.of(prefix), 99_999, List.of(), 0);
    int machines = limit.placedAtOnce(spec);
    List<Assignment> round = new ArrayList<>();
    for (int m = 0; m < machines; m++) {
      BitSet part = new BitSet();
      for (int t = from + m; t < tasks; t += machines) {
        part.set(t);
      }
      round.add(new Assignment(String.format("n-%06d", m), 99, TaskSet.of(part)));
    }
    record = record.placed(round);
    assertTrue(limit.allows(record));
    assertTrue(Cbor.jsonSize(record.write()) <= valueBytes);
    for (Assignment part : round) {
      List<EndedAttempt> ends = new ArrayList<>();
      BitSet stop = new BitSet();
      part.tasks().forEach(
          t -> {
            if (t / machines % 3 == 0) {
              ends.add(new EndedAttempt(t, 100_000, part.machine(), true));
            } else if (t / machines % 3 == 1) {
              stop.set(t);
            }
          });
      record = record.absorbed(ends);
      assertTrue(Cbor.jsonSize(record.write()) <= valueBytes);
      JobRecord split = record.stopped(part.machine(), TaskSet.of(stop));
      if (limit.allows(split)) {
        record = split;
        assertTrue(Cbor.jsonSize(record.write()) <= valueBytes);
      }
    }
    assertTrue(record.placements().size() > machines, "some were split");
    assertTrue(Cbor.jsonSize(record.cancelled(Long.MAX_VALUE / 2).write()) <= valueBytes, "cancelled");
  }
}
