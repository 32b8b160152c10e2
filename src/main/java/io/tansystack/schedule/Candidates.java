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
final class Candidates {
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
  private record Question(Ask ask, String image, double imageGb) {}

  private final ClusterRooms rooms;
  private final RoomIndex index;
  private final AcceleratorKeep keep;
  private final Map<Question, Ranking> rankings = new HashMap<>();

  /**
   * Asks for which no room was left, since all that fit are kept for others, with the number of changes
   * that the pass had made by then: until it makes another one, nobody who asks the same finds any.
   */
  private final Map<Ask, Integer> nothingLeft = new HashMap<>();

  Candidates(ClusterRooms rooms, RoomIndex index, AcceleratorKeep keep) {
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
  List<Room> all(JobState job) {
    List<Scored> scored = scored(job, 0);
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
  List<Room> best(JobState job, int tasks, int most, int named) {
    if (nothingIsLeft(job)) {
      return List.of();
    }
    if (tasks <= most && keep.larger(job.record().spec()).isEmpty()) {
      List<Scored> least = leastOfAll(job, named + 1);
      remember(job, least.isEmpty());
      return rooms(least);
    }
    List<Scored> scored = scored(job, tasks);
    Comparator<Scored> order = Comparator.naturalOrder();
    if (tasks > most && scored.size() > most && placesIn(job, least(scored, most, order)) < tasks) {
      order = Scored.roomiestFirst(Ask.of(job.record().spec()));
    }
    return rooms(least(scored, named + 1, order));
  }

  private boolean nothingIsLeft(JobState job) {
    Integer changes = nothingLeft.get(Ask.of(job.record().spec()));
    return changes != null && changes == rooms.changes().size();
  }

  private void remember(JobState job, boolean nothing) {
    if (nothing && job.avoid().isEmpty()) {
      nothingLeft.put(Ask.of(job.record().spec()), rooms.changes().size());
    }
  }

  /** The least ones of all, without keeping what is worse: most rooms are. */
  private List<Scored> leastOfAll(JobState job, int most) {
    JobSpec spec = job.record().spec();
    PriorityQueue<Scored> least = new PriorityQueue<>(most, Comparator.reverseOrder());
    for (Room room : index.fitting(Ask.of(spec))) {
      Scored worst = least.size() < most ? null : least.peek();
      if (worst != null && worst.tier() == USABLE && room.delivery(spec) > worst.step()) {
        continue;
      }
      Scored judged = judge(spec, room);
      boolean better = worst == null || judged.compareTo(worst) < 0;
      if (better && mayTake(job, judged)) {
        if (worst != null) {
          least.poll();
        }
        least.add(judged);
      }
    }
    List<Scored> result = new ArrayList<>(least);
    result.sort(null);
    return result;
  }

  /** Whether nothing but room speaks against it: neither an earlier failure nor what is kept for others. */
  private boolean mayTake(JobState job, Scored judged) {
    return !job.avoid().contains(judged.room().machine.name())
        && (judged.tier() == USABLE || !keep.keptForOthers(judged.room()));
  }

  /** The best machines of each zone, as many as there are tasks; the zone with the best one first. */
  Map<String, List<Room>> bestByZone(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    if (nothingIsLeft(job)) {
      return Map.of();
    }
    if (spec.estimateS() <= 0 && keep.larger(spec).isEmpty()) {
      Map<String, List<Room>> ranked = ranked(job, tasks);
      if (ranked != null) {
        remember(job, ranked.isEmpty());
        return ranked;
      }
    }
    Comparator<Scored> order = Comparator.naturalOrder();
    List<List<Scored>> zones = new ArrayList<>(byZone(scored(job, tasks), tasks, order).values());
    remember(job, zones.isEmpty());
    zones.sort((one, other) -> order.compare(one.get(0), other.get(0)));
    Map<String, List<Room>> result = new LinkedHashMap<>();
    for (List<Scored> zone : zones) {
      result.put(zone.get(0).room().machine.zone(), rooms(zone));
    }
    return result;
  }

  /** The same from a ranking that serves all jobs that are alike; null if it ranks too few rooms. */
  private Map<String, List<Room>> ranked(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    Question question = new Question(Ask.of(spec), spec.image(), spec.imageGb());
    Predicate<Scored> test = judged -> mayTake(job, judged);
    Ranking known = rankings.get(question);
    Map<String, List<Room>> best = known == null ? null : known.best(tasks, test);
    if (best == null && (known == null || known.hasChanged())) {
      Ranking made = ranking(spec, question.ask);
      rankings.put(question, made);
      best = made.best(tasks, test);
    }
    return best;
  }

  private Ranking ranking(JobSpec spec, Ask ask) {
    Predicate<Room> allowed = index.allowed(ask);
    return new Ranking(
        index.fitting(ask),
        rooms.changes(),
        room -> allowed.test(room) && room.fitsOne(ask) ? judge(spec, room) : null);
  }

  private Scored judge(JobSpec spec, Room room) {
    double delivery = room.delivery(spec);
    int tier = keep.spoils(spec, room) ? SPOILED : USABLE;
    return new Scored(room, tier, delivery, 0, 0, room.cpus - spec.cpus(), delivery);
  }

  /**
   * Groups of machines that a gang of so many tasks may choose from: those of each zone where one has to
   * take all, otherwise one of all zones. Best first.
   */
  List<List<Room>> forGang(JobState job, int tasks) {
    return groups(job, tasks, Comparator.naturalOrder());
  }

  /** The same, with those first that take the most tasks. */
  List<List<Room>> roomiestForGang(JobState job, int machines) {
    Ask ask = Ask.of(job.record().spec());
    Comparator<Scored> roomiest = Comparator.comparingInt(s -> -s.room().fits(ask));
    return groups(job, machines, roomiest.thenComparing(Comparator.naturalOrder()));
  }

  private List<List<Room>> groups(JobState job, int mostInZone, Comparator<Scored> order) {
    Map<String, List<Scored>> zones = byZone(scored(job, 0), mostInZone, order);
    if (job.record().spec().sameZone()) {
      return zones.values().stream().map(Candidates::rooms).toList();
    }
    List<Scored> all = new ArrayList<>();
    zones.values().forEach(all::addAll);
    all.sort(order);
    return all.isEmpty() ? List.of() : List.of(rooms(all));
  }

  /** The best of each zone, in the order of the zones' names. */
  private static Map<String, List<Scored>> byZone(
      List<Scored> scored, int most, Comparator<Scored> order) {
    Map<String, List<Scored>> zones = new TreeMap<>();
    for (Scored s : scored) {
      zones.computeIfAbsent(s.room().machine.zone(), k -> new ArrayList<>()).add(s);
    }
    zones.replaceAll((zone, list) -> least(list, most, order));
    return zones;
  }

  private static List<Room> rooms(List<Scored> scored) {
    List<Room> rooms = new ArrayList<>(scored.size());
    scored.forEach(s -> rooms.add(s.room()));
    return rooms;
  }

  /** The least ones, in order, without sorting all. */
  static List<Scored> least(List<Scored> scored, int most, Comparator<Scored> order) {
    if (scored.size() <= most) {
      List<Scored> all = new ArrayList<>(scored);
      all.sort(order);
      return all;
    }
    if (most <= 0) {
      return List.of();
    }
    PriorityQueue<Scored> least = new PriorityQueue<>(most, order.reversed());
    for (Scored s : scored) {
      if (least.size() < most) {
        least.add(s);
      } else if (order.compare(s, least.peek()) < 0) {
        least.poll();
        least.add(s);
      }
    }
    List<Scored> result = new ArrayList<>(least);
    result.sort(order);
    return result;
  }

  private List<Scored> scored(JobState job, int tasks) {
    JobSpec spec = job.record().spec();
    List<JobSpec> larger = keep.larger(spec);
    List<Scored> scored = new ArrayList<>();
    for (Room room : index.fitting(Ask.of(spec))) {
      Scored judged = judge(spec, room);
      if (mayTake(job, judged)) {
        scored.add(judged);
      }
    }
    if (!larger.isEmpty()) {
      keepWhole(scored, spec, larger, tasks, rooms.size());
    }
    return scored;
  }

  private static int placesIn(JobState job, List<Scored> scored) {
    Ask ask = Ask.of(job.record().spec());
    int places = 0;
    for (Scored s : scored) {
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
      List<Scored> scored, JobSpec spec, List<JobSpec> larger, int tasks, int machines) {
    double near = Math.max(0.5, spec.estimateS() * NEAR);
    double best = scored.stream().mapToDouble(Scored::delivery).min().orElse(0);
    scored.replaceAll(
        s ->
            new Scored(
                s.room(),
                s.tier(),
                Math.floor((s.delivery() - best) / near),
                breaks(spec, s.room(), larger) ? WHOLE : BEGUN,
                price(s.room().machine),
                s.room().gpus - spec.gpus(),
                s.delivery()));
    scored.sort(null);
    int spare = 0;
    for (Scored s : scored) {
      spare += s.rank() == WHOLE ? 1 : 0;
    }
    spare -= 1 + machines / LEFT_WHOLE;
    int left = tasks;
    for (int i = 0; i < scored.size(); i++) {
      Scored s = scored.get(i);
      int fits = s.rank() == WHOLE && spare > 0 ? s.room().fits(spec) : 0;
      if (fits > 0 && left >= fits) {
        left -= fits;
        spare--;
        scored.set(
            i,
            new Scored(s.room(), s.tier(), s.step(), FILLED, s.price(), s.slack(), s.delivery()));
      }
    }
  }

  private static double price(MachineState machine) {
    return machine.spot() ? machine.type().spotPrice() : machine.type().price();
  }

  /** Whether the task takes the place of a larger one. */
  private static boolean breaks(JobSpec spec, Room room, List<JobSpec> larger) {
    for (JobSpec shape : larger) {
      if (shape.allowsType(room.machine.type().name())
          && room.fits(shape)
              > Room.count(
                  shape, room.cpus - spec.cpus(), room.gpus - spec.gpus(), room.mem - spec.memGb())) {
        return true;
      }
    }
    return false;
  }
}
