package io.tansystack.records;

import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;

/**
 * Limits what a job's record may contain, so that it fits into one value of the state service at
 * every moment of the job's life. Each task index is written at most once, in the set of done tasks
 * or in a placement, in whatever order the tasks end. The only other part that grows is the number
 * of placements: one for each machine and placement round, and one more where some tasks of a
 * placement are stopped, which splits it in two.
 *
 * <p>All sizes are in characters of the JSON form, in which the state service states its limit.
 *
 * @param valueBytes the largest value that the state service stores
 */
public record RecordSizeLimit(int valueBytes) {
  /**
   * Size of a placement without its machine name and tasks: session, attempt, the stop suffix and
   * the separators.
   */
  private static final int PLACEMENT_CHARS = 28;

  /** Machine names are seldom longer. Where they are, fewer placements fit. */
  private static final int MACHINE_NAME_CHARS = 16;

  /**
   * The number of tasks in the sliding window of an array job: only tasks inside it are placed, so
   * that the set of done tasks stays nearly a prefix and its written form stays short.
   */
  public int taskWindow() {
    return valueBytes / 16;
  }

  /** The largest job specification that is accepted. */
  public int maxSpecSize() {
    return valueBytes / 8;
  }

  /**
   * The most that the task indices of the job can take up, each with a comma. The indices of small
   * jobs have fewer digits.
   */
  private int taskIndicesSize(JobSpec spec) {
    int digits = Integer.toString(spec.tasks() - 1).length();
    return Math.min(taskWindow(), spec.tasks()) * (digits + 1);
  }

  /** The number of placements that fit beside the specification and the task indices. */
  private int maxPlacements(JobSpec spec) {
    return (valueBytes - maxSpecSize() - taskIndicesSize(spec))
        / (PLACEMENT_CHARS + MACHINE_NAME_CHARS);
  }

  /**
   * The number of placements that the record may have after a placement round. The remaining
   * quarter is reserved for placements that are split in two when some of their tasks are stopped.
   */
  public int maxPlacementsAfterRound(JobSpec spec) {
    return maxPlacements(spec) * 3 / 4;
  }

  /** Whether the specification is small enough for the job to be accepted. */
  public boolean accepts(JobSpec spec) {
    return Cbor.jsonSize(spec.write()) <= maxSpecSize();
  }

  /** Whether the record fits into one value, in whatever order its placed tasks end. */
  public boolean fits(JobRecord record) {
    return maxSize(record) <= valueBytes;
  }

  /**
   * An upper bound of the record's size, which also holds for all later states in which some of its
   * placed tasks have ended.
   */
  public int maxSize(JobRecord record) {
    int size = maxSpecSize();
    if (record.spec() != null) {
      size += taskIndicesSize(record.spec());
      for (Placement placement : record.placements()) {
        size += placement.machine().length() + PLACEMENT_CHARS;
      }
    }
    return size;
  }
}
