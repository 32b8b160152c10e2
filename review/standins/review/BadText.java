package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.MachineType;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Users submit malformed jobs: in one text an UTF-8 sequence is invalid. Then the user of an accepted
 * job, which runs, asks for its state at every node.
 */
public final class BadText {
  private static final int JOBS = 140;
  private static final int TRIES = 3;
  private static final double UNANSWERED_S = 75;

  /**
   * With {@code KIND=gpus}, not used by the case: instead of malformed jobs, jobs that fit no machine,
   * since they need a tiny part of a GPU and allow only a type that has none.
   */
  private static final boolean KIND_GPUS = "gpus".equals(System.getenv("KIND"));

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Stage.Config config = new Stage.Config();
    List<String> zones = config.zones;
    config.types.add(new MachineType("shunter", 8, 0, 32, 50, 1, 0.46, 0.1, 40, zones));
    config.teams.add("portlink");
    try (Stage stage = new Stage(config, Path.of("."), Path.of(args[0]), Path.of(args[1]))) {
      stage.startAll();
      if (!stage.awaitUp(15)) {
        System.exit(2);
      }
      if (!stage.submit(Stage.job("wk-000001", "service", 1, 4, 4.5, 0), 10)) {
        System.exit(2);
      }
      for (int i = 0; i < 40 && !stage.poll(0, "wk-000001").state().equals("running"); i++) {
        Thread.sleep(250);
      }
      for (int i = 0; i < config.controllers; i++) {
        Stage.Answer answer = stage.poll(i, "wk-000001");
        stage.note("poll wk-000001 at %s: %s", stage.label(i), answer);
        if (answer.status != 200) {
          System.exit(2);
        }
      }
      submitOthers(stage, trouble);
      stage.note("the last of the other users has ended its retries");
      double since = stage.seconds();
      int asked = 0;
      while (stage.seconds() - since < UNANSWERED_S + 1) {
        int node = asked++ % config.controllers;
        Stage.Answer answer = stage.poll(node, "wk-000001");
        stage.note("poll wk-000001 at %s: %s", stage.label(node), answer);
        if (answer.status == 200 && trouble) {
          stage.note("held: answered %.1f s after the end of the trouble", stage.seconds() - since);
          System.exit(0);
        }
        if (answer.status == 200 && asked >= 3 * config.controllers) {
          stage.note("held: answered without trouble");
          System.exit(0);
        }
        Thread.sleep(1500);
      }
      stage.note("broken: no question about wk-000001 was answered for %.0f s", UNANSWERED_S);
      System.exit(1);
    }
  }

  /** The other users submit at the same time; each retries as the protocol says, three times. */
  private static void submitOthers(Stage stage, boolean trouble) throws Exception {
    ExecutorService users = Executors.newFixedThreadPool(JOBS);
    List<Future<?>> ends = new ArrayList<>();
    AtomicInteger[] counts = new AtomicInteger[600];
    for (int i = 0; i < counts.length; i++) {
      counts[i] = new AtomicInteger();
    }
    for (int n = 0; n < JOBS; n++) {
      int number = n;
      ObjectNode job = Stage.job(String.format("wk-%06d", 100 + n), "sweep", 1, 1, 1, 5);
      job.put("Consist", "gatepings-XXX").put("Crew", "portlink").put("Urgency", "idle");
      stage.upload(job);
      if (trouble && KIND_GPUS) {
        job.put("Shape", "service").put("Gpus", 1e-10).putArray("Fleets").add("shunter");
      }
      byte[] body = Cbor.encode(job);
      if (trouble && !KIND_GPUS) {
        breakText(body);
      }
      ends.add(
          users.submit(
              () -> {
                for (int i = 0; i < TRIES; i++) {
                  int node = (number + i) % stage.config.controllers;
                  int status = stage.call(node, "POST", "/v1/jobs", body, 5000).status;
                  counts[status].incrementAndGet();
                  if (status != 0 && status != 503 && status != 429 && status != 504) {
                    return;
                  }
                  sleep(1000);
                }
              }));
    }
    for (Future<?> end : ends) {
      end.get();
    }
    users.shutdownNow();
    for (int status = 0; status < counts.length; status++) {
      if (counts[status].get() > 0) {
        stage.note("%d submissions of the other users: status %d", counts[status].get(), status);
      }
    }
  }

  /** Replaces XXX by the three bytes of a lone surrogate, which no valid UTF-8 text contains. */
  private static void breakText(byte[] body) {
    for (int i = 0; i + 2 < body.length; i++) {
      if (body[i] == 'X' && body[i + 1] == 'X' && body[i + 2] == 'X') {
        body[i] = (byte) 0xED;
        body[i + 1] = (byte) 0xA0;
        body[i + 2] = (byte) 0xBD;
        return;
      }
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
