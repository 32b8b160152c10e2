package io.tansystack.schedule;

import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The best machines of each zone for jobs that are alike in everything that affects the choice of a
 * machine. It is built once in a pass; after that, only machines that the pass has changed are
 * scored again.
 */
final class CandidateRanking {
  /** How many machines of a zone are ranked; when these are used up, the ranking is built again. */
  private static final int MAX_RANKED = 256;

  /** The best machines of one zone as first scored, and those that have changed since. */
  private static final class ZoneRanking {
    final List<ScoredCandidate> ranked;
    final TreeSet<ScoredCandidate> changed = new TreeSet<>();

    /** Whether the zone has more machines than the ranked ones. */
    final boolean truncated;

    /** Index in {@link #ranked} before which all machines have changed. */
    int firstUnchanged;

    ZoneRanking(List<ScoredCandidate> ranked, boolean truncated) {
      this.ranked = ranked;
      this.truncated = truncated;
    }
  }

  private final List<MachineCapacity> changes;
  private final Function<MachineCapacity, ScoredCandidate> scorer;
  private final Map<String, ZoneRanking> zones = new TreeMap<>();

  /** The current scores of machines changed since creation; null where no task fits now. */
  private final Reference2ObjectOpenHashMap<MachineCapacity, ScoredCandidate> rescored =
      new Reference2ObjectOpenHashMap<>();

  private final int changesAtCreation;

  /** How many entries of {@link #changes} have been applied. */
  private int changesApplied;

  /**
   * @param machines the machines to rank; each fits a task
   * @param changes machines that the pass has changed, one entry per change; the pass appends to it
   * @param scorer scores a machine; returns null for one that fits no more tasks
   */
  CandidateRanking(
      List<MachineCapacity> machines,
      List<MachineCapacity> changes,
      Function<MachineCapacity, ScoredCandidate> scorer) {
    this.changes = changes;
    this.scorer = scorer;
    this.changesAtCreation = changes.size();
    this.changesApplied = changesAtCreation;
    Map<String, List<ScoredCandidate>> byZone = new TreeMap<>();
    for (MachineCapacity machine : machines) {
      byZone
          .computeIfAbsent(machine.state.zone(), k -> new ArrayList<>())
          .add(scorer.apply(machine));
    }
    byZone.forEach(
        (name, all) -> {
          List<ScoredCandidate> best =
              CandidateSelector.top(all, MAX_RANKED, Comparator.naturalOrder());
          zones.put(name, new ZoneRanking(best, all.size() > MAX_RANKED));
        });
  }

  /** Whether the pass has changed machines since, so that a rebuilt ranking may differ. */
  boolean hasChanged() {
    return changes.size() > changesAtCreation;
  }

  /** Scores the machines again that have changed since the last call. */
  private void update() {
    for (; changesApplied < changes.size(); changesApplied++) {
      rescore(changes.get(changesApplied));
    }
    for (ZoneRanking zone : zones.values()) {
      while (zone.firstUnchanged < zone.ranked.size()
          && rescored.containsKey(zone.ranked.get(zone.firstUnchanged).machine())) {
        zone.firstUnchanged++;
      }
    }
  }

  private void rescore(MachineCapacity machine) {
    ZoneRanking zone = zones.get(machine.state.zone());
    if (zone == null) {
      return; // No machine of the zone fitted a task, and free capacity only shrinks in a pass.
    }
    ScoredCandidate before = rescored.get(machine);
    if (before != null) {
      zone.changed.remove(before);
    }
    ScoredCandidate now = scorer.apply(machine);
    rescored.put(machine, now);
    if (now != null) {
      zone.changed.add(now);
    }
  }

  /**
   * The best eligible machines of each zone; the zone with the best machine comes first. Null if
   * too few machines are ranked to find them.
   */
  Map<String, List<MachineCapacity>> best(int maxInZone, Predicate<ScoredCandidate> eligible) {
    update();
    List<List<ScoredCandidate>> found = new ArrayList<>();
    for (ZoneRanking zone : zones.values()) {
      List<ScoredCandidate> best = best(zone, maxInZone, eligible);
      if (best == null) {
        return null;
      }
      if (!best.isEmpty()) {
        found.add(best);
      }
    }
    found.sort((one, other) -> one.get(0).compareTo(other.get(0)));
    Map<String, List<MachineCapacity>> result = new LinkedHashMap<>();
    for (List<ScoredCandidate> zone : found) {
      List<MachineCapacity> machines = new ArrayList<>(zone.size());
      zone.forEach(candidate -> machines.add(candidate.machine()));
      result.put(zone.get(0).machine().state.zone(), machines);
    }
    return result;
  }

  /** Merges the ranked machines that have not changed with the rescored ones. */
  private List<ScoredCandidate> best(
      ZoneRanking zone, int maxInZone, Predicate<ScoredCandidate> eligible) {
    List<ScoredCandidate> best = new ArrayList<>();
    var changed = zone.changed.iterator();
    ScoredCandidate nextChanged = changed.hasNext() ? changed.next() : null;
    int rankedIndex = zone.firstUnchanged;
    while (best.size() < maxInZone) {
      while (rankedIndex < zone.ranked.size()
          && rescored.containsKey(zone.ranked.get(rankedIndex).machine())) {
        rankedIndex++;
      }
      ScoredCandidate nextRanked =
          rankedIndex < zone.ranked.size() ? zone.ranked.get(rankedIndex) : null;
      if (nextRanked == null && zone.truncated) {
        return null;
      }
      if (nextRanked == null && nextChanged == null) {
        break;
      }
      boolean takeRanked =
          nextChanged == null || (nextRanked != null && nextRanked.compareTo(nextChanged) < 0);
      ScoredCandidate next = takeRanked ? nextRanked : nextChanged;
      if (takeRanked) {
        rankedIndex++;
      } else {
        nextChanged = changed.hasNext() ? changed.next() : null;
      }
      if (eligible.test(next)) {
        best.add(next);
      }
    }
    return best;
  }
}
