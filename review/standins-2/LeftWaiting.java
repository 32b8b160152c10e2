package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.MachineType;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A service waits while a machine has room for it and its team is under its limit, because that
 * machine is kept for jobs of another team that is at its limit.
 */
final class LeftWaiting {
  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE"))));
  }

  private static int run(Path root, Path recordFile, boolean trouble) throws Exception {
    Rig.Config c = settings();
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
      // The team dispatch is within its limit of 16 GPUs: two gangs of one task with 8 GPUs each.
      Waits.submit(rig, Rig.with(loadfit("wk-000001"), "Yard", "plovdivyard"));
      Waits.submit(rig, Rig.with(loadfit("wk-000002"), "Yard", "plovdivyard"));
      if (!Waits.waitForTasks(rig, "wk-000001", 1, 20) || !Waits.waitForTasks(rig, "wk-000002", 1, 20)) {
        rig.log("the first gangs did not start");
        return 2;
      }
      // Two replicas of 4 CPUs on the machine in the other zone, which then has 88 of 96 CPUs left.
      Waits.submit(rig, pathdesk("wk-000003", 2));
      if (!Waits.waitForTasks(rig, "wk-000003", 2, 20)) {
        rig.log("the first service did not start");
        return 2;
      }
      if (trouble) {
        // The class comes 2.5 times as often for a moment: three more gangs. They wait rightly,
        // because their team is at its limit.
        Waits.submit(rig, loadfit("wk-000004"));
        Waits.submit(rig, loadfit("wk-000005"));
        Waits.submit(rig, loadfit("wk-000006"));
        Thread.sleep(2000);
      }
      Waits.submit(rig, pathdesk("wk-000007", 2));
      return Waits.watch(rig, "wk-000007");
    } catch (IllegalStateException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  /** Settings as those of kit/next/relsovo-plan-grown, with three controllers and small teams. */
  static Rig.Config settings() {
    Rig.Config c = new Rig.Config();
    c.zones = List.of("plovdivyard", "sofiayard");
    c.writeRps = 20;
    c.valueKb = 16;
    c.txnOps = 16;
    c.reportS = 5;
    c.leaseS = 36;
    c.gangWaitS = 40;
    c.gangPeerS = 6;
    c.cancelS = 61;
    c.maxConnections = 800;
    c.cloudRps = 2;
    c.types.add(
        new MachineType("heavyhaul", 96, 8, 768, 300, 2, 25.33, 5.78, 25, c.zones));
    c.types.add(new MachineType("mainline", 32, 0, 64, 100, 1, 1.73, 0.42, 40, c.zones));
    c.teams =
        "[[cluster.teams]]\nname = \"dispatch\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 8.0\n"
            + "gpus_max = 16.0\n[[cluster.teams]]\nname = \"wagonops\"\ncpus = 0.0\n"
            + "cpus_max = 0.0\ngpus = 8.0\ngpus_max = 16.0\n";
    return c;
  }

  private static ObjectNode loadfit(String id) {
    return Rig.with(
        Rig.job(id, "group", "standard", 1, 86, 610, "img-loadfit"),
        "Consist", "loadfit", "Crew", "dispatch", "Gpus", 8.0, "Fleets", List.of("heavyhaul"),
        "SamePlace", true, "Loaners", false, "TransitS", 400.0, "WaypointS", 20.0, "CoupleS", 6.0);
  }

  private static ObjectNode pathdesk(String id, int replicas) {
    return Rig.with(
        Rig.job(id, "service", "prod", replicas, 4, 4.5, "img-pathdesk"),
        "Consist", "pathdesk", "Crew", "wagonops", "Loaners", false, "TransitS", 0.0,
        "Yard", "sofiayard");
  }
}
