package io.tansystack.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/** Limits of the teams of a cell: each team may use several times its even share of the cell. */
final class TeamLimits {
  /** Approximate means over the standard and accelerated machines of {@link EmulatedFleet}. */
  private static final double CPUS_PER_WORKER = 24;

  private static final double GPUS_PER_WORKER = 2;

  /** Limit of a team as a multiple of its even share. */
  private static final double SHARE_FACTOR = 8;

  /** The minimum limits are enough for the largest gang. */
  private static final double MIN_CPUS = 2_000;

  private static final double MIN_GPUS = 512;

  private TeamLimits() {}

  /** The limits by name of the team; the same for all teams. */
  static Map<String, RuleChecker.Limit> of(ScaleSettings settings) {
    Map<String, RuleChecker.Limit> limits = new LinkedHashMap<>();
    double limitInWorkers = SHARE_FACTOR * settings.workers() / settings.teams();
    double cpus = Math.max(MIN_CPUS, Math.ceil(limitInWorkers * CPUS_PER_WORKER));
    double gpus = Math.max(MIN_GPUS, Math.ceil(limitInWorkers * GPUS_PER_WORKER));
    for (int i = 0; i < settings.teams(); i++) {
      limits.put(WorkloadGenerator.teamName(i), new RuleChecker.Limit(cpus, gpus));
    }
    return limits;
  }
}
