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

/** What tests of troubles that meet have in common: a cluster with work, its users, and what must hold in the end. */
abstract class FaultScenario extends SimCluster {
  private SimUsers users;
  int jobs;

  {
    settings = SettingsTest.VALID.replace("cpus_max = 40.0", "cpus_max = 60.0");
  }

  /** Whether the tasks of a job end far apart: the second runs three times as long, the third five times. */
  boolean farApart;

  /** Made when they are first asked for: the settings have to stand by then. */
  SimUsers users() {
    if (users == null) {
      users = new SimUsers(this);
    }
    return users;
  }

  @Override
  Duration runOf(String task) {
    int index = Integer.parseInt(task.substring(task.indexOf('/') + 1));
    return farApart ? run.multipliedBy(1 + 2L * (index % 3)) : run;
  }

  /** A cluster with so many jobs of so many tasks. */
  void running(int controllers, int machines, int waiting, int tasks) throws Exception {
    start(controllers, machines);
    work(waiting, tasks);
    loop.runFor(Duration.ofSeconds(14));
  }

  /** Two teams at limits that they reach soon, of CPUs and, the first, of GPUs; machines of two types. */
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

  void work(int count, int tasks) {
    for (int i = 0; i < count; i++) {
      users().submit(spec(id(jobs++), tasks), SimUsers.ANY);
    }
  }

  /** A job of its own kind; the next one in number. */
  String submit(
      String team, JobKind shape, Priority priority, int tasks, double cpus, double gpus,
      String zone, boolean together, boolean scatter) {
    String id = id(jobs++);
    users().submit(
        new JobSpec(
            id, "c", team, shape, priority, tasks, cpus, gpus, 1, "img", 1, null, zone, together, scatter, false,
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

  void end(int index, int backMs) {
    if (controllers.containsKey(index)) {
      kill(index);
    }
    bootIn(index, Duration.ofMillis(backMs));
  }

  /**
   * What becomes of a controller: it ends for long or for a moment, the state service refuses it, it has
   * nothing left but users and workers, it stands still, or nobody reaches it.
   */
  void strike(String how, int controller, Duration lasts) {
    switch (how) {
      case "ends" -> end(controller, (int) lasts.toMillis());
      case "blinks" -> end(controller, 150);
      case "refused" -> refused = controller;
      case "apart" -> apart.add(controller);
      case "frozen" -> processes.get(controller).freeze(lasts);
      case "silent" -> silent.add(controller);
      case "all end" -> {
        for (int i = 0; i < controllerCount; i++) {
          end(i, (int) lasts.toMillis() + 400 * i);
        }
      }
      case "rolling" -> {
        for (int i = 0; i < controllerCount; i++) {
          int index = i;
          loop.after(Duration.ofMillis(2500L * i), () -> end(index, 1200));
        }
      }
      default -> throw new IllegalArgumentException(how);
    }
    if (Set.of("refused", "apart", "silent").contains(how)) {
      loop.after(lasts, this::calm);
    }
  }

  /** All troubles are over: no rule is broken, every job is answered for, and what wasn't cancelled is done. */
  void allIsWell(String what) {
    calm();
    for (int i = 0; i < controllerCount; i++) {
      bootIfAway(i);
    }
    users().calm();
    users().jobs.values().stream()
        .filter(told -> told.spec.kind() == JobKind.SERVICE && !told.asksToCancel)
        .forEach(
            told ->
                loop.after(
                    Duration.ofSeconds(100), () -> users().cancel(told.spec.id(), SimUsers.ANY)));
    loop.runFor(Duration.ofSeconds(300));
    assertEquals(Set.of(), users().judge().atTheEnd(), what);
    users().jobs.forEach(
        (id, told) -> {
          assertTrue(told.over(), what + " " + id + ": " + told.last);
          assertTrue(told.asksToCancel || told.done != null, what + " " + id + " is done");
        });
  }
}
