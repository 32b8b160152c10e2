package io.tansystack.schedule;

import io.tansystack.records.Placement;
import io.tansystack.records.TaskSet;
import io.tansystack.schedule.Plan.Eviction;
import io.tansystack.schedule.Snapshot.JobState;
import io.tansystack.wire.JobSpec;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Chooses whom to stop, so that work which may take their place finds room. */
final class Preemption {
  private static final int ENOUGH = 24;

  private record Victim(AllocatedTasks held, int tasks) {}

  /** The least that has to be stopped on a machine for one more task. */
  private record Offer(MachineCapacity room, List<Victim> victims, double loss, int order) {}

  private final TeamQuotaTracker teams;
  private final Plan plan;
  private final Map<String, MachineCapacity> leaving;

  /** Whether the last call looked at all machines that it was given. */
  private boolean lookedAtAll;

  /** @param leaving rooms in which something is about to leave, by machine; those of victims are added */
  Preemption(TeamQuotaTracker teams, Plan plan, Map<String, MachineCapacity> leaving) {
    this.teams = teams;
    this.plan = plan;
    this.leaving = leaving;
  }

  /**
   * Whether the last call to {@link #stopFor} looked at all machines that it was given, so that what it
   * left can't be helped by stopping anything more.
   */
  boolean lookedAtAll() {
    return lookedAtAll;
  }

  /**
   * Stops tasks for those of the job that found no room, where it costs least first. Each machine is
   * judged once, and again only after something was stopped on it; where there are many to choose
   * from, not all are looked at. Returns how many tasks are left.
   */
  int stopFor(
      JobState job, int left, List<MachineCapacity> rooms, Object2IntOpenHashMap<String> zones) {
    JobSpec spec = job.record().spec();
    boolean owed = teams.guaranteed(job.id());
    PriorityQueue<Offer> offers =
        new PriorityQueue<>(Comparator.comparingDouble(Offer::loss).thenComparingInt(Offer::order));
    int enough = ENOUGH + 2 * left;
    int i = 0;
    for (; i < rooms.size() && offers.size() < enough; i++) {
      if (owed || rooms.get(i).fitsWithoutLower(spec)) {
        offer(job, rooms.get(i), i, offers);
      }
    }
    lookedAtAll = i == rooms.size();
    while (left > 0 && !offers.isEmpty()) {
      Offer best = offers.poll();
      if (!ZoneConstraints.allows(spec, zones, best.room)) {
        continue; // And it stays so: copies in a zone only grow in number during a pass.
      }
      for (Victim victim : best.victims) {
        stop(best.room, victim, job);
      }
      best.room.take(spec, 1);
      zones.addTo(best.room.machine.zone(), 1);
      left--;
      offer(job, best.room, best.order, offers);
    }
    return left;
  }

  private void offer(JobState job, MachineCapacity room, int order, PriorityQueue<Offer> offers) {
    List<Victim> victims = victims(job, room);
    if (victims != null) {
      offers.add(new Offer(room, victims, loss(victims), order));
    }
  }

  private static double loss(List<Victim> victims) {
    double loss = 0;
    for (Victim v : victims) {
      JobSpec s = v.held.spec();
      // A stopped gang loses all its tasks, a task with checkpoints next to nothing of its work.
      double weight = s.checkpointS() > 0 ? 0.3 : 1;
      loss += v.tasks * (s.cpus() + 10 * s.gpus()) * weight * (4 - s.priority().ordinal());
    }
    return loss;
  }

  /** The least wanted tasks on the machine whose end makes room for one task, or null. */
  private List<Victim> victims(JobState job, MachineCapacity room) {
    JobSpec spec = job.record().spec();
    double cpus = room.cpus + room.soonCpus;
    double gpus = room.gpus + room.soonGpus;
    double mem = room.mem + room.soonMem;
    List<Victim> victims = new ArrayList<>();
    for (AllocatedTasks held : room.held()) {
      if (!preemptible(job, held)) {
        continue;
      }
      JobSpec s = held.spec();
      int n = 0;
      while (n < held.taskCount() && MachineCapacity.count(spec, cpus, gpus, mem) == 0) {
        cpus += s.cpus();
        gpus += s.gpus();
        mem += s.memGb();
        n++;
      }
      if (n > 0) {
        victims.add(new Victim(held, n));
      }
      if (MachineCapacity.count(spec, cpus, gpus, mem) > 0) {
        return victims;
      }
    }
    return null;
  }

  /** Lower priority, or another team's work beyond its guarantee for one that is owed its own. */
  private boolean preemptible(JobState job, AllocatedTasks victim) {
    JobSpec spec = job.record().spec();
    JobSpec other = victim.spec();
    if (spec.gpus() <= 0 && other.gpus() > 0) {
      return false; // What needs no accelerator does not take one away.
    }
    return other.priority().ordinal() > spec.priority().ordinal() || teams.mayReclaimFrom(job, victim);
  }

  private void stop(MachineCapacity room, Victim victim, JobState forJob) {
    Placement p = victim.held.placement();
    BitSet rest = p.tasks().toBits();
    BitSet tasks = new BitSet();
    // The last numbers of a placement were started last, as a rule: they lose the least work.
    for (int t = rest.length() - 1, n = 0; t >= 0 && n < victim.tasks; t = rest.previousSetBit(t)) {
      tasks.set(t);
      rest.clear(t);
      n++;
    }
    plan.evictions()
        .computeIfAbsent(victim.held.job(), k -> new ArrayList<>())
        .add(new Eviction(room.machine.name(), TaskSet.of(tasks), forJob.id()));
    room.release(victim.held);
    if (!rest.isEmpty()) {
      room.hold(victim.held.withPlacement(p.withTasks(TaskSet.of(rest))));
    }
    room.leaveSoon(victim.held.spec(), tasks.cardinality());
    leaving.put(room.machine.name(), room);
  }
}
