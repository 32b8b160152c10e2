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
 * The best rooms of each zone for jobs that are alike in all that decides between rooms. It is made
 * once in a pass; then only the rooms that the pass has changed since are judged again.
 */
final class CandidateRanking {
  /** So many rooms of a zone are ranked; when those are used up, all are judged anew. */
  private static final int RANKED = 256;

  /** The best rooms of one zone, as they were judged, and those that have changed since. */
  private static final class Zone {
    final List<ScoredCandidate> ranked;
    final TreeSet<ScoredCandidate> changed = new TreeSet<>();

    /** Whether there are rooms behind the ranked ones. */
    final boolean cut;

    int first;

    Zone(List<ScoredCandidate> ranked, boolean cut) {
      this.ranked = ranked;
      this.cut = cut;
    }
  }

  private final List<MachineCapacity> changes;
  private final Function<MachineCapacity, ScoredCandidate> judge;
  private final Map<String, Zone> zones = new TreeMap<>();

  /** What counts for rooms that have changed since the ranking was made. */
  private final Reference2ObjectOpenHashMap<MachineCapacity, ScoredCandidate> current =
      new Reference2ObjectOpenHashMap<>();

  private final int madeAt;
  private int seen;

  /**
   * @param rooms that come into question
   * @param changes rooms that the pass has changed, one for each change; more are added as it goes on
   * @param judge tells how good a room is; null for one that takes no task any more
   */
  CandidateRanking(
      List<MachineCapacity> rooms,
      List<MachineCapacity> changes,
      Function<MachineCapacity, ScoredCandidate> judge) {
    this.changes = changes;
    this.judge = judge;
    this.madeAt = changes.size();
    this.seen = madeAt;
    Map<String, List<ScoredCandidate>> byZone = new TreeMap<>();
    for (MachineCapacity room : rooms) {
      byZone
          .computeIfAbsent(room.machine.zone(), k -> new ArrayList<>())
          .add(judge.apply(room));
    }
    byZone.forEach(
        (name, all) -> {
          List<ScoredCandidate> best =
              CandidateSelector.least(all, RANKED, Comparator.naturalOrder());
          zones.put(name, new Zone(best, all.size() > RANKED));
        });
  }

  /** Whether one that is made anew may rank other rooms. */
  boolean hasChanged() {
    return changes.size() > madeAt;
  }

  /** Judges again what has changed. */
  private void update() {
    for (; seen < changes.size(); seen++) {
      judgeAgain(changes.get(seen));
    }
    for (Zone zone : zones.values()) {
      while (zone.first < zone.ranked.size()
          && current.containsKey(zone.ranked.get(zone.first).room())) {
        zone.first++;
      }
    }
  }

  private void judgeAgain(MachineCapacity room) {
    Zone zone = zones.get(room.machine.zone());
    if (zone == null) {
      return; // None of its zone came into question, and room only shrinks.
    }
    ScoredCandidate before = current.get(room);
    if (before != null) {
      zone.changed.remove(before);
    }
    ScoredCandidate now = judge.apply(room);
    current.put(room, now);
    if (now != null) {
      zone.changed.add(now);
    }
  }

  /**
   * The best rooms of each zone that pass a test, the zone with the best one first; null if too few are
   * ranked to tell.
   */
  Map<String, List<MachineCapacity>> best(int mostInZone, Predicate<ScoredCandidate> test) {
    update();
    List<List<ScoredCandidate>> found = new ArrayList<>();
    for (Zone zone : zones.values()) {
      List<ScoredCandidate> best = best(zone, mostInZone, test);
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
      List<MachineCapacity> rooms = new ArrayList<>(zone.size());
      zone.forEach(scored -> rooms.add(scored.room()));
      result.put(zone.get(0).room().machine.zone(), rooms);
    }
    return result;
  }

  /** Merges the ranked rooms that have not changed with those that have. */
  private List<ScoredCandidate> best(Zone zone, int most, Predicate<ScoredCandidate> test) {
    List<ScoredCandidate> best = new ArrayList<>();
    var changed = zone.changed.iterator();
    ScoredCandidate nextChanged = changed.hasNext() ? changed.next() : null;
    int at = zone.first;
    while (best.size() < most) {
      while (at < zone.ranked.size() && current.containsKey(zone.ranked.get(at).room())) {
        at++;
      }
      ScoredCandidate nextRanked = at < zone.ranked.size() ? zone.ranked.get(at) : null;
      if (nextRanked == null && zone.cut) {
        return null;
      }
      if (nextRanked == null && nextChanged == null) {
        break;
      }
      boolean takeRanked =
          nextChanged == null || (nextRanked != null && nextRanked.compareTo(nextChanged) < 0);
      ScoredCandidate next = takeRanked ? nextRanked : nextChanged;
      if (takeRanked) {
        at++;
      } else {
        nextChanged = changed.hasNext() ? changed.next() : null;
      }
      if (test.test(next)) {
        best.add(next);
      }
    }
    return best;
  }
}
