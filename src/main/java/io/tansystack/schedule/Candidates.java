package io.tansystack.schedule;

import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The machines that come into question for a job, in the order of predicted delivery, within one pass. */
final class Candidates {
  private record Scored(Room room, int tier, double delivery, double slack)
      implements Comparable<Scored> {
    @Override
    public int compareTo(Scored o) {
      int order = Integer.compare(tier, o.tier);
      order = order != 0 ? order : Double.compare(delivery, o.delivery);
      order = order != 0 ? order : Double.compare(slack, o.slack);
      return order != 0 ? order : room.machine.name().compareTo(o.room.machine.name());
    }
  }

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
   * keep gangs from their only machines. Equal predictions are decided towards fuller machines.
   */
  List<Room> of(JobState job) {
    JobSpec spec = job.record().spec();
    Ask ask = Ask.of(spec);
    for (Ask full : fullFor) {
      if (ask.asksNoLessThan(full)) {
        return List.of();
      }
    }
    keep.nextJob();
    List<Scored> scored = new ArrayList<>();
    boolean full = job.avoid().isEmpty();
    for (Room room : rooms) {
      if (room.fitsOne(spec) && allowed(job, room)) {
        full = false; // Room that is kept for others may be theirs who ask for more.
        boolean spoils = keep.spoils(spec, room);
        if (!spoils || !keep.keptForOthers(room)) {
          scored.add(
              new Scored(room, spoils ? 1 : 0, room.delivery(spec), room.cpus - spec.cpus()));
        }
      }
    }
    if (full) {
      fullFor.add(ask);
    }
    scored.sort(null);
    List<Room> result = new ArrayList<>(scored.size());
    scored.forEach(s -> result.add(s.room()));
    return result;
  }
}
