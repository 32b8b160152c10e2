package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.MachineType;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * Cheap machines are taken back in waves without notice, and others are rented for the next jobs.
 * Then the user of an accepted job asks for its state at every node.
 */
public final class Sockets {
  private static final int SOCKETS = 800;

  /** Files of a controller that are no sockets to others: jars, pipes, listeners. */
  private static final int OTHER_FILES = 64;

  private static final int JOBS_PER_WAVE = 13;
  private static final int TASKS_PER_JOB = 30;
  private static final int MAX_WAVES = 7;
  private static final double WAVES_END_S = 34;
  private static final double UNANSWERED_S = 75;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Stage.Config config = new Stage.Config();
    List<String> zones = config.zones;
    config.controllers = 4;
    config.openFiles = SOCKETS + OTHER_FILES;
    config.maxConnections = SOCKETS;
    config.capacity = 800;
    config.cloudRps = 8;
    config.rps = 700;
    config.writeRps = 70;
    config.types.add(new MachineType("shunter", 8, 0, 32, 50, 1, 0.46, 0.1, 2, zones));
    try (Stage stage = new Stage(config, Path.of("."), Path.of(args[0]), Path.of(args[1]))) {
      AtomicInteger started = new AtomicInteger();
      stage.taskListener =
          (event, machine, task) -> {
            if (event.equals("started")) {
              started.incrementAndGet();
            }
          };
      stage.startAll();
      if (!stage.awaitUp(15) || !stage.submit(Stage.job("wk-000001", "service", 1, 8, 4, 0), 10)) {
        System.exit(2);
      }
      int number = 100;
      for (int wave = 0; wave < MAX_WAVES && stage.seconds() < WAVES_END_S; wave++) {
        int before = started.get();
        double at = stage.seconds();
        for (int i = 0; i < JOBS_PER_WAVE; i++) {
          ObjectNode job =
              Stage.job(
                  String.format("wk-%06d", number++), "sweep", TASKS_PER_JOB, 8, 4,
                  trouble ? 300 : 2);
          stage.upload(job);
          int node = i % config.controllers;
          int status = stage.call(node, "POST", "/v1/jobs", Cbor.encode(job), 500).status;
          if (status != 201) {
            stage.note("submit %s at %s: %d", job.get("Uid"), stage.label(node), status);
          }
        }
        int wanted = JOBS_PER_WAVE * TASKS_PER_JOB;
        while (started.get() - before < wanted * 9 / 10 && stage.seconds() - at < 7) {
          Thread.sleep(100);
        }
        stage.note(
            "wave %d: %d tasks started after %.1f s, %d machines, open files %s",
            wave, started.get() - before, stage.seconds() - at,
            stage.onLoop(() -> stage.present().size()), openFiles(stage));
        if (exhausted(stage)) {
          break;
        }
        if (trouble && stage.seconds() < WAVES_END_S) {
          stage.onLoop(
              () -> {
                stage.present().forEach(Stage.Machine::vanish);
                return null;
              });
          stage.note("all machines of the wave were taken without notice");
        }
      }
      double since = stage.seconds();
      int asked = 0;
      while (stage.seconds() - since < UNANSWERED_S + 1) {
        int node = asked++ % config.controllers;
        Stage.Answer answer = stage.poll(node, "wk-000001");
        stage.note("poll wk-000001 at %s: %s", stage.label(node), answer);
        if (answer.status == 200 && asked >= 9) {
          stage.note("held: answered %.1f s after the last wave; open files %s",
              stage.seconds() - since, openFiles(stage));
          System.exit(0);
        }
        if (asked % 10 == 0) {
          int machines = stage.onLoop(() -> stage.present().size());
          stage.note("%d machines, open files %s", machines, openFiles(stage));
        }
        Thread.sleep(1000);
      }
      stage.note("broken: no question about wk-000001 was answered for %.0f s", UNANSWERED_S);
      System.exit(1);
    }
  }

  /** Whether every controller has reached its limit. */
  private static boolean exhausted(Stage stage) throws IOException {
    for (int i = 0; i < stage.config.controllers; i++) {
      try (Stream<Path> files =
          Files.list(Path.of("/proc/" + stage.process(i).pid() + "/fd"))) {
        if (files.count() < SOCKETS + OTHER_FILES - 1) {
          return false;
        }
      }
    }
    return true;
  }

  /** The number of open files of each controller, as the platform counts them. */
  private static String openFiles(Stage stage) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < stage.config.controllers; i++) {
      Path folder = Path.of("/proc/" + stage.process(i).pid() + "/fd");
      try (Stream<Path> files = Files.list(folder)) {
        text.append(stage.label(i)).append('=').append(files.count()).append(' ');
      }
    }
    return text.toString().trim();
  }
}
