package io.tansystack.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/** The teams of a cell: all have a limit, several times their even share of the cell. */
final class TeamLimits {
  private static final double CPUS_PER_WORKER = 24;
  private static final double GPUS_PER_WORKER = 2;

  /** So many times the even share; and no less than the largest gang needs. */
  private static final double TIMES = 8;

  private static final double LEAST_CPUS = 2_000;
  private static final double LEAST_GPUS = 512;

  private TeamLimits() {}

  static Map<String, RuleChecker.Limit> of(ScaleSettings settings) {
    Map<String, RuleChecker.Limit> limits = new LinkedHashMap<>();
    double part = TIMES * settings.workers() / settings.teams();
    double cpus = Math.max(LEAST_CPUS, Math.ceil(part * CPUS_PER_WORKER));
    double gpus = Math.max(LEAST_GPUS, Math.ceil(part * GPUS_PER_WORKER));
    for (int i = 0; i < settings.teams(); i++) {
      limits.put(WorkloadGenerator.teamName(i), new RuleChecker.Limit(cpus, gpus));
    }
    return limits;
  }
}
