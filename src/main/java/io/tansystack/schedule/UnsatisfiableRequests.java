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
 * Requests for which no capacity could be reclaimed in a zone during a pass, although preemption
 * was allowed. No capacity can be reclaimed for requests that are at least as demanding either, so
 * these are not tried. Comparing each of many waiting jobs with all running tasks would take most
 * of the time of a pass.
 */
final class UnsatisfiableRequests {
  /** A request that can't be satisfied in a zone. */
  private record UnsatisfiableInZone(ResourceRequest request, String zone) {
    boolean covers(ResourceRequest other, String inZone) {
      return zone.equals(inZone) && other.isAtLeast(request);
    }
  }

  private final Map<Priority, List<UnsatisfiableInZone>> byPriority = new EnumMap<>(Priority.class);

  /**
   * Requests of jobs within their team's guarantee, by priority and team. For these, quota that
   * other teams borrowed may be reclaimed too.
   */
  private final Map<String, List<UnsatisfiableInZone>> byGuaranteedTeam = new HashMap<>();

  private static String teamKey(JobSpec spec) {
    return spec.priority() + " " + spec.team();
  }

  /** @param zones zones in which no capacity could be reclaimed */
  void add(ResourceRequest request, JobSpec spec, boolean guaranteed, Collection<String> zones) {
    List<UnsatisfiableInZone> list =
        guaranteed
            ? byGuaranteedTeam.computeIfAbsent(teamKey(spec), k -> new ArrayList<>())
            : byPriority.computeIfAbsent(spec.priority(), k -> new ArrayList<>());
    for (String zone : zones) {
      if (!covers(list, request, zone)) {
        list.add(new UnsatisfiableInZone(request, zone));
      }
    }
  }

  /**
   * Whether in each of the zones no capacity was found for a request that is no more demanding, of
   * a job that may preempt at least as much as this one.
   */
  boolean covers(
      ResourceRequest request, JobSpec spec, boolean guaranteed, Collection<String> zones) {
    for (String zone : zones) {
      if (!covers(request, spec, guaranteed, zone)) {
        return false;
      }
    }
    return true;
  }

  private boolean covers(ResourceRequest request, JobSpec spec, boolean guaranteed, String zone) {
    if (guaranteed) {
      return covers(byGuaranteedTeam.getOrDefault(teamKey(spec), List.of()), request, zone);
    }
    // A job of equal or lower priority, or one that may not preempt yet, can't reclaim more than
    // the job for which the request was recorded.
    for (Map.Entry<Priority, List<UnsatisfiableInZone>> entry : byPriority.entrySet()) {
      if (entry.getKey().ordinal() <= spec.priority().ordinal()
          && covers(entry.getValue(), request, zone)) {
        return true;
      }
    }
    return false;
  }

  private static boolean covers(
      List<UnsatisfiableInZone> entries, ResourceRequest request, String zone) {
    for (UnsatisfiableInZone entry : entries) {
      if (entry.covers(request, zone)) {
        return true;
      }
    }
    return false;
  }
}
