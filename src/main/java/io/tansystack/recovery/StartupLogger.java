package io.tansystack.recovery;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.PlacementIndex.IndexedPlacement;
import io.tansystack.http.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the progress of a startup for operators: one line when it begins, one every few seconds with
 * what it waits for, and one when this controller's machines are reconciled with the records. The
 * lines are for information only; startup needs no action by an operator.
 */
public final class StartupLogger {
  private static final Logger log = LoggerFactory.getLogger(StartupLogger.class);
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(3);

  /**
   * Progress counts of this controller's own machines.
   *
   * @param machines the machines it owns
   * @param reported the owned machines that have reported to it since it started
   * @param waiting the owned machines whose commands are throttled
   * @param starts the start commands sent since it started
   * @param stops the stop commands sent since it started
   * @param forgets the forget commands sent since it started
   * @param lostTasks the tasks that were recorded on the machines and ended with an earlier session
   *     of the worker
   */
  public record StartupCounts(
      int machines,
      int reported,
      int waiting,
      long starts,
      long stops,
      long forgets,
      int lostTasks) {}

  private final EventLoop loop;
  private final ClusterState clusterState;
  private final String label;
  private final Duration maxStartupTime;
  private final Supplier<StartupCounts> counts;
  private final FleetCoverage fleetCoverage;
  private Duration startedAt;
  private Duration loggedAt;
  private boolean finished;

  /**
   * @param recoveryContext its {@code maxStartupTime} ends a startup even if machines are unknown
   * @param counts returns the current progress counts
   */
  public StartupLogger(
      EventLoop loop,
      ClusterState clusterState,
      String label,
      RecoveryContext recoveryContext,
      Supplier<StartupCounts> counts) {
    this.loop = loop;
    this.clusterState = clusterState;
    this.label = label;
    this.maxStartupTime = recoveryContext.maxStartupTime();
    this.fleetCoverage = recoveryContext.fleetCoverage();
    this.counts = counts;
  }

  /**
   * The number of tasks placed on a machine that ended with an earlier session of its worker, which
   * no controller observed.
   */
  public static int countLostTasks(List<IndexedPlacement> placed, long session) {
    return placed.stream()
        .map(IndexedPlacement::placement)
        .filter(placement -> placement.session() < session)
        .mapToInt(placement -> placement.tasks().size())
        .sum();
  }

  /** Logs what is due; to be called periodically while this controller may act. */
  public void tick() {
    if (finished) {
      return;
    }
    Duration now = loop.now();
    if (startedAt == null) {
      startedAt = now;
      loggedAt = now;
      finished = clusterState.machines().isEmpty();
      log.info(
          "start: {} machines are recorded, {} of them owned by this controller, and {} jobs",
          clusterState.machines().size(),
          counts.get().machines(),
          clusterState.jobs().size());
      if (finished) {
        return; // There is nothing to reconcile.
      }
    }
    StartupCounts current = counts.get();
    Map<String, Integer> absentOwners = absentOwners();
    boolean reconciled =
        current.reported == current.machines && current.waiting == 0 && absentOwners.isEmpty();
    finished = reconciled || now.minus(startedAt).compareTo(maxStartupTime) > 0;
    if (finished) {
      log.info(
          "start over after {} ms: {} of {} machines have reported, {} start, {} stop and {} forget"
              + " commands were sent, {} tasks were lost with the leases of their machines{}",
          now.minus(startedAt).toMillis(),
          current.reported,
          current.machines,
          current.starts,
          current.stops,
          current.forgets,
          current.lostTasks,
          reconciled ? "" : "; no longer waiting for " + remaining(current, absentOwners));
    } else if (now.minus(loggedAt).compareTo(LOG_INTERVAL) >= 0) {
      loggedAt = now;
      log.info("start: waiting for {}", remaining(current, absentOwners));
    }
  }

  private String remaining(StartupCounts current, Map<String, Integer> absentOwners) {
    return String.format(
        "reports from %d of %s's %d machines, %d machines with throttled commands,"
            + " absent owners %s, the status of %d machines of other controllers",
        current.machines - current.reported,
        label,
        current.machines,
        current.waiting,
        absentOwners,
        fleetCoverage.unknownMachines());
  }

  /** The number of machines of each owner that has no record, by the owner's label. */
  private Map<String, Integer> absentOwners() {
    Map<String, Integer> machineCounts = new TreeMap<>();
    for (MachineRecord record : clusterState.machines().values()) {
      if (!clusterState.alive(record.owner())) {
        machineCounts.merge(record.owner(), 1, Integer::sum);
      }
    }
    return machineCounts;
  }
}
