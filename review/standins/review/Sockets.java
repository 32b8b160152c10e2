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
  private static final double WAVES_END_S = 38;
  private static final double UNANSWERED_S = 75;

  /** The later of the end of the last wave and of the last answer. */
  private static double since;

  private static double askedAt;
  private static int asked;

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
        for (int i = 0; i < JOBS_PER_WAVE && stage.seconds() < WAVES_END_S; i++) {
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
        while (started.get() - before < wanted * 9 / 10
            && stage.seconds() < Math.min(at + 7, WAVES_END_S)) {
          Thread.sleep(100);
          if (wave > 0 && stage.seconds() - askedAt > 1) {
            ask(stage);
          }
        }
        stage.note(
            "wave %d: %d tasks started after %.1f s, %d machines, open files %s",
            wave, started.get() - before, stage.seconds() - at,
            stage.onLoop(() -> stage.present().size()), openFiles(stage));
        if (exhausted(stage)) {
          break;
        }
        if (trouble && stage.seconds() < WAVES_END_S - 3) {
          stage.onLoop(
              () -> {
                stage.present().forEach(Stage.Machine::vanish);
                return null;
              });
          stage.note("all machines of the wave were taken without notice");
          since = stage.seconds();
        }
      }
      int machines = stage.onLoop(() -> stage.present().size());
      stage.note("the waves are over: %d machines, open files %s", machines, openFiles(stage));
      if (!trouble) {
        since = stage.seconds();
      }
      while (stage.seconds() - since < UNANSWERED_S + 1) {
        boolean answered = ask(stage);
        if (answered && (!trouble || stage.seconds() > WAVES_END_S + 4)) {
          stage.note("held: answered; open files %s", openFiles(stage));
          System.exit(0);
        }
        Thread.sleep(1000);
      }
      machines = stage.onLoop(() -> stage.present().size());
      stage.note("%d machines, open files %s", machines, openFiles(stage));
      stage.note("broken: no question about wk-000001 was answered for %.0f s", UNANSWERED_S);
      System.exit(1);
    }
  }

  /** Asks the next node; true if it answers. The time without an answer begins anew then. */
  private static boolean ask(Stage stage) {
    int node = asked++ % stage.config.controllers;
    askedAt = stage.seconds();
    Stage.Answer answer = stage.poll(node, "wk-000001");
    stage.note("poll wk-000001 at %s: %s", stage.label(node), answer);
    if (answer.status == 200) {
      since = stage.seconds();
    }
    return answer.status == 200;
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
