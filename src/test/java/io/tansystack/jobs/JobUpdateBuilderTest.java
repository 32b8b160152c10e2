package io.tansystack.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.jobs.JobUpdateBuilder.JobUpdate;
import io.tansystack.records.JobRecord;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the order in which job updates are written. */
class JobUpdateBuilderTest {
  /** Creates an update: P and L place tasks of production and low priority, E ends a job. */
  private static JobUpdate update(char kind, int arrival) {
    Priority priority = kind == 'P' ? Priority.PRODUCTION : Priority.LOW;
    JobSpec spec =
        new JobSpec(
            "wk-00" + arrival, String.valueOf(kind), "team", JobKind.ARRAY, priority, 1, 1, 0, 1,
            "image", 1, null, null, false, false, false, 10, 0, 0, null);
    JobRecord record = JobRecord.created(spec, arrival);
    return new JobUpdate(new Job(record, 1, 0), record, List.of(), kind != 'E', kind == 'E');
  }

  @ParameterizedTest
  @CsvSource({
    "PPPP,PPPP",
    "LLEL,ELLL",
    "LPE,PEL",
    "LLPPPPPPP,PPPLPPPLP",
    "LEPPPP,PPPEPL",
    "LLLLP,PLLLL",
  })
  void replicasComeFirstWithoutStarvingOtherUpdates(String given, String order) {
    List<JobUpdate> updates = new ArrayList<>();
    for (int i = 0; i < given.length(); i++) {
      updates.add(update(given.charAt(i), i));
    }
    String written =
        JobUpdateBuilder.inWriteOrder(updates).stream()
            .map(update -> update.spec().jobClass())
            .collect(Collectors.joining());
    assertEquals(order, written);
  }
}
