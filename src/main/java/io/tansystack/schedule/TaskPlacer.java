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

/** Chooses machines for a job's tasks, the least predicted delivery first, and takes their room. */
final class TaskPlacer {
  private final ClusterCapacity rooms;
  private final CapacityIndex index;
  private final AcceleratorReservation keep;
  private final CandidateSelector candidates;
  private final RecordSizeLimit limit;
  private final int maxMachines;

  /** @param maxMachines so many machines can be named by the transaction that records a round */
  TaskPlacer(
      ClusterCapacity rooms,
      CapacityIndex index,
      AcceleratorReservation keep,
      CandidateSelector candidates,
      RecordSizeLimit limit,
      int maxMachines) {
    this.rooms = rooms;
    this.index = index;
    this.keep = keep;
    this.candidates = candidates;
    this.limit = limit;
    this.maxMachines = maxMachines;
  }

  private int placementsLeft(JobState job) {
    int held = job.record().placements().size();
    return Math.max(0, limit.placedAtOnce(job.record().spec()) - held);
  }

  /** A round of the job can name so many machines. */
  int machinesAtOnce(JobState job) {
    return Math.min(maxMachines, placementsLeft(job));
  }

  /**
   * Whether one transaction could name the machines for a whole gang if all were empty. Room that was kept
   * for one that is too large would be kept for ever.
   */
  boolean canBeNamed(JobState job) {
    JobSpec spec = job.record().spec();
    if (spec.shape() != JobKind.GANG) {
      return true;
    }
    int each = rooms.mostOnOne(spec);
    return each == 0
        || (long) each * Math.min(maxMachines, limit.placedAtOnce(spec)) >= spec.tasks();
  }

  /** Whether any machine could take one of the job's tasks. */
  boolean findsRoom(JobState job) {
    return !index.mayFit(ResourceRequest.of(job.record().spec())).isEmpty();
  }

  /** Tasks by the machines chosen for them. */
  Map<String, BitSet> place(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    if (spec.shape() == JobKind.GANG) {
      return placeGang(job, tasks);
    }
    return ZoneConstraints.matter(spec) ? placeByZone(job, tasks) : placeEach(job, tasks);
  }

  private static void assign(
      Map<String, BitSet> chosen, MachineCapacity room, JobSpec spec, int task) {
    room.place(spec);
    chosen.computeIfAbsent(room.machine.name(), k -> new BitSet()).set(task);
  }

  private Map<String, BitSet> placeEach(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    int most = machinesAtOnce(job);
    List<MachineCapacity> found = candidates.best(job, tasks.length, placementsLeft(job), most);
    int i = 0;
    for (MachineCapacity room : found) {
      while (i < tasks.length && room.fitsOne(spec)) {
        if (keep.waitsForComing(spec, room)) {
          i++;
          continue;
        }
        if (chosen.size() >= most && !chosen.containsKey(room.machine.name())) {
          return chosen;
        }
        assign(chosen, room, spec, tasks[i++]);
      }
    }
    return chosen;
  }

  private Map<String, BitSet> placeByZone(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    int most = machinesAtOnce(job);
    Map<String, List<MachineCapacity>> byZone = candidates.bestByZone(job, tasks.length);
    if (byZone.isEmpty()) {
      return chosen;
    }
    Object2IntOpenHashMap<String> zones = ZoneConstraints.of(job.record(), rooms);
    Object2IntOpenHashMap<String> next = new Object2IntOpenHashMap<>();
    for (int task : tasks) {
      MachineCapacity best = bestZone(spec, byZone, zones, next);
      if (best != null && keep.waitsForComing(spec, best)) {
        continue;
      }
      if (best == null || chosen.size() >= most) {
        break;
      }
      assign(chosen, best, spec, task);
      zones.addTo(best.machine.zone(), 1);
    }
    return chosen;
  }

  /** Zones come best first; one with fewer copies goes before a better prediction. */
  private static MachineCapacity bestZone(
      JobSpec spec,
      Map<String, List<MachineCapacity>> byZone,
      Object2IntOpenHashMap<String> zones,
      Object2IntOpenHashMap<String> next) {
    MachineCapacity best = null;
    for (Map.Entry<String, List<MachineCapacity>> zone : byZone.entrySet()) {
      MachineCapacity first = firstFitting(spec, zone.getValue(), next, zone.getKey());
      if (first != null
          && ZoneConstraints.allow(spec, zones, first)
          && (best == null || zones.getInt(zone.getKey()) < zones.getInt(best.machine.zone()))) {
        best = first;
      }
    }
    return best;
  }

  /** What doesn't fit any more is passed over for good: rooms only fill up. */
  private static MachineCapacity firstFitting(
      JobSpec spec, List<MachineCapacity> rooms, Object2IntOpenHashMap<String> next, String zone) {
    int i = next.getInt(zone);
    while (i < rooms.size() && !rooms.get(i).fitsOne(spec)) {
      i++;
    }
    next.put(zone, i);
    return i < rooms.size() ? rooms.get(i) : null;
  }

  /** All tasks or none; in one zone if the job asks for it, at most its share in each if it scatters. */
  private Map<String, BitSet> placeGang(JobState job, int[] tasks) {
    JobSpec spec = job.record().spec();
    if (tasks.length < spec.tasks()) {
      return Map.of();
    }
    int most = Math.min(maxMachines, limit.placedAtOnce(spec));
    List<MachineCapacity> picks =
        choose(spec, tasks.length, candidates.forGang(job, tasks.length), most);
    if (picks.isEmpty() && tasks.length > most) {
      // On fewer machines one transaction may be able to name them all.
      picks = choose(spec, tasks.length, candidates.roomiestForGang(job, most), most);
    }
    Map<String, BitSet> chosen = new LinkedHashMap<>();
    for (int i = 0; i < picks.size(); i++) {
      assign(chosen, picks.get(i), spec, tasks[i]);
    }
    return chosen;
  }

  /** A room for each task, from the group with the least delivery; empty if none can take all. */
  private static List<MachineCapacity> choose(
      JobSpec spec, int tasks, List<List<MachineCapacity>> groups, int mostMachines) {
    List<MachineCapacity> best = List.of();
    double bestDelivery = Double.MAX_VALUE;
    for (List<MachineCapacity> group : groups) {
      List<MachineCapacity> picks = picks(spec, tasks, group);
      double slowest = picks.stream().mapToDouble(room -> room.delivery(spec)).max().orElse(0);
      boolean named = new HashSet<>(picks).size() <= mostMachines;
      if (picks.size() == tasks && named && slowest < bestDelivery) {
        best = picks;
        bestDelivery = slowest;
      }
    }
    return best;
  }

  private static List<MachineCapacity> picks(JobSpec spec, int tasks, List<MachineCapacity> rooms) {
    List<MachineCapacity> picks = new ArrayList<>();
    Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
    for (MachineCapacity room : rooms) {
      String zone = room.machine.zone();
      int fits = room.fits(spec);
      for (int k = 0; k < fits && picks.size() < tasks; k++) {
        if (zones.getInt(zone) >= spec.zoneCap()) {
          break;
        }
        picks.add(room);
        zones.addTo(zone, 1);
      }
    }
    return picks;
  }

  /**
   * Takes any room for so many tasks, to tell what is lacking; nothing is placed by it. Returns how
   * many tasks find none.
   *
   * @param zones copies of the job by zone; those that find room are added
   */
  int reserve(JobState job, int tasks, Object2IntOpenHashMap<String> zones) {
    JobSpec spec = job.record().spec();
    int left = tasks;
    boolean byZone = ZoneConstraints.matter(spec);
    for (MachineCapacity room : index.mayFit(ResourceRequest.of(spec))) {
      if (left == 0) {
        break;
      }
      if (!room.fitsOne(spec)
          || job.avoid().contains(room.machine.name())
          || (keep.spoils(spec, room) && keep.keptForOthers(room))) {
        continue;
      }
      int fits = Math.min(left, room.fits(spec));
      if (byZone) {
        fits = Math.min(fits, ZoneConstraints.most(spec, zones, room));
      }
      if (fits > 0) {
        room.take(spec, fits);
        zones.addTo(room.machine.zone(), fits);
        left -= fits;
      }
    }
    return left;
  }
}
