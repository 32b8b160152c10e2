package io.tansystack.cluster;

import com.google.common.collect.Maps;
import io.tansystack.records.JobRecord;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The outcomes of finished jobs. An outcome is stored under the job's own key for a while, and is
 * then archived under {@link ClusterState#archiveKey}, which is not part of the cluster state. The
 * latest outcomes are remembered after that too, since users ask about jobs that have just
 * finished; a final state never changes.
 */
final class FinishedJobs {
  private static final int MAX_REMEMBERED = 50_000;

  /** An outcome that is still stored under the job's own key, which has this version. */
  record UnarchivedOutcome(JobRecord.Phase phase, long version) {}

  private final LinkedHashMap<String, JobRecord.Phase> remembered = new LinkedHashMap<>();
  private final Map<String, UnarchivedOutcome> unarchived = new LinkedHashMap<>();

  /** Records that the job has finished; if it has placements left, its record will still change. */
  void recordFinished(String id, JobRecord record, long version) {
    remembered.put(id, record.phase());
    if (remembered.size() > MAX_REMEMBERED) {
      remembered.remove(remembered.keySet().iterator().next());
    }
    if (record.spec() == null) {
      unarchived.put(id, new UnarchivedOutcome(record.phase(), version));
    }
  }

  /** Records that the job's own key has been deleted. */
  void recordArchived(String id) {
    unarchived.remove(id);
  }

  /** The job's final phase; null if the job is not known to have finished. */
  JobRecord.Phase phase(String id) {
    UnarchivedOutcome outcome = unarchived.get(id);
    return outcome == null ? remembered.get(id) : outcome.phase;
  }

  /**
   * The unarchived outcomes that may be archived.
   *
   * @param retained whether the job's own key has to stay
   */
  Map<String, UnarchivedOutcome> unarchived(Predicate<String> retained) {
    return Maps.filterKeys(unarchived, id -> !retained.test(id));
  }
}
