package io.tansystack.recovery;

import io.tansystack.cluster.MachineRecord;
import io.tansystack.schedule.RentPlanner.MachineOffering;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.time.Duration;
import java.util.function.Predicate;

/**
 * The part of the recorded fleet about which a controller that has just become a planner has
 * received status, by machine type, zone and kind (spot or not). A machine without status has no
 * free capacity for the planner, which would preempt tasks or rent machines for work that fits on a
 * machine that is about to report. Such decisions wait for the machines that they compare, and for
 * no others: jobs that use known types or zones go on, and a task start depends on its own machine
 * alone. The wait is bounded: machines without status after it hang, are dead or are cut off.
 */
public final class FleetCoverage {
  /** This share of the machines that a job may use may be unknown: some machines always hang. */
  private static final double MAX_UNKNOWN_SHARE = 0.1;

  private final Duration maxWait;
  private final Object2IntOpenHashMap<MachineOffering> countByOffering =
      new Object2IntOpenHashMap<>();
  private final Object2IntOpenHashMap<MachineOffering> unknownMachines =
      new Object2IntOpenHashMap<>();
  private long recordedRevision = -1;
  private Duration waitUntil = Duration.ZERO;

  /**
   * @param maxWait the time within which all machines that can report have done so, and their
   *     owners have published their status
   */
  public FleetCoverage(Duration maxWait) {
    this.maxWait = maxWait;
  }

  /**
   * To be called when this controller becomes a planner: it waits for the status of all machines
   * that were recorded up to this revision.
   */
  public void reset(long revision, Duration now) {
    recordedRevision = revision;
    waitUntil = now.plus(maxWait);
    countByOffering.clear();
    unknownMachines.clear();
  }

  /** Whether the status of some machines is still waited for. */
  public boolean isWaiting(Duration now) {
    return now.compareTo(waitUntil) < 0;
  }

  /**
   * Counts all machines and the unknown ones again.
   *
   * @param known whether the status of the machine of this name is known
   */
  public void recount(Iterable<MachineRecord> machines, Predicate<String> known, Duration now) {
    countByOffering.clear();
    unknownMachines.clear();
    if (!isWaiting(now)) {
      return;
    }
    for (MachineRecord machine : machines) {
      MachineOffering offering =
          new MachineOffering(machine.type(), machine.zone(), machine.spot());
      countByOffering.addTo(offering, 1);
      // A machine that was claimed later has just come up, and its status follows by itself.
      if (machine.version() <= recordedRevision && !known.test(machine.name())) {
        unknownMachines.addTo(offering, 1);
      }
    }
    if (unknownMachines.isEmpty()) {
      waitUntil = now; // Machines that are lost from now on don't concern the startup.
    }
  }

  /** Whether enough machines that the job may use are known to determine its unmet demand. */
  public boolean covers(JobSpec spec) {
    int total = 0;
    int unknown = 0;
    for (Object2IntMap.Entry<MachineOffering> entry : countByOffering.object2IntEntrySet()) {
      MachineOffering offering = entry.getKey();
      if (spec.allows(offering.type(), offering.zone(), offering.spot())) {
        total += entry.getIntValue();
        unknown += unknownMachines.getInt(offering);
      }
    }
    return unknown <= total * MAX_UNKNOWN_SHARE;
  }

  /** Whether enough of all machines are known to compare them with each other. */
  public boolean coversAll() {
    return unknownMachines() <= machineCount() * MAX_UNKNOWN_SHARE;
  }

  /** The number of machines whose status is unknown. */
  public int unknownMachines() {
    return unknownMachines.values().intStream().sum();
  }

  /** The number of recorded machines; 0 when nothing is waited for any more. */
  public int machineCount() {
    return countByOffering.values().intStream().sum();
  }
}
