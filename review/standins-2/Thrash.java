package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.MachineType;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Two jobs stop each other for ever: one is within its team's guarantee, the other has the higher
 * priority, and one machine is left for both.
 */
final class Thrash {
  private static final String FIRST = "wk-000001";
  private static final String URGENT = "wk-000002";
  private static final String GUARANTEED = "wk-000003";

  /** 90 s, and 10 s more in which the loss of the machine may be noticed. */
  private static final double LIMIT_S = 100;

  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE"))));
  }

  private static int run(Path root, Path recordFile, boolean trouble) throws Exception {
    Rig.Config c = Rig.Config.relsovo();
    c.machines = new int[] {3, 0};
    Path folder = Files.createTempDirectory("review-2-");
    try (Rig rig = new Rig(c, root, folder, recordFile)) {
      rig.log("trouble=%s", trouble);
      rig.fleet.addMachines();
      for (int i = 0; i < c.controllers; i++) {
        rig.startController(i);
      }
      if (!rig.waitUp(20, 0, 1, 2) || !Waits.waitForMachines(rig, 3)) {
        rig.log("the deployment did not come up");
        return 2;
      }
      // Each team is guaranteed 8 GPUs. The second job of dispatch is beyond its guarantee, which
      // the first one fills; the job of wagonops is within that of its team.
      start(rig, loadfit(FIRST, "dispatch", "urgent", 400));
      start(rig, loadfit(URGENT, "dispatch", "urgent", 30));
      start(rig, loadfit(GUARANTEED, "wagonops", "standard", 30));
      if (trouble) {
        String machine =
            rig.fleetLoop.call(
                () ->
                    rig.fleet.onMachine.entrySet().stream()
                        .filter(e -> e.getKey().job().equals(URGENT))
                        .findFirst().orElseThrow().getValue());
        rig.fleet.die(machine);
      }
      return watch(rig, rig.ms());
    } catch (IllegalStateException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  private static ObjectNode loadfit(String id, String team, String urgency, double estimateS) {
    return Rig.with(
        Rig.job(id, "group", urgency, 1, 86, 610, "img-loadfit"),
        "Consist", "loadfit", "Crew", team, "Gpus", 8.0, "SamePlace", true, "Loaners", false,
        "Fleets", List.of("heavyhaul"), "TransitS", estimateS);
  }

  private static void start(Rig rig, ObjectNode job) throws Exception {
    Waits.submit(rig, job);
    if (!Waits.waitForTasks(rig, job.get("Uid").asText(), 1, 20)) {
      throw new IllegalStateException("not started: " + job);
    }
  }

  /**
   * Either job runs for 45 s at most if it is left alone. So at least one of them can be done in the
   * time, whichever it is, on the machine that is left for both.
   */
  private static int watch(Rig rig, long since) throws Exception {
    long nextLog = 0;
    while (true) {
      boolean urgentDone = done(rig, URGENT);
      boolean guaranteedDone = done(rig, GUARANTEED);
      if (rig.ms() > nextLog) {
        log(rig, URGENT);
        log(rig, GUARANTEED);
        nextLog = rig.ms() + 5000;
      }
      if (urgentDone || guaranteedDone) {
        rig.log("one of the jobs is done: the rule held");
        return 0;
      }
      if (rig.ms() - since > LIMIT_S * 1000) {
        rig.log("VIOLATION neither job is done, 100 s after one machine was left for both");
        return 1;
      }
      Thread.sleep(300);
    }
  }

  private static boolean done(Rig rig, String job) {
    ObjectNode body = rig.poll(0, job).body();
    return body.path("Status").asText().equals("done");
  }

  private static void log(Rig rig, String job) throws Exception {
    long machines = rig.fleetLoop.call(() -> rig.fleet.workers.size());
    long starts = rig.fleetLoop.call(() -> rig.fleet.startsByJob.getOrDefault(job, 0));
    rig.log(
        "%s: %s, %d starts so far, %d tasks on machines, %d machines",
        job, rig.poll(0, job).body(), starts, Waits.tasks(rig, job), machines);
  }
}
