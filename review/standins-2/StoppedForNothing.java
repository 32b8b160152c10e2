package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.JobSpec;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A running job is stopped for a gang that can't start, because another of the gang's machines is
 * not to be had, and then waits beside the empty machine.
 */
final class StoppedForNothing {
  private static final String STOPPED = "wk-000003";

  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE"))));
  }

  private static int run(Path root, Path recordFile, boolean trouble) throws Exception {
    Rig.Config c = Rig.Config.relsovo();
    c.machines = new int[] {2, 0};
    c.teams = c.teams.replace("gpus_max = 16.0", "gpus_max = 80.0");
    Path folder = Files.createTempDirectory("review-2-");
    try (Rig rig = new Rig(c, root, folder, recordFile)) {
      rig.log("trouble=%s", trouble);
      rig.fleet.addMachines();
      for (int i = 0; i < c.controllers; i++) {
        rig.startController(i);
      }
      if (!rig.waitUp(20, 0, 1, 2) || !Waits.waitForMachines(rig, 2)) {
        rig.log("the deployment did not come up");
        return 2;
      }
      // A long job on the first machine; a service of two replicas, and a job of 45 s at most, on
      // the second one.
      start(rig, Rig.with(loadfit("wk-000001", "urgent", 400), "Yard", "plovdivyard"), 1);
      start(
          rig,
          Rig.with(
              Rig.job("wk-000002", "service", "prod", 2, 4, 4.5, "img-pathdesk"),
              "Consist", "pathdesk", "Crew", "wagonops", "Loaners", false, "TransitS", 0.0,
              "Yard", "sofiayard"),
          2);
      start(rig, loadfit(STOPPED, "standard", 30), 1);
      if (trouble) {
        ObjectNode gang = loadfit("wk-000004", "urgent", 60);
        gang.put("Wagons", 2).put("SamePlace", false);
        Waits.submit(rig, gang);
      }
      return watch(rig);
    } catch (IllegalStateException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  private static ObjectNode loadfit(String id, String urgency, double estimateS) {
    return Rig.with(
        Rig.job(id, "group", urgency, 1, 86, 610, "img-loadfit"),
        "Consist", "loadfit", "Crew", "dispatch", "Gpus", 8.0, "SamePlace", true, "Loaners", false,
        "Fleets", List.of("heavyhaul"), "TransitS", estimateS);
  }

  private static void start(Rig rig, ObjectNode job, int tasks) throws Exception {
    Waits.submit(rig, job);
    if (!Waits.waitForTasks(rig, job.get("Uid").asText(), tasks, 20)) {
      throw new IllegalStateException("not started: " + job);
    }
  }

  private static int watch(Rig rig) throws Exception {
    JobSpec spec = rig.fleet.jobSpec(STOPPED);
    long waitsSince = rig.ms();
    long nextLog = 0;
    while (true) {
      Rig.Answer a = rig.poll(0, STOPPED);
      if (a.body().path("Status").asText().equals("done")) {
        rig.log("%s is done: the rule held", STOPPED);
        return 0;
      }
      if (Waits.tasks(rig, STOPPED) > 0 || !Waits.room(rig, spec)) {
        waitsSince = rig.ms();
      }
      if (rig.ms() > nextLog) {
        rig.log("poll %s: %d %s; %s", STOPPED, a.status(), a.body(), Waits.state(rig, STOPPED));
        nextLog = rig.ms() + 5000;
      }
      if (rig.ms() - waitsSince > Waits.MAX_WAIT_S * 1000) {
        rig.log("VIOLATION %s has waited for 90 s while a machine had room for it", STOPPED);
        return 1;
      }
      if (rig.ms() > 118_000) {
        rig.log("neither done nor left waiting");
        return 2;
      }
      Thread.sleep(200);
    }
  }
}
