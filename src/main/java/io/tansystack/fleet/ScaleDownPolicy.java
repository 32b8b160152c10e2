package io.tansystack.fleet;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.schedule.Consolidation;
import io.tansystack.schedule.Plan;
import io.tansystack.schedule.Snapshot;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings.Objective;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Decides how long idle machines are kept, and which machines are drained because their replicas
 * fit on other machines.
 */
final class ScaleDownPolicy {
  /** No machine is drained for consolidation this soon after the role was taken or reset. */
  private static final Duration STABILIZATION_DELAY = Duration.ofSeconds(15);

  /** Idle machines are kept at most this many times longer than the operator's setting. */
  private static final double MAX_KEEP_FACTOR = 12;

  /** After a steady arrival of jobs has stopped, idle machines are kept this many times shorter. */
  private static final double ARRIVALS_STOPPED_DIVISOR = 4;

  /** Job classes whose latest job is older than this don't prolong how long machines are kept. */
  private static final Duration RECENT_ARRIVAL = Duration.ofSeconds(120);

  /** Stands for no limit on the age of the latest job. */
  private static final Duration ANY_ARRIVAL = Duration.ofDays(10_000);

  /** One machine in this many, at least one, may be drained by one consolidation run. */
  private static final int MACHINES_PER_DRAIN = 50;

  /** If more than one machine in this many is overdue, the cloud may be slow as a whole. */
  private static final int MACHINES_PER_OVERDUE = 100;

  /** The latest job of a class, and when this controller first saw it. */
  private record LatestJob(JobSpec spec, long submittedMs, Duration seenAt) {}

  private final ClusterState clusterState;
  private final Function<String, MachineType> machineTypes;
  private final PlatformSettings settings;
  private final OperatorSettings operator;
  private final MachineReleaser releaser;
  private final Map<String, LatestJob> latestJobs = new HashMap<>();
  private final JobArrivals jobArrivals = new JobArrivals();
  private final Map<String, Duration> idleSince = new HashMap<>();
  private Duration roleSince = Duration.ZERO;

  /** The next consolidation is due the operator's delay after this moment. */
  private Duration consolidationDelayedFrom = Duration.ZERO;

  ScaleDownPolicy(
      ClusterState clusterState,
      Function<String, MachineType> machineTypes,
      PlatformSettings settings,
      OperatorSettings operator,
      MachineReleaser releaser) {
    this.clusterState = clusterState;
    this.machineTypes = machineTypes;
    this.settings = settings;
    this.operator = operator;
    this.releaser = releaser;
  }

  /** Restarts all idle times and the observation of arrivals. */
  void reset(Duration now) {
    roleSince = now;
    jobArrivals.reset(now);
    idleSince.clear();
  }

  /**
   * Records the latest job of each class. Machines are kept idle for classes that still get jobs,
   * not for classes whose last job came an hour ago.
   */
  void recordArrivals(Duration now) {
    jobArrivals.update(clusterState.jobs(), now);
    for (Job job : clusterState.jobs().values()) {
      JobSpec spec = job.record().spec();
      long submittedMs = job.record().submittedMs();
      LatestJob known = latestJobs.get(spec.jobClass());
      if (known == null || submittedMs > known.submittedMs) {
        latestJobs.put(spec.jobClass(), new LatestJob(spec, submittedMs, now));
      }
    }
  }

  /** Drains machines that have been idle for long, and returns drained machines once empty. */
  void evaluate(Duration now) {
    Map<String, List<MachineRecord>> idle = new HashMap<>();
    for (MachineRecord record : clusterState.machines().values()) {
      String name = record.name();
      if (!clusterState.placedOn(name).isEmpty()) {
        if (idleSince.remove(name) != null) {
          releaser.cancelDrain(name);
        }
      } else if (record.drain()) {
        releaser.markForDeletion(name, "drained");
      } else {
        idleSince.putIfAbsent(name, now);
        idle.computeIfAbsent(record.type(), k -> new ArrayList<>()).add(record);
      }
    }
    idleSince.keySet().retainAll(clusterState.machines().keySet());
    idle.forEach((type, machines) -> drainIdle(machineTypes.apply(type), machines, now));
  }

  /**
   * Drains idle machines of one type. As many as the jobs that arrive during one boot time can use
   * are kept longer. The others are drained sooner: the expensive (non-spot) ones first, and among
   * equals the one that has been idle longest.
   */
  private void drainIdle(MachineType type, List<MachineRecord> machines, Duration now) {
    double factor = keepFactor(type, RECENT_ARRIVAL, now);
    double needed =
        type == null
            ? 0
            : jobArrivals.machinesNeededPerBoot(
                type, spec -> mustStartBeforeBoot(type, spec), now);
    if (jobArrivals.haveStopped(now)) {
      factor = 1.0 / ARRIVALS_STOPPED_DIVISOR;
    }
    machines.sort(
        Comparator.comparing((MachineRecord m) -> !m.spot())
            .thenComparing(m -> idleSince.get(m.name()), Comparator.reverseOrder()));
    for (int i = 0; i < machines.size(); i++) {
      Duration keepFor =
          Duration.ofMillis(
              (long)
                  (operator.idleReturnDelay().toMillis()
                      * (i < needed ? factor : Math.min(1, factor))));
      if (now.minus(idleSince.get(machines.get(i).name())).compareTo(keepFor) > 0) {
        releaser.drain(machines.get(i), "idle");
      }
    }
  }

  /**
   * How many times longer an idle machine is kept than the operator's setting, because the
   * objectives ask for starts sooner than a new machine can boot: up to {@link #MAX_KEEP_FACTOR}.
   *
   * @param maxAge job classes whose latest job is older than this don't count
   */
  private double keepFactor(MachineType type, Duration maxAge, Duration now) {
    if (type == null) {
      return 1;
    }
    double factor = 1;
    for (Objective objective : settings.objectives()) {
      LatestJob latest = objective.jobClass() == null ? null : latestJobs.get(objective.jobClass());
      if (!objective.kind().equals("wait")
          || latest == null
          || now.minus(latest.seenAt).compareTo(maxAge) > 0) {
        continue;
      }
      if (suits(type, latest.spec)) {
        double withinS = Math.max(0.1, objective.within().toNanos() / 1e9);
        factor = Math.max(factor, Math.min(MAX_KEEP_FACTOR, type.bootS() / withinS));
      }
    }
    return factor;
  }

  /** Whether an objective asks for jobs like this one to start sooner than the type boots. */
  private boolean mustStartBeforeBoot(MachineType type, JobSpec spec) {
    return suits(type, spec)
        && settings.objectives().stream()
            .anyMatch(
                objective ->
                    objective.kind().equals("wait")
                        && spec.jobClass().equals(objective.jobClass())
                        && objective.within().toMillis() < type.bootS() * 1000);
  }

  /** Whether machines of the type may run the job; GPU machines only suit jobs that need GPUs. */
  private static boolean suits(MachineType type, JobSpec spec) {
    return spec.allowsType(type.name())
        && type.fits(spec)
        && (type.gpus() <= 0 || spec.gpus() > 0);
  }

  /**
   * Drains machines whose replicas fit elsewhere, a few at a time. None is drained while there is
   * unmet demand, nor if jobs must start much sooner than a machine of the type boots: all machines
   * of such a type are kept as spare capacity.
   *
   * @param overdue number of booting machines that are overdue. While it is more than a small part
   *     of the fleet, rented machines may take long to arrive, so no running machine is drained
   */
  void consolidate(Duration now, Snapshot snapshot, Plan plan, int overdue) {
    int machines = clusterState.machines().size();
    boolean busy =
        overdue > machines / MACHINES_PER_OVERDUE
            || plan.unmet().stream().anyMatch(u -> u.spec().priority() != Priority.LOW);
    if (busy || now.minus(roleSince).compareTo(STABILIZATION_DELAY) < 0) {
      consolidationDelayedFrom = now;
      return;
    }
    if (now.minus(consolidationDelayedFrom).compareTo(operator.consolidateAfter()) < 0) {
      return;
    }
    // The search examines all machines, so the next one is delayed whatever this one finds.
    consolidationDelayedFrom = now;
    List<String> names =
        Consolidation.selectMachinesToDrain(
            snapshot,
            // Machines that are kept idle for arriving jobs anyway are not worth moving replicas.
            machine -> keepFactor(machine.type(), ANY_ARRIVAL, now) < MAX_KEEP_FACTOR,
            operator.spareReplicas(),
            Math.max(1, machines / MACHINES_PER_DRAIN));
    for (String name : names) {
      MachineRecord record = clusterState.machine(name);
      if (record != null && !record.drain()) {
        releaser.drain(record, "its replicas fit elsewhere");
      }
    }
  }
}
