package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.wire.JobSpec;

/** What the cases share that watch whether a job is left waiting. */
final class Waits {
  static final double MAX_WAIT_S = 90;

  private Waits() {}

  static void submit(Rig rig, ObjectNode job) throws Exception {
    for (int i = 0; i < 10; i++) {
      Rig.Answer a = rig.submit(i % 3, job);
      rig.log("submit %s to c-%d: %d %s", job, i % 3, a.status(), a.body());
      if (a.status() == 200 || a.status() == 201) {
        return;
      }
      Thread.sleep(1000);
    }
    throw new IllegalStateException("not accepted: " + job);
  }

  static boolean waitForMachines(Rig rig, int count) throws Exception {
    for (int i = 0; i < 150; i++) {
      if (rig.fleetLoop.call(
              () -> rig.fleet.workers.values().stream().filter(w -> w.token() > 0).count())
          >= count) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  static boolean waitForTasks(Rig rig, String job, int count, int seconds)
      throws Exception {
    for (int i = 0; i < seconds * 10; i++) {
      if (tasks(rig, job) >= count) {
        rig.log("%s has %d tasks on machines", job, count);
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  static long tasks(Rig rig, String job) throws Exception {
    return rig.fleetLoop.call(
        () -> rig.fleet.onMachine.keySet().stream().filter(t -> t.job().equals(job)).count());
  }

  /** Whether the machine is up and was answered, is allowed for the job and has room for one more of its tasks. */
  static boolean hasRoom(EmulatedWorker w, JobSpec spec) {
    return !w.isDead()
        && w.token() > 0
        && spec.allows(w.type().name(), w.zone(), w.spot())
        && w.hasCapacityFor(spec);
  }

  /** Whether any machine has room for one more task of the job. */
  static boolean room(Rig rig, JobSpec spec) throws Exception {
    return rig.fleetLoop.call(
        () -> rig.fleet.workers.values().stream().anyMatch(w -> hasRoom(w, spec)));
  }

  /** What the machines say: tasks of each, and whether one more task of the job fits there. */
  static String state(Rig rig, String job) throws Exception {
    JobSpec spec = rig.fleet.jobSpec(job);
    return rig.fleetLoop.call(
        () -> {
          StringBuilder text = new StringBuilder();
          for (EmulatedWorker w : rig.fleet.workers.values()) {
            text.append(w.name() + (hasRoom(w, spec) ? " has room" : " has none"));
            text.append(" " + w.liveTasks() + "; ");
          }
          return text.toString();
        });
  }

  /** The job has to get a task on a machine within 90 s in which a machine has room all the time. */
  static int watch(Rig rig, String job) throws Exception {
    JobSpec spec = rig.fleet.jobSpec(job);
    long roomSince = rig.ms();
    long nextLog = 0;
    while (true) {
      if (tasks(rig, job) > 0) {
        rig.log("%s has a task on a machine: the rule held", job);
        return 0;
      }
      boolean room = room(rig, spec);
      roomSince = room ? roomSince : rig.ms();
      if (rig.ms() > nextLog) {
        Rig.Answer a = rig.poll(0, job);
        rig.log("poll %s: %d %s; %s", job, a.status(), a.body(), state(rig, job));
        nextLog = rig.ms() + 5000;
      }
      if (rig.ms() - roomSince > MAX_WAIT_S * 1000) {
        rig.log("VIOLATION %s has waited for 90 s while a machine had room for it", job);
        return 1;
      }
      if (rig.ms() > 118_000) {
        rig.log("no machine had room for 90 s");
        return 2;
      }
      Thread.sleep(200);
    }
  }
}
