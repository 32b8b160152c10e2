package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.wire.JobSpec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks, during one pass, what the teams use, may still use, and are guaranteed. */
final class TeamQuotaTracker {
  /** Tolerance for rounding errors in sums of CPUs and GPUs. */
  private static final double EPS = 1e-6;

  /** The allowance of a team without a limit, in tasks; more than any job has. */
  private static final double UNLIMITED = 1e6;

  private static final class Usage {
    double cpus;
    double gpus;

    void add(JobSpec spec, int n) {
      cpus += n * spec.cpus();
      gpus += n * spec.gpus();
    }
  }

  private final Map<String, Team> teams;
  private final RecordedTeamUsage recorded;
  private final Map<String, Usage> usageByTeam = new HashMap<>();
  private final Set<String> guaranteed = new HashSet<>();

  /** @param recorded what the teams use at the start of the pass */
  TeamQuotaTracker(Map<String, Team> teams, RecordedTeamUsage recorded) {
    this.teams = teams;
    this.recorded = recorded;
  }

  /** What a team uses, including what this pass has placed for it. */
  private Usage usageOf(String team) {
    return usageByTeam.computeIfAbsent(
        team,
        k -> {
          Usage usage = new Usage();
          usage.cpus = recorded.cpus(team);
          usage.gpus = recorded.gpus(team);
          return usage;
        });
  }

  /** Adds tasks that this pass has placed to their team's usage. */
  void add(JobSpec spec, int n) {
    usageOf(spec.team()).add(spec, n);
  }

  /**
   * Determines which jobs are covered by their team's guarantee: those that fit into it together
   * with the team's earlier unfinished jobs.
   *
   * @param byArrival all active jobs, in the order of submission
   */
  void markGuaranteed(List<JobState> byArrival) {
    Map<String, Usage> demandByTeam = new HashMap<>();
    for (JobState job : byArrival) {
      JobSpec spec = job.record().spec();
      Team team = teams.get(spec.team());
      if (team == null || (team.cpus() <= 0 && team.gpus() <= 0)) {
        continue;
      }
      Usage usage = demandByTeam.computeIfAbsent(spec.team(), k -> new Usage());
      usage.add(spec, spec.tasks());
      boolean usesGuaranteed =
          (team.cpus() > 0 && spec.cpus() > 0) || (team.gpus() > 0 && spec.gpus() > 0);
      if (usesGuaranteed
          && (team.cpus() <= 0 || usage.cpus <= team.cpus() + EPS)
          && (team.gpus() <= 0 || usage.gpus <= team.gpus() + EPS)) {
        guaranteed.add(job.id());
      }
    }
  }

  /** Whether the job with this ID is covered by its team's guarantee. */
  boolean guaranteed(String job) {
    return guaranteed.contains(job);
  }

  /** How many more tasks of this kind the team's limit allows; 0 for an unknown team. */
  int allowance(JobSpec spec) {
    Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    Usage usage = usageOf(spec.team());
    double n = UNLIMITED;
    if (team.cpusMax() > 0 && spec.cpus() > 0) {
      n = Math.min(n, (team.cpusMax() - usage.cpus + EPS) / spec.cpus());
    }
    if (team.gpusMax() > 0 && spec.gpus() > 0) {
      n = Math.min(n, (team.gpusMax() - usage.gpus + EPS) / spec.gpus());
    }
    return (int) Math.max(0, n);
  }

  /**
   * Whether the job may preempt the other tasks to obtain its team's guarantee: the job is covered
   * by that guarantee, and they belong to another team, are not covered by its guarantee, and use a
   * resource of which that team uses more than it is guaranteed (GPUs if the job needs any,
   * otherwise CPUs).
   */
  boolean mayReclaimFrom(JobState job, AllocatedTasks other) {
    JobSpec spec = job.record().spec();
    JobSpec borrower = other.spec();
    if (!guaranteed(job.id()) || guaranteed(other.job()) || borrower.team().equals(spec.team())) {
      return false;
    }
    Team team = teams.get(borrower.team());
    Usage usage = usageOf(borrower.team());
    return team != null
        && ((spec.gpus() > 0 && borrower.gpus() > 0 && usage.gpus > team.gpus() + EPS)
            || (spec.gpus() <= 0 && borrower.cpus() > 0 && usage.cpus > team.cpus() + EPS));
  }
}
