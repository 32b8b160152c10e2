package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Many jobs submitted at once are accepted with few writes, and from then on each behaves like a
 * job that was submitted alone.
 */
class SubmissionBurstTest extends SimCluster {
  private static final int JOBS = 40;

  private List<JobSpec> jobs(int tasks) {
    List<JobSpec> specs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      specs.add(spec(String.format("wk-%06d", i), tasks));
    }
    return specs;
  }

  @Test
  void burstTakesFewWritesAndIsKnownToEveryController() throws Exception {
    controllerCount = 2;
    boot(0);
    boot(1);
    loop.runFor(Duration.ofSeconds(3));
    maxMachines = 0;
    Map<String, Integer> answers = submitTogether(0, jobs(1));
    loop.runFor(Duration.ofSeconds(1));
    assertEquals(Set.of(201), new TreeSet<>(answers.values()));
    assertTrue(store.writes("ts/intake/") <= 4, store.writes("ts/intake/") + " writes");
    assertTrue(store.writes("ts/jobs/") <= 2, store.writes("ts/jobs/") + " individual records");

    kill(0); // The controller that accepted the jobs; the records must hold all that it knew.
    ObjectNode[] answer = new ObjectNode[1];
    assertEquals("pending", state("wk-000007"));
    assertEquals("404", state("wk-000099"));
    assertEquals(404, callFirstAvailable("POST", "/v1/jobs/wk-000099/abort", new byte[0], answer));
    byte[] other = Cbor.encode(Cbor.map().put("Uid", "wk-000008").put("Wagons", "many"));
    assertEquals(
        200, callFirstAvailable("POST", "/v1/jobs", other, answer),
        "a repeated submission is accepted with any body");
    assertEquals(200, callFirstAvailable("POST", "/v1/jobs/wk-000009/abort", new byte[0], answer));
    assertEquals("withdrawn", state("wk-000009"));

    boot(0);
    loop.runFor(Duration.ofSeconds(2));
    kill(1); // The remaining controller has read all records after its start.
    assertEquals("pending", state("wk-000007"));
    assertEquals("withdrawn", state("wk-000009"));
    boot(1);
    maxMachines = 8;
    loop.runFor(Duration.ofSeconds(240));
    for (JobSpec spec : jobs(1)) {
      assertEquals(
          spec.id().equals("wk-000009") ? "withdrawn" : "done", state(spec.id()), spec.id());
    }
    assertEquals(JOBS - 1, startedTasks.size(), "each was started once, except the cancelled one");
    assertEquals(0, store.keyCount("ts/intake/"), "obsolete submission batches are removed");
  }

  @Test
  void unknownJobIsDeniedAtOnceOnIdleCluster() throws Exception {
    boot(0);
    loop.runFor(Duration.ofSeconds(10));
    Map<String, Duration> answers = new TreeMap<>();
    byte[] bad = Cbor.encode(Cbor.map().put("Uid", "wk-000099").put("Wagons", "many"));
    Duration requestedAt = loop.now();
    processes.get(0).run(() -> controllers.get(0).handleFront("POST", "/v1/jobs", bad,
        (status, bytes, r) -> answers.put("bad " + status, loop.now().minus(requestedAt))));
    processes.get(0).run(() -> controllers.get(0).handleFront("POST", "/v1/jobs/wk-000098/abort", new byte[0],
        (status, bytes, r) -> answers.put("abort " + status, loop.now().minus(requestedAt))));
    loop.runFor(Duration.ofSeconds(3));
    assertEquals(Set.of("bad 400", "abort 404"), answers.keySet());
    answers.forEach((request, after) -> assertTrue(after.toMillis() <= 50, request + " after " + after));
  }

  @Test
  void firstAcceptanceOfAnIdWins() throws Exception {
    controllerCount = 2;
    boot(0);
    boot(1);
    loop.runFor(Duration.ofSeconds(3));
    maxMachines = 0;
    List<JobSpec> later = jobs(2);
    Collections.reverse(later);
    submitTogether(0, jobs(1));
    loop.runFor(Duration.ofMillis(100));
    // Too early for the second controller's cache to show all of the first controller's jobs.
    Map<String, Integer> answers = submitTogether(1, later);
    loop.runFor(Duration.ofSeconds(2));
    assertTrue(Set.of(200, 201).containsAll(answers.values()), answers.toString());
    kill(0);
    kill(1);
    boot(0);
    maxMachines = 8;
    loop.runFor(Duration.ofSeconds(240));
    assertEquals("done", state("wk-000000"));
    assertEquals("done", state("wk-000039"));
    assertEquals(JOBS, startedTasks.size(), "the description that was accepted first counts");
  }
}
