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
 * Tells the operators how a start goes: one line when it begins, one every few seconds with what it
 * waits for, and one when this controller's machines are reconciled with the records. Nothing waits for a
 * person to read them.
 */
public final class StartupLogger {
  private static final Logger log = LoggerFactory.getLogger(StartupLogger.class);
  private static final Duration TELL_EVERY = Duration.ofSeconds(3);

  /**
   * How far this controller's own machines are.
   *
   * @param machines its machines
   * @param heard those of them that have reported to it since it started
   * @param waiting those that wait for their turn to be given orders
   * @param launches orders given since it started, and so the next two
   * @param lost tasks that were recorded on them and were gone with an earlier session of the worker
   */
  public record StartupCounts(
      int machines, int heard, int waiting, long launches, long halts, long forgets, int lost) {}

  private final EventLoop loop;
  private final ClusterState world;
  private final String label;
  private final Duration longest;
  private final Supplier<StartupCounts> standing;
  private final FleetCoverage coverage;
  private Duration began;
  private Duration toldAt;
  private boolean over;

  /** @param longest by then a start is over, whatever has not been heard of */
  public StartupLogger(
      EventLoop loop,
      ClusterState world,
      String label,
      RecoveryContext recovery,
      Supplier<StartupCounts> standing) {
    this.loop = loop;
    this.world = world;
    this.label = label;
    this.longest = recovery.longest();
    this.coverage = recovery.coverage();
    this.standing = standing;
  }

  /** Tasks placed on a machine that ended with an earlier session of its worker, unseen by anybody. */
  public static int lost(List<IndexedPlacement> placed, long session) {
    return placed.stream()
        .map(IndexedPlacement::placement)
        .filter(placement -> placement.session() < session)
        .mapToInt(placement -> placement.tasks().size())
        .sum();
  }

  /** To be called now and then while this controller may act. */
  public void turn() {
    if (over) {
      return;
    }
    Duration now = loop.now();
    if (began == null) {
      began = now;
      toldAt = now;
      over = world.machines().isEmpty();
      log.info(
          "start: {} machines are recorded, {} of them this controller's, and {} jobs",
          world.machines().size(),
          standing.get().machines(),
          world.jobs().size());
      if (over) {
        return; // There is nothing to be reconciled.
      }
    }
    StartupCounts s = standing.get();
    Map<String, Integer> away = away();
    boolean reconciled = s.heard == s.machines && s.waiting == 0 && away.isEmpty();
    over = reconciled || now.minus(began).compareTo(longest) > 0;
    if (over) {
      log.info(
          "start over after {} ms: {} of {} machines have reported, {} launches, {} halts, {} forgets,"
              + " {} tasks were lost with the leases of their machines{}",
          now.minus(began).toMillis(),
          s.heard,
          s.machines,
          s.launches,
          s.halts,
          s.forgets,
          s.lost,
          reconciled ? "" : ", and it did not wait longer for " + left(s, away));
    } else if (now.minus(toldAt).compareTo(TELL_EVERY) >= 0) {
      toldAt = now;
      log.info("start: waits for {}", left(s, away));
    }
  }

  private String left(StartupCounts s, Map<String, Integer> away) {
    return String.format(
        "%d of %s's %d machines, %d machines that have orders to come, owners that are away %s,"
            + " word of %d machines of others",
        s.machines - s.heard, label, s.machines, s.waiting, away, coverage.unheard());
  }

  /** Owners without a record, and how many machines are theirs. */
  private Map<String, Integer> away() {
    Map<String, Integer> away = new TreeMap<>();
    for (MachineRecord record : world.machines().values()) {
      if (!world.alive(record.owner())) {
        away.merge(record.owner(), 1, Integer::sum);
      }
    }
    return away;
  }
}
