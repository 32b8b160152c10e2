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
 * How long machines are kept that nothing runs on, and which are emptied because their replicas fit
 * elsewhere.
 */
final class ScaleDownPolicy {
  private static final Duration SETTLE = Duration.ofSeconds(15);
  private static final double MAX_KEEP = 12;

  /** Where jobs came all the time and come no more, idle machines go so many times sooner. */
  private static final double NOTHING_COMES = 4;

  private static final Duration EXPECTED = Duration.ofSeconds(120);
  private static final Duration FOREVER = Duration.ofDays(10_000);

  /** One machine in so many may be emptied at a time. */
  private static final int AT_A_TIME = 50;

  /** One machine in so many may be overdue before that says something of the cloud. */
  private static final int FEW_OVERDUE = 100;

  /** The latest job of a class, and when it was first seen here. */
  private record Arrival(JobSpec spec, long submittedMs, Duration at) {}

  private final ClusterState world;
  private final Function<String, MachineType> types;
  private final PlatformSettings settings;
  private final OperatorSettings operator;
  private final MachineReleaser returns;
  private final Map<String, Arrival> arrivals = new HashMap<>();
  private final JobArrivals starts = new JobArrivals();
  private final Map<String, Duration> idleSince = new HashMap<>();
  private Duration heldSince = Duration.ZERO;
  private Duration lastBusy = Duration.ZERO;

  ScaleDownPolicy(
      ClusterState world,
      Function<String, MachineType> types,
      PlatformSettings settings,
      OperatorSettings operator,
      MachineReleaser returns) {
    this.world = world;
    this.types = types;
    this.settings = settings;
    this.operator = operator;
    this.returns = returns;
  }

  void startAnew(Duration now) {
    heldSince = now;
    starts.startAnew(now);
    idleSince.clear();
  }

  /** Machines are kept warm for classes of which jobs still come, not for those of an hour ago. */
  void noteArrivals(Duration now) {
    starts.look(world.jobs(), now);
    for (Job job : world.jobs().values()) {
      JobSpec spec = job.record().spec();
      long at = job.record().submittedMs();
      Arrival known = arrivals.get(spec.jobClass());
      if (known == null || at > known.submittedMs) {
        arrivals.put(spec.jobClass(), new Arrival(spec, at, now));
      }
    }
  }

  /** Has machines emptied that were idle for long, and returned those that are empty. */
  void judge(Duration now) {
    Map<String, List<MachineRecord>> idle = new HashMap<>();
    for (MachineRecord record : world.machines().values()) {
      String name = record.name();
      if (!world.placedOn(name).isEmpty()) {
        if (idleSince.remove(name) != null) {
          returns.keep(name);
        }
      } else if (record.drain()) {
        returns.mark(name, "drained");
      } else {
        idleSince.putIfAbsent(name, now);
        idle.computeIfAbsent(record.type(), k -> new ArrayList<>()).add(record);
      }
    }
    idleSince.keySet().retainAll(world.machines().keySet());
    idle.forEach((type, machines) -> judgeIdle(types.apply(type), machines, now));
  }

  /**
   * Of the idle machines of a type so many are kept for long as what comes while another one boots could
   * take; those beyond that go sooner, the dear ones first, and of equal ones who was idle longest.
   */
  private void judgeIdle(MachineType type, List<MachineRecord> machines, Duration now) {
    double factor = keepFactor(type, EXPECTED, now);
    double warm = type == null ? 0 : starts.machinesWhile(type, spec -> awaited(type, spec), now);
    if (starts.haveEnded(now)) {
      factor = 1.0 / NOTHING_COMES;
    }
    machines.sort(
        Comparator.comparing((MachineRecord m) -> !m.spot())
            .thenComparing(m -> idleSince.get(m.name()), Comparator.reverseOrder()));
    for (int i = 0; i < machines.size(); i++) {
      Duration keep =
          Duration.ofMillis(
              (long) (operator.idleReturn().toMillis() * (i < warm ? factor : Math.min(1, factor))));
      if (now.minus(idleSince.get(machines.get(i).name())).compareTo(keep) > 0) {
        returns.drain(machines.get(i), "idle");
      }
    }
  }

  /**
   * How many times longer an idle machine is kept where starts are expected sooner than a new machine
   * could be up: up to twelve times.
   */
  private double keepFactor(MachineType type, Duration lately, Duration now) {
    if (type == null) {
      return 1;
    }
    double factor = 1;
    for (Objective aim : settings.objectives()) {
      Arrival latest = aim.jobClass() == null ? null : arrivals.get(aim.jobClass());
      if (!aim.kind().equals("wait")
          || latest == null
          || now.minus(latest.at).compareTo(lately) > 0) {
        continue;
      }
      if (uses(type, latest.spec)) {
        double within = Math.max(0.1, aim.within().toNanos() / 1e9);
        factor = Math.max(factor, Math.min(MAX_KEEP, type.bootS() / within));
      }
    }
    return factor;
  }

  /** Whether jobs like this one are to start sooner than a machine of the type boots. */
  private boolean awaited(MachineType type, JobSpec spec) {
    return uses(type, spec)
        && settings.objectives().stream()
            .anyMatch(
                aim ->
                    aim.kind().equals("wait")
                        && spec.jobClass().equals(aim.jobClass())
                        && aim.within().toMillis() < type.bootS() * 1000);
  }

  private static boolean uses(MachineType type, JobSpec spec) {
    return spec.allowsType(type.name())
        && type.fits(spec)
        && (type.gpus() <= 0 || spec.gpus() > 0);
  }

  /**
   * Empties machines whose replicas fit elsewhere, a few at a time. Not while work lacks room, and not
   * where starts are due sooner than a machine boots by far: there every machine is wanted warm.
   *
   * @param overdue so many machines are waited for in vain. What is rented may not come for long:
   *     while they are more than a few, nothing that runs is given back
   */
  void consolidate(Duration now, Snapshot snapshot, Plan plan, int overdue) {
    int machines = world.machines().size();
    boolean busy =
        overdue > machines / FEW_OVERDUE
            || plan.unmet().stream().anyMatch(u -> u.spec().priority() != Priority.LOW);
    if (busy || now.minus(heldSince).compareTo(SETTLE) < 0) {
      lastBusy = now;
      return;
    }
    if (now.minus(lastBusy).compareTo(operator.consolidateAfter()) < 0) {
      return;
    }
    lastBusy = now; // Whatever comes of it, the next look is a while later: it goes through everything.
    List<String> names =
        Consolidation.selectMachinesToDrain(
            snapshot,
            // Machines that are wanted warm when jobs come are not worth moving replicas about.
            machine -> keepFactor(machine.type(), FOREVER, now) < MAX_KEEP,
            operator.spareReplicas(),
            Math.max(1, machines / AT_A_TIME));
    for (String name : names) {
      MachineRecord record = world.machine(name);
      if (record != null && !record.drain()) {
        returns.drain(record, "its replicas fit elsewhere");
      }
    }
  }
}
