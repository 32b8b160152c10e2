package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.MachineType;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The state service lowers its limits while a large array runs. */
public final class LowerLimits {
  private static final String ARRAY = "wk-000010";
  private static final int TASKS = 300;
  private static final int SERVICES = 30;
  private static final double RUN_S = 10;
  private static final double WAITING_S = 90;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Stage.Config config = new Stage.Config();
    config.nextTxnOps = 5;
    config.nextValueKb = 2;
    config.nextWriteRps = 15;
    List<String> zones = config.zones;
    config.types.add(new MachineType("shunter", 8, 0, 32, 50, 1, 0.46, 0.1, 40, zones));
    try (Stage stage = new Stage(config, Path.of("."), Path.of(args[0]), Path.of(args[1]))) {
      AtomicInteger started = new AtomicInteger();
      AtomicInteger completed = new AtomicInteger();
      stage.taskListener =
          (event, machine, task) -> {
            started.addAndGet(event.equals("started") ? 1 : 0);
            completed.addAndGet(event.equals("completed") ? 1 : 0);
          };
      stage.startAll();
      if (!stage.awaitUp(15)) {
        System.exit(2);
      }
      for (int i = 0; i < SERVICES; i++) {
        ObjectNode service = Stage.job(String.format("wk-%06d", 100 + i), "service", 1, 5, 4.5, 0);
        service.put("Urgency", "prod").put("Loaners", false);
        if (!stage.submit(service, 10)) {
          System.exit(2);
        }
      }
      for (int i = 0; i < 150 && started.get() < SERVICES; i++) {
        Thread.sleep(100);
      }
      stage.note("%d replicas have started", started.get());
      ObjectNode array = Stage.job(ARRAY, "sweep", TASKS, 2, 3.4, RUN_S);
      array.put("Consist", "tariffrun").put("Urgency", "idle").put("DueS", 600.0);
      if (!stage.submit(array, 10)) {
        System.exit(2);
      }
      for (int i = 0; i < 120 && started.get() < SERVICES + 60; i++) {
        Thread.sleep(100);
      }
      stage.note("%d tasks have started", started.get());
      if (started.get() < SERVICES + 60) {
        System.exit(2);
      }
      if (trouble) {
        stage.lowerLimits();
      }
      double since = stage.seconds();
      int asked = 0;
      int lastStarted = started.get();
      double lastStartAt = since;
      while (stage.seconds() - lastStartAt < WAITING_S + 1 && stage.seconds() < 116) {
        Thread.sleep(3000);
        Stage.Answer answer = stage.poll(asked++ % config.controllers, ARRAY);
        stage.note("poll %s: %s; %d starts, %d of %d completed", ARRAY, answer, started.get(),
            completed.get(), TASKS);
        noteMachines(stage);
        if (started.get() > lastStarted) {
          lastStarted = started.get();
          lastStartAt = stage.seconds();
        }
        if (answer.state().equals("done")) {
          stage.note("held: done");
          System.exit(0);
        }
      }
      stage.note("broken: %s has waited for %.0f s, with %d of %d tasks completed", ARRAY,
          stage.seconds() - lastStartAt, completed.get(), TASKS);
      System.exit(stage.seconds() - lastStartAt >= WAITING_S ? 1 : 0);
    }
  }

  private static void noteMachines(Stage stage) throws Exception {
    stage.onLoop(
        () -> {
          Map<String, Integer> machines = new TreeMap<>();
          for (Stage.Machine machine : stage.present()) {
            machines.merge(machine.worker.liveTasks().size() + " tasks", 1, Integer::sum);
          }
          stage.note("  machines with %s", machines);
          return null;
        });
  }
}
