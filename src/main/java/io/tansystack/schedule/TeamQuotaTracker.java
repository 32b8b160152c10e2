package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.wire.JobSpec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the teams use, may still use, and are guaranteed. */
final class TeamQuotaTracker {
  private static final double EPS = 1e-6;

  private static final class Sum {
    double cpus;
    double gpus;

    void add(JobSpec spec, int n) {
      cpus += n * spec.cpus();
      gpus += n * spec.gpus();
    }
  }

  private final Map<String, Team> teams;
  private final RecordedTeamUsage recorded;
  private final Map<String, Sum> used = new HashMap<>();
  private final Set<String> guaranteed = new HashSet<>();

  /** @param recorded what the teams use at the beginning of the pass */
  TeamQuotaTracker(Map<String, Team> teams, RecordedTeamUsage recorded) {
    this.teams = teams;
    this.recorded = recorded;
  }

  private Sum used(String team) {
    return used.computeIfAbsent(
        team,
        k -> {
          Sum sum = new Sum();
          sum.cpus = recorded.cpus(team);
          sum.gpus = recorded.gpus(team);
          return sum;
        });
  }

  void add(JobSpec spec, int n) {
    used(spec.team()).add(spec, n);
  }

  /** A job is within its team's guarantee if it fits with the team's earlier unfinished jobs. */
  void markGuaranteed(List<JobState> byArrival) {
    Map<String, Sum> sums = new HashMap<>();
    for (JobState job : byArrival) {
      JobSpec spec = job.record().spec();
      Team team = teams.get(spec.team());
      if (team == null || (team.cpus() <= 0 && team.gpus() <= 0)) {
        continue;
      }
      Sum sum = sums.computeIfAbsent(spec.team(), k -> new Sum());
      sum.add(spec, spec.tasks());
      boolean uses = (team.cpus() > 0 && spec.cpus() > 0) || (team.gpus() > 0 && spec.gpus() > 0);
      if (uses
          && (team.cpus() <= 0 || sum.cpus <= team.cpus() + EPS)
          && (team.gpus() <= 0 || sum.gpus <= team.gpus() + EPS)) {
        guaranteed.add(job.id());
      }
    }
  }

  boolean guaranteed(String job) {
    return guaranteed.contains(job);
  }

  /** How many more tasks the team's limit allows. */
  int allowance(JobSpec spec) {
    Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    Sum sum = used(spec.team());
    double n = 1e6;
    if (team.cpusMax() > 0 && spec.cpus() > 0) {
      n = Math.min(n, (team.cpusMax() - sum.cpus + EPS) / spec.cpus());
    }
    if (team.gpusMax() > 0 && spec.gpus() > 0) {
      n = Math.min(n, (team.gpusMax() - sum.gpus + EPS) / spec.gpus());
    }
    return (int) Math.max(0, n);
  }

  /** Whether the job is owed its guarantee by what the other one borrows. */
  boolean owed(JobState job, AllocatedTasks other) {
    JobSpec spec = job.record().spec();
    JobSpec lent = other.spec();
    if (!guaranteed(job.id()) || guaranteed(other.job()) || lent.team().equals(spec.team())) {
      return false;
    }
    Team team = teams.get(lent.team());
    Sum sum = used(lent.team());
    return team != null
        && ((spec.gpus() > 0 && lent.gpus() > 0 && sum.gpus > team.gpus() + EPS)
            || (spec.gpus() <= 0 && lent.cpus() > 0 && sum.cpus > team.cpus() + EPS));
  }
}
