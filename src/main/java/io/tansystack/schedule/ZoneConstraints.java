package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/** In which zones a job's tasks run and may run. */
final class ZoneConstraints {
  private ZoneConstraints() {}

  /**
   * Whether the zones of the job's other tasks matter for where its next ones may or should run.
   */
  static boolean matterFor(JobSpec spec) {
    return spec.kind() == JobKind.SERVICE || spec.spreadZones() || spec.sameZone();
  }

  /**
   * Counts the job's tasks by zone, including all that may still exist; those on unknown machines
   * are left out.
   */
  static Object2IntOpenHashMap<String> tasksByZone(
      JobRecord record, ClusterCapacity clusterCapacity) {
    Object2IntOpenHashMap<String> tasksByZone = new Object2IntOpenHashMap<>();
    for (Placement placement : record.placements()) {
      MachineCapacity machine = clusterCapacity.get(placement.machine());
      if (machine != null) {
        tasksByZone.addTo(machine.state.zone(), placement.tasks().size());
      }
    }
    return tasksByZone;
  }

  /** Whether one more task of the job may run in the machine's zone. */
  static boolean allows(
      JobSpec spec, Object2IntOpenHashMap<String> tasksByZone, MachineCapacity machine) {
    return remaining(spec, tasksByZone, machine) > 0;
  }

  /** How many more tasks of the job may run in the machine's zone. */
  static int remaining(
      JobSpec spec, Object2IntOpenHashMap<String> tasksByZone, MachineCapacity machine) {
    return remaining(spec, tasksByZone, machine.state.zone());
  }

  /** How many more tasks of the job may run in a zone. */
  static int remaining(JobSpec spec, Object2IntOpenHashMap<String> tasksByZone, String zone) {
    boolean boundToOtherZone =
        spec.sameZone() && !tasksByZone.isEmpty() && !tasksByZone.containsKey(zone);
    return boundToOtherZone ? 0 : Math.max(0, spec.maxTasksPerZone() - tasksByZone.getInt(zone));
  }
}
