package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.MachineType;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Jobs of a class of small tasks come several times as often. A machine that has room for them gets
 * so many tasks that its report exceeds the size of a request.
 */
public final class BigReport {
  private static final int USUAL = 1;
  private static final int TIMES = 3;
  private static final int TASKS = 581;
  private static final double RUN_S = 30;

  /** From the last acceptance: three times a task's run time, and time to rent and boot a machine. */
  private static final double WAIT_S = 100;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Stage.Config config = new Stage.Config();
    List<String> zones = config.zones;
    config.teams.add("portlink");
    config.types.add(new MachineType("heavyhaul", 96, 8, 768, 200, 1, 25.33, 5.78, 25, zones));
    try (Stage stage = new Stage(config, Path.of("."), Path.of(args[0]), Path.of(args[1]))) {
      AtomicInteger started = new AtomicInteger();
      AtomicInteger completed = new AtomicInteger();
      Map<String, Integer> completedByJob = new ConcurrentHashMap<>();
      stage.taskListener =
          (event, machine, task) -> {
            if (event.equals("started")) {
              started.incrementAndGet();
            } else if (event.equals("completed")) {
              completed.incrementAndGet();
              completedByJob.merge(task.job(), 1, Integer::sum);
            }
          };
      stage.startAll();
      if (!stage.awaitUp(15)) {
        System.exit(2);
      }
      List<String> ids = new ArrayList<>();
      for (int i = 0; i < (trouble ? USUAL * TIMES : USUAL); i++) {
        ObjectNode job = Stage.job(String.format("wk-%06d", 1 + i), "sweep", TASKS, 0.05, 0.1, RUN_S);
        job.put("Consist", "gatepings").put("Crew", "portlink").put("Urgency", "idle");
        if (!stage.submit(job, 10)) {
          System.exit(2);
        }
        ids.add(job.get("Uid").asText());
      }
      double since = stage.seconds();
      int done = 0;
      int asked = 0;
      while (stage.seconds() - since < WAIT_S && done < ids.size()) {
        Thread.sleep(5000);
        done = 0;
        for (String id : ids) {
          Stage.Answer answer = stage.poll(asked++ % config.controllers, id);
          stage.note("poll %s: %s", id, answer);
          done += answer.state().equals("done") ? 1 : 0;
        }
        stage.note("tasks: %d started, %d completed %s", started.get(), completed.get(),
            new TreeMap<>(completedByJob));
        stage.onLoop(
            () -> {
              for (Stage.Machine machine : stage.present()) {
                stage.note(
                    "%s: %d tasks on it, %d lost with its lease, reports %d answered, %d refused,"
                        + " largest %d bytes (%d in JSON)",
                    machine.worker.name(), machine.worker.liveTasks().size(),
                    machine.worker.lostTaskCount(), machine.accepted, machine.refused,
                    machine.largestReport, Cbor.jsonSize(machine.worker.report().write()));
              }
              return null;
            });
      }
      if (completed.get() > 0) {
        stage.note("held: accepted work ran to its end; %d of %d jobs are done", done, ids.size());
        System.exit(0);
      }
      stage.note(
          "broken: of %d accepted jobs no task has completed in %.0f s, after %d starts",
          ids.size(), WAIT_S, started.get());
      System.exit(1);
    }
  }
}
