package io.tansystack.schedule;

import java.util.Comparator;

/**
 * A machine that can take a job's task, with the scores by which it is compared with others. The
 * smallest in the natural order is the best. The scores are compared in the order of the
 * components.
 *
 * @param tier whether the task would strand accelerators that other jobs may need
 * @param completionStep predicted completion time, in seconds or in coarser steps; equal steps
 *     count as equal predictions
 * @param fragmentation among equal predictions: whole machines that the tasks fill come first, then
 *     machines already in use, then other whole machines
 * @param price price of the machine; 0 where it doesn't count
 * @param slack free CPUs or GPUs, whichever counts, that one task would leave; fuller machines come
 *     first
 * @param completionS predicted completion time, in seconds
 */
record ScoredCandidate(
    MachineCapacity machine,
    int tier,
    double completionStep,
    int fragmentation,
    double price,
    double slack,
    double completionS)
    implements Comparable<ScoredCandidate> {

  @Override
  public int compareTo(ScoredCandidate other) {
    int order = Integer.compare(tier, other.tier);
    order = order != 0 ? order : Double.compare(completionStep, other.completionStep);
    order = order != 0 ? order : Integer.compare(fragmentation, other.fragmentation);
    order = order != 0 ? order : Double.compare(price, other.price);
    order = order != 0 ? order : Double.compare(slack, other.slack);
    order = order != 0 ? order : Double.compare(completionS, other.completionS);
    return order != 0 ? order : machine.state.name().compareTo(other.machine.state.name());
  }

  /**
   * An order that prefers, among equal predictions, the machines that fit the most tasks; for jobs
   * that can use only a few machines.
   */
  static Comparator<ScoredCandidate> mostTasksFirst(ResourceRequest request) {
    return Comparator.comparingInt(ScoredCandidate::tier)
        .thenComparingDouble(ScoredCandidate::completionStep)
        .thenComparingInt(ScoredCandidate::fragmentation)
        .thenComparing(s -> -s.machine.fits(request))
        .thenComparing(Comparator.naturalOrder());
  }
}
