package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.MachineType;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A team at its limit submits one more job; a job of another team that fits beside it waits. */
public final class QuotaReserve {
  private static final String WAITING = "wk-000003";
  private static final double WAITING_S = 90;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Stage.Config config = new Stage.Config();
    config.capacity = 1;
    config.teamGpus = 4;
    config.teamGpusMax = 4;
    List<String> zones = config.zones;
    config.types.add(new MachineType("heavyhaul", 96, 8, 768, 200, 1, 25.33, 5.78, 25, zones));
    try (Stage stage = new Stage(config, Path.of("."), Path.of(args[0]), Path.of(args[1]))) {
      AtomicInteger started = new AtomicInteger();
      stage.taskListener =
          (event, machine, task) -> {
            stage.note("%s %s on %s", task, event, machine);
            if (task.job().equals(WAITING) && event.equals("started")) {
              started.incrementAndGet();
            }
          };
      stage.startAll();
      if (!stage.awaitUp(15)) {
        System.exit(2);
      }
      ObjectNode first = gpuJob("wk-000001");
      if (!stage.submit(first, 10)) {
        System.exit(2);
      }
      for (int i = 0; i < 60 && !stage.poll(0, "wk-000001").state().equals("running"); i++) {
        Thread.sleep(250);
      }
      Thread.sleep(2000);
      // The jobs of the class come more often: one more, which has to wait for its team's limit.
      if (trouble && !stage.submit(gpuJob("wk-000002"), 10)) {
        System.exit(2);
      }
      ObjectNode waiting = Stage.job(WAITING, "sweep", 1, 20, 30, 10);
      waiting.put("Consist", "tariffrun").put("Crew", "wagonops");
      if (!stage.submit(waiting, 10)) {
        System.exit(2);
      }
      double since = stage.seconds();
      int asked = 0;
      while (stage.seconds() - since < WAITING_S + 1) {
        Thread.sleep(4000);
        Stage.Answer answer = stage.poll(asked++ % config.controllers, WAITING);
        stage.note("poll %s: %s", WAITING, answer);
        if (started.get() > 0) {
          stage.note("held: it was started %.1f s after its acceptance", stage.seconds() - since);
          System.exit(0);
        }
      }
      stage.onLoop(
          () -> {
            for (Stage.Machine machine : stage.present()) {
              stage.note("%s (%s, %.0f CPUs) has %s", machine.worker.name(),
                  machine.worker.type().name(), machine.worker.type().cpus(),
                  machine.worker.liveTasks());
            }
            return null;
          });
      stage.note(
          "broken: %s has waited for %.0f s beside room for it", WAITING, WAITING_S);
      System.exit(1);
    }
  }

  private static ObjectNode gpuJob(String id) {
    ObjectNode job = Stage.job(id, "service", 1, 43, 230, 0);
    return job.put("Consist", "loadfit").put("Gpus", 4.0).put("Urgency", "standard");
  }
}
