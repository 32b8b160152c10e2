package io.tansystack.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.records.JobRecord;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the estimate of machines needed for arriving jobs, and the end of arrivals. */
class JobArrivalsTest {
  private static final MachineType TYPE =
      new MachineType("g", 16, 4, 64, 50, 0.5, 10, 3, 40, List.of("a"));

  private static Job job(int i) {
    JobSpec spec =
        new JobSpec(
            "wk-" + i, "c", "t", JobKind.ARRAY, Priority.LOW, 8, 1, 1, 1, "img", 2, null, null,
            false, false, false, 10, 0, 0, null);
    return new Job(JobRecord.created(spec, 0), 1, 0);
  }

  /**
   * A job of eight tasks, four to a machine, arrives every {@code everyS} seconds until {@code
   * lastArrivalS}, then none for {@code quietS}. The machine boots in 40 s. A negative machine
   * count stands for "not known yet".
   */
  @ParameterizedTest
  @CsvSource({
    "2, 60, 0, -1, false", "2, 200, 0, 40, false", "2, 200, 20, 33, false", "2, 200, 30, 30, true",
    "20, 200, 30, 3, false", "20, 600, 250, 0, false", "2, 30, 60, -1, false"
  })
  void estimatesMachinesAndDetectsEndOfArrivals(
      int everyS, int lastArrivalS, int quietS, int machines, boolean stopped) {
    JobArrivals arrivals = new JobArrivals();
    Map<String, Job> jobs = new TreeMap<>();
    Duration start = Duration.ofSeconds(1000);
    arrivals.reset(start);
    for (int s = 0; s <= lastArrivalS + quietS; s++) {
      if (s <= lastArrivalS && s % everyS == 0) {
        jobs.put("wk-" + s, job(s));
      }
      arrivals.update(jobs, start.plusSeconds(s));
    }
    Duration now = start.plusSeconds(lastArrivalS + quietS);
    double estimate = arrivals.machinesNeededPerBoot(TYPE, spec -> true, now);
    assertEquals(machines, estimate == Double.MAX_VALUE ? -1 : Math.round(estimate), 1);
    assertEquals(stopped, arrivals.haveStopped(now));
  }
}
