package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.settings.SettingsTest;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Base of tests of combined faults: starts a cluster with jobs, injects faults, checks the outcome.
 */
abstract class FaultScenario extends SimCluster {
  private SimUsers users;
  int jobCount;

  {
    settings = SettingsTest.VALID.replace("cpus_max = 40.0", "cpus_max = 60.0");
  }

  /**
   * Whether the second task of a job runs three times as long as the first, the third five times.
   */
  boolean unevenRunTimes;

  /** Returns the users, created at the first call; the settings must be final by then. */
  SimUsers users() {
    if (users == null) {
      users = new SimUsers(this);
    }
    return users;
  }

  @Override
  Duration runTimeOf(String task) {
    int index = Integer.parseInt(task.substring(task.indexOf('/') + 1));
    return unevenRunTimes ? taskRunTime.multipliedBy(1 + 2L * (index % 3)) : taskRunTime;
  }

  /** Starts a cluster, submits jobs and lets 14 s pass. */
  void startWithJobs(int controllers, int machines, int jobs, int tasks) throws Exception {
    start(controllers, machines);
    submitJobs(jobs, tasks);
    loop.runFor(Duration.ofSeconds(14));
  }

  /** Returns settings with two teams with CPU limits; the first team also has a GPU limit. */
  static String twoTeams(int cpus, int gpus, int otherCpus) {
    return SettingsTest.VALID
        .replace("cpus_max = 40.0", "cpus_max = " + cpus + ".0")
        .replace("gpus_max = 8.0", "gpus_max = " + gpus + ".0")
        .replace(
            "[cluster.workers]",
            "[[cluster.teams]]\nname = \"ops\"\ncpus_max = " + otherCpus + ".0\n\n[cluster.workers]");
  }

  void start(int controllers, int machines) throws Exception {
    controllerCount = controllers;
    maxMachines = machines;
    users();
    for (int i = 0; i < controllers; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(12));
  }

  void submitJobs(int count, int tasks) {
    for (int i = 0; i < count; i++) {
      users().submit(spec(id(jobCount++), tasks), SimUsers.ANY);
    }
  }

  /** Submits a job with the given properties under the next ID, and returns the ID. */
  String submit(
      String team, JobKind kind, Priority priority, int tasks, double cpus, double gpus,
      String zone, boolean sameZone, boolean scatter) {
    String id = id(jobCount++);
    users().submit(
        new JobSpec(
            id, "c", team, kind, priority, tasks, cpus, gpus, 1, "img", 1, null, zone, sameZone, scatter, false,
            20, 0, 0, null),
        SimUsers.ANY);
    return id;
  }

  static JobSpec gang(String id, int tasks) {
    return new JobSpec(
        id, "c", "vision", JobKind.GANG, Priority.NORMAL, tasks, 1, 0, 1, "img", 1, null, null,
        false, false, false, 20, 0, 0, null);
  }

  static String id(int job) {
    return String.format("wk-%06d", job);
  }

  List<EmulatedWorker> machines() {
    return new ArrayList<>(workers.values());
  }

  /** Kills the controller if it is running, and starts it again after {@code downMs}. */
  void restart(int index, int downMs) {
    if (controllers.containsKey(index)) {
      kill(index);
    }
    bootAfter(index, Duration.ofMillis(downMs));
  }

  /**
   * Injects a fault of one controller or of all.
   *
   * @param fault "ends" (restarts after the duration), "blinks" (restarts after 150 ms), "refused"
   *     (by the state service), "apart" (reaches only users and workers), "frozen" (process pause),
   *     "silent" (isolated), "all end" (all restart after the duration, 400 ms apart), or "rolling"
   *     (all restart one after the other, 2.5 s apart)
   */
  void inject(String fault, int controller, Duration duration) {
    switch (fault) {
      case "ends" -> restart(controller, (int) duration.toMillis());
      case "blinks" -> restart(controller, 150);
      case "refused" -> refusedByStore = controller;
      case "apart" -> cutOffFromStoreAndPeers.add(controller);
      case "frozen" -> processes.get(controller).freeze(duration);
      case "silent" -> isolated.add(controller);
      case "all end" -> {
        for (int i = 0; i < controllerCount; i++) {
          restart(i, (int) duration.toMillis() + 400 * i);
        }
      }
      case "rolling" -> {
        for (int i = 0; i < controllerCount; i++) {
          int index = i;
          loop.after(Duration.ofMillis(2500L * i), () -> restart(index, 1200));
        }
      }
      default -> throw new IllegalArgumentException(fault);
    }
    if (Set.of("refused", "apart", "silent").contains(fault)) {
      loop.after(duration, this::clearFaults);
    }
  }

  /**
   * Ends all faults and lets 300 s pass, with services cancelled after 100 s. Then no rule may be
   * violated, every job must have ended, and every job that wasn't cancelled must be done.
   */
  void assertRecovered(String description) {
    clearFaults();
    for (int i = 0; i < controllerCount; i++) {
      bootIfDown(i);
    }
    users().faultsOver();
    users().jobs.values().stream()
        .filter(job -> job.spec.kind() == JobKind.SERVICE && !job.cancelRequested)
        .forEach(
            job ->
                loop.after(
                    Duration.ofSeconds(100), () -> users().cancel(job.spec.id(), SimUsers.ANY)));
    loop.runFor(Duration.ofSeconds(300));
    assertEquals(Set.of(), users().checker().finalViolations(), description);
    users().jobs.forEach(
        (id, job) -> {
          assertTrue(job.isFinished(), description + " " + id + ": " + job.lastState);
          assertTrue(job.cancelRequested || job.done != null, description + " " + id + " is done");
        });
  }
}
