package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * The resources that the teams' recorded tasks use. Amounts are stored as whole millionths, so that
 * adding and subtracting them leaves no remainder and the order of changes does not matter.
 */
final class RecordedTeamUsage {
  private static final double MILLION = 1e6;

  /** A team's usage in millionths, and the number of its recorded jobs. */
  private static final class Usage {
    long cpus;
    long gpus;
    int jobs;
  }

  private final Map<String, Usage> usageByTeam = new HashMap<>();

  void add(JobRecord record) {
    change(record, 1);
  }

  void subtract(JobRecord record) {
    change(record, -1);
  }

  private void change(JobRecord record, int sign) {
    JobSpec spec = record.spec();
    Usage usage = usageByTeam.computeIfAbsent(spec.team(), k -> new Usage());
    int tasks = sign * record.placedTaskCount();
    usage.cpus += tasks * Math.round(spec.cpus() * MILLION);
    usage.gpus += tasks * Math.round(spec.gpus() * MILLION);
    usage.jobs += sign;
    if (usage.jobs == 0) {
      usageByTeam.remove(spec.team());
    }
  }

  /** CPUs that the team's tasks use; 0 for an unknown team. */
  double cpus(String team) {
    Usage usage = usageByTeam.get(team);
    return usage == null ? 0 : usage.cpus / MILLION;
  }

  /** GPUs that the team's tasks use; 0 for an unknown team. */
  double gpus(String team) {
    Usage usage = usageByTeam.get(team);
    return usage == null ? 0 : usage.gpus / MILLION;
  }

  void clear() {
    usageByTeam.clear();
  }
}
