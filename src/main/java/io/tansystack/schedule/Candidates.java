package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** The machines that come into question for a job, in the order of predicted delivery, within one pass. */
final class Candidates {
  /**
   * Predictions that differ by less than this part of the run time are nearly equal: machines of a type
   * differ by as much, and owners' estimates by more.
   */
  private static final double NEAR = 0.1;

  /** {@code step} stands for predictions that count as equal. */
  private record Scored(
      Room room, int tier, double step, int rank, double price, double slack, double delivery)
      implements Comparable<Scored> {
    @Override
    public int compareTo(Scored o) {
      int order = Integer.compare(tier, o.tier);
      order = order != 0 ? order : Double.compare(step, o.step);
      order = order != 0 ? order : Integer.compare(rank, o.rank);
      order = order != 0 ? order : Double.compare(price, o.price);
      order = order != 0 ? order : Double.compare(slack, o.slack);
      order = order != 0 ? order : Double.compare(delivery, o.delivery);
      return order != 0 ? order : room.machine.name().compareTo(o.room.machine.name());
    }
  }

  /** Whole machines that the tasks fill, machines that are begun, and other whole ones. */
  private static final int FILLED = 0;

  private static final int BEGUN = 1;
  private static final int WHOLE = 2;

  /** One machine in so many is left whole for larger tasks, while others will do. */
  private static final int LEFT_WHOLE = 50;

  private final Collection<Room> rooms;
  private final AcceleratorKeep keep;

  /** What found no machine at all in this pass: room only shrinks while it goes on. */
  private final List<Ask> fullFor = new ArrayList<>();

  Candidates(Collection<Room> rooms, AcceleratorKeep keep) {
    this.rooms = rooms;
    this.keep = keep;
  }

  /** Whether the job may stand on the machine at all, be there room or not. */
  static boolean allowed(JobState job, Room room) {
    MachineState m = room.machine;
    return m.open()
        && job.record().spec().allows(m.type().name(), m.zone(), m.spot())
        && !job.avoid().contains(m.name());
  }

  /**
   * Fitting machines, best first. Machines with accelerators come after the others for tasks that
   * need none, unless what they take leaves the accelerators usable: otherwise the cheap tasks would
   * keep gangs from their only machines. Equal predictions are decided towards fuller machines; nearly
   * equal ones by what they leave whole, where larger tasks need whole machines.
   */
  List<Room> of(JobState job) {
    return of(job, 0, 0);
  }

  /**
   * The same for so many tasks of which a record can hold so many placements only: where the first
   * machines would not take all, the roomiest among equals come first.
   */
  List<Room> of(JobState job, int tasks, int most) {
    JobSpec spec = job.record().spec();
    Ask ask = Ask.of(spec);
    for (Ask full : fullFor) {
      if (ask.asksNoLessThan(full)) {
        return List.of();
      }
    }
    keep.nextJob();
    List<JobSpec> larger = keep.larger(spec);
    List<Scored> scored = new ArrayList<>();
    boolean full = job.avoid().isEmpty();
    for (Room room : rooms) {
      if (room.fitsOne(spec) && allowed(job, room)) {
        full = false; // Room that is kept for others may be theirs who ask for more.
        boolean spoils = keep.spoils(spec, room);
        if (!spoils || !keep.keptForOthers(room)) {
          double delivery = room.delivery(spec);
          scored.add(
              new Scored(
                  room, spoils ? 1 : 0, delivery, 0, 0, room.cpus - spec.cpus(), delivery));
        }
      }
    }
    if (full) {
      fullFor.add(ask);
    }
    if (!larger.isEmpty()) {
      keepWhole(scored, spec, larger, tasks, rooms.size());
    }
    scored.sort(null);
    if (scored.size() > most && roomFor(spec, scored.subList(0, most)) < tasks) {
      scored.sort(
          Comparator.comparingInt(Scored::tier)
              .thenComparingDouble(Scored::step)
              .thenComparingInt(Scored::rank)
              .thenComparing(s -> -s.room.fits(spec))
              .thenComparing(Comparator.naturalOrder()));
    }
    List<Room> result = new ArrayList<>(scored.size());
    scored.forEach(s -> result.add(s.room()));
    return result;
  }

  private static int roomFor(JobSpec spec, List<Scored> scored) {
    int fits = 0;
    for (Scored s : scored) {
      fits += s.room.fits(spec);
    }
    return fits;
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
                s.room,
                s.tier,
                Math.floor((s.delivery - best) / near),
                breaks(spec, s.room, larger) ? WHOLE : BEGUN,
                price(s.room.machine),
                s.room.gpus - spec.gpus(),
                s.delivery));
    scored.sort(null);
    int spare = 0;
    for (Scored s : scored) {
      spare += s.rank == WHOLE ? 1 : 0;
    }
    spare -= 1 + machines / LEFT_WHOLE;
    int left = tasks;
    for (int i = 0; i < scored.size(); i++) {
      Scored s = scored.get(i);
      int fits = s.rank == WHOLE && spare > 0 ? s.room.fits(spec) : 0;
      if (fits > 0 && left >= fits) {
        left -= fits;
        spare--;
        scored.set(
            i, new Scored(s.room, s.tier, s.step, FILLED, s.price, s.slack, s.delivery));
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
