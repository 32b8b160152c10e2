package io.tansystack.schedule;

import java.util.Comparator;

/**
 * A room with what decides between it and others for a job. The least is the best.
 *
 * @param tier whether it spoils accelerators that others may need
 * @param step stands for predictions that count as equal
 * @param rank among these: whole machines that the tasks fill, machines that are begun, other whole ones
 * @param price of the machine, where it counts
 * @param slack what is left free of what decides; fuller machines come first
 * @param delivery the predicted time to delivery, in seconds
 */
record ScoredCandidate(
    MachineCapacity room,
    int tier,
    double step,
    int rank,
    double price,
    double slack,
    double delivery)
    implements Comparable<ScoredCandidate> {

  @Override
  public int compareTo(ScoredCandidate o) {
    int order = Integer.compare(tier, o.tier);
    order = order != 0 ? order : Double.compare(step, o.step);
    order = order != 0 ? order : Integer.compare(rank, o.rank);
    order = order != 0 ? order : Double.compare(price, o.price);
    order = order != 0 ? order : Double.compare(slack, o.slack);
    order = order != 0 ? order : Double.compare(delivery, o.delivery);
    return order != 0 ? order : room.machine.name().compareTo(o.room.machine.name());
  }

  /** By how many tasks fit, where predictions are equal: for what can name few machines only. */
  static Comparator<ScoredCandidate> roomiestFirst(ResourceRequest ask) {
    return Comparator.comparingInt(ScoredCandidate::tier)
        .thenComparingDouble(ScoredCandidate::step)
        .thenComparingInt(ScoredCandidate::rank)
        .thenComparing(s -> -s.room.fits(ask))
        .thenComparing(Comparator.naturalOrder());
  }
}
