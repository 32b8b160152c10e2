package io.tansystack.schedule;

import io.tansystack.records.JobRecord.Assignment;
import io.tansystack.records.Placement;
import io.tansystack.schedule.Plan.Unmet;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Shape;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which idle sessions stand where waiting work would run: for what the plan left without room, in its
 * order, the machine with the least predicted delivery on which ending idle sessions makes room; among
 * equal ones that which costs the fewest sessions, then those out of use for longest. A pure function.
 */
public final class SessionReclaim {
  /**
   * A session that may be ended for others.
   *
   * @param going whether it is being reclaimed already: its room counts as about to come
   */
  public record IdleSession(
      String id, String machine, JobSpec spec, Duration idle, boolean going) {}

  private record Choice(Room room, double delivery, List<IdleSession> ends) {
    Duration idle() {
      return ends.stream().map(IdleSession::idle).min(Comparator.naturalOrder()).orElseThrow();
    }
  }

  private static final Comparator<Choice> BEST =
      Comparator.comparingDouble(Choice::delivery)
          .thenComparingInt(c -> c.ends.size())
          .thenComparing(Comparator.comparing(Choice::idle).reversed())
          .thenComparing(c -> c.room.machine.name());

  private static final Comparator<IdleSession> LONGEST =
      Comparator.comparing(IdleSession::idle).reversed().thenComparing(IdleSession::id);

  private final Map<String, JobState> jobs = new HashMap<>();
  private final Map<String, Room> rooms = new LinkedHashMap<>();
  private final Map<String, List<IdleSession>> standing = new HashMap<>();
  private final Set<String> wanted = new LinkedHashSet<>();

  /** What no idle session can make room for: nor can they for what asks for more. */
  private final List<Ask> inVain = new ArrayList<>();

  private SessionReclaim(Snapshot snapshot, Plan plan, List<IdleSession> sessions) {
    for (MachineState machine : snapshot.machines()) {
      rooms.put(machine.name(), new Room(machine));
    }
    for (JobState job : snapshot.jobs()) {
      jobs.put(job.id(), job);
      for (Placement p : job.record().placements()) {
        Room room = rooms.get(p.machine());
        if (room != null) {
          room.take(job.record().spec(), p.tasks().size());
          if (p.stop() || !job.record().active()) {
            room.leaveSoon(job.record().spec(), p.tasks().size());
          }
        }
      }
    }
    plan.placements()
        .forEach(
            (id, round) -> {
              for (Assignment part : round) {
                rooms.get(part.machine()).take(jobs.get(id).record().spec(), part.tasks().size());
              }
            });
    plan.stops()
        .forEach(
            (id, stops) ->
                stops.forEach(
                    stop ->
                        rooms
                            .get(stop.machine())
                            .leaveSoon(jobs.get(id).record().spec(), stop.tasks().size())));
    for (IdleSession session : sessions) {
      Room room = rooms.get(session.machine());
      if (room == null) {
        continue;
      }
      if (session.going()) {
        room.leaveSoon(session.spec(), 1);
      } else {
        standing.computeIfAbsent(session.machine(), k -> new ArrayList<>()).add(session);
      }
    }
    standing.values().forEach(list -> list.sort(LONGEST));
  }

  /** The sessions, by id, whose room waiting work could use. */
  public static Set<String> wanted(Snapshot snapshot, Plan plan, List<IdleSession> sessions) {
    if (sessions.isEmpty() || plan.unmet().isEmpty()) {
      return Set.of();
    }
    SessionReclaim reclaim = new SessionReclaim(snapshot, plan, sessions);
    plan.unmet().forEach(reclaim::makeRoom);
    return reclaim.wanted;
  }

  private void makeRoom(Unmet unmet) {
    JobState job = jobs.get(unmet.job());
    JobSpec spec = unmet.spec();
    Ask ask = Ask.of(spec);
    if (job == null || inVain.stream().anyMatch(ask::asksNoLessThan)) {
      return;
    }
    Object2IntOpenHashMap<String> zones = Planner.zones(job.record(), rooms);
    List<Choice> taken = new ArrayList<>();
    int left = unmet.tasks();
    for (Room room : rooms.values()) {
      while (left > 0 && room.fitsSoon(spec) && Candidates.allowed(job, room)
          && Planner.zoneOk(spec, zones, room)) {
        taken.add(take(job, new Choice(room, 0, List.of()), zones));
        left--;
      }
    }
    while (left > 0) {
      Choice best = best(job, zones);
      if (best == null) {
        break;
      }
      taken.add(take(job, best, zones));
      left--;
    }
    if (left > 0 && taken.isEmpty() && job.avoid().isEmpty() && zones.isEmpty()) {
      inVain.add(ask);
    }
    if (left > 0 && spec.shape() == Shape.GANG) {
      taken.forEach(choice -> giveBack(spec, choice)); // All of it or none.
      return;
    }
    taken.forEach(choice -> choice.ends.forEach(session -> wanted.add(session.id())));
  }

  private Choice best(JobState job, Object2IntOpenHashMap<String> zones) {
    JobSpec spec = job.record().spec();
    Choice best = null;
    for (String machine : standing.keySet()) {
      Room room = rooms.get(machine);
      if (Candidates.allowed(job, room) && Planner.zoneOk(spec, zones, room)) {
        List<IdleSession> ends = fewest(room, spec, standing.get(machine));
        Choice choice = ends.isEmpty() ? null : new Choice(room, room.delivery(spec), ends);
        if (choice != null && (best == null || BEST.compare(choice, best) < 0)) {
          best = choice;
        }
      }
    }
    return best;
  }

  /**
   * Sessions whose end makes room for one task, few of them: each time the one that covers most of what
   * is lacking, the longest out of use among equals, and in the end without those that turned out not
   * to be needed. Empty if all of them are not enough.
   */
  private static List<IdleSession> fewest(Room room, JobSpec spec, List<IdleSession> sessions) {
    double[] lacks = {
      spec.cpus() - room.cpus - room.soonCpus,
      spec.gpus() - room.gpus - room.soonGpus,
      spec.memGb() - room.mem - room.soonMem
    };
    List<IdleSession> left = new ArrayList<>(sessions);
    List<IdleSession> ends = new ArrayList<>();
    while (lacking(lacks)) {
      IdleSession most = null;
      double covers = 0;
      for (IdleSession session : left) {
        double part = covers(session.spec(), lacks);
        if (part > covers + 1e-9) {
          most = session;
          covers = part;
        }
      }
      if (most == null) {
        return List.of();
      }
      left.remove(most);
      ends.add(most);
      subtract(lacks, most.spec(), 1);
    }
    for (IdleSession session : List.copyOf(ends)) {
      double[] without = lacks.clone();
      subtract(without, session.spec(), -1);
      if (!lacking(without)) {
        ends.remove(session);
        lacks = without;
      }
    }
    return ends;
  }

  private static boolean lacking(double[] lacks) {
    return lacks[0] > 1e-6 || lacks[1] > 1e-6 || lacks[2] > 1e-6;
  }

  private static void subtract(double[] lacks, JobSpec spec, int n) {
    lacks[0] -= n * spec.cpus();
    lacks[1] -= n * spec.gpus();
    lacks[2] -= n * spec.memGb();
  }

  /** Which part of what is lacking it covers, added up over processors, accelerators and memory. */
  private static double covers(JobSpec spec, double[] lacks) {
    double[] has = {spec.cpus(), spec.gpus(), spec.memGb()};
    double covers = 0;
    for (int i = 0; i < has.length; i++) {
      covers += lacks[i] > 1e-6 ? Math.min(1, has[i] / lacks[i]) : 0;
    }
    return covers;
  }

  private Choice take(JobState job, Choice choice, Object2IntOpenHashMap<String> zones) {
    JobSpec spec = job.record().spec();
    choice.ends.forEach(session -> choice.room.leaveSoon(session.spec(), 1));
    choice.room.take(spec, 1);
    zones.addTo(choice.room.machine.zone(), 1);
    List<IdleSession> here = standing.get(choice.room.machine.name());
    if (here != null) {
      here.removeAll(choice.ends);
    }
    return choice;
  }

  private void giveBack(JobSpec spec, Choice choice) {
    choice.room.take(spec, -1);
    for (IdleSession session : choice.ends) {
      choice.room.leaveSoon(session.spec(), -1);
      standing.get(session.machine()).add(session);
    }
    standing.getOrDefault(choice.room.machine.name(), new ArrayList<>()).sort(LONGEST);
  }
}
