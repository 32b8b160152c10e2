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

/** What stands for a job that several records tell of, in every order in which they may be seen. */
class SubmissionBatchesTest {
  private static final String ID = "wk-000001";

  /** The number of tasks tells which description it is. */
  private static JobRecord described(String id, int tasks) {
    JobSpec spec =
        new JobSpec(
            id, "c", "t", JobKind.ARRAY, Priority.LOW, tasks, 1, 0, 1, "i", 1, null, null, false,
            false, true, 10, 0, 0, null);
    return JobRecord.created(spec, 5);
  }

  /**
   * A change: {@code in4@7} an intake of the job with four tasks (and of another job) at revision 7,
   * {@code own} a record of its own as accepted, {@code put} as placed, {@code end} as over, {@code del}
   * the removal of the intake of that number of tasks.
   */
  private static Change change(String text) {
    int tasks = Integer.parseInt(text.substring(3, text.indexOf('@')));
    long version = Long.parseLong(text.substring(text.indexOf('@') + 1));
    JobRecord record = described(ID, tasks);
    String intake = ClusterState.intakeKey("x-" + tasks);
    ObjectNode value =
        switch (text.substring(0, 3)) {
          case "own" -> record.write();
          case "put" ->
              record.placed(List.of(new JobRecord.Assignment("n-1", 1, TaskSet.range(0, 1)))).write();
          case "end" -> record.cancelled(1).write();
          default -> ClusterState.intake(List.of(record));
        };
    return switch (text.substring(0, 3)) {
      case "in_" -> new Change(intake, value, version);
      case "del" -> new Change(intake, null, version);
      default -> new Change(ClusterState.jobKey(ID), value, version);
    };
  }

  @ParameterizedTest
  @CsvSource({
    // changes, tasks of what stands (0: over, -: unknown), version of its own key, intakes not needed
    "in_4@7,                            4,0,0",
    "in_4@7 in_5@9,                     4,0,0",
    "in_5@9 in_4@7,                     4,0,0", // as a list shows them, by key
    "in_4@7 own5@9,                     4,9,0",
    "in_4@9 own5@7,                     5,7,0",
    "own5@7 in_4@9,                     5,7,0",
    "own5@9 in_4@7,                     4,9,0", // a page newer than the changes that follow it
    "in_4@7 put4@9,                     4,9,1",
    "in_4@7 own5@8 put4@9,              4,9,1",
    "in_5@8 put4@9 in_4@7,              4,9,2", // the first that accepted it was removed and comes late
    "in_4@7 in_5@8 put4@9 del4@10,      4,9,1",
    "put4@9 in_4@7 del4@10,             4,9,0",
    "in_4@7 end4@9,                     0,0,1",
    "end4@9 in_4@7,                     0,0,1", // never again after it was over
    "in_4@7 end4@9 in_5@8,              0,0,2",
    "in_4@7 del4@8,                     4,0,0",
  })
  void theEarliestCountsUntilTheJobHasGoneOn(String changes, String tasks, long version, int over) {
    ClusterState world = new ClusterState(touched -> {});
    List<Change> all = new ArrayList<>();
    for (String change : changes.split(" ")) {
      all.add(change(change));
    }
    world.changes(all, 10);
    Job job = world.job(ID);
    String stands =
        job != null
            ? String.valueOf(job.record().spec().tasks())
            : world.finalPhase(ID) != null ? "0" : "-";
    assertEquals(tasks, stands);
    assertEquals(version, job == null ? 0 : job.version());
    assertEquals(over, world.needless().size());
  }
}
