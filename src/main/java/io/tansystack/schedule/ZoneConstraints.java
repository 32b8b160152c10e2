package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/** In which zones a job's tasks are, and may be. */
final class ZoneConstraints {
  private ZoneConstraints() {}

  /** Whether it matters for the job's next tasks where its others are. */
  static boolean matter(JobSpec spec) {
    return spec.shape() == JobKind.SERVICE || spec.scatter() || spec.sameZone();
  }

  /** Copies of the job by zone, counting all that may exist. */
  static Object2IntOpenHashMap<String> of(JobRecord record, ClusterCapacity rooms) {
    Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>();
    for (Placement placement : record.placements()) {
      MachineCapacity room = rooms.get(placement.machine());
      if (room != null) {
        zones.addTo(room.machine.zone(), placement.tasks().size());
      }
    }
    return zones;
  }

  /** Whether one more copy may stand in the room's zone. */
  static boolean allow(JobSpec spec, Object2IntOpenHashMap<String> zones, MachineCapacity room) {
    return most(spec, zones, room) > 0;
  }

  /** How many more copies may stand in the room's zone. */
  static int most(JobSpec spec, Object2IntOpenHashMap<String> zones, MachineCapacity room) {
    return most(spec, zones, room.machine.zone());
  }

  /** How many more copies may stand in a zone. */
  static int most(JobSpec spec, Object2IntOpenHashMap<String> zones, String zone) {
    boolean elsewhere = spec.sameZone() && !zones.isEmpty() && !zones.containsKey(zone);
    return elsewhere ? 0 : Math.max(0, spec.zoneCap() - zones.getInt(zone));
  }
}
