package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.SlotManager;
import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import io.tansystack.workers.TerminationProofs;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes termination proofs for jobs in other controllers' slots, where the slot's holder does not
 * apply them.
 */
final class FallbackProofWriter {
  private static final Logger log = LoggerFactory.getLogger(FallbackProofWriter.class);

  /** How long proofs may stay unapplied if the slot's holder is gone or not able to schedule. */
  private static final Duration INACTIVE_HOLDER_DELAY = Duration.ofMillis(2500);

  /**
   * How long proofs may stay unapplied if the slot's holder is able to schedule. Such a holder has
   * at times more proofs to write than the write limit allows: after a fleet has lost its leases,
   * there are proofs for every job at once. If all other controllers helped, their writes would
   * only conflict with each other.
   */
  private static final Duration ACTIVE_HOLDER_DELAY = Duration.ofSeconds(30);

  /** Proofs for a job whose record has kept this version since that time. */
  private record UnappliedProof(long version, Duration since) {}

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final SlotManager slotManager;
  private final SchedulingState schedulingState;
  private final Predicate<String> canAct;
  private final Runnable requestPass;
  private final Map<String, UnappliedProof> unapplied = new HashMap<>();

  /** @param canAct whether a controller is heard from and reports that it is able to schedule */
  FallbackProofWriter(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      SlotManager slotManager,
      SchedulingState schedulingState,
      Predicate<String> canAct,
      Runnable requestPass) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.slotManager = slotManager;
    this.schedulingState = schedulingState;
    this.canAct = canAct;
    this.requestPass = requestPass;
  }

  /**
   * Writes proofs that have been known here for a while and that the slot's holder has not applied,
   * for instance because it can't be reached; users then learn that their job is finished without
   * waiting for the holder. The version of the job's record is a sufficient condition for such a
   * write.
   */
  void applyOverdueProofs() {
    Duration now = loop.now();
    unapplied.keySet().retainAll(schedulingState.jobsWithProofs());
    for (String id : List.copyOf(schedulingState.jobsWithProofs())) {
      Job job = clusterState.job(id);
      if (slotManager.holds(job.slot()) || schedulingState.isPending(id)) {
        unapplied.remove(id);
        continue;
      }
      UnappliedProof known = unapplied.get(id);
      if (known == null || known.version != job.version()) {
        unapplied.put(id, new UnappliedProof(job.version(), now));
        continue;
      }
      ClusterState.Holder holder = clusterState.slot(job.slot());
      boolean holderActive =
          holder != null
              && clusterState.alive(holder.label(), holder.incarnation())
              && canAct.test(holder.label());
      Duration delay = holderActive ? ACTIVE_HOLDER_DELAY : INACTIVE_HOLDER_DELAY;
      if (now.minus(known.since).compareTo(delay) < 0 || !store.reserve(1)) {
        continue;
      }
      unapplied.remove(id);
      List<Condition> conditions = new ArrayList<>(job.unchanged());
      JobUpdateBuilder.addProofConditions(schedulingState.proofs(id), new HashSet<>(), conditions);
      JobRecord next = schedulingState.effective().get(id);
      log.info("applying proofs for job={} in another controller's slot={}", id, job.slot());
      DroppedPlacementLog.log(id, schedulingState.proofs(id), clusterState.revision());
      schedulingState.writeStarted(job, next);
      store.commitReserved(
          conditions,
          List.of(new Write(ClusterState.jobKey(id), next.write(), 0)),
          (result, revision) ->
              loop.after(
                  Duration.ofMillis(300),
                  () -> {
                    schedulingState.discardWrite(id);
                    requestPass.run();
                  }));
    }
    if (!unapplied.isEmpty()) {
      loop.after(Duration.ofSeconds(1), requestPass);
    }
  }
}
