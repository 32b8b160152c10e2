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
 * The rooms of all machines and what the teams use, kept from pass to pass and brought up to date by
 * what changed: a pass costs what has changed since the last one and not what there is. A pass over
 * rooms that were kept gives the same plan as one over rooms that were made anew.
 */
public final class ClusterCapacity {
  /** All rooms, in the order of the machines' names. */
  private final TreeMap<String, MachineCapacity> rooms = new TreeMap<>();

  private final Map<String, MachineCapacity> index = new HashMap<>();

  /** Rooms in which CPUs are free, and rooms in which something is about to leave. */
  private final TreeMap<String, MachineCapacity> free = new TreeMap<>();

  private final TreeMap<String, MachineCapacity> leaving = new TreeMap<>();

  /** What is recorded on each machine, also on those that are not known yet, by arrival of the jobs. */
  private final Map<String, List<AllocatedTasks>> recorded = new HashMap<>();

  private final Map<MachineOffering, Integer> kinds = new HashMap<>();
  private final List<MachineOffering> kindList = new ArrayList<>();
  private final Set<String> zones = new TreeSet<>();
  private final Map<Integer, Integer> machinesOfKind = new TreeMap<>();
  private final Map<Integer, MachineType> typeOfKind = new HashMap<>();

  /** Machines on which something else is recorded than their rooms show. */
  private final Set<String> stale = new HashSet<>();

  /** Rooms that the pass under way, or the last one, has changed; one for each change. */
  private final List<MachineCapacity> changes = new ArrayList<>();

  private final RecordedTeamUsage teams = new RecordedTeamUsage();
  private int replicasLeaving;

  /** Rooms of a cluster of which nothing was kept. */
  public static ClusterCapacity of(Collection<MachineState> machines, Collection<JobState> jobs) {
    ClusterCapacity rooms = new ClusterCapacity();
    machines.forEach(rooms::machine);
    jobs.forEach(job -> rooms.job(null, job.record()));
    return rooms;
  }

  /** A machine is there, or is other than it was. */
  public void machine(MachineState state) {
    MachineCapacity room = index.get(state.name());
    int kind = kind(new MachineOffering(state.type().name(), state.zone(), state.spot()));
    if (room != null && (room.kind != kind || !room.machine.type().equals(state.type()))) {
      remove(state.name());
      room = null;
    }
    if (room == null) {
      room = new MachineCapacity(state, kind, changes);
      rooms.put(state.name(), room);
      index.put(state.name(), room);
      machinesOfKind.merge(kind, 1, Integer::sum);
      typeOfKind.put(kind, state.type());
    }
    room.machine = state;
    stale.add(state.name());
  }

  /** The machine is gone, or nothing is known of it any more. */
  public void remove(String name) {
    MachineCapacity room = index.remove(name);
    if (room != null) {
      rooms.remove(name);
      free.remove(name);
      leaving.remove(name);
      machinesOfKind.merge(room.kind, -1, Integer::sum);
    }
  }

  private int kind(MachineOffering kind) {
    Integer known = kinds.get(kind);
    if (known == null) {
      known = kindList.size();
      kinds.put(kind, known);
      kindList.add(kind);
      zones.add(kind.zone());
    }
    return known;
  }

  /** A job's record is another one than before; null stands for none. */
  public void job(JobRecord before, JobRecord after) {
    if (before == after) {
      return;
    }
    if (before != null && before.spec() != null) {
      forget(before);
      teams.subtract(before);
      replicasLeaving -= leavingReplicas(before);
    }
    if (after != null && after.spec() != null) {
      after.placements().forEach(placement -> add(AllocatedTasks.of(after, placement)));
      teams.add(after);
      replicasLeaving += leavingReplicas(after);
    }
  }

  private static int leavingReplicas(JobRecord record) {
    int leaving = 0;
    for (Placement placement : record.placements()) {
      AllocatedTasks held = AllocatedTasks.of(record, placement);
      leaving += held.active() && held.isService() && held.isReleasing() ? held.taskCount() : 0;
    }
    return leaving;
  }

  private void forget(JobRecord record) {
    String id = record.spec().id();
    for (Placement placement : record.placements()) {
      List<AllocatedTasks> on = recorded.get(placement.machine());
      if (on == null) {
        continue; // Another placement of the job was there too.
      }
      on.removeIf(held -> held.job().equals(id));
      if (on.isEmpty()) {
        recorded.remove(placement.machine());
      }
      stale.add(placement.machine());
    }
  }

  private void add(AllocatedTasks held) {
    String machine = held.placement().machine();
    List<AllocatedTasks> on = recorded.computeIfAbsent(machine, k -> new ArrayList<>(4));
    int at = on.size();
    while (at > 0 && arrivedLater(on.get(at - 1), held)) {
      at--;
    }
    on.add(at, held);
    stale.add(machine);
  }

  private static boolean arrivedLater(AllocatedTasks one, AllocatedTasks other) {
    return one.submittedMs() != other.submittedMs()
        ? one.submittedMs() > other.submittedMs()
        : one.job().compareTo(other.job()) > 0;
  }

  /** Forgets everything. */
  public void clear() {
    rooms.clear();
    index.clear();
    free.clear();
    leaving.clear();
    recorded.clear();
    kinds.clear();
    kindList.clear();
    zones.clear();
    machinesOfKind.clear();
    typeOfKind.clear();
    stale.clear();
    changes.clear();
    teams.clear();
    replicasLeaving = 0;
  }

  /** Before a pass: what the last one took is given back, and what changed since is taken in. */
  void beginPass() {
    for (MachineCapacity room : changes) {
      stale.add(room.machine.name());
    }
    changes.clear();
    for (String name : stale) {
      MachineCapacity room = index.get(name);
      if (room != null) {
        room.reset(room.machine, recorded.getOrDefault(name, List.of()));
        keep(free, room, room.hasFreeCpus());
        keep(leaving, room, room.leavesSoon());
      }
    }
    stale.clear();
  }

  private static void keep(Map<String, MachineCapacity> map, MachineCapacity room, boolean in) {
    if (in) {
      map.put(room.machine.name(), room);
    } else {
      map.remove(room.machine.name());
    }
  }

  /** Null for a machine that is not known. */
  MachineCapacity get(String machine) {
    return index.get(machine);
  }

  int size() {
    return rooms.size();
  }

  /** In the order of names. */
  Collection<MachineCapacity> all() {
    return rooms.values();
  }

  /** Rooms in which CPUs were free at the beginning of the pass, in the order of names. */
  Collection<MachineCapacity> free() {
    return free.values();
  }

  /** Rooms in which something is about to leave; a pass adds what it stops. */
  Map<String, MachineCapacity> leaving() {
    return leaving;
  }

  /** Rooms that this pass has changed, one for each change, in their order. */
  List<MachineCapacity> changes() {
    return Collections.unmodifiableList(changes);
  }

  /** Names of all zones in which there are machines, or were. */
  Set<String> zones() {
    return Collections.unmodifiableSet(zones);
  }

  List<MachineOffering> kinds() {
    return Collections.unmodifiableList(kindList);
  }

  /** CPUs of all machines together. */
  double cpus() {
    double sum = 0;
    for (Map.Entry<Integer, Integer> entry : machinesOfKind.entrySet()) {
      sum += entry.getValue() * typeOfKind.get(entry.getKey()).cpus();
    }
    return sum;
  }

  /** The most tasks of a job that one of the machines could hold if it were empty; 0 for no machine. */
  int mostOnOne(JobSpec spec) {
    int most = 0;
    for (Map.Entry<Integer, Integer> entry : machinesOfKind.entrySet()) {
      MachineOffering kind = kindList.get(entry.getKey());
      if (entry.getValue() > 0 && spec.allows(kind.type(), kind.zone(), kind.spot())) {
        most = Math.max(most, typeOfKind.get(entry.getKey()).capacityFor(spec));
      }
    }
    return most;
  }

  RecordedTeamUsage teams() {
    return teams;
  }

  /** Replicas that are being stopped; they come back elsewhere. */
  int replicasLeaving() {
    return replicasLeaving;
  }

  /** The machines as a pass sees them, in the order of names. */
  public List<MachineState> machines() {
    List<MachineState> states = new ArrayList<>(rooms.size());
    rooms.values().forEach(room -> states.add(room.machine));
    return states;
  }

  /** Names of all machines. */
  public Set<String> names() {
    return Collections.unmodifiableSet(index.keySet());
  }
}
