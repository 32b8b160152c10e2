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
public record RecordSizeLimit(int valueBytes) {
  /** Session, attempt, a last word, and what stands between, of each placement. */
  private static final int PLACEMENT_CHARS = 28;

  /** A machine's name is seldom longer; where it is, the record holds fewer placements. */
  private static final int NAME_CHARS = 16;

  /** An array's tasks are placed inside a moving window, so that its done set stays nearly a prefix. */
  public int window() {
    return valueBytes / 16;
  }

  /** The longest description that is accepted. */
  public int description() {
    return valueBytes / 8;
  }

  /** What the numbers of the job's tasks may take up, each with a comma: small jobs have short ones. */
  private int numbers(JobSpec spec) {
    int digits = Integer.toString(spec.tasks() - 1).length();
    return Math.min(window(), spec.tasks()) * (digits + 1);
  }

  private int placements(JobSpec spec) {
    return (valueBytes - description() - numbers(spec)) / (PLACEMENT_CHARS + NAME_CHARS);
  }

  /** So many placements may a round of the job leave behind; the rest is for those that stops split in two. */
  public int placedAtOnce(JobSpec spec) {
    return placements(spec) * 3 / 4;
  }

  public boolean accepts(JobSpec spec) {
    return Cbor.jsonSize(spec.write()) <= description();
  }

  public boolean allows(JobRecord record) {
    return longest(record) <= valueBytes;
  }

  /** The record is no longer than this, whatever ends first of what is placed. */
  public int longest(JobRecord record) {
    int length = description();
    if (record.spec() != null) {
      length += numbers(record.spec());
      for (Placement placement : record.placements()) {
        length += placement.machine().length() + PLACEMENT_CHARS;
      }
    }
    return length;
  }
}
