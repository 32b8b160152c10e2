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

/** The machines that come into question for a job, in the order of predicted delivery, within one pass. */
final class CandidateSelector {
  /**
   * Predictions that differ by less than this part of the run time are nearly equal: machines of a type
   * differ by as much, and owners' estimates by more.
   */
  private static final double NEAR = 0.1;

  /** Whether a task takes the place of one that needs the machine's accelerators. */
  private static final int USABLE = 0;

  private static final int SPOILED = 1;

  /** Whole machines that the tasks fill, machines that are begun, and other whole ones. */
  private static final int FILLED = 0;

  private static final int BEGUN = 1;
  private static final int WHOLE = 2;

  /** One machine in so many is left whole for larger tasks, while others will do. */
  private static final int LEFT_WHOLE = 50;

  /** All that decides between rooms for a job whose run time does not count. */
  private record Question(ResourceRequest ask, String image, double imageGb) {}

  private final ClusterCapacity rooms;
  private final CapacityIndex index;
  private final AcceleratorReservation keep;
  private final Map<Question, CandidateRanking> rankings = new HashMap<>();

  /**
   * Asks for which no room was left, since all that fit are kept for others, with the number of changes
   * that the pass had made by then: until it makes another one, nobody who asks the same finds any.
   */
  private final Map<ResourceRequest, Integer> nothingLeft = new HashMap<>();

  CandidateSelector(ClusterCapacity rooms, CapacityIndex index, AcceleratorReservation keep) {
    this.rooms = rooms;
    this.index = index;
    this.keep = keep;
  }

  /**
   * Fitting machines, best first. Machines with accelerators come after the others for tasks that
   * need none, unless what they take leaves the accelerators usable: otherwise the cheap tasks would
   * keep gangs from their only machines. Equal predictions are decided towards fuller machines; nearly
   * equal ones by what they leave whole, where larger tasks need whole machines.
   */
  List<MachineCapacity> all(JobState job) {
    List<ScoredCandidate> scored = scored(job, 0);
    scored.sort(null);
    return rooms(scored);
  }

  /**
   * The best machines for so many tasks: as many as a round can name, and one more.
   *
   * @param most a record can hold so many placements only: where the first machines would not take all
   *     tasks, the roomiest among equals come first
   * @param named a round can name so many machines
   */
  List<MachineCapacity> best(JobState job, int tasks, int most, int named) {
    if (nothingIsLeft(job)) {
      return List.of();
    }
    if (tasks <= most && keep.larger(job.record().spec()).isEmpty()) {
      List<ScoredCandidate> least = leastOfAll(job, named + 1);
      remember(job, least.isEmpty());
      return rooms(least);
    }
    List<ScoredCandidate> scored = scored(job, tasks);
    Comparator<ScoredCandidate> order = Comparator.naturalOrder();
    if (tasks > most && scored.size() > most && placesIn(job, least(scored, most, order)) < tasks) {
      order = ScoredCandidate.roomiestFirst(ResourceRequest.of(job.record().spec()));
    }
    return rooms(least(scored, named + 1, order));
  }

  private boolean nothingIsLeft(JobState job) {
    Integer changes = nothingLeft.get(ResourceRequest.of(job.record().spec()));
    return changes != null && changes == rooms.changes().size();
  }

  private void remember(JobState job, boolean nothing) {
    if (nothing && job.avoid().isEmpty()) {
      nothingLeft.put(ResourceRequest.of(job.record().spec()), rooms.changes().size());
    }
  }

  /** The least ones of all, without keeping what is worse: most rooms are. */
  private List<ScoredCandidate> leastOfAll(JobState job, int most) {
    JobSpec spec = job.record().spec();
    PriorityQueue<ScoredCandidate> least = new PriorityQueue<>(most, Comparator.reverseOrder());
    for (MachineCapacity room : index.fitting(ResourceRequest.of(spec))) {
      ScoredCandidate worst = least.size() < most ? null : least.peek();
      if (worst != null && worst.tier() == USABLE && room.delivery(spec) > worst.step()) {
        continue;
      }
      ScoredCandidate judged = judge(spec, room);
      boolean better = worst == null || judged.compareTo(worst) < 0;
      if (better && mayTake(job, judged)) {
        if (worst != null) {
          least.poll();
        }
        least.add(judged);
      }
    }
    List<ScoredCandidate> result = new ArrayList<>(least);
    result.sort(null);
    return result;
  }

  /** Whether nothing but room speaks against it: neither an earlier failure nor what is kept for others. */
  private boolean mayTake(JobState job, ScoredCandidate judged) {
    return !job.avoid().contains(judged.room().machine.name())
        && (judged.tier() == USABLE || !keep.keptForOthers(judged.room()));
  }

  /** The best machines of each zone, as many as there are tasks; the zone with the best one first. */
  Map<String, List<MachineCapacity>> bestByZone(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    if (nothingIsLeft(job)) {
      return Map.of();
    }
    if (spec.estimateS() <= 0 && keep.larger(spec).isEmpty()) {
      Map<String, List<MachineCapacity>> ranked = ranked(job, tasks);
      if (ranked != null) {
        remember(job, ranked.isEmpty());
        return ranked;
      }
    }
    Comparator<ScoredCandidate> order = Comparator.naturalOrder();
    List<List<ScoredCandidate>> zones =
        new ArrayList<>(byZone(scored(job, tasks), tasks, order).values());
    remember(job, zones.isEmpty());
    zones.sort((one, other) -> order.compare(one.get(0), other.get(0)));
    Map<String, List<MachineCapacity>> result = new LinkedHashMap<>();
    for (List<ScoredCandidate> zone : zones) {
      result.put(zone.get(0).room().machine.zone(), rooms(zone));
    }
    return result;
  }

  /** The same from a ranking that serves all jobs that are alike; null if it ranks too few rooms. */
  private Map<String, List<MachineCapacity>> ranked(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    Question question = new Question(ResourceRequest.of(spec), spec.image(), spec.imageGb());
    Predicate<ScoredCandidate> test = judged -> mayTake(job, judged);
    CandidateRanking known = rankings.get(question);
    Map<String, List<MachineCapacity>> best = known == null ? null : known.best(tasks, test);
    if (best == null && (known == null || known.hasChanged())) {
      CandidateRanking made = ranking(spec, question.ask);
      rankings.put(question, made);
      best = made.best(tasks, test);
    }
    return best;
  }

  private CandidateRanking ranking(JobSpec spec, ResourceRequest ask) {
    Predicate<MachineCapacity> allowed = index.allowed(ask);
    return new CandidateRanking(
        index.fitting(ask),
        rooms.changes(),
        room -> allowed.test(room) && room.fitsOne(ask) ? judge(spec, room) : null);
  }

  private ScoredCandidate judge(JobSpec spec, MachineCapacity room) {
    double delivery = room.delivery(spec);
    int tier = keep.spoils(spec, room) ? SPOILED : USABLE;
    return new ScoredCandidate(room, tier, delivery, 0, 0, room.cpus - spec.cpus(), delivery);
  }

  /**
   * Groups of machines that a gang of so many tasks may choose from: those of each zone where one has to
   * take all, otherwise one of all zones. Best first.
   */
  List<List<MachineCapacity>> forGang(JobState job, int tasks) {
    return groups(job, tasks, Comparator.naturalOrder());
  }

  /** The same, with those first that take the most tasks. */
  List<List<MachineCapacity>> roomiestForGang(JobState job, int machines) {
    ResourceRequest ask = ResourceRequest.of(job.record().spec());
    Comparator<ScoredCandidate> roomiest = Comparator.comparingInt(s -> -s.room().fits(ask));
    return groups(job, machines, roomiest.thenComparing(Comparator.naturalOrder()));
  }

  private List<List<MachineCapacity>> groups(
      JobState job, int mostInZone, Comparator<ScoredCandidate> order) {
    Map<String, List<ScoredCandidate>> zones = byZone(scored(job, 0), mostInZone, order);
    if (job.record().spec().sameZone()) {
      return zones.values().stream().map(CandidateSelector::rooms).toList();
    }
    List<ScoredCandidate> all = new ArrayList<>();
    zones.values().forEach(all::addAll);
    all.sort(order);
    return all.isEmpty() ? List.of() : List.of(rooms(all));
  }

  /** The best of each zone, in the order of the zones' names. */
  private static Map<String, List<ScoredCandidate>> byZone(
      List<ScoredCandidate> scored, int most, Comparator<ScoredCandidate> order) {
    Map<String, List<ScoredCandidate>> zones = new TreeMap<>();
    for (ScoredCandidate s : scored) {
      zones.computeIfAbsent(s.room().machine.zone(), k -> new ArrayList<>()).add(s);
    }
    zones.replaceAll((zone, list) -> least(list, most, order));
    return zones;
  }

  private static List<MachineCapacity> rooms(List<ScoredCandidate> scored) {
    List<MachineCapacity> rooms = new ArrayList<>(scored.size());
    scored.forEach(s -> rooms.add(s.room()));
    return rooms;
  }

  /** The least ones, in order, without sorting all. */
  static List<ScoredCandidate> least(
      List<ScoredCandidate> scored, int most, Comparator<ScoredCandidate> order) {
    if (scored.size() <= most) {
      List<ScoredCandidate> all = new ArrayList<>(scored);
      all.sort(order);
      return all;
    }
    if (most <= 0) {
      return List.of();
    }
    PriorityQueue<ScoredCandidate> least = new PriorityQueue<>(most, order.reversed());
    for (ScoredCandidate s : scored) {
      if (least.size() < most) {
        least.add(s);
      } else if (order.compare(s, least.peek()) < 0) {
        least.poll();
        least.add(s);
      }
    }
    List<ScoredCandidate> result = new ArrayList<>(least);
    result.sort(order);
    return result;
  }

  private List<ScoredCandidate> scored(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    List<JobSpec> larger = keep.larger(spec);
    List<ScoredCandidate> scored = new ArrayList<>();
    for (MachineCapacity room : index.fitting(ResourceRequest.of(spec))) {
      ScoredCandidate judged = judge(spec, room);
      if (mayTake(job, judged)) {
        scored.add(judged);
      }
    }
    if (!larger.isEmpty()) {
      keepWhole(scored, spec, larger, tasks, rooms.size());
    }
    return scored;
  }

  private static int placesIn(JobState job, List<ScoredCandidate> scored) {
    ResourceRequest ask = ResourceRequest.of(job.record().spec());
    int places = 0;
    for (ScoredCandidate s : scored) {
      places += s.room().fits(ask);
    }
    return places;
  }

  /**
   * Of those nearly as good as the best left, cheap ones come before dear ones. As many whole machines as
   * the tasks fill come first: tasks that came together end together, and leave them whole again. What is
   * left over goes to machines that are begun, full ones first. Some whole ones are left for the larger
   * tasks that come next.
   */
  private static void keepWhole(
      List<ScoredCandidate> scored, JobSpec spec, List<JobSpec> larger, int tasks, int machines) {
    double near = Math.max(0.5, spec.estimateS() * NEAR);
    double best = scored.stream().mapToDouble(ScoredCandidate::delivery).min().orElse(0);
    scored.replaceAll(
        s ->
            new ScoredCandidate(
                s.room(),
                s.tier(),
                Math.floor((s.delivery() - best) / near),
                breaks(spec, s.room(), larger) ? WHOLE : BEGUN,
                price(s.room().machine),
                s.room().gpus - spec.gpus(),
                s.delivery()));
    scored.sort(null);
    int spare = 0;
    for (ScoredCandidate s : scored) {
      spare += s.rank() == WHOLE ? 1 : 0;
    }
    spare -= 1 + machines / LEFT_WHOLE;
    int left = tasks;
    for (int i = 0; i < scored.size(); i++) {
      ScoredCandidate s = scored.get(i);
      int fits = s.rank() == WHOLE && spare > 0 ? s.room().fits(spec) : 0;
      if (fits > 0 && left >= fits) {
        left -= fits;
        spare--;
        scored.set(
            i,
            new ScoredCandidate(
                s.room(), s.tier(), s.step(), FILLED, s.price(), s.slack(), s.delivery()));
      }
    }
  }

  private static double price(MachineState machine) {
    return machine.spot() ? machine.type().spotPrice() : machine.type().price();
  }

  /** Whether the task takes the place of a larger one. */
  private static boolean breaks(JobSpec spec, MachineCapacity room, List<JobSpec> larger) {
    for (JobSpec shape : larger) {
      if (shape.allowsType(room.machine.type().name())
          && room.fits(shape)
              > MachineCapacity.count(
                  shape, room.cpus - spec.cpus(), room.gpus - spec.gpus(), room.mem - spec.memGb())) {
        return true;
      }
    }
    return false;
  }
}
