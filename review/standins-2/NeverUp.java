package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.MachineType;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Services wait for machines that never come up while a machine that is up has room for them. */
final class NeverUp {
  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE"))));
  }

  private static int run(Path root, Path recordFile, boolean trouble) throws Exception {
    Rig.Config c = Rig.Config.relsovo();
    c.machines = new int[] {1, 0};
    Path folder = Files.createTempDirectory("review-2-");
    try (Rig rig = new Rig(c, root, folder, recordFile)) {
      rig.log("trouble=%s", trouble);
      rig.fleet.available.put("mainline", 8);
      rig.fleet.addMachines();
      for (int i = 0; i < c.controllers; i++) {
        rig.startController(i);
      }
      if (!rig.waitUp(20, 0, 1, 2) || !Waits.waitForMachines(rig, 1)) {
        rig.log("the deployment did not come up");
        return 2;
      }
      // 24 replicas of 4 CPUs fill the machine with 96 CPUs.
      Waits.submit(rig, pathdesk("wk-000001"));
      Waits.submit(rig, pathdesk("wk-000002"));
      if (!Waits.waitForTasks(rig, "wk-000001", 12, 20)
          || !Waits.waitForTasks(rig, "wk-000002", 12, 20)) {
        rig.log("the first services did not start");
        return 2;
      }
      // Machines rented from now on never come up: the trouble lasts 10 s.
      rig.fleetLoop.call(() -> rig.fleet.neverUp = trouble);
      long troubleUntil = rig.ms() + 10_000;
      for (int i = 4; i <= 7; i++) {
        Waits.submit(rig, pathdesk("wk-00000" + i));
      }
      if (!waitForRentals(rig, 6)) {
        return 2;
      }
      Thread.sleep(1500);
      Waits.submit(rig, pathdesk("wk-000003"));
      if (!waitForRentals(rig, 8)) {
        return 2;
      }
      Thread.sleep(Math.max(0, troubleUntil - rig.ms()));
      rig.fleetLoop.call(() -> rig.fleet.neverUp = false);
      rig.log("from now on new machines come up again");
      // The users need only two of the services any more.
      for (int i : new int[] {1, 4, 5, 6, 7}) {
        Rig.Answer a = rig.abort(i % 3, "wk-00000" + i);
        rig.log("abort wk-00000%d: %d %s", i, a.status(), a.body());
      }
      return Waits.watch(rig, "wk-000003");
    } catch (IllegalStateException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  private static boolean waitForRentals(Rig rig, int count) throws Exception {
    for (int i = 0; i < 150; i++) {
      if (rig.fleetLoop.call(() -> rig.fleet.workers.size()) > count) {
        return true;
      }
      Thread.sleep(100);
    }
    rig.log("no %d machines were rented", count);
    return false;
  }

  private static ObjectNode pathdesk(String id) {
    return Rig.with(
        Rig.job(id, "service", "prod", 12, 4, 4.5, "img-pathdesk"),
        "Consist", "pathdesk", "Crew", "wagonops", "Loaners", false, "TransitS", 0.0);
  }
}
