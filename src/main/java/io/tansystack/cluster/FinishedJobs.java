package io.tansystack.cluster;

import com.google.common.collect.Maps;
import io.tansystack.records.JobRecord;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * How jobs have ended. What is left of such a job stands under its own key for a while, and is then put
 * away under {@link ClusterState#endedKey}, which is no part of the copy. It is remembered for some time after,
 * since users ask about what has just ended; a final state never changes.
 */
final class FinishedJobs {
  private static final int MAX_REMEMBERED = 50_000;

  /** An outcome that stands under the job's own key, of this version. */
  record UnarchivedOutcome(JobRecord.Phase phase, long version) {}

  private final LinkedHashMap<String, JobRecord.Phase> remembered = new LinkedHashMap<>();
  private final Map<String, UnarchivedOutcome> standing = new LinkedHashMap<>();

  /** The job is over; with placements left, its record is still to change. */
  void over(String id, JobRecord record, long version) {
    remembered.put(id, record.phase());
    if (remembered.size() > MAX_REMEMBERED) {
      remembered.remove(remembered.keySet().iterator().next());
    }
    if (record.spec() == null) {
      standing.put(id, new UnarchivedOutcome(record.phase(), version));
    }
  }

  /** There is nothing under the job's own key any more. */
  void putAway(String id) {
    standing.remove(id);
  }

  /** The final state, if the job is known to have one. */
  JobRecord.Phase phase(String id) {
    UnarchivedOutcome s = standing.get(id);
    return s == null ? remembered.get(id) : s.phase;
  }

  /** Those that stand under their own keys, and that nothing keeps there. */
  Map<String, UnarchivedOutcome> standing(Predicate<String> kept) {
    return Maps.filterKeys(standing, id -> !kept.test(id));
  }
}
