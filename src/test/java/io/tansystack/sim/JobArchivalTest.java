package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState;
import io.tansystack.emulator.StoreLimits;
import io.tansystack.records.JobRecord;
import io.tansystack.wire.Cbor;
import java.time.Duration;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Finished jobs are archived and stay known permanently; a controller does not read them at
 * startup.
 */
class JobArchivalTest extends SimCluster {
  private static String id(int i) {
    return String.format("wk-%06d", i);
  }

  private void bootAll() throws Exception {
    for (int i = 0; i < controllerCount; i++) {
      boot(i);
    }
  }

  private void killAll() {
    for (int i = 0; i < controllerCount; i++) {
      kill(i);
    }
  }

  private void assertAllKnown(int jobs, String cancelled) {
    ObjectNode[] answer = new ObjectNode[1];
    for (int i = 0; i < jobs; i++) {
      String expected = id(i).equals(cancelled) ? "withdrawn" : "done";
      assertEquals(expected, state(id(i)));
      byte[] other = Cbor.encode(Cbor.map().put("Uid", id(i)).put("Wagons", "many"));
      assertEquals(
          200, callFirstAvailable("POST", "/v1/jobs", other, answer),
          "a repeated submission is accepted with any body");
      assertEquals(expected, answer[0].get("Status").asText());
      byte[] same = Cbor.encode(spec(id(i), 1).write());
      assertEquals(200, callFirstAvailable("POST", "/v1/jobs", same, answer), "and with any resource request");
      assertEquals(200, callFirstAvailable("POST", "/v1/jobs/" + id(i) + "/abort", new byte[0], answer));
      assertEquals(expected, answer[0].get("Status").asText());
    }
    assertEquals("404", state(id(999)));
    assertEquals(404, callFirstAvailable("POST", "/v1/jobs/" + id(999) + "/abort", new byte[0], answer));
  }

  @Test
  void archivedJobsStayKnownAndNeverRunAgain() throws Exception {
    controllerCount = 2;
    bootAll();
    loop.runFor(Duration.ofSeconds(2));
    for (int i = 0; i < 13; i++) {
      submit(id(i), i == 12 ? 30 : 1);
    }
    ObjectNode[] answer = new ObjectNode[1];
    assertEquals(200, callFirstAvailable("POST", "/v1/jobs/" + id(12) + "/abort", new byte[0], answer));
    loop.runFor(Duration.ofSeconds(120));
    assertTrue(store.keyCount("ts-ended/") >= 12, store.keyCount("ts-ended/") + " archived");
    assertTrue(store.keyCount("ts/jobs/") <= 1, store.keyCount("ts/jobs/") + " not archived");
    int starts = startedTasks.size();
    assertAllKnown(13, id(12));
    killAll();
    bootAll(); // The new processes have no state of these jobs in memory.
    loop.runFor(Duration.ofSeconds(2));
    assertAllKnown(13, id(12));
    loop.runFor(Duration.ofSeconds(60));
    assertEquals(starts, startedTasks.size(), "no task runs again");
    assertEquals(0, store.keyCount("ts/intake/"));
  }

  /**
   * Jobs are queried all the time while they finish and are archived, and while controllers
   * restart.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void answersNeverRegressDuringArchival(long seed) throws Exception {
    random = new java.util.Random(seed);
    controllerCount = 2;
    bootAll();
    loop.runFor(Duration.ofSeconds(2));
    for (int i = 0; i < 9; i++) {
      submit(id(i), 1 + random.nextInt(3));
    }
    boolean[] seenDone = new boolean[9];
    exchangeFaultShare = 0.02;
    for (int round = 0; round < 60; round++) {
      int job = random.nextInt(9);
      String state = state(id(job));
      assertTrue(!state.equals("404"), "seed " + seed + ": an accepted job is never reported as unknown");
      assertTrue(!seenDone[job] || state.equals("done") || state.equals("no answer"), "seed " + seed + ": " + state);
      seenDone[job] |= state.equals("done");
      if (random.nextInt(6) == 0) {
        int victim = random.nextInt(2);
        if (controllers.containsKey(victim)) {
          kill(victim);
        }
        boot(victim);
      }
      assertEquals("404", state(id(500)), "an unknown job is never reported as known");
    }
    exchangeFaultShare = 0;
    loop.runFor(Duration.ofSeconds(60));
    check();
    assertEquals(java.util.Set.of(), violations);
    for (int i = 0; i < 9; i++) {
      assertEquals("done", state(id(i)), "seed " + seed);
    }
  }

  /**
   * Cost of starting three controllers: requests to the state service, how many of them it refused,
   * and the time until the last controller is ready.
   */
  private record StartupCost(int requests, int refused, Duration duration) {}

  private StartupCost measureStartup(int ended, Function<String, String> key) throws Exception {
    store.clear();
    store.limits(store.limits().withPageSize(StoreLimits.MAX_PAGE_SIZE));
    ObjectNode outcome = JobRecord.outcome(JobRecord.Phase.DONE).write();
    for (int i = 0; i < ended; i++) {
      store.preset(key.apply(String.format("wk-%07d", i)), outcome);
    }
    controllerCount = 3;
    store.limits(store.limits().withRequests(200));
    store.resetCounters();
    Duration startedAt = loop.now();
    bootAll();
    int[] ready = {0};
    while (ready[0] < 3 && loop.now().minus(startedAt).compareTo(Duration.ofSeconds(300)) < 0) {
      loop.runFor(Duration.ofMillis(20));
      ready[0] = 0;
      for (int i = 0; i < 3; i++) {
        controllers
            .get(i)
            .handleFront("GET", "/up", new byte[0], (status, body, r) -> ready[0] += status == 200 ? 1 : 0);
      }
    }
    StartupCost start = new StartupCost((int) store.requests(), (int) store.rejected(), loop.now().minus(startedAt));
    killAll();
    return start;
  }

  @ParameterizedTest
  @ValueSource(ints = {10_000, 50_000})
  void startupCostDoesNotGrowWithArchivedJobs(int ended) throws Exception {
    StartupCost none = measureStartup(0, ClusterState::archiveKey);
    StartupCost many = measureStartup(ended, ClusterState::archiveKey);
    assertTrue(many.requests <= none.requests * 1.1, none + " and " + many);
    assertTrue(many.duration.toMillis() <= none.duration.toMillis() * 1.1, none + " and " + many);
    // Without archival each start reads every outcome, as it does for those not archived yet.
    StartupCost unarchived = measureStartup(ended, ClusterState::jobKey);
    assertTrue(unarchived.requests >= none.requests + 3 * ended / 1000, "" + unarchived);
  }
}
