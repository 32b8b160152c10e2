package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The controllers stop a running replica in order to move it to a zone where it may not run, and it
 * never runs again.
 */
final class LostReplica {
  private static final String SERVICE = "wk-000001";

  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE"))));
  }

  private static int run(Path root, Path recordFile, boolean trouble) throws Exception {
    Rig.Config c = new Rig.Config();
    c.types.add(new MachineType("kecil", 8, 0, 64, 40, 0.6, 0.74, 0.22, 15, c.zones));
    c.machines = new int[] {2};
    c.teams = "[[cluster.teams]]\nname = \"studioops\"\n";
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
      // Two replicas of 1 CPU, which have to be in the same zone.
      Waits.submit(rig, Rig.with(albumview(SERVICE, 2), "SamePlace", true));
      if (!Waits.waitForTasks(rig, SERVICE, 2, 20)) {
        rig.log("the service did not start");
        return 2;
      }
      String zone =
          rig.fleetLoop.call(
              () ->
                  rig.fleet
                      .workers
                      .get(rig.fleet.onMachine.values().iterator().next())
                      .zone());
      if (trouble) {
        // The class comes twice as often: one more service, in the other zone.
        String other = c.zones.get(0).equals(zone) ? c.zones.get(1) : c.zones.get(0);
        Waits.submit(rig, Rig.with(albumview("wk-000002", 3), "Yard", other));
      }
      return watch(rig);
    } catch (IllegalStateException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  private static ObjectNode albumview(String id, int replicas) {
    return Rig.with(
        Rig.job(id, "service", "prod", replicas, 1, 1, "img-" + id),
        "Consist", "albumview", "Loaners", false, "TransitS", 0.0);
  }

  /**
   * No replica may be missing for 90 s while the machine in the zone of the other one, which is up,
   * has room for it.
   */
  private static int watch(Rig rig) throws Exception {
    JobSpec spec = rig.fleet.jobSpec(SERVICE);
    long missingSince = rig.ms();
    long nextLog = 0;
    while (true) {
      long tasks = Waits.tasks(rig, SERVICE);
      if (tasks >= 2 || !roomBesideOther(rig, spec)) {
        missingSince = rig.ms();
      }
      if (rig.ms() > nextLog) {
        Rig.Answer a = rig.poll(0, SERVICE);
        rig.log("poll %s: %d %s; %s", SERVICE, a.status(), a.body(), Waits.state(rig, SERVICE));
        nextLog = rig.ms() + 5000;
      }
      if (rig.ms() - missingSince > Waits.MAX_WAIT_S * 1000) {
        rig.log("VIOLATION a replica of %s has been missing for 90 s", SERVICE);
        return 1;
      }
      if (rig.ms() > 118_000) {
        rig.log("%d replicas are on machines: %s", tasks, tasks >= 2 ? "held" : "unclear");
        return tasks >= 2 ? 0 : 2;
      }
      Thread.sleep(200);
    }
  }

  private static boolean roomBesideOther(Rig rig, JobSpec spec) throws Exception {
    return rig.fleetLoop.call(
        () ->
            rig.fleet.workers.values().stream()
                .filter(w -> w.liveTasks().stream().anyMatch(t -> t.startsWith(SERVICE + "/")))
                .anyMatch(w -> Waits.hasRoom(w, spec)));
  }
}
