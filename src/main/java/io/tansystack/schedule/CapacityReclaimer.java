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

/** For tasks that found no room: counts on what is leaving, and stops what may be stopped for them. */
final class CapacityReclaimer {
  private final ClusterCapacity rooms;
  private final CapacityIndex index;
  private final AcceleratorReservation keep;
  private final TeamQuotaTracker teams;
  private final Preemption preemption;
  private final UnsatisfiableRequests exhausted = new UnsatisfiableRequests();

  CapacityReclaimer(
      ClusterCapacity rooms,
      CapacityIndex index,
      AcceleratorReservation keep,
      TeamQuotaTracker teams,
      Preemption preemption) {
    this.rooms = rooms;
    this.index = index;
    this.keep = keep;
    this.teams = teams;
    this.preemption = preemption;
  }

  /** Whether the job may have others' work stopped for it now. */
  boolean mayPreempt(JobState job) {
    return job.preemptionDelayElapsed()
        && (job.record().spec().priority() != Priority.LOW || teams.guaranteed(job.id()));
  }

  /**
   * First counts on what is being stopped already, then stops work that may be preempted. Returns how
   * many tasks are left even so.
   *
   * @param zones copies of the job by zone; those for which there will be room are added
   * @param mayPreempt whether anything may be stopped
   */
  int makeRoom(
      JobState job, int tasks, Object2IntOpenHashMap<String> zones, boolean mayPreempt) {
    JobSpec spec = job.record().spec();
    ResourceRequest ask = ResourceRequest.of(spec);
    boolean owed = teams.guaranteed(job.id());
    if (exhausted.covers(ask, spec, owed, openZones(spec, zones))) {
      return tasks;
    }
    int left = tasks;
    List<MachineCapacity> allowed = allowed(job, ask, mayPreempt);
    for (MachineCapacity room : allowed) {
      while (left > 0 && room.fitsSoon(spec) && ZoneConstraints.allows(spec, zones, room)) {
        room.take(spec, 1);
        zones.addTo(room.machine.zone(), 1);
        left--;
      }
    }
    if (left > 0 && mayPreempt) {
      left = preemption.stopFor(job, left, allowed, zones);
      if (left > 0 && preemption.lookedAtAll() && job.excludedMachines().isEmpty()) {
        exhausted.add(ask, spec, owed, openZones(spec, zones));
      }
    }
    return left;
  }

  /** Zones that the job allows and in which more copies of it may stand. */
  private List<String> openZones(JobSpec spec, Object2IntOpenHashMap<String> zones) {
    boolean matter = ZoneConstraints.matterFor(spec);
    List<String> open = new ArrayList<>();
    for (String zone : rooms.zones()) {
      boolean allowed = spec.zone() == null || spec.zone().equals(zone);
      if (allowed && (!matter || ZoneConstraints.remaining(spec, zones, zone) > 0)) {
        open.add(zone);
      }
    }
    return open;
  }

  /** Rooms that may do, in the order of names. Room that the task was kept out of stays free. */
  private List<MachineCapacity> allowed(JobState job, ResourceRequest ask, boolean mayPreempt) {
    JobSpec spec = job.record().spec();
    Predicate<MachineCapacity> mayStandIn = index.allowed(job, ask);
    List<MachineCapacity> allowed = new ArrayList<>();
    for (MachineCapacity room : mayPreempt ? rooms.all() : withRoomSoon(spec, ask)) {
      if ((mayPreempt || room.fitsSoon(spec))
          && mayStandIn.test(room)
          && !keep.spoils(spec, room)) {
        allowed.add(room);
      }
    }
    return allowed;
  }

  /**
   * Rooms where it may fit once what leaves is gone; for a gang also those where it fits now, since none of
   * its tasks took any. For others these were looked at already.
   */
  private Collection<MachineCapacity> withRoomSoon(JobSpec spec, ResourceRequest ask) {
    if (spec.shape() != JobKind.GANG) {
      return rooms.leaving().values();
    }
    TreeMap<String, MachineCapacity> both = new TreeMap<>(rooms.leaving());
    index.fitting(ask).forEach(room -> both.put(room.machine.name(), room));
    return both.values();
  }
}
