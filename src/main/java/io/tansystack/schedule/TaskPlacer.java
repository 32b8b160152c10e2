package io.tansystack.schedule;

import io.tansystack.records.RecordSizeLimit;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Chooses machines for a job's tasks by predicted completion time and takes their capacity. */
final class TaskPlacer {
  private final ClusterCapacity clusterCapacity;
  private final CapacityIndex index;
  private final AcceleratorReservation reservation;
  private final CandidateSelector candidates;
  private final RecordSizeLimit limit;
  private final int maxMachines;

  /** @param maxMachines how many machines the transaction that records a round can include */
  TaskPlacer(
      ClusterCapacity clusterCapacity,
      CapacityIndex index,
      AcceleratorReservation reservation,
      CandidateSelector candidates,
      RecordSizeLimit limit,
      int maxMachines) {
    this.clusterCapacity = clusterCapacity;
    this.index = index;
    this.reservation = reservation;
    this.candidates = candidates;
    this.limit = limit;
    this.maxMachines = maxMachines;
  }

  /** How many more placements the job's record can hold. */
  private int remainingPlacements(JobState job) {
    int existing = job.record().placements().size();
    return Math.max(0, limit.maxPlacementsAfterRound(job.record().spec()) - existing);
  }

  /** How many machines a placement round of the job can use. */
  int maxMachinesPerRound(JobState job) {
    return Math.min(maxMachines, remainingPlacements(job));
  }

  /**
   * Whether a gang could be placed by one transaction if all machines were empty; true for other
   * jobs. Capacity reserved for a gang that is too large for that would stay reserved permanently.
   */
  boolean fitsOneTransaction(JobState job) {
    JobSpec spec = job.record().spec();
    if (spec.kind() != JobKind.GANG) {
      return true;
    }
    int tasksPerMachine = clusterCapacity.maxTasksPerMachine(spec);
    return tasksPerMachine == 0
        || (long) tasksPerMachine * Math.min(maxMachines, limit.maxPlacementsAfterRound(spec))
            >= spec.tasks();
  }

  /** Whether any machine fits one of the job's tasks, even if it is excluded or reserved. */
  boolean mayFitAnywhere(JobState job) {
    return !index.possiblyFitting(ResourceRequest.of(job.record().spec())).isEmpty();
  }

  /** Places as many of the tasks as possible; returns the tasks by the names of their machines. */
  Map<String, BitSet> place(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    if (spec.kind() == JobKind.GANG) {
      return placeGang(job, tasks);
    }
    return ZoneConstraints.matterFor(spec) ? placeByZone(job, tasks) : placeAnywhere(job, tasks);
  }

  private static void assign(
      Map<String, BitSet> chosen, MachineCapacity machine, JobSpec spec, int task) {
    machine.place(spec);
    chosen.computeIfAbsent(machine.state.name(), k -> new BitSet()).set(task);
  }

  private Map<String, BitSet> placeAnywhere(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    int machineLimit = maxMachinesPerRound(job);
    List<MachineCapacity> found =
        candidates.best(job, tasks.length, remainingPlacements(job), machineLimit);
    int i = 0;
    for (MachineCapacity machine : found) {
      while (i < tasks.length && machine.fitsOne(spec)) {
        if (reservation.waitsForBootingMachine(spec, machine)) {
          i++;
          continue;
        }
        if (chosen.size() >= machineLimit && !chosen.containsKey(machine.state.name())) {
          return chosen;
        }
        assign(chosen, machine, spec, tasks[i++]);
      }
    }
    return chosen;
  }

  private Map<String, BitSet> placeByZone(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    int machineLimit = maxMachinesPerRound(job);
    Map<String, List<MachineCapacity>> byZone = candidates.bestByZone(job, tasks.length);
    if (byZone.isEmpty()) {
      return chosen;
    }
    Object2IntOpenHashMap<String> tasksByZone =
        ZoneConstraints.tasksByZone(job.record(), clusterCapacity);
    Object2IntOpenHashMap<String> nextByZone = new Object2IntOpenHashMap<>();
    for (int task : tasks) {
      MachineCapacity best = bestZone(spec, byZone, tasksByZone, nextByZone);
      if (best != null && reservation.waitsForBootingMachine(spec, best)) {
        continue;
      }
      if (best == null || chosen.size() >= machineLimit) {
        break;
      }
      assign(chosen, best, spec, task);
      tasksByZone.addTo(best.state.zone(), 1);
    }
    return chosen;
  }

  /**
   * The best machine that fits a task, in the zone with the fewest of the job's tasks: that counts
   * more than a better prediction. Among equal zones the first is taken; they are ordered best
   * first. Null if there is none.
   */
  private static MachineCapacity bestZone(
      JobSpec spec,
      Map<String, List<MachineCapacity>> byZone,
      Object2IntOpenHashMap<String> tasksByZone,
      Object2IntOpenHashMap<String> nextByZone) {
    MachineCapacity best = null;
    for (Map.Entry<String, List<MachineCapacity>> zone : byZone.entrySet()) {
      MachineCapacity first = firstFitting(spec, zone.getValue(), nextByZone, zone.getKey());
      if (first != null
          && ZoneConstraints.allows(spec, tasksByZone, first)
          && (best == null
              || tasksByZone.getInt(zone.getKey()) < tasksByZone.getInt(best.state.zone()))) {
        best = first;
      }
    }
    return best;
  }

  /**
   * The zone's first machine that fits a task, or null. Machines that don't fit any more are not
   * looked at again, since free capacity only shrinks during a pass.
   *
   * @param nextByZone where the search continues, by zone
   */
  private static MachineCapacity firstFitting(
      JobSpec spec,
      List<MachineCapacity> machines,
      Object2IntOpenHashMap<String> nextByZone,
      String zone) {
    int i = nextByZone.getInt(zone);
    while (i < machines.size() && !machines.get(i).fitsOne(spec)) {
      i++;
    }
    nextByZone.put(zone, i);
    return i < machines.size() ? machines.get(i) : null;
  }

  /**
   * Places all tasks of a gang or none: in one zone if the job requires it, and with at most the
   * allowed share in each zone if the job is to be scattered.
   */
  private Map<String, BitSet> placeGang(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    if (tasks.length < spec.tasks()) {
      return Map.of();
    }
    int machineLimit = Math.min(maxMachines, limit.maxPlacementsAfterRound(spec));
    List<MachineCapacity> picks =
        pickFromBestGroup(spec, tasks.length, candidates.forGang(job, tasks.length), machineLimit);
    if (picks.isEmpty() && tasks.length > machineLimit) {
      // With the machines that fit the most tasks, one transaction may be able to include them all.
      picks =
          pickFromBestGroup(
              spec, tasks.length, candidates.largestFirstForGang(job, machineLimit), machineLimit);
    }
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    for (int i = 0; i < picks.size(); i++) {
      assign(chosen, picks.get(i), spec, tasks[i]);
    }
    return chosen;
  }

  /**
   * A machine for each task, from the group in which the slowest task completes first; empty if no
   * group can take all tasks within the machine limit.
   */
  private static List<MachineCapacity> pickFromBestGroup(
      JobSpec spec, int tasks, List<List<MachineCapacity>> groups, int machineLimit) {
    List<MachineCapacity> best = List.of();
    double bestSlowestS = Double.MAX_VALUE;
    for (List<MachineCapacity> group : groups) {
      List<MachineCapacity> picks = pickMachines(spec, tasks, group);
      double slowestS =
          picks.stream().mapToDouble(machine -> machine.predictedCompletionS(spec)).max().orElse(0);
      boolean withinLimit = new HashSet<>(picks).size() <= machineLimit;
      if (picks.size() == tasks && withinLimit && slowestS < bestSlowestS) {
        best = picks;
        bestSlowestS = slowestS;
      }
    }
    return best;
  }

  /** A machine for each task, in the given order; fewer if not all fit within the zones' limits. */
  private static List<MachineCapacity> pickMachines(
      JobSpec spec, int tasks, List<MachineCapacity> machines) {
    List<MachineCapacity> picks = new ArrayList<>();
    Object2IntOpenHashMap<String> tasksByZone = new Object2IntOpenHashMap<>();
    for (MachineCapacity machine : machines) {
      String zone = machine.state.zone();
      int fits = machine.fits(spec);
      for (int k = 0; k < fits && picks.size() < tasks; k++) {
        if (tasksByZone.getInt(zone) >= spec.maxTasksPerZone()) {
          break;
        }
        picks.add(machine);
        tasksByZone.addTo(zone, 1);
      }
    }
    return picks;
  }

  /**
   * Takes the capacity of any machines for a number of tasks without placing them, to find out how
   * much is lacking. Returns how many tasks find none.
   *
   * @param tasksByZone the job's tasks by zone; those that find capacity are added
   */
  int takeCapacity(JobState job, int tasks, Object2IntOpenHashMap<String> tasksByZone) {
    JobSpec spec = job.record().spec();
    int remaining = tasks;
    boolean zonesMatter = ZoneConstraints.matterFor(spec);
    for (MachineCapacity machine : index.possiblyFitting(ResourceRequest.of(spec))) {
      if (remaining == 0) {
        break;
      }
      if (!machine.fitsOne(spec)
          || job.excludedMachines().contains(machine.state.name())
          || (reservation.strandsAccelerators(spec, machine)
              && reservation.reservedForOthers(machine))) {
        continue;
      }
      int fits = Math.min(remaining, machine.fits(spec));
      if (zonesMatter) {
        fits = Math.min(fits, ZoneConstraints.remaining(spec, tasksByZone, machine));
      }
      if (fits > 0) {
        machine.reserve(spec, fits);
        tasksByZone.addTo(machine.state.zone(), fits);
        remaining -= fits;
      }
    }
    return remaining;
  }
}
