package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.MachineType;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A service waits while a machine has room for it, because that machine is being drained for good:
 * its replicas can't move, since their services are spread over the zones.
 */
final class StuckDrain {
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
      // One replica of 1 CPU in each zone, and three more on the second machine: 7 and 4 of the 8
      // CPUs of the machines stay free.
      Waits.submit(rig, albumview("wk-000001", 2));
      if (!Waits.waitForTasks(rig, "wk-000001", 2, 20)) {
        rig.log("the first service did not start");
        return 2;
      }
      Waits.submit(
          rig, Rig.with(albumview("wk-000002", 3), "Scatter", false, "Yard", c.zones.get(1)));
      if (!Waits.waitForTasks(rig, "wk-000002", 3, 20)) {
        rig.log("the second service did not start");
        return 2;
      }
      // The controllers look for machines that can be returned from 20 s after their start on. What
      // the state service holds only tells when to go on.
      while (rig.ms() < 27_000 && !draining(rig)) {
        Thread.sleep(100);
      }
      rig.log("going on");
      Thread.sleep(300);
      Waits.submit(rig, albumview("wk-000003", 3));
      if (trouble) {
        // The class comes three times as often for a moment.
        Thread.sleep(400);
        Waits.submit(rig, albumview("wk-000004", 3));
        Thread.sleep(400);
        Waits.submit(rig, albumview("wk-000005", 3));
      }
      return Waits.watch(rig, trouble ? "wk-000005" : "wk-000003");
    } catch (IllegalStateException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  private static boolean draining(Rig rig) throws Exception {
    return rig.storeLoop.call(
        () ->
            rig.store.values("ts/machines/").values().stream()
                .anyMatch(machine -> machine.path("drain").asBoolean()));
  }

  private static ObjectNode albumview(String id, int replicas) {
    return Rig.with(
        Rig.job(id, "service", "prod", replicas, 1, 1, "img-albumview"),
        "Consist", "albumview", "Loaners", false, "TransitS", 0.0, "Scatter", true);
  }
}
