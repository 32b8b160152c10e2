package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.settings.SettingsTest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The state service loses data while controllers live: nothing that was accepted is forgotten, no work
 * is done twice or lost, and everything moves again by nobody's hand.
 */
class LossTest extends SimCluster {
  private static final List<String> LOSSES =
      List.of("all", "all from 0", "machines", "jobs", "tenth", "one job", "back", "slots", "leases");

  private final List<String> submitted = new ArrayList<>();
  private int tasks;
  private Runnable back;

  private void work(int count) {
    String id = String.format("wk-%06d", submitted.size());
    submit(id, count);
    submitted.add(id);
    tasks += count;
  }

  private void running() throws Exception {
    settings = SettingsTest.GOOD.replace("cpus_max = 40.0", "cpus_max = 0.0");
    controllerCount = 3;
    maxMachines = 12;
    for (int i = 0; i < controllerCount; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(2));
    work(3);
    work(40);
    loop.runFor(Duration.ofSeconds(40));
    work(40);
    work(60);
    back = store.back();
    loop.runFor(Duration.ofSeconds(12));
    work(30);
    loop.runFor(Duration.ofSeconds(3));
    assertEquals("done", state("wk-000000"));
  }

  private void lose(String what) {
    switch (what) {
      case "all" -> store.lose(key -> true);
      case "all from 0" -> store.loseAll();
      case "machines" -> store.lose(k -> k.startsWith("ts/machines/") || k.startsWith("ts/lots/"));
      case "jobs" -> store.lose(k -> k.startsWith("ts/jobs/") || k.startsWith("ts/intake/"));
      case "tenth" -> store.lose(k -> random.nextInt(10) == 0);
      case "one job" -> store.lose(k -> k.endsWith("/wk-000003"));
      case "slots" -> store.lose(k -> k.startsWith("ts/slots/") || k.equals("ts/fleet"));
      case "leases" -> store.lose(k -> k.startsWith("ts/controllers/"));
      default -> back.run();
    }
  }

  private void allIsWellInTheEnd(String what) {
    loop.runFor(Duration.ofSeconds(200));
    check();
    assertEquals(Set.of(), broken, what);
    for (String id : submitted) {
      assertEquals("done", state(id), what + " " + id);
    }
    assertEquals("404", state("wk-000999"), what);
  }

  @ParameterizedTest
  @CsvSource({
    "all", "all from 0", "machines", "jobs", "tenth", "one job", "back", "slots", "leases",
  })
  void whatControllersRememberIsNotLost(String what) throws Exception {
    running();
    lose(what);
    ObjectNode[] answer = new ObjectNode[1];
    for (int i = 0; i < 8; i++) {
      for (String id : submitted) {
        int status = call("GET", "/v1/jobs/" + id, new byte[0], answer);
        assertTrue(status != 404, what + ": " + id + " is forgotten");
        assertTrue(
            !id.equals("wk-000000") || status != 200 || answer[0].get("Status").asText().equals("done"),
            what + ": went back");
      }
    }
    work(20); // New work is taken, and runs.
    allIsWellInTheEnd(what);
    assertEquals(0, workers.values().stream().mapToInt(w -> w.lost).sum(), what + ": no lease ran out");
    assertEquals(tasks, started.size(), what + ": nothing ran twice, and nothing was stopped");
  }

  /** Pairs that were drawn and went wrong: versions that come again, and a loss while another is mended. */
  @ParameterizedTest
  @CsvSource({
    "all from 0, back", "back, slots", "jobs, all from 0", "slots, back", "all, back", "back, back",
  })
  void aLossAfterALossBreaksNothing(String first, String second) throws Exception {
    for (int afterMs : new int[] {400, 2500, 7000, 16_000}) {
      controllers.keySet().stream().toList().forEach(this::kill);
      store.loseAll();
      workers.values().forEach(worker -> worker.dead = true);
      workers.clear();
      rented.clear();
      submitted.clear();
      started.clear();
      running();
      lose(first);
      loop.runFor(Duration.ofMillis(afterMs));
      check();
      lose(second);
      allIsWellInTheEnd(first + ", " + second + " after " + afterMs + " ms");
    }
  }

  /** Losses of any kind, one after the other, while controllers come and go: rules and answers hold. */
  @ParameterizedTest
  @MethodSource("seeds")
  void drawnLossesBreakNothing(long seed) throws Exception {
    random = new Random(seed);
    running();
    String what = "seed " + seed;
    for (int i = 1 + random.nextInt(3); i > 0; i--) {
      String loss = LOSSES.get(random.nextInt(LOSSES.size()));
      what += " " + loss;
      lose(loss);
      loop.runFor(Duration.ofMillis(random.nextInt(20_000)));
      check();
    }
    allIsWellInTheEnd(what);
  }
}
