package io.tansystack.records;

import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;

/**
 * What a job's record may hold, so that it fits into one value at every moment of its life. Each task
 * number is written at most once, in the done set or in a placement, however scattered the ends are;
 * what else grows is the number of placements, one for each machine and round, and one more where a
 * part of it is stopped.
 *
 * @param valueBytes the state service's limit, measured in JSON
 */
public record RecordLimit(int valueBytes) {
  /** A number within the window has at most five digits and a comma. */
  private static final int TASK_CHARS = 6;

  private static final int PLACEMENT_CHARS = 70;

  /** An array's tasks are placed inside a moving window, so that its done set stays nearly a prefix. */
  public int window() {
    return valueBytes / 16;
  }

  /** The longest description that is accepted. */
  public int description() {
    return valueBytes / 8;
  }

  private int placements() {
    return (valueBytes - description() - window() * TASK_CHARS) / PLACEMENT_CHARS;
  }

  /** So many placements may a round leave behind; the rest is for those that stops split in two. */
  public int placedAtOnce() {
    return placements() * 3 / 4;
  }

  public boolean accepts(JobSpec spec) {
    return Cbor.jsonSize(spec.write()) <= description();
  }

  public boolean allows(JobRecord record) {
    return record.placements().size() <= placements();
  }
}
