package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Finds capacity for tasks that don't fit into the free capacity: first the capacity of tasks that
 * are being stopped already, then that of tasks that are preempted for this purpose.
 */
final class CapacityReclaimer {
  private final ClusterCapacity clusterCapacity;
  private final CapacityIndex index;
  private final AcceleratorReservation reservation;
  private final TeamQuotaTracker teamQuotas;
  private final Preemption preemption;
  private final UnsatisfiableRequests unsatisfiable = new UnsatisfiableRequests();

  CapacityReclaimer(
      ClusterCapacity clusterCapacity,
      CapacityIndex index,
      AcceleratorReservation reservation,
      TeamQuotaTracker teamQuotas,
      Preemption preemption) {
    this.clusterCapacity = clusterCapacity;
    this.index = index;
    this.reservation = reservation;
    this.teamQuotas = teamQuotas;
    this.preemption = preemption;
  }

  /** Whether tasks of other jobs may be preempted for the job now. */
  boolean mayPreempt(JobState job) {
    return job.preemptionDelayElapsed()
        && (job.record().spec().priority() != Priority.LOW || teamQuotas.guaranteed(job.id()));
  }

  /**
   * Reserves capacity that is being released already, then preempts tasks where that is allowed.
   *
   * @param zones tasks of the job by zone; those for which capacity is reclaimed are added
   * @param mayPreempt whether tasks may be preempted
   * @return number of tasks for which no capacity was found
   */
  int reclaim(JobState job, int tasks, Object2IntOpenHashMap<String> zones, boolean mayPreempt) {
    JobSpec spec = job.record().spec();
    ResourceRequest request = ResourceRequest.of(spec);
    boolean guaranteed = teamQuotas.guaranteed(job.id());
    if (unsatisfiable.covers(request, spec, guaranteed, openZones(spec, zones))) {
      return tasks;
    }
    int remaining = tasks;
    List<MachineCapacity> eligible = eligibleMachines(job, request, mayPreempt);
    for (MachineCapacity machine : eligible) {
      while (remaining > 0
          && machine.fitsAfterReleases(spec)
          && ZoneConstraints.allows(spec, zones, machine)) {
        machine.reserve(spec, 1);
        zones.addTo(machine.state.zone(), 1);
        remaining--;
      }
    }
    if (remaining > 0 && mayPreempt) {
      remaining = preemption.preemptFor(job, remaining, eligible, zones);
      if (remaining > 0 && preemption.consideredAll() && job.excludedMachines().isEmpty()) {
        unsatisfiable.add(request, spec, guaranteed, openZones(spec, zones));
      }
    }
    return remaining;
  }

  /** Zones that the job allows and in which more of its tasks may run. */
  private List<String> openZones(JobSpec spec, Object2IntOpenHashMap<String> zones) {
    boolean zonesMatter = ZoneConstraints.matterFor(spec);
    List<String> open = new ArrayList<>();
    for (String zone : clusterCapacity.zones()) {
      boolean allowed = spec.zone() == null || spec.zone().equals(zone);
      if (allowed && (!zonesMatter || ZoneConstraints.remaining(spec, zones, zone) > 0)) {
        open.add(zone);
      }
    }
    return open;
  }

  /**
   * Machines on which capacity may be reclaimed for the job, in the order of names. Machines whose
   * accelerators the task would strand are left out, so capacity that was denied to the task for
   * that reason stays free.
   */
  private List<MachineCapacity> eligibleMachines(
      JobState job, ResourceRequest request, boolean mayPreempt) {
    JobSpec spec = job.record().spec();
    Predicate<MachineCapacity> isAllowed = index.allowed(job, request);
    List<MachineCapacity> eligible = new ArrayList<>();
    for (MachineCapacity machine :
        mayPreempt ? clusterCapacity.all() : releasingMachines(spec, request)) {
      if ((mayPreempt || machine.fitsAfterReleases(spec))
          && isAllowed.test(machine)
          && !reservation.strandsAccelerators(spec, machine)) {
        eligible.add(machine);
      }
    }
    return eligible;
  }

  /**
   * Machines where a task may fit once the tasks being stopped have ended. For a gang, machines
   * where a task fits now are included, since none of the gang's tasks has been placed on them. For
   * other jobs the machines that fit now have been tried already.
   */
  private Collection<MachineCapacity> releasingMachines(JobSpec spec, ResourceRequest request) {
    if (spec.kind() != JobKind.GANG) {
      return clusterCapacity.releasing().values();
    }
    TreeMap<String, MachineCapacity> machines = new TreeMap<>(clusterCapacity.releasing());
    index.fitting(request).forEach(machine -> machines.put(machine.state.name(), machine));
    return machines.values();
  }
}
