package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A machine's room and what stands on it. It is kept from pass to pass: a pass takes room of it for
 * what it plans, and {@link #reset} brings it back to what is recorded.
 */
final class MachineCapacity {
  static final double EPS = 1e-6;

  /** The least wanted first: lower priority, then what came last, then what was started last. */
  private static final Comparator<AllocatedTasks> LEAST_WANTED =
      Comparator.comparingInt((AllocatedTasks h) -> -h.priority().ordinal())
          .thenComparingLong(h -> -h.submittedMs())
          .thenComparingLong(h -> -h.placement().attempt());

  /** Number of the machine's kind in the {@link ClusterCapacity} that keep it. */
  final int kind;

  private final List<MachineCapacity> changes;
  MachineState machine;
  double cpus;
  double gpus;
  double mem;

  /** Room that stopping tasks are about to leave. */
  double soonCpus;

  double soonGpus;
  double soonMem;
  private double queuedGb;
  private Set<String> coming;
  private final List<AllocatedTasks> held = new ArrayList<>(16);
  private boolean sorted = true;
  private int replicas;

  /** What stands here by priority, as cpus, gpus, memory: tells at once where stopping can't help. */
  private final double[] heldBy = new double[3 * Priority.values().length];

  /** A machine that nothing stands on, and that nobody keeps. */
  MachineCapacity(MachineState machine) {
    this(machine, 0, new ArrayList<>());
  }

  /** @param changes told of the room each time that a pass changes it */
  MachineCapacity(MachineState machine, int kind, List<MachineCapacity> changes) {
    this.kind = kind;
    this.changes = changes;
    reset(machine, List.of());
  }

  /** Forgets what was planned: this is the machine, and this is recorded on it. */
  void reset(MachineState state, List<AllocatedTasks> recorded) {
    machine = state;
    cpus = state.type().cpus();
    gpus = state.type().gpus();
    mem = state.type().memGb();
    queuedGb = state.queuedGb();
    coming = state.fetchingImages();
    soonCpus = 0;
    soonGpus = 0;
    soonMem = 0;
    held.clear();
    sorted = true;
    replicas = 0;
    Arrays.fill(heldBy, 0);
    for (AllocatedTasks tasks : recorded) {
      subtract(tasks.spec(), tasks.taskCount());
      if (tasks.isReleasing()) {
        addSoon(tasks.spec(), tasks.taskCount());
      } else {
        held.add(tasks);
        addHeld(tasks, tasks.taskCount());
      }
    }
    sorted = held.size() < 2;
  }

  /** Whether CPUs are free, which nearly all tasks need. */
  boolean hasFreeCpus() {
    return cpus > EPS;
  }

  /** Whether something here is about to leave. */
  boolean leavesSoon() {
    return soonCpus > 0 || soonGpus > 0 || soonMem > 0;
  }

  int fits(JobSpec s) {
    return count(s, cpus, gpus, mem);
  }

  int fits(ResourceRequest ask) {
    return count(ask.cpus(), ask.gpus(), ask.memGb(), cpus, gpus, mem);
  }

  /** The same as {@code fits(s) > 0}, asked for every machine and job. */
  boolean fitsOne(JobSpec s) {
    return s.cpus() <= cpus + EPS && s.gpus() <= gpus + EPS && s.memGb() <= mem + EPS && sound();
  }

  boolean fitsOne(ResourceRequest ask) {
    return ask.cpus() <= cpus + EPS
        && ask.gpus() <= gpus + EPS
        && ask.memGb() <= mem + EPS
        && sound();
  }

  boolean fitsSoon(JobSpec s) {
    return s.cpus() <= cpus + soonCpus + EPS
        && s.gpus() <= gpus + soonGpus + EPS
        && s.memGb() <= mem + soonMem + EPS;
  }

  /** A machine on which more is recorded than it has takes nothing, not even what asks for nothing. */
  private boolean sound() {
    return cpus >= -EPS && gpus >= -EPS && mem >= -EPS;
  }

  static int count(JobSpec s, double cpus, double gpus, double mem) {
    return count(s.cpus(), s.gpus(), s.memGb(), cpus, gpus, mem);
  }

  private static int count(
      double cpusEach, double gpusEach, double memEach, double cpus, double gpus, double mem) {
    if (cpus < -EPS || gpus < -EPS || mem < -EPS) {
      return 0;
    }
    double n = 1e6;
    if (cpusEach > 0) {
      n = Math.min(n, (cpus + EPS) / cpusEach);
    }
    if (gpusEach > 0) {
      n = Math.min(n, (gpus + EPS) / gpusEach);
    }
    if (memEach > 0) {
      n = Math.min(n, (mem + EPS) / memEach);
    }
    return (int) n;
  }

  /** Takes room for tasks that are planned here. */
  void take(JobSpec s, int n) {
    subtract(s, n);
    changes.add(this);
  }

  private void subtract(JobSpec s, int n) {
    cpus -= n * s.cpus();
    gpus -= n * s.gpus();
    mem -= n * s.memGb();
  }

  /** Takes a task that is being placed now, with its image. */
  void place(JobSpec spec) {
    take(spec, 1);
    if (!machine.images().contains(spec.image()) && !coming.contains(spec.image())) {
      coming = new HashSet<>(coming);
      coming.add(spec.image());
      queuedGb += spec.imageGb();
    }
  }

  /** What was planned to be stopped is about to leave room. */
  void leaveSoon(JobSpec s, int n) {
    addSoon(s, n);
    changes.add(this);
  }

  private void addSoon(JobSpec s, int n) {
    soonCpus += n * s.cpus();
    soonGpus += n * s.gpus();
    soonMem += n * s.memGb();
  }

  /** Predicted time to delivery in seconds, in whole tenths so that noise does not decide. */
  double delivery(JobSpec spec) {
    double fetch;
    if (machine.images().contains(spec.image())) {
      fetch = 0;
    } else if (coming.contains(spec.image())) {
      fetch = queuedGb / machine.fetchGbPerS();
    } else {
      fetch = (queuedGb + spec.imageGb()) / machine.fetchGbPerS();
    }
    return Math.rint((fetch + spec.estimateS() * machine.slowness()) * 10) / 10;
  }

  void hold(AllocatedTasks tasks) {
    held.add(tasks);
    sorted = false;
    addHeld(tasks, tasks.taskCount());
    changes.add(this);
  }

  void release(AllocatedTasks tasks) {
    held.remove(tasks);
    addHeld(tasks, -tasks.taskCount());
    changes.add(this);
  }

  private void addHeld(AllocatedTasks tasks, int n) {
    JobSpec spec = tasks.spec();
    replicas += tasks.isService() ? n : 0;
    int at = 3 * spec.priority().ordinal();
    heldBy[at] += n * spec.cpus();
    heldBy[at + 1] += n * spec.gpus();
    heldBy[at + 2] += n * spec.memGb();
  }

  /** What could be stopped here, the least wanted first. */
  List<AllocatedTasks> held() {
    if (!sorted) {
      held.sort(LEAST_WANTED);
      sorted = true;
    }
    return held;
  }

  boolean holdsReplicas() {
    return replicas > 0;
  }

  /** Whether the task could fit if all of a lower priority left; without it, stopping is in vain. */
  boolean fitsWithoutLower(JobSpec s) {
    double c = cpus + soonCpus;
    double g = gpus + soonGpus;
    double m = mem + soonMem;
    for (int at = 3 * (s.priority().ordinal() + 1); at < heldBy.length; at += 3) {
      c += heldBy[at];
      g += heldBy[at + 1];
      m += heldBy[at + 2];
    }
    return s.cpus() <= c + EPS && s.gpus() <= g + EPS && s.memGb() <= m + EPS;
  }
}
