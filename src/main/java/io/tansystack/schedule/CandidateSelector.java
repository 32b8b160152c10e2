package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Finds the machines that are candidates for a job's tasks within one pass, ordered by predicted
 * completion time.
 */
final class CandidateSelector {
  /**
   * Predictions that differ by less than this fraction of the run time count as nearly equal:
   * machines of one type differ by as much, and users' estimates are off by more.
   */
  private static final double NEARLY_EQUAL_FRACTION = 0.1;

  /**
   * Values of {@link ScoredCandidate#tier}: the task leaves the machine's accelerators usable, or
   * it strands some by taking CPUs or memory that a task needing them would need too.
   */
  private static final int GPUS_USABLE = 0;

  private static final int GPUS_STRANDED = 1;

  /**
   * Values of {@link ScoredCandidate#fragmentation}: whole machines that the tasks fill, machines
   * that are already partly used, and whole machines that a task would fragment.
   */
  private static final int WHOLE_FILLED = 0;

  private static final int PARTLY_USED = 1;
  private static final int WHOLE_FRAGMENTED = 2;

  /**
   * One whole machine, and one more for each group of this many machines in the cluster, is left
   * for larger tasks as long as other machines will do.
   */
  private static final int MACHINES_PER_SPARE_WHOLE = 50;

  /** All that affects the choice of a machine for a job whose run time estimate is 0. */
  private record RankingKey(ResourceRequest request, String image, double imageGb) {}

  private final ClusterCapacity clusterCapacity;
  private final CapacityIndex index;
  private final AcceleratorReservation reservation;
  private final Map<RankingKey, CandidateRanking> rankings = new HashMap<>();

  /**
   * Requests for which no machine was left, since all that fit are reserved for other jobs, with
   * the number of changes that the pass had made by then. Until the pass makes another change, no
   * job with the same request finds a machine.
   */
  private final Map<ResourceRequest, Integer> changesAtExhaustion = new HashMap<>();

  CandidateSelector(
      ClusterCapacity clusterCapacity, CapacityIndex index, AcceleratorReservation reservation) {
    this.clusterCapacity = clusterCapacity;
    this.index = index;
    this.reservation = reservation;
  }

  /**
   * All machines that fit a task, best first. For tasks that need no accelerators, machines with
   * accelerators come after the others, unless the task leaves the accelerators usable: otherwise
   * small tasks would keep gangs from the only machines that fit them. Equal predictions are
   * decided in favour of fuller machines. Where larger tasks need whole machines, nearly equal
   * predictions are decided in favour of machines that don't have to be fragmented.
   */
  List<MachineCapacity> all(JobState job) {
    List<ScoredCandidate> candidates = scoreAll(job, 0);
    candidates.sort(null);
    return machines(candidates);
  }

  /**
   * The best machines for a number of tasks: as many as a placement round can use, and one more.
   *
   * @param maxPlacements how many more placements the job's record can hold; where the first
   *     machines would not take all tasks, those that fit the most come first among equal
   *     predictions
   * @param maxMachines how many machines a round of the job can use
   */
  List<MachineCapacity> best(JobState job, int tasks, int maxPlacements, int maxMachines) {
    if (isExhausted(job)) {
      return List.of();
    }
    if (tasks <= maxPlacements && reservation.largerRequests(job.record().spec()).isEmpty()) {
      List<ScoredCandidate> top = topCandidates(job, maxMachines + 1);
      recordIfExhausted(job, top.isEmpty());
      return machines(top);
    }
    List<ScoredCandidate> candidates = scoreAll(job, tasks);
    Comparator<ScoredCandidate> order = Comparator.naturalOrder();
    if (tasks > maxPlacements
        && candidates.size() > maxPlacements
        && totalFits(job, top(candidates, maxPlacements, order)) < tasks) {
      order = ScoredCandidate.mostTasksFirst(ResourceRequest.of(job.record().spec()));
    }
    return machines(top(candidates, maxMachines + 1, order));
  }

  private boolean isExhausted(JobState job) {
    Integer changes = changesAtExhaustion.get(ResourceRequest.of(job.record().spec()));
    return changes != null && changes == clusterCapacity.changes().size();
  }

  private void recordIfExhausted(JobState job, boolean noneFound) {
    if (noneFound && job.excludedMachines().isEmpty()) {
      changesAtExhaustion.put(
          ResourceRequest.of(job.record().spec()), clusterCapacity.changes().size());
    }
  }

  /** The best candidates, in order, without collecting the worse ones, which most machines are. */
  private List<ScoredCandidate> topCandidates(JobState job, int count) {
    JobSpec spec = job.record().spec();
    PriorityQueue<ScoredCandidate> top = new PriorityQueue<>(count, Comparator.reverseOrder());
    for (MachineCapacity machine : index.fitting(ResourceRequest.of(spec))) {
      ScoredCandidate worst = top.size() < count ? null : top.peek();
      if (worst != null
          && worst.tier() == GPUS_USABLE
          && machine.predictedCompletionS(spec) > worst.completionStep()) {
        continue;
      }
      ScoredCandidate candidate = score(spec, machine);
      boolean better = worst == null || candidate.compareTo(worst) < 0;
      if (better && isEligible(job, candidate)) {
        if (worst != null) {
          top.poll();
        }
        top.add(candidate);
      }
    }
    List<ScoredCandidate> result = new ArrayList<>(top);
    result.sort(null);
    return result;
  }

  /**
   * Whether the job may use the machine, apart from its free capacity: it is not excluded after an
   * earlier failure, and not reserved for other jobs whose accelerators the task would strand.
   */
  private boolean isEligible(JobState job, ScoredCandidate candidate) {
    return !job.excludedMachines().contains(candidate.machine().state.name())
        && (candidate.tier() == GPUS_USABLE || !reservation.reservedForOthers(candidate.machine()));
  }

  /**
   * The best machines of each zone, at most as many as there are tasks; the zone with the best
   * machine comes first.
   */
  Map<String, List<MachineCapacity>> bestByZone(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    if (isExhausted(job)) {
      return Map.of();
    }
    if (spec.estimateS() <= 0 && reservation.largerRequests(spec).isEmpty()) {
      Map<String, List<MachineCapacity>> ranked = rankedByZone(job, tasks);
      if (ranked != null) {
        recordIfExhausted(job, ranked.isEmpty());
        return ranked;
      }
    }
    Comparator<ScoredCandidate> order = Comparator.naturalOrder();
    List<List<ScoredCandidate>> zones =
        new ArrayList<>(byZone(scoreAll(job, tasks), tasks, order).values());
    recordIfExhausted(job, zones.isEmpty());
    zones.sort((one, other) -> order.compare(one.get(0), other.get(0)));
    Map<String, List<MachineCapacity>> result = new LinkedHashMap<>();
    for (List<ScoredCandidate> zone : zones) {
      result.put(zone.get(0).machine().state.zone(), machines(zone));
    }
    return result;
  }

  /**
   * Does the same as {@link #bestByZone} with a ranking shared by all jobs with the same key; null
   * if it ranks too few machines.
   */
  private Map<String, List<MachineCapacity>> rankedByZone(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    RankingKey key = new RankingKey(ResourceRequest.of(spec), spec.image(), spec.imageGb());
    Predicate<ScoredCandidate> eligible = candidate -> isEligible(job, candidate);
    CandidateRanking cached = rankings.get(key);
    Map<String, List<MachineCapacity>> best = cached == null ? null : cached.best(tasks, eligible);
    if (best == null && (cached == null || cached.hasChanged())) {
      CandidateRanking rebuilt = ranking(spec, key.request);
      rankings.put(key, rebuilt);
      best = rebuilt.best(tasks, eligible);
    }
    return best;
  }

  private CandidateRanking ranking(JobSpec spec, ResourceRequest request) {
    Predicate<MachineCapacity> allowed = index.allowed(request);
    return new CandidateRanking(
        index.fitting(request),
        clusterCapacity.changes(),
        machine -> allowed.test(machine) && machine.fitsOne(request) ? score(spec, machine) : null);
  }

  private ScoredCandidate score(JobSpec spec, MachineCapacity machine) {
    double completionS = machine.predictedCompletionS(spec);
    int tier = reservation.strandsAccelerators(spec, machine) ? GPUS_STRANDED : GPUS_USABLE;
    return new ScoredCandidate(
        machine, tier, completionS, 0, 0, machine.freeCpus - spec.cpus(), completionS);
  }

  /**
   * The groups of machines from which a gang of this many tasks may choose: one group for each zone
   * if one zone has to take all tasks, otherwise a single group of all zones. Best machines first.
   */
  List<List<MachineCapacity>> forGang(JobState job, int tasks) {
    return gangGroups(job, tasks, Comparator.naturalOrder());
  }

  /** Does the same as {@link #forGang}, but machines that fit the most tasks come first. */
  List<List<MachineCapacity>> largestFirstForGang(JobState job, int maxInZone) {
    ResourceRequest request = ResourceRequest.of(job.record().spec());
    Comparator<ScoredCandidate> mostTasksFirst =
        Comparator.comparingInt(s -> -s.machine().fits(request));
    return gangGroups(job, maxInZone, mostTasksFirst.thenComparing(Comparator.naturalOrder()));
  }

  private List<List<MachineCapacity>> gangGroups(
      JobState job, int maxInZone, Comparator<ScoredCandidate> order) {
    Map<String, List<ScoredCandidate>> zones = byZone(scoreAll(job, 0), maxInZone, order);
    if (job.record().spec().sameZone()) {
      return zones.values().stream().map(CandidateSelector::machines).toList();
    }
    List<ScoredCandidate> all = new ArrayList<>();
    zones.values().forEach(all::addAll);
    all.sort(order);
    return all.isEmpty() ? List.of() : List.of(machines(all));
  }

  /** The best candidates of each zone, in the order of the zones' names. */
  private static Map<String, List<ScoredCandidate>> byZone(
      List<ScoredCandidate> candidates, int maxInZone, Comparator<ScoredCandidate> order) {
    Map<String, List<ScoredCandidate>> zones = new TreeMap<>();
    for (ScoredCandidate s : candidates) {
      zones.computeIfAbsent(s.machine().state.zone(), k -> new ArrayList<>()).add(s);
    }
    zones.replaceAll((zone, list) -> top(list, maxInZone, order));
    return zones;
  }

  private static List<MachineCapacity> machines(List<ScoredCandidate> candidates) {
    List<MachineCapacity> machines = new ArrayList<>(candidates.size());
    candidates.forEach(s -> machines.add(s.machine()));
    return machines;
  }

  /** The first {@code count} candidates in the given order, without sorting all of them. */
  static List<ScoredCandidate> top(
      List<ScoredCandidate> candidates, int count, Comparator<ScoredCandidate> order) {
    if (candidates.size() <= count) {
      List<ScoredCandidate> all = new ArrayList<>(candidates);
      all.sort(order);
      return all;
    }
    if (count <= 0) {
      return List.of();
    }
    PriorityQueue<ScoredCandidate> top = new PriorityQueue<>(count, order.reversed());
    for (ScoredCandidate s : candidates) {
      if (top.size() < count) {
        top.add(s);
      } else if (order.compare(s, top.peek()) < 0) {
        top.poll();
        top.add(s);
      }
    }
    List<ScoredCandidate> result = new ArrayList<>(top);
    result.sort(order);
    return result;
  }

  /** Scores all eligible machines that fit a task, in no particular order. */
  private List<ScoredCandidate> scoreAll(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    List<JobSpec> larger = reservation.largerRequests(spec);
    List<ScoredCandidate> candidates = new ArrayList<>();
    for (MachineCapacity machine : index.fitting(ResourceRequest.of(spec))) {
      ScoredCandidate candidate = score(spec, machine);
      if (isEligible(job, candidate)) {
        candidates.add(candidate);
      }
    }
    if (!larger.isEmpty()) {
      avoidFragmentation(candidates, spec, larger, tasks, clusterCapacity.size());
    }
    return candidates;
  }

  /** How many of the job's tasks fit on the candidates together. */
  private static int totalFits(JobState job, List<ScoredCandidate> candidates) {
    ResourceRequest request = ResourceRequest.of(job.record().spec());
    int total = 0;
    for (ScoredCandidate s : candidates) {
      total += s.machine().fits(request);
    }
    return total;
  }

  /**
   * Scores the candidates again so that whole machines remain for larger tasks. Of candidates with
   * nearly equal predictions, as many whole machines as the tasks fill come first: tasks that
   * arrive together end together and leave these machines whole again. The other tasks go to
   * machines that are partly used, and the whole machines that they would fragment come last.
   * Within each of these three groups, cheap machines come before expensive ones, then fuller ones
   * before emptier ones. Some whole machines are left for the larger tasks that arrive next.
   */
  private static void avoidFragmentation(
      List<ScoredCandidate> candidates,
      JobSpec spec,
      List<JobSpec> larger,
      int tasks,
      int clusterSize) {
    double nearlyEqualS = Math.max(0.5, spec.estimateS() * NEARLY_EQUAL_FRACTION);
    double bestS = candidates.stream().mapToDouble(ScoredCandidate::completionS).min().orElse(0);
    candidates.replaceAll(
        s ->
            new ScoredCandidate(
                s.machine(),
                s.tier(),
                Math.floor((s.completionS() - bestS) / nearlyEqualS),
                fragments(spec, s.machine(), larger) ? WHOLE_FRAGMENTED : PARTLY_USED,
                price(s.machine().state),
                s.machine().freeGpus - spec.gpus(),
                s.completionS()));
    candidates.sort(null);
    int spareWhole = 0;
    for (ScoredCandidate s : candidates) {
      spareWhole += s.fragmentation() == WHOLE_FRAGMENTED ? 1 : 0;
    }
    spareWhole -= 1 + clusterSize / MACHINES_PER_SPARE_WHOLE;
    int remaining = tasks;
    for (int i = 0; i < candidates.size(); i++) {
      ScoredCandidate s = candidates.get(i);
      int fits =
          s.fragmentation() == WHOLE_FRAGMENTED && spareWhole > 0 ? s.machine().fits(spec) : 0;
      if (fits > 0 && remaining >= fits) {
        remaining -= fits;
        spareWhole--;
        candidates.set(
            i,
            new ScoredCandidate(
                s.machine(),
                s.tier(),
                s.completionStep(),
                WHOLE_FILLED,
                s.price(),
                s.slack(),
                s.completionS()));
      }
    }
  }

  private static double price(MachineState machine) {
    return machine.spot() ? machine.type().spotPrice() : machine.type().price();
  }

  /** Whether the machine would fit fewer of some larger task after taking this one. */
  private static boolean fragments(JobSpec spec, MachineCapacity machine, List<JobSpec> larger) {
    for (JobSpec largerSpec : larger) {
      if (largerSpec.allowsType(machine.state.type().name())
          && machine.fits(largerSpec)
              > MachineCapacity.countFitting(
                  largerSpec,
                  machine.freeCpus - spec.cpus(),
                  machine.freeGpus - spec.gpus(),
                  machine.freeMemGb - spec.memGb())) {
        return true;
      }
    }
    return false;
  }
}
