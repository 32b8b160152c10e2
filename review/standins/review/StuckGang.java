package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.MachineType;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The machines of a running gang stop; smaller machines, which run services, stay. */
public final class StuckGang {
  private static final String GANG = "wk-000010";
  private static final int TASKS = 40;
  private static final double RUN_S = 40;
  private static final long NO_CAPACITY_MS = 12_000;
  private static final double WAITING_S = 90;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Stage.Config config = new Stage.Config();
    List<String> zones = config.zones;
    config.types.add(new MachineType("shunter", 8, 0, 32, 50, 1, 0.46, 0.1, 40, zones));
    config.types.add(new MachineType("mainline", 32, 0, 64, 50, 1, 1.73, 0.42, 40, zones));
    try (Stage stage = new Stage(config, Path.of("."), Path.of(args[0]), Path.of(args[1]))) {
      AtomicInteger started = new AtomicInteger();
      AtomicInteger completed = new AtomicInteger();
      stage.taskListener =
          (event, machine, task) -> {
            if (task.job().equals(GANG)) {
              started.addAndGet(event.equals("started") ? 1 : 0);
              completed.addAndGet(event.equals("completed") ? 1 : 0);
            }
          };
      stage.startAll();
      if (!stage.awaitUp(15)) {
        System.exit(2);
      }
      if (trouble) {
        stage.unavailable.add("mainline");
        stage.note("the cloud has no mainline to give");
      }
      ObjectNode gang = Stage.job(GANG, "group", TASKS, 5, 1, RUN_S);
      gang.put("Consist", "loadfit").put("Loaners", false);
      if (!stage.submit(gang, 10)) {
        System.exit(2);
      }
      Thread.sleep(NO_CAPACITY_MS);
      stage.unavailable.clear();
      stage.note("the cloud has all types to give");
      double since = stage.seconds();
      ObjectNode service = Stage.job("wk-000001", "service", 1, 3, 4.5, 0);
      service.put("Urgency", "prod").put("Loaners", false).putArray("Fleets").add("shunter");
      if (!stage.submit(service, 10)) {
        System.exit(2);
      }
      int asked = 0;
      while (stage.seconds() - since < WAITING_S + 1) {
        Thread.sleep(4000);
        Stage.Answer answer = stage.poll(asked++ % config.controllers, GANG);
        stage.note(
            "poll %s: %s; %d tasks started, %d completed",
            GANG, answer, started.get(), completed.get());
        noteMachines(stage);
        if (started.get() >= TASKS) {
          stage.note("held: the gang was started");
          System.exit(0);
        }
      }
      stage.note("broken: accepted job %s has waited for %.0f s", GANG, WAITING_S);
      System.exit(1);
    }
  }

  private static void noteMachines(Stage stage) throws Exception {
    stage.onLoop(
        () -> {
          Map<String, Integer> machines = new TreeMap<>();
          for (Stage.Machine machine : stage.present()) {
            machines.merge(
                machine.worker.type().name() + " with " + machine.worker.liveTasks(), 1,
                Integer::sum);
          }
          stage.note("  machines: %s", machines);
          return null;
        });
  }
}
