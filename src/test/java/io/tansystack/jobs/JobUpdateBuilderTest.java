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

/** In which order drafts are written. */
class JobUpdateBuilderTest {
  /** One letter for each draft: P and L place work of production and low priority, E ends a job. */
  private static JobUpdate draft(char kind, int arrival) {
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
  void replicasComeFirstAndDoNotKeepOthersWaitingForEver(String given, String order) {
    List<JobUpdate> drafts = new ArrayList<>();
    for (int i = 0; i < given.length(); i++) {
      drafts.add(draft(given.charAt(i), i));
    }
    String written =
        JobUpdateBuilder.inTurn(drafts).stream()
            .map(draft -> draft.spec().jobClass())
            .collect(Collectors.joining());
    assertEquals(order, written);
  }
}
