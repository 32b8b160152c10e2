package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * What the teams' recorded tasks use. Amounts are kept in whole millionths, so that adding and taking
 * away leaves no remainder and the order does not matter.
 */
final class RecordedTeamUsage {
  private static final double MILLION = 1e6;

  private static final class Sum {
    long cpus;
    long gpus;
    int jobs;
  }

  private final Map<String, Sum> sums = new HashMap<>();

  void add(JobRecord record) {
    change(record, 1);
  }

  void subtract(JobRecord record) {
    change(record, -1);
  }

  private void change(JobRecord record, int sign) {
    JobSpec spec = record.spec();
    Sum sum = sums.computeIfAbsent(spec.team(), k -> new Sum());
    int tasks = sign * record.placedCount();
    sum.cpus += tasks * Math.round(spec.cpus() * MILLION);
    sum.gpus += tasks * Math.round(spec.gpus() * MILLION);
    sum.jobs += sign;
    if (sum.jobs == 0) {
      sums.remove(spec.team());
    }
  }

  double cpus(String team) {
    Sum sum = sums.get(team);
    return sum == null ? 0 : sum.cpus / MILLION;
  }

  double gpus(String team) {
    Sum sum = sums.get(team);
    return sum == null ? 0 : sum.gpus / MILLION;
  }

  void clear() {
    sums.clear();
  }
}
