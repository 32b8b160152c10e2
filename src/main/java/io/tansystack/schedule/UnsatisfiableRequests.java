package io.tansystack.schedule;

import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Asks for which no room could be made in a zone during a pass, though others might have been stopped
 * for them: nor can it for what asks for no less. To compare each of many waiting jobs with all that
 * runs would be most of a pass.
 */
final class UnsatisfiableRequests {
  private record Exhausted(ResourceRequest ask, String zone) {
    boolean covers(ResourceRequest other, String inZone) {
      return zone.equals(inZone) && other.asksNoLessThan(ask);
    }
  }

  private final Map<Priority, List<Exhausted>> byPriority = new EnumMap<>(Priority.class);

  /** Of jobs within their team's guarantee, to which others may owe room, by priority and team. */
  private final Map<String, List<Exhausted>> owed = new HashMap<>();

  private static String owedAs(JobSpec spec) {
    return spec.priority() + " " + spec.team();
  }

  /** @param zones in which nothing could be made */
  void add(ResourceRequest ask, JobSpec spec, boolean guaranteed, Collection<String> zones) {
    List<Exhausted> list =
        guaranteed
            ? owed.computeIfAbsent(owedAs(spec), k -> new ArrayList<>())
            : byPriority.computeIfAbsent(spec.priority(), k -> new ArrayList<>());
    for (String zone : zones) {
      if (!covers(list, ask, zone)) {
        list.add(new Exhausted(ask, zone));
      }
    }
  }

  /** Whether jobs that could use no less than this one found nothing in any of the zones. */
  boolean covers(ResourceRequest ask, JobSpec spec, boolean guaranteed, Collection<String> zones) {
    for (String zone : zones) {
      if (!covers(ask, spec, guaranteed, zone)) {
        return false;
      }
    }
    return true;
  }

  private boolean covers(ResourceRequest ask, JobSpec spec, boolean guaranteed, String zone) {
    if (guaranteed) {
      return covers(owed.getOrDefault(owedAs(spec), List.of()), ask, zone);
    }
    // Of lower priority, or not yet allowed to stop others: it could use less than the first one.
    for (Map.Entry<Priority, List<Exhausted>> entry : byPriority.entrySet()) {
      if (entry.getKey().ordinal() <= spec.priority().ordinal()
          && covers(entry.getValue(), ask, zone)) {
        return true;
      }
    }
    return false;
  }

  private static boolean covers(List<Exhausted> failed, ResourceRequest ask, String zone) {
    for (Exhausted exhausted : failed) {
      if (exhausted.covers(ask, zone)) {
        return true;
      }
    }
    return false;
  }
}
