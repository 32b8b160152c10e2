package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.schedule.RentPlanner.MachineOffering;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The capacity of all machines and the usage of all teams. It is kept between scheduling passes and
 * updated incrementally, so that the cost of preparing a pass depends on the number of changes
 * since the last pass and not on the size of the cluster. A pass over capacity that was updated
 * incrementally gives the same plan as one over capacity that was built from scratch.
 */
public final class ClusterCapacity {
  /** All machines, in the order of their names. */
  private final TreeMap<String, MachineCapacity> sortedByName = new TreeMap<>();

  private final Map<String, MachineCapacity> byName = new HashMap<>();

  /** Machines that have free CPUs. */
  private final TreeMap<String, MachineCapacity> withFreeCpus = new TreeMap<>();

  /** Machines with tasks that are being stopped. */
  private final TreeMap<String, MachineCapacity> releasing = new TreeMap<>();

  /**
   * Tasks that are recorded on each machine, in the order in which their jobs were submitted.
   * Includes machines that are named by placements but not known yet.
   */
  private final Map<String, List<AllocatedTasks>> allocatedByMachine = new HashMap<>();

  /** Each offering's position in {@link #offerings}. */
  private final Map<MachineOffering, Integer> offeringNumbers = new HashMap<>();

  private final List<MachineOffering> offerings = new ArrayList<>();
  private final Set<String> zones = new TreeSet<>();

  /** Number of machines by offering number. */
  private final Map<Integer, Integer> machinesByOffering = new TreeMap<>();

  private final Map<Integer, MachineType> typeByOffering = new HashMap<>();

  /**
   * Machines whose {@link MachineCapacity} differs from the records; reset before the next pass.
   */
  private final Set<String> stale = new HashSet<>();

  /** Machines that the current or the last pass has changed, one entry for each change. */
  private final List<MachineCapacity> changes = new ArrayList<>();

  private final RecordedTeamUsage teamUsage = new RecordedTeamUsage();
  private int stoppingReplicas;

  /** Builds the capacity of a cluster from scratch. */
  public static ClusterCapacity of(Collection<MachineState> machines, Collection<JobState> jobs) {
    ClusterCapacity capacity = new ClusterCapacity();
    machines.forEach(capacity::updateMachine);
    jobs.forEach(job -> capacity.updateJob(null, job.record()));
    return capacity;
  }

  /** Adds a machine, or updates its state. */
  public void updateMachine(MachineState state) {
    MachineCapacity machine = byName.get(state.name());
    int offeringNumber =
        numberOf(new MachineOffering(state.type().name(), state.zone(), state.spot()));
    if (machine != null
        && (machine.offeringNumber != offeringNumber
            || !machine.state.type().equals(state.type()))) {
      removeMachine(state.name());
      machine = null;
    }
    if (machine == null) {
      machine = new MachineCapacity(state, offeringNumber, changes);
      sortedByName.put(state.name(), machine);
      byName.put(state.name(), machine);
      machinesByOffering.merge(offeringNumber, 1, Integer::sum);
      typeByOffering.put(offeringNumber, state.type());
    }
    machine.state = state;
    stale.add(state.name());
  }

  /** Removes a machine that is gone or not known any more; tasks recorded on it are kept. */
  public void removeMachine(String name) {
    MachineCapacity machine = byName.remove(name);
    if (machine != null) {
      sortedByName.remove(name);
      withFreeCpus.remove(name);
      releasing.remove(name);
      machinesByOffering.merge(machine.offeringNumber, -1, Integer::sum);
    }
  }

  private int numberOf(MachineOffering offering) {
    Integer number = offeringNumbers.get(offering);
    if (number == null) {
      number = offerings.size();
      offeringNumbers.put(offering, number);
      offerings.add(offering);
      zones.add(offering.zone());
    }
    return number;
  }

  /** Replaces a job's record; null stands for no record. */
  public void updateJob(JobRecord before, JobRecord after) {
    if (before == after) {
      return;
    }
    if (before != null && before.spec() != null) {
      removeTasks(before);
      teamUsage.subtract(before);
      stoppingReplicas -= countStoppingReplicas(before);
    }
    if (after != null && after.spec() != null) {
      after.placements().forEach(placement -> addTasks(AllocatedTasks.of(after, placement)));
      teamUsage.add(after);
      stoppingReplicas += countStoppingReplicas(after);
    }
  }

  private static int countStoppingReplicas(JobRecord record) {
    int stopping = 0;
    for (Placement placement : record.placements()) {
      AllocatedTasks allocated = AllocatedTasks.of(record, placement);
      stopping +=
          allocated.active() && allocated.isService() && allocated.isReleasing()
              ? allocated.taskCount()
              : 0;
    }
    return stopping;
  }

  private void removeTasks(JobRecord record) {
    String id = record.spec().id();
    for (Placement placement : record.placements()) {
      List<AllocatedTasks> onMachine = allocatedByMachine.get(placement.machine());
      if (onMachine == null) {
        continue; // Already removed with another placement of the job on this machine.
      }
      onMachine.removeIf(allocated -> allocated.job().equals(id));
      if (onMachine.isEmpty()) {
        allocatedByMachine.remove(placement.machine());
      }
      stale.add(placement.machine());
    }
  }

  private void addTasks(AllocatedTasks allocated) {
    String machine = allocated.placement().machine();
    List<AllocatedTasks> onMachine =
        allocatedByMachine.computeIfAbsent(machine, k -> new ArrayList<>(4));
    int position = onMachine.size();
    while (position > 0 && submittedLater(onMachine.get(position - 1), allocated)) {
      position--;
    }
    onMachine.add(position, allocated);
    stale.add(machine);
  }

  private static boolean submittedLater(AllocatedTasks one, AllocatedTasks other) {
    return one.submittedMs() != other.submittedMs()
        ? one.submittedMs() > other.submittedMs()
        : one.job().compareTo(other.job()) > 0;
  }

  /** Removes all machines, tasks and usage. */
  public void clear() {
    sortedByName.clear();
    byName.clear();
    withFreeCpus.clear();
    releasing.clear();
    allocatedByMachine.clear();
    offeringNumbers.clear();
    offerings.clear();
    zones.clear();
    machinesByOffering.clear();
    typeByOffering.clear();
    stale.clear();
    changes.clear();
    teamUsage.clear();
    stoppingReplicas = 0;
  }

  /**
   * Prepares for a pass: undoes the reservations of the last pass and applies the changes since
   * then.
   */
  void beginPass() {
    for (MachineCapacity machine : changes) {
      stale.add(machine.state.name());
    }
    changes.clear();
    for (String name : stale) {
      MachineCapacity machine = byName.get(name);
      if (machine != null) {
        machine.reset(machine.state, allocatedByMachine.getOrDefault(name, List.of()));
        putOrRemove(withFreeCpus, machine, machine.hasFreeCpus());
        putOrRemove(releasing, machine, machine.isReleasing());
      }
    }
    stale.clear();
  }

  private static void putOrRemove(
      Map<String, MachineCapacity> map, MachineCapacity machine, boolean include) {
    if (include) {
      map.put(machine.state.name(), machine);
    } else {
      map.remove(machine.state.name());
    }
  }

  /** Returns null for a machine that is not known. */
  MachineCapacity get(String machine) {
    return byName.get(machine);
  }

  int size() {
    return sortedByName.size();
  }

  /** All machines, in the order of their names. */
  Collection<MachineCapacity> all() {
    return sortedByName.values();
  }

  /** Machines that had free CPUs at the beginning of the pass, in the order of their names. */
  Collection<MachineCapacity> withFreeCpus() {
    return withFreeCpus.values();
  }

  /**
   * Machines with tasks that are being stopped, by name. The returned map is live: a pass adds the
   * machines on which it stops tasks.
   */
  Map<String, MachineCapacity> releasing() {
    return releasing;
  }

  /** Machines that this pass has changed: one entry for each change, in the order of changes. */
  List<MachineCapacity> changes() {
    return Collections.unmodifiableList(changes);
  }

  /** Names of all zones that have or had machines. */
  Set<String> zones() {
    return Collections.unmodifiableSet(zones);
  }

  /** All offerings of which there are or were machines; the index is the offering number. */
  List<MachineOffering> offerings() {
    return Collections.unmodifiableList(offerings);
  }

  /** Sum of the CPUs of all machines, whether free or not. */
  double totalCpus() {
    double sum = 0;
    for (Map.Entry<Integer, Integer> entry : machinesByOffering.entrySet()) {
      sum += entry.getValue() * typeByOffering.get(entry.getKey()).cpus();
    }
    return sum;
  }

  /**
   * The largest number of the job's tasks that one of the machines could run if it were empty; 0 if
   * no machine could run any.
   */
  int maxTasksPerMachine(JobSpec spec) {
    int max = 0;
    for (Map.Entry<Integer, Integer> entry : machinesByOffering.entrySet()) {
      MachineOffering offering = offerings.get(entry.getKey());
      if (entry.getValue() > 0 && spec.allows(offering.type(), offering.zone(), offering.spot())) {
        max = Math.max(max, typeByOffering.get(entry.getKey()).capacityFor(spec));
      }
    }
    return max;
  }

  RecordedTeamUsage teamUsage() {
    return teamUsage;
  }

  /** Number of service replicas that are being stopped and will be placed again elsewhere. */
  int stoppingReplicas() {
    return stoppingReplicas;
  }

  /** The states of all machines, in the order of their names. */
  public List<MachineState> machines() {
    List<MachineState> states = new ArrayList<>(sortedByName.size());
    sortedByName.values().forEach(machine -> states.add(machine.state));
    return states;
  }

  /** Names of all machines. */
  public Set<String> machineNames() {
    return Collections.unmodifiableSet(byName.keySet());
  }
}
