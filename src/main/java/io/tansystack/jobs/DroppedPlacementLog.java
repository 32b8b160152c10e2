package io.tansystack.jobs;

import io.tansystack.workers.TerminationProofs;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs which placements a write drops, and by which proofs: one line for each job that is written. */
final class DroppedPlacementLog {
  private static final Logger log = LoggerFactory.getLogger(DroppedPlacementLog.class);

  /** A line names the proofs for so many placements at most. */
  private static final int MOST_GROUNDS = 60;

  private DroppedPlacementLog() {}

  /**
   * @param proofs that the job's next record takes in; null for none
   * @param copy the revision of the copy of the records by which they were found
   */
  static void log(String job, TerminationProofs proofs, long copy) {
    if (proofs == null || !log.isInfoEnabled()) {
      return;
    }
    List<TerminationProofs.Evidence> grounds = proofs.evidence();
    int more = grounds.size() - MOST_GROUNDS;
    if (more > 0) {
      log.info("drop job={} copy={} {} and {} more", job, copy, grounds.subList(0, MOST_GROUNDS), more);
    } else {
      log.info("drop job={} copy={} {}", job, copy, grounds);
    }
  }
}
