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

/** Changes of job records, their stored form and their size limit. */
class JobRecordTest {
  static JobSpec spec(JobKind kind, int tasks) {
    return new JobSpec(
        "wk-000001", "c", "t", kind, Priority.LOW, tasks, 1, 0, 1, "i", 1, null, null, false,
        false, true, 10, 0, 0, null);
  }

  private static JobRecord placed(JobKind kind, int tasks) {
    return JobRecord.created(spec(kind, tasks), 5)
        .placed(List.of(new Assignment("n-1", 1, TaskSet.range(0, tasks))));
  }

  @ParameterizedTest
  @CsvSource({"'',0,0", "'3',1,0", "'0-5,7',7,6", "'0,2,4-5',4,1"})
  void taskSetIsWrittenAsItWasParsed(String text, int size, int firstMissing) {
    TaskSet set = TaskSet.parse(text);
    assertEquals(text, set.toString());
    assertEquals(size, set.size());
    assertEquals(firstMissing, set.firstMissing());
  }

  @ParameterizedTest
  @ValueSource(strings = {"1,", "x", "3-1", "-1", "1-", "1,,2", "1 2", "0-9999999"})
  void rejectsMalformedTaskSets(String text) {
    assertThrows(IllegalArgumentException.class, () -> TaskSet.parse(text));
  }

  @ParameterizedTest
  @CsvSource({"n-1 2 3 0-4,stop", "n-1 2 3,none", "n-1 2,none", "n-1 2 x 0-4,none", "'',none"})
  void readsStoppedPlacementAndRejectsMalformedOnes(String text, String suffix) throws Exception {
    if (suffix.equals("none")) {
      assertThrows(InvalidMessageException.class, () -> Placement.read(TextNode.valueOf(text)));
      return;
    }
    Placement placement = Placement.read(TextNode.valueOf(text + " " + suffix));
    assertEquals(new Placement("n-1", 2, 3, TaskSet.range(0, 5), true), placement);
    assertEquals(text + " stop", placement.write());
  }

  /** A proof for another attempt, machine or task must not change the record. */
  @ParameterizedTest
  @CsvSource({
    "0,1,n-1,true,true",
    "0,1,n-1,false,true",
    "0,2,n-1,true,false",
    "0,0,n-1,true,false",
    "0,1,n-2,true,false",
    "9,1,n-1,true,false"
  })
  void proofAppliesOnlyToItsAttemptOnItsMachine(
      int task, long attempt, String machine, boolean done, boolean applies) {
    JobRecord before = placed(JobKind.ARRAY, 3);
    JobRecord after =
        before.withProofsApplied(List.of(new EndedAttempt(task, attempt, machine, done)));
    if (!applies) {
      assertSame(before, after);
      return;
    }
    assertNull(after.findPlacement(machine, attempt, task));
    assertEquals(done, after.done().contains(task));
    assertEquals(done ? 0 : 1, after.unplaced().size());
  }

  @Test
  void jobIsDoneOnceItsLastTaskIsDone() {
    JobRecord record =
        placed(JobKind.ARRAY, 2).withProofsApplied(List.of(new EndedAttempt(0, 1, "n-1", true)));
    assertEquals(Phase.ACTIVE, record.phase());
    record = record.withProofsApplied(List.of(new EndedAttempt(1, 1, "n-1", true)));
    assertEquals(JobStatus.DONE, record.status());
    assertNull(record.spec(), "a finished job keeps only its outcome");
  }

  @Test
  void cancelledJobKeepsPlacementsUntilTerminationIsProven() {
    JobRecord record = placed(JobKind.ARRAY, 1).cancelled(1);
    assertEquals(1, record.placedTaskCount());
    record = record.withProofsApplied(List.of(new EndedAttempt(0, 1, "n-1", true)));
    assertEquals(JobStatus.CANCELLED, record.status());
    assertNull(record.spec());
  }

  @Test
  void endedServiceTaskBecomesUnplaced() {
    JobRecord record =
        placed(JobKind.SERVICE, 1).withProofsApplied(List.of(new EndedAttempt(0, 1, "n-1", true)));
    assertEquals(JobStatus.PENDING, record.status());
    assertEquals(1, record.unplaced().size());
  }

  @Test
  void gangThatLosesATaskIsStoppedAsAWhole() {
    JobRecord record =
        placed(JobKind.GANG, 3).withProofsApplied(List.of(new EndedAttempt(1, 1, "n-1", false)));
    assertEquals(2, record.placedTaskCount());
    assertTrue(record.placements().stream().allMatch(Placement::stop));
    JobRecord done =
        placed(JobKind.GANG, 3).withProofsApplied(List.of(new EndedAttempt(1, 1, "n-1", true)));
    assertEquals(Phase.DONE, done.phase(), "the tasks of a gang complete together");
  }

  @Test
  void writtenRecordReadsBackEqual() throws Exception {
    for (JobKind kind : JobKind.values()) {
      JobRecord record = placed(kind, 4).stopped("n-1", TaskSet.parse("1-2"));
      byte[] stored = Cbor.encode(record.write());
      assertEquals(record, JobRecord.read(Cbor.decodeMap(stored)));
      JobRecord cancelled = record.cancelled(1_764_650_000_000L);
      assertEquals(cancelled, JobRecord.read(Cbor.decodeMap(Cbor.encode(cancelled.write()))));
    }
  }

  /**
   * Guards against a record that outgrows the size of a value: it couldn't be written any more, and
   * the job would be stuck permanently. The worst case: as many machines as a record may hold, each
   * with tasks spread over the whole window, of which a third ends and a third is stopped, so that
   * placements are split.
   */
  @ParameterizedTest
  @CsvSource({
    "8192,400", "8192,600", "8192,100000", "16384,1200", "16384,100000", "32768,1200",
    "32768,100000"
  })
  void largestRecordFitsIntoOneValue(int valueBytes, int tasks) {
    RecordSizeLimit limit = new RecordSizeLimit(valueBytes);
    String longName = "x".repeat(limit.maxSpecSize() - 400);
    JobSpec spec =
        new JobSpec(
            "wk-00000000000000000001", longName, "t", JobKind.ARRAY, Priority.LOW, tasks, 1, 0, 1,
            "i", 1, null, null, false, false, true, 10, 0, 0, 1000.0);
    assertTrue(limit.accepts(spec));
    // All tasks below the last window are done.
    int from = Math.max(0, tasks - limit.taskWindow());
    BitSet prefix = new BitSet();
    prefix.set(0, from);
    JobRecord record =
        new JobRecord(
            spec, Long.MAX_VALUE / 2, Phase.ACTIVE, TaskSet.of(prefix), 99_999, List.of(), 0);
    int machines = limit.maxPlacementsAfterRound(spec);
    List<Assignment> round = new ArrayList<>();
    for (int machine = 0; machine < machines; machine++) {
      BitSet assigned = new BitSet();
      for (int task = from + machine; task < tasks; task += machines) {
        assigned.set(task);
      }
      round.add(new Assignment(String.format("n-%06d", machine), 99, TaskSet.of(assigned)));
    }
    record = record.placed(round);
    assertTrue(limit.fits(record));
    assertTrue(Cbor.jsonSize(record.write()) <= valueBytes);
    for (Assignment assignment : round) {
      List<EndedAttempt> ended = new ArrayList<>();
      BitSet stop = new BitSet();
      assignment.tasks().forEach(
          task -> {
            if (task / machines % 3 == 0) {
              ended.add(new EndedAttempt(task, 100_000, assignment.machine(), true));
            } else if (task / machines % 3 == 1) {
              stop.set(task);
            }
          });
      record = record.withProofsApplied(ended);
      assertTrue(Cbor.jsonSize(record.write()) <= valueBytes);
      JobRecord split = record.stopped(assignment.machine(), TaskSet.of(stop));
      if (limit.fits(split)) {
        record = split;
        assertTrue(Cbor.jsonSize(record.write()) <= valueBytes);
      }
    }
    assertTrue(record.placements().size() > machines, "no placement was split");
    assertTrue(
        Cbor.jsonSize(record.cancelled(Long.MAX_VALUE / 2).write()) <= valueBytes, "cancelled");
  }
}
