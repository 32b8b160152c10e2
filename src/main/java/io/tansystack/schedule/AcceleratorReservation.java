package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Reference2IntOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reserves machines with accelerators (GPUs) for tasks that need them. If only the predicted
 * completion time decided, tasks without accelerators would fill these machines, and gangs would
 * wait for the only machines that they can run on.
 */
final class AcceleratorReservation {
  /**
   * A request of jobs that wait for accelerators, and how many such tasks fit on all machines
   * together now.
   */
  private final class PendingRequest {
    final JobSpec spec;
    final Reference2IntOpenHashMap<MachineCapacity> fittingByMachine =
        new Reference2IntOpenHashMap<>();
    int fittingTasks;

    /** How many of the pass's changes the counts include; -1 before the first count. */
    int appliedChanges = -1;

    PendingRequest(JobSpec spec) {
      this.spec = spec;
    }

    /**
     * How many tasks with this request fit now. All machines are counted once in a pass, after that
     * only the machines that have changed since.
     */
    int fittingTasks() {
      List<MachineCapacity> changes = clusterCapacity.changes();
      if (appliedChanges < 0) {
        (ResourceRequest.of(spec).needsCpus()
                ? clusterCapacity.withFreeCpus()
                : clusterCapacity.all())
            .forEach(this::recount);
      } else {
        for (; appliedChanges < changes.size(); appliedChanges++) {
          recount(changes.get(appliedChanges));
        }
      }
      appliedChanges = changes.size();
      return fittingTasks;
    }

    private void recount(MachineCapacity machine) {
      if (machine.state.type().gpus() > 0
          && machine.state.acceptsTasks()
          && allows(spec, machine)) {
        int fitting = machine.fits(spec);
        fittingTasks += fitting - fittingByMachine.put(machine, fitting);
      }
    }
  }

  private final ClusterCapacity clusterCapacity;

  /** The distinct requests of active jobs that need accelerators, each with one such job. */
  private final Map<ResourceRequest, JobSpec> gpuRequests = new LinkedHashMap<>();

  /**
   * The requests of those jobs that have no placement and are not suspected. Machines that could
   * run their tasks are reserved for them.
   */
  private final Map<ResourceRequest, PendingRequest> pendingRequests = new LinkedHashMap<>();

  /** Number of tasks of all jobs with a pending request. */
  private int pendingTasks;

  /** Booting machines without accelerators: tasks that need none wait for these. */
  private final List<MachineCapacity> bootingWithoutGpus = new ArrayList<>();

  AcceleratorReservation(ClusterCapacity clusterCapacity, List<MachineState> booting) {
    this.clusterCapacity = clusterCapacity;
    for (MachineState machine : booting) {
      if (machine.type().gpus() <= 0) {
        bootingWithoutGpus.add(new MachineCapacity(machine));
      }
    }
  }

  /** Registers the job's request if the job is active and needs accelerators. */
  void addJob(JobState job) {
    JobSpec spec = job.record().spec();
    if (spec.gpus() <= 0 || !job.record().active()) {
      return;
    }
    ResourceRequest request = ResourceRequest.of(spec);
    gpuRequests.putIfAbsent(request, spec);
    if (job.record().placements().isEmpty() && !job.suspected()) {
      pendingRequests.computeIfAbsent(request, k -> new PendingRequest(spec));
      pendingTasks += spec.tasks();
    }
  }

  /**
   * Whether one more such task, which needs no accelerators, would leave too few CPUs or too little
   * memory for a task that needs this machine's accelerators. If no job needs accelerators, true
   * for every machine that has some.
   */
  boolean strandsAccelerators(JobSpec spec, MachineCapacity machine) {
    if (spec.gpus() > 0 || machine.state.type().gpus() <= 0) {
      return false;
    }
    for (JobSpec gpuRequest : gpuRequests.values()) {
      if (gpuRequest.allowsType(machine.state.type().name())) {
        int before = machine.fits(gpuRequest);
        int after =
            MachineCapacity.countFitting(
                gpuRequest,
                machine.freeCpus - spec.cpus(),
                machine.freeGpus,
                machine.freeMemGb - spec.memGb());
        if (after < before) {
          return true;
        }
      }
    }
    return gpuRequests.isEmpty();
  }

  /**
   * One job for each distinct request for more accelerators than this job's tasks need; empty if
   * they need none.
   */
  List<JobSpec> largerRequests(JobSpec spec) {
    List<JobSpec> larger = new ArrayList<>();
    for (JobSpec gpuRequest : gpuRequests.values()) {
      if (spec.gpus() > 0 && gpuRequest.gpus() > spec.gpus()) {
        larger.add(gpuRequest);
      }
    }
    return larger;
  }

  /**
   * Whether the machine is reserved for a waiting job: the job's tasks fit on it, and all machines
   * together can't run more such tasks than are pending, so that no other machine can replace this
   * one. Without this check the first machines to boot, often those with accelerators, fill up with
   * replicas that run for long, while the jobs for which they were rented keep waiting.
   */
  boolean reservedForOthers(MachineCapacity machine) {
    for (PendingRequest pending : pendingRequests.values()) {
      if (machine.fits(pending.spec) > 0
          && allows(pending.spec, machine)
          && pending.fittingTasks() <= pendingTasks) {
        return true;
      }
    }
    return false;
  }

  private static boolean allows(JobSpec spec, MachineCapacity machine) {
    MachineState state = machine.state;
    return spec.allows(state.type().name(), state.zone(), state.spot());
  }

  /**
   * Whether the task should wait for a machine without accelerators that is booting, because it
   * would strand accelerators on the given machine. If so, capacity on the booting machine is
   * reserved for the task. Machines with accelerators often boot first, and replicas that fill them
   * run for long.
   */
  boolean waitsForBootingMachine(JobSpec spec, MachineCapacity machine) {
    if (!strandsAccelerators(spec, machine)) {
      return false;
    }
    for (MachineCapacity booting : bootingWithoutGpus) {
      if (allows(spec, booting) && booting.fits(spec) > 0) {
        booting.reserve(spec, 1);
        return true;
      }
    }
    return false;
  }
}
