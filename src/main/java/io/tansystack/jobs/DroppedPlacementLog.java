package io.tansystack.jobs;

import io.tansystack.workers.TerminationProofs;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs which placements a write removes and which termination proofs allow that: one line for each
 * job that is written.
 */
final class DroppedPlacementLog {
  private static final Logger log = LoggerFactory.getLogger(DroppedPlacementLog.class);

  /** Maximum number of placements whose proofs are listed in one line. */
  private static final int MAX_EVIDENCE = 60;

  private DroppedPlacementLog() {}

  /**
   * @param proofs the proofs that the job's next record has applied; null for none
   * @param revision the revision of the cluster state in which the proofs were found
   */
  static void log(String job, TerminationProofs proofs, long revision) {
    if (proofs == null || !log.isInfoEnabled()) {
      return;
    }
    List<TerminationProofs.Evidence> evidence = proofs.evidence();
    int omitted = evidence.size() - MAX_EVIDENCE;
    if (omitted > 0) {
      log.info(
          "drop job={} copy={} {} and {} more",
          job,
          revision,
          evidence.subList(0, MAX_EVIDENCE),
          omitted);
    } else {
      log.info("drop job={} copy={} {}", job, revision, evidence);
    }
  }
}
