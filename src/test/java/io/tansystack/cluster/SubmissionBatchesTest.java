package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.records.JobRecord;
import io.tansystack.records.TaskSet;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.StoreProtocol.Change;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks which record applies to a job that several submission batches and an individual record
 * name, in every order in which the records may arrive.
 */
class SubmissionBatchesTest {
  private static final String ID = "wk-000001";

  /** A newly accepted job; the number of tasks identifies the submitted spec. */
  private static JobRecord createdRecord(String id, int tasks) {
    JobSpec spec =
        new JobSpec(
            id, "c", "t", JobKind.ARRAY, Priority.LOW, tasks, 1, 0, 1, "i", 1, null, null, false,
            false, true, 10, 0, 0, null);
    return JobRecord.created(spec, 5);
  }

  /**
   * A change of a record: {@code in_4@7} is a submission batch with the job, of 4 tasks, at
   * revision 7; {@code own} is the job's individual record as accepted, {@code put} as placed,
   * {@code end} as finished; {@code del} deletes the submission batch with the job of that number
   * of tasks.
   */
  private static Change change(String text) {
    int tasks = Integer.parseInt(text.substring(3, text.indexOf('@')));
    long version = Long.parseLong(text.substring(text.indexOf('@') + 1));
    JobRecord record = createdRecord(ID, tasks);
    String batchKey = ClusterState.submissionBatchKey("x-" + tasks);
    ObjectNode value =
        switch (text.substring(0, 3)) {
          case "own" -> record.write();
          case "put" ->
              record
                  .placed(List.of(new JobRecord.Assignment("n-1", 1, TaskSet.range(0, 1))))
                  .write();
          case "end" -> record.cancelled(1).write();
          default -> ClusterState.submissionBatch(List.of(record));
        };
    return switch (text.substring(0, 3)) {
      case "in_" -> new Change(batchKey, value, version);
      case "del" -> new Change(batchKey, null, version);
      default -> new Change(ClusterState.jobKey(ID), value, version);
    };
  }

  @ParameterizedTest
  @CsvSource({
    // Changes; tasks of the effective spec (0: finished, -: unknown), version of the individual
    // key, obsolete batches.
    "in_4@7,                            4,0,0",
    "in_4@7 in_5@9,                     4,0,0",
    "in_5@9 in_4@7,                     4,0,0", // in the order of a list, which is sorted by key
    "in_4@7 own5@9,                     4,9,0",
    "in_4@9 own5@7,                     5,7,0",
    "own5@7 in_4@9,                     5,7,0",
    "own5@9 in_4@7,                     4,9,0", // a page that is newer than the changes after it
    "in_4@7 put4@9,                     4,9,1",
    "in_4@7 own5@8 put4@9,              4,9,1",
    "in_5@8 put4@9 in_4@7,              4,9,2", // the first accepting batch, now deleted, is late
    "in_4@7 in_5@8 put4@9 del4@10,      4,9,1",
    "put4@9 in_4@7 del4@10,             4,9,0",
    "in_4@7 end4@9,                     0,0,1",
    "end4@9 in_4@7,                     0,0,1", // a finished job is never accepted again
    "in_4@7 end4@9 in_5@8,              0,0,2",
    "in_4@7 del4@8,                     4,0,0",
  })
  void earliestRecordIsEffectiveUntilTheJobIsActedOn(
      String changes, String tasks, long version, int obsolete) {
    ClusterState clusterState = new ClusterState(delta -> {});
    List<Change> all = new ArrayList<>();
    for (String change : changes.split(" ")) {
      all.add(change(change));
    }
    clusterState.changes(all, 10);
    Job job = clusterState.job(ID);
    String effective =
        job != null
            ? String.valueOf(job.record().spec().tasks())
            : clusterState.finalPhase(ID) != null ? "0" : "-";
    assertEquals(tasks, effective);
    assertEquals(version, job == null ? 0 : job.version());
    assertEquals(obsolete, clusterState.obsoleteRecords().size());
  }
}
