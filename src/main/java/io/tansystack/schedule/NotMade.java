package io.tansystack.schedule;

import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * For what no room could be made in a pass, though others might have been stopped for it: nor can it for
 * what asks for no less. To compare each of many waiting jobs with all that runs is most of a pass.
 */
final class NotMade {
  private final Map<Priority, List<Ask>> byPriority = new EnumMap<>(Priority.class);

  /** Of jobs within their team's guarantee, to which others may owe room, by priority and team. */
  private final Map<String, List<Ask>> owed = new HashMap<>();

  private static String owedAs(JobSpec spec) {
    return spec.priority() + " " + spec.team();
  }

  void add(Ask ask, JobSpec spec, boolean guaranteed) {
    (guaranteed
            ? owed.computeIfAbsent(owedAs(spec), k -> new ArrayList<>())
            : byPriority.computeIfAbsent(spec.priority(), k -> new ArrayList<>()))
        .add(ask);
  }

  /** Whether a job that could use no less than this one found nothing. */
  boolean covers(Ask ask, JobSpec spec, boolean guaranteed) {
    if (guaranteed) {
      return covers(owed.getOrDefault(owedAs(spec), List.of()), ask);
    }
    // Of lower priority, or not yet allowed to stop others: it could use less than the first one.
    return byPriority.entrySet().stream()
        .anyMatch(
            entry ->
                entry.getKey().ordinal() <= spec.priority().ordinal()
                    && covers(entry.getValue(), ask));
  }

  private static boolean covers(List<Ask> failed, Ask ask) {
    return failed.stream().anyMatch(ask::asksNoLessThan);
  }
}
