package io.tansystack.recovery;

import io.tansystack.cluster.MachineRecord;
import io.tansystack.schedule.RentPlanner.MachineOffering;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.time.Duration;
import java.util.function.Predicate;

/**
 * How much of the recorded fleet a controller that has just come to plan has heard of, by type, zone and
 * kind. Until it is told of a machine it finds no room there, and would stop others' work, or rent, for
 * what fits well on a machine that is about to report. Such a decision waits for the machines that it
 * compares, and for no others: jobs of a type or zone that is known go on, and a launch depends on its
 * own machine alone. The wait is bounded: what has not been heard of by then hangs, is dead or cut off.
 */
public final class FleetCoverage {
  /** Of the machines that a job may use, this part may be unknown: some always hang. */
  private static final double UNKNOWN = 0.1;

  private final Duration longest;
  private final Object2IntOpenHashMap<MachineOffering> all = new Object2IntOpenHashMap<>();
  private final Object2IntOpenHashMap<MachineOffering> unheard = new Object2IntOpenHashMap<>();
  private long recordedUntil = -1;
  private Duration until = Duration.ZERO;

  /** @param longest by then every machine that can report has, and its owner has told of it */
  public FleetCoverage(Duration longest) {
    this.longest = longest;
  }

  /** This controller has come to plan: machines recorded up to this revision it has to be told of. */
  public void startAnew(long revision, Duration now) {
    recordedUntil = revision;
    until = now.plus(longest);
    all.clear();
    unheard.clear();
  }

  /** Whether there is still something to wait for. */
  public boolean open(Duration now) {
    return now.compareTo(until) < 0;
  }

  /** Counts the machines anew; {@code heard} tells whether anything is known of one. */
  public void count(Iterable<MachineRecord> machines, Predicate<String> heard, Duration now) {
    all.clear();
    unheard.clear();
    if (!open(now)) {
      return;
    }
    for (MachineRecord machine : machines) {
      MachineOffering kind = new MachineOffering(machine.type(), machine.zone(), machine.spot());
      all.addTo(kind, 1);
      // One that was claimed since came up just now, and what comes up tells of itself.
      if (machine.version() <= recordedUntil && !heard.test(machine.name())) {
        unheard.addTo(kind, 1);
      }
    }
    if (unheard.isEmpty()) {
      until = now; // What is lost from here on is no matter of a start.
    }
  }

  /** Whether enough is known of the machines that the job may use to tell what it lacks. */
  public boolean covers(JobSpec spec) {
    int machines = 0;
    int unknown = 0;
    for (Object2IntMap.Entry<MachineOffering> entry : all.object2IntEntrySet()) {
      MachineOffering kind = entry.getKey();
      if (spec.allows(kind.type(), kind.zone(), kind.spot())) {
        machines += entry.getIntValue();
        unknown += unheard.getInt(kind);
      }
    }
    return unknown <= machines * UNKNOWN;
  }

  /** Whether enough is known of all machines to weigh them against each other. */
  public boolean coversAll() {
    return unheard() <= machines() * UNKNOWN;
  }

  /** How many machines have not been heard of. */
  public int unheard() {
    return unheard.values().intStream().sum();
  }

  /** How many machines there are, while there is something to wait for. */
  public int machines() {
    return all.values().intStream().sum();
  }
}
