package io.tansystack.schedule;

import io.tansystack.records.Placement;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.Shape;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A machine's room during a pass, and what stands on it. */
final class Room {
  private static final double EPS = 1e-6;

  /** The least wanted first: lower priority, then what came last, then what was started last. */
  private static final Comparator<Held> LEAST_WANTED =
      Comparator.comparingInt((Held h) -> -h.priority().ordinal())
          .thenComparingLong(h -> -h.job().record().submittedMs())
          .thenComparingLong(h -> -h.placement().attempt());

  /** Tasks of a job that stand on a machine and could be stopped. */
  record Held(JobState job, Placement placement) {
    Priority priority() {
      return job.record().spec().priority();
    }
  }

  final MachineState machine;
  double cpus;
  double gpus;
  double mem;

  /** Room that stopping tasks are about to leave. */
  double soonCpus;

  double soonGpus;
  double soonMem;
  private double queuedGb;
  private Set<String> coming;
  private final List<Held> held = new ArrayList<>(16);
  private boolean sorted = true;
  private int replicas;

  /** What stands here by priority, as cpus, gpus, memory: tells at once where stopping can't help. */
  private final double[] heldBy = new double[3 * Priority.values().length];

  Room(MachineState machine) {
    this.machine = machine;
    cpus = machine.type().cpus();
    gpus = machine.type().gpus();
    mem = machine.type().memGb();
    queuedGb = machine.queuedGb();
    coming = machine.coming();
  }

  int fits(JobSpec s) {
    return count(s, cpus, gpus, mem);
  }

  /** The same as {@code fits(s) > 0}, asked for every machine and job. */
  boolean fitsOne(JobSpec s) {
    return s.cpus() <= cpus + EPS && s.gpus() <= gpus + EPS && s.memGb() <= mem + EPS && sound();
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
    if (cpus < -EPS || gpus < -EPS || mem < -EPS) {
      return 0;
    }
    double n = 1e6;
    if (s.cpus() > 0) {
      n = Math.min(n, (cpus + EPS) / s.cpus());
    }
    if (s.gpus() > 0) {
      n = Math.min(n, (gpus + EPS) / s.gpus());
    }
    if (s.memGb() > 0) {
      n = Math.min(n, (mem + EPS) / s.memGb());
    }
    return (int) n;
  }

  void take(JobSpec s, int n) {
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

  void leaveSoon(JobSpec s, int n) {
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

  void hold(Held tasks) {
    held.add(tasks);
    sorted = false;
    addHeld(tasks, tasks.placement().tasks().size());
  }

  void release(Held tasks) {
    held.remove(tasks);
    addHeld(tasks, -tasks.placement().tasks().size());
  }

  private void addHeld(Held tasks, int n) {
    JobSpec spec = tasks.job().record().spec();
    replicas += spec.shape() == Shape.SERVICE ? n : 0;
    int at = 3 * spec.priority().ordinal();
    heldBy[at] += n * spec.cpus();
    heldBy[at + 1] += n * spec.gpus();
    heldBy[at + 2] += n * spec.memGb();
  }

  /** What could be stopped here, the least wanted first. */
  List<Held> held() {
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
