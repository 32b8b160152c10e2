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
 * Finds the machines that can run a job's tasks within one pass. All machines are searched once for
 * each distinct request; after that only the machines that fitted are checked again, since free
 * capacity only shrinks during a pass.
 */
final class CapacityIndex {
  /** Cached result for a request: the offerings that it allows and the machines that fitted. */
  private static final class CachedMatch {
    final BitSet allowedOfferings;

    /** In the order of names; null until the first search. */
    List<MachineCapacity> fitting;

    /**
     * Index in {@link #fitting}. The machines before it don't fit any more and have not been
     * removed from the list yet.
     */
    int firstFitting;

    CachedMatch(BitSet allowedOfferings) {
      this.allowedOfferings = allowedOfferings;
    }
  }

  private final ClusterCapacity clusterCapacity;
  private final Map<ResourceRequest, CachedMatch> matches = new HashMap<>();

  /** Requests for which no machine fits in this pass. */
  private final List<ResourceRequest> unsatisfiedRequests = new ArrayList<>();

  CapacityIndex(ClusterCapacity clusterCapacity) {
    this.clusterCapacity = clusterCapacity;
  }

  private CachedMatch match(ResourceRequest request) {
    return matches.computeIfAbsent(request, k -> new CachedMatch(allowedOfferings(request)));
  }

  private BitSet allowedOfferings(ResourceRequest request) {
    BitSet allowed = new BitSet();
    List<MachineOffering> offerings = clusterCapacity.offerings();
    for (int i = 0; i < offerings.size(); i++) {
      MachineOffering offering = offerings.get(i);
      allowed.set(i, request.allows(offering.type(), offering.zone(), offering.spot()));
    }
    return allowed;
  }

  /** Matches machines that accept tasks and that the request allows, whether a task fits or not. */
  Predicate<MachineCapacity> allowed(ResourceRequest request) {
    BitSet allowedOfferings = match(request).allowedOfferings;
    return machine -> machine.state.acceptsTasks() && allowedOfferings.get(machine.offeringNumber);
  }

  /** As {@link #allowed(ResourceRequest)}, without the machines that the job excludes. */
  Predicate<MachineCapacity> allowed(JobState job, ResourceRequest request) {
    Set<String> excluded = job.excludedMachines();
    return allowed(request).and(machine -> !excluded.contains(machine.state.name()));
  }

  /**
   * Machines that accept tasks, that the request allows and on which one such task fits now, in the
   * order of names. The returned list is an unmodifiable view.
   */
  List<MachineCapacity> fitting(ResourceRequest request) {
    CachedMatch match = searchedMatch(request);
    match.fitting.removeIf(machine -> !machine.fitsOne(request));
    match.firstFitting = 0;
    if (match.fitting.isEmpty() && !isUnsatisfied(request)) {
      unsatisfiedRequests.add(request);
    }
    return Collections.unmodifiableList(match.fitting);
  }

  /**
   * As {@link #fitting}, but may contain machines that have become full since the last search.
   * Cheaper for a caller that looks at a few machines only.
   */
  List<MachineCapacity> possiblyFitting(ResourceRequest request) {
    CachedMatch match = searchedMatch(request);
    List<MachineCapacity> machines = match.fitting;
    while (match.firstFitting < machines.size()
        && !machines.get(match.firstFitting).fitsOne(request)) {
      match.firstFitting++;
    }
    return machines.subList(match.firstFitting, machines.size());
  }

  private CachedMatch searchedMatch(ResourceRequest request) {
    CachedMatch match = match(request);
    if (match.fitting == null) {
      match.fitting = isUnsatisfied(request) ? new ArrayList<>() : search(request);
    }
    return match;
  }

  private List<MachineCapacity> search(ResourceRequest request) {
    Predicate<MachineCapacity> allowed = allowed(request);
    List<MachineCapacity> found = new ArrayList<>();
    for (MachineCapacity machine :
        request.needsCpus() ? clusterCapacity.withFreeCpus() : clusterCapacity.all()) {
      if (allowed.test(machine) && machine.fitsOne(request)) {
        found.add(machine);
      }
    }
    return found;
  }

  private boolean isUnsatisfied(ResourceRequest request) {
    for (ResourceRequest unsatisfied : unsatisfiedRequests) {
      if (request.isAtLeast(unsatisfied)) {
        return true;
      }
    }
    return false;
  }
}
