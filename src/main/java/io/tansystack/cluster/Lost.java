package io.tansystack.cluster;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * Jobs whose records vanished or went back though the copy had seen more of them. They go on as they
 * were seen last, until that is written again.
 *
 * <p>Which of two records is newer is told by what the deployment counted from when they were written,
 * which only grows ({@link Base}), and by their versions where that is the same: versions alone begin
 * anew with a loss, and a state service may even come back with what it had before one.
 */
final class Lost {
  private final Map<String, Long> versions = new HashMap<>();

  /** What the deployment counted from when the job's record was written. */
  private final Map<String, Long> epochs = new HashMap<>();

  private boolean rewinding;

  /** By job, the version of the record that is there instead, 0 for none. */
  Map<String, Long> jobs() {
    return Collections.unmodifiableMap(versions);
  }

  void put(String id, long version) {
    versions.put(id, version);
  }

  /** The copy has taken in a record of the job, which was written under this base. */
  void seen(String id, long epoch) {
    versions.remove(id);
    epochs.put(id, epoch);
  }

  void forget(String id) {
    versions.remove(id);
    epochs.remove(id);
  }

  /** Whether all records are being taken in again, that may be of before what the copy has seen. */
  void rewinding(boolean now) {
    rewinding = now;
  }

  /**
   * Whether the record that is there is older than the one that the copy has seen.
   *
   * @param epoch what the deployment counted from when the record that is there was written
   * @param known the version that was seen; 0 for a job without a record of its own
   */
  boolean older(String id, long epoch, long known, long version) {
    if (!rewinding || known == 0) {
      return false;
    }
    long seen = epochs.getOrDefault(id, 0L);
    return epoch < seen || (epoch == seen && version < known);
  }
}
