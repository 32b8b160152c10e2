package io.tansystack.schedule;

import io.tansystack.schedule.RentPlanner.MachineOffering;
import io.tansystack.schedule.Snapshot.JobState;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the machines that can take a job's tasks within one pass. What asks the same is looked up
 * once; from then on only the rooms that fitted are looked at, since room only shrinks during a pass.
 */
final class CapacityIndex {
  /** What is known of an ask: the kinds of machine that it allows, and rooms that fitted so far. */
  private static final class Answer {
    final BitSet kinds;
    List<MachineCapacity> fitting;

    /** Rooms before this one have become full since the list was last cleared of those. */
    int first;

    Answer(BitSet kinds) {
      this.kinds = kinds;
    }
  }

  private final ClusterCapacity rooms;
  private final Map<ResourceRequest, Answer> answers = new HashMap<>();

  /** What found no machine at all in this pass. */
  private final List<ResourceRequest> fullFor = new ArrayList<>();

  CapacityIndex(ClusterCapacity rooms) {
    this.rooms = rooms;
  }

  private Answer answer(ResourceRequest ask) {
    return answers.computeIfAbsent(ask, k -> new Answer(allowedKinds(ask)));
  }

  private BitSet allowedKinds(ResourceRequest ask) {
    BitSet allowed = new BitSet();
    List<MachineOffering> kinds = rooms.kinds();
    for (int i = 0; i < kinds.size(); i++) {
      MachineOffering kind = kinds.get(i);
      allowed.set(i, ask.allows(kind.type(), kind.zone(), kind.spot()));
    }
    return allowed;
  }

  /** Whether what asks so may stand in a room at all, be there space or not. */
  Predicate<MachineCapacity> allowed(ResourceRequest ask) {
    BitSet kinds = answer(ask).kinds;
    return room -> room.machine.acceptsTasks() && kinds.get(room.kind);
  }

  /** Whether the job may. */
  Predicate<MachineCapacity> allowed(JobState job, ResourceRequest ask) {
    Set<String> avoid = job.excludedMachines();
    return allowed(ask).and(room -> !avoid.contains(room.machine.name()));
  }

  /** Rooms that may and can take one such task now, in the order of names; not to be changed. */
  List<MachineCapacity> fitting(ResourceRequest ask) {
    Answer answer = searched(ask);
    answer.fitting.removeIf(room -> !room.fitsOne(ask));
    answer.first = 0;
    if (answer.fitting.isEmpty() && !isFull(ask)) {
      fullFor.add(ask);
    }
    return Collections.unmodifiableList(answer.fitting);
  }

  /** The same with rooms among them that have become full since; costs little where few are looked at. */
  List<MachineCapacity> mayFit(ResourceRequest ask) {
    Answer answer = searched(ask);
    List<MachineCapacity> rooms = answer.fitting;
    while (answer.first < rooms.size() && !rooms.get(answer.first).fitsOne(ask)) {
      answer.first++;
    }
    return rooms.subList(answer.first, rooms.size());
  }

  private Answer searched(ResourceRequest ask) {
    Answer answer = answer(ask);
    if (answer.fitting == null) {
      answer.fitting = isFull(ask) ? new ArrayList<>() : search(ask);
    }
    return answer;
  }

  private List<MachineCapacity> search(ResourceRequest ask) {
    Predicate<MachineCapacity> allowed = allowed(ask);
    List<MachineCapacity> found = new ArrayList<>();
    for (MachineCapacity room : ask.needsCpus() ? rooms.free() : rooms.all()) {
      if (allowed.test(room) && room.fitsOne(ask)) {
        found.add(room);
      }
    }
    return found;
  }

  private boolean isFull(ResourceRequest ask) {
    for (ResourceRequest full : fullFor) {
      if (ask.asksNoLessThan(full)) {
        return true;
      }
    }
    return false;
  }
}
