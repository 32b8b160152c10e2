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
 * A machine's free capacity and the tasks on it. It is kept between passes: a pass reserves
 * capacity for what it plans, and {@link #reset} restores the recorded state.
 */
final class MachineCapacity {
  /** Tolerance of comparisons, so that rounding errors of sums don't decide. */
  static final double EPS = 1e-6;

  /**
   * Preempted first: lowest priority, then the job submitted last, then the attempt started last.
   */
  private static final Comparator<AllocatedTasks> PREEMPTION_ORDER =
      Comparator.comparingInt((AllocatedTasks tasks) -> -tasks.priority().ordinal())
          .thenComparingLong(tasks -> -tasks.submittedMs())
          .thenComparingLong(tasks -> -tasks.placement().attempt());

  /** Index of the machine's offering in {@link ClusterCapacity#offerings}. */
  final int offeringNumber;

  private final List<MachineCapacity> changes;
  MachineState state;
  double freeCpus;
  double freeGpus;
  double freeMemGb;

  /** Resources that are still in use by tasks that are being stopped. */
  double releasingCpus;

  double releasingGpus;
  double releasingMemGb;
  private double queuedGb;
  private Set<String> fetching;
  private final List<AllocatedTasks> allocated = new ArrayList<>(16);
  private boolean sorted = true;
  private int replicas;

  /**
   * Sums of CPUs, GPUs and memory of the tasks that are not being stopped: three entries for each
   * priority. They show, without examining the tasks, on which machines preemption can't help.
   */
  private final double[] allocatedByPriority = new double[3 * Priority.values().length];

  /** An empty machine that is not part of a {@link ClusterCapacity}. */
  MachineCapacity(MachineState state) {
    this(state, 0, new ArrayList<>());
  }

  /** @param changes list to which this object is added each time that a pass changes it */
  MachineCapacity(MachineState state, int offeringNumber, List<MachineCapacity> changes) {
    this.offeringNumber = offeringNumber;
    this.changes = changes;
    reset(state, List.of());
  }

  /** Discards what was planned and sets the machine's state and the tasks recorded on it. */
  void reset(MachineState newState, List<AllocatedTasks> recorded) {
    state = newState;
    freeCpus = newState.type().cpus();
    freeGpus = newState.type().gpus();
    freeMemGb = newState.type().memGb();
    queuedGb = newState.queuedGb();
    fetching = newState.fetchingImages();
    releasingCpus = 0;
    releasingGpus = 0;
    releasingMemGb = 0;
    allocated.clear();
    sorted = true;
    replicas = 0;
    Arrays.fill(allocatedByPriority, 0);
    for (AllocatedTasks tasks : recorded) {
      subtract(tasks.spec(), tasks.taskCount());
      if (tasks.isReleasing()) {
        addReleasing(tasks.spec(), tasks.taskCount());
      } else {
        allocated.add(tasks);
        updateTotals(tasks, tasks.taskCount());
      }
    }
    sorted = allocated.size() < 2;
  }

  /** Whether the machine has free CPUs, which nearly all tasks need. */
  boolean hasFreeCpus() {
    return freeCpus > EPS;
  }

  /** Whether tasks on the machine are being stopped. */
  boolean isReleasing() {
    return releasingCpus > 0 || releasingGpus > 0 || releasingMemGb > 0;
  }

  /** How many tasks of the job fit into the free capacity. */
  int fits(JobSpec spec) {
    return countFitting(spec, freeCpus, freeGpus, freeMemGb);
  }

  /** How many tasks with this request fit into the free capacity. */
  int fits(ResourceRequest request) {
    return countFitting(
        request.cpus(), request.gpus(), request.memGb(), freeCpus, freeGpus, freeMemGb);
  }

  /** Equivalent to {@code fits(spec) > 0}, but cheaper: called for every machine and job. */
  boolean fitsOne(JobSpec spec) {
    return spec.cpus() <= freeCpus + EPS
        && spec.gpus() <= freeGpus + EPS
        && spec.memGb() <= freeMemGb + EPS
        && isNotOvercommitted();
  }

  /** Equivalent to {@code fits(request) > 0}, but cheaper. */
  boolean fitsOne(ResourceRequest request) {
    return request.cpus() <= freeCpus + EPS
        && request.gpus() <= freeGpus + EPS
        && request.memGb() <= freeMemGb + EPS
        && isNotOvercommitted();
  }

  /** Whether a task of the job fits once all tasks that are being stopped have ended. */
  boolean fitsAfterReleases(JobSpec spec) {
    return spec.cpus() <= freeCpus + releasingCpus + EPS
        && spec.gpus() <= freeGpus + releasingGpus + EPS
        && spec.memGb() <= freeMemGb + releasingMemGb + EPS;
  }

  /** An overcommitted machine accepts no tasks, not even those that request no resources. */
  private boolean isNotOvercommitted() {
    return freeCpus >= -EPS && freeGpus >= -EPS && freeMemGb >= -EPS;
  }

  /** How many tasks of the job fit into these free CPUs, GPUs and memory; 0 if one is negative. */
  static int countFitting(JobSpec spec, double cpus, double gpus, double memGb) {
    return countFitting(spec.cpus(), spec.gpus(), spec.memGb(), cpus, gpus, memGb);
  }

  private static int countFitting(
      double cpusEach, double gpusEach, double memGbEach, double cpus, double gpus, double memGb) {
    if (cpus < -EPS || gpus < -EPS || memGb < -EPS) {
      return 0;
    }
    double n = 1e6;
    if (cpusEach > 0) {
      n = Math.min(n, (cpus + EPS) / cpusEach);
    }
    if (gpusEach > 0) {
      n = Math.min(n, (gpus + EPS) / gpusEach);
    }
    if (memGbEach > 0) {
      n = Math.min(n, (memGb + EPS) / memGbEach);
    }
    return (int) n;
  }

  /** Reserves capacity for {@code n} tasks that are planned to run here. */
  void reserve(JobSpec spec, int n) {
    subtract(spec, n);
    changes.add(this);
  }

  private void subtract(JobSpec spec, int n) {
    freeCpus -= n * spec.cpus();
    freeGpus -= n * spec.gpus();
    freeMemGb -= n * spec.memGb();
  }

  /**
   * Reserves capacity for a task that is being placed, and adds its image to the images being
   * fetched unless the machine has it or is fetching it.
   */
  void place(JobSpec spec) {
    reserve(spec, 1);
    if (!state.images().contains(spec.image()) && !fetching.contains(spec.image())) {
      fetching = new HashSet<>(fetching);
      fetching.add(spec.image());
      queuedGb += spec.imageGb();
    }
  }

  /** Counts the resources of {@code n} tasks that the pass stops as releasing. */
  void markReleasing(JobSpec spec, int n) {
    addReleasing(spec, n);
    changes.add(this);
  }

  private void addReleasing(JobSpec spec, int n) {
    releasingCpus += n * spec.cpus();
    releasingGpus += n * spec.gpus();
    releasingMemGb += n * spec.memGb();
  }

  /**
   * Predicted seconds until a task placed here now completes: image fetch, after the fetches in the
   * queue, plus scaled run time. Rounded to tenths so that noise does not decide between machines.
   */
  double predictedCompletionS(JobSpec spec) {
    double fetchS;
    if (state.images().contains(spec.image())) {
      fetchS = 0;
    } else if (fetching.contains(spec.image())) {
      fetchS = queuedGb / state.fetchGbPerS();
    } else {
      fetchS = (queuedGb + spec.imageGb()) / state.fetchGbPerS();
    }
    return Math.rint((fetchS + spec.estimateS() * state.slowness()) * 10) / 10;
  }

  /** Adds tasks without changing the free capacity. */
  void addAllocated(AllocatedTasks tasks) {
    allocated.add(tasks);
    sorted = false;
    updateTotals(tasks, tasks.taskCount());
    changes.add(this);
  }

  /** Removes tasks without changing the free capacity. */
  void removeAllocated(AllocatedTasks tasks) {
    allocated.remove(tasks);
    updateTotals(tasks, -tasks.taskCount());
    changes.add(this);
  }

  private void updateTotals(AllocatedTasks tasks, int n) {
    JobSpec spec = tasks.spec();
    replicas += tasks.isService() ? n : 0;
    int offset = 3 * spec.priority().ordinal();
    allocatedByPriority[offset] += n * spec.cpus();
    allocatedByPriority[offset + 1] += n * spec.gpus();
    allocatedByPriority[offset + 2] += n * spec.memGb();
  }

  /** Tasks on the machine that are not being stopped, those to be preempted first at the front. */
  List<AllocatedTasks> allocated() {
    if (!sorted) {
      allocated.sort(PREEMPTION_ORDER);
      sorted = true;
    }
    return allocated;
  }

  boolean hasReplicas() {
    return replicas > 0;
  }

  /**
   * Whether a task of the job would fit if all tasks of lower priority ended. If not, preempting
   * tasks of lower priority can't help.
   */
  boolean fitsWithoutLowerPriority(JobSpec spec) {
    double cpus = freeCpus + releasingCpus;
    double gpus = freeGpus + releasingGpus;
    double memGb = freeMemGb + releasingMemGb;
    for (int offset = 3 * (spec.priority().ordinal() + 1);
        offset < allocatedByPriority.length;
        offset += 3) {
      cpus += allocatedByPriority[offset];
      gpus += allocatedByPriority[offset + 1];
      memGb += allocatedByPriority[offset + 2];
    }
    return spec.cpus() <= cpus + EPS && spec.gpus() <= gpus + EPS && spec.memGb() <= memGb + EPS;
  }
}
