package io.tansystack.workers;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.http.Callbacks;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.recovery.OwnerLiveness.Verdict;
import io.tansystack.recovery.RecoveryContext;
import io.tansystack.store.RateBudget;
import io.tansystack.store.StoreClient.CommitCallback;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Report;
import io.tansystack.wire.Responses;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims machines. A worker that reports here although this controller is not its owner is
 * redirected to its owner, or its machine is claimed if there is no owner that can serve it.
 */
final class MachineClaims {
  private static final Logger log = LoggerFactory.getLogger(MachineClaims.class);
  private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(3500);

  /**
   * A worker that was redirected to its owner and can't reach it is back within this time: 4 s
   * without a response, and a second of waiting. A worker that receives no responses at all tries
   * every controller before it returns, which takes longer; a claim of its machine would only be
   * followed by the claim of the next controller.
   */
  private static final Duration REDIRECT_MEMORY = Duration.ofSeconds(8);

  private static final double CLAIM_WRITE_SHARE = 0.25;
  private static final int MAX_REDIRECTS = 10_000;
  private static final long FIRST_SESSION = 1;
  static final int RETRY_AFTER_S = 1;

  /** Answers, as the owner, a worker whose machine has been claimed. */
  interface ClaimListener {
    void onClaimed(MachineRecord record, Report report, Reply reply);
  }

  private record WaitingReport(Report report, Reply reply, Duration deadline) {}

  /**
   * A claim in progress and the reports that wait for it; {@code revision} is that of the write, 0
   * until it is committed.
   */
  private static final class PendingClaim {
    final List<WaitingReport> waiting = new ArrayList<>();
    long revision;
  }

  private record Redirect(int times, Duration at) {}

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final String label;
  private final String zone;
  private final Predicate<String> unfit;
  private final RecoveryContext recovery;
  private final Predicate<MachineRecord> mayAnswer;
  private final ClaimListener claimListener;
  private final Map<String, PendingClaim> pendingClaims = new HashMap<>();
  private final ClaimBatcher claimBatcher;
  private final Map<String, Redirect> redirects = new HashMap<>();

  /** Claims may use only a part of the write limit: after a crash all machines need one at once. */
  private final RateBudget claimBudget;

  /**
   * @param unfit controllers to which no worker should be redirected
   * @param recovery evaluates owners that don't respond, and fails their machines over
   * @param mayAnswer whether a record is this controller's own and its worker may be answered under
   *     it
   */
  MachineClaims(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      String label,
      String incarnation,
      String zone,
      double writesPerSecond,
      Predicate<String> unfit,
      RecoveryContext recovery,
      Predicate<MachineRecord> mayAnswer,
      ClaimListener claimListener) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.label = label;
    this.zone = zone;
    this.unfit = unfit;
    this.recovery = recovery;
    this.mayAnswer = mayAnswer;
    this.claimListener = claimListener;
    this.claimBatcher = new ClaimBatcher(loop, store, incarnation);
    this.claimBudget =
        new RateBudget(
            writesPerSecond * CLAIM_WRITE_SHARE,
            Math.max(2, writesPerSecond * CLAIM_WRITE_SHARE * 2),
            loop.now());
  }

  /**
   * Asks the worker to retry, and returns true, if its owner is expected back or is overdue, or if
   * the record names this controller itself: its own cache is then about to show under which token
   * the worker must be answered. The machines of an overdue owner are failed over.
   */
  boolean deferToExpectedOwner(MachineRecord record, Reply reply) {
    Verdict verdict = verdict(record);
    if (verdict == Verdict.LATE) {
      recovery
          .failoverCoordinator()
          .failOver(record, record.owner() + " is overdue and its workers report here");
    } else if (verdict != Verdict.AWAITED) {
      return false;
    }
    reply.send(
        503, Cbor.encode(Responses.error(record.owner() + " is expected back")), RETRY_AFTER_S);
    return true;
  }

  private Verdict verdict(MachineRecord record) {
    return record.owner().equals(label)
        ? Verdict.AWAITED
        : recovery.ownerLiveness().verdict(record.owner());
  }

  /**
   * Handles the report of a worker whose machine this controller does not own, and whose owner is
   * not expected back. If the owner is alive, the worker is redirected to it, unless this
   * controller is in the worker's zone and the owner is not. If there is no live owner and this
   * controller is not in the worker's zone, the worker is redirected to a controller that is, if
   * one is fit for workers. In all other cases, and if the worker keeps coming back although it was
   * redirected, its machine is claimed.
   */
  void claimOrRedirect(MachineRecord record, Report report, Reply reply) {
    Duration now = loop.now();
    if (record == null
        && report.session() <= FIRST_SESSION
        && clusterState.isGoneMachine(report.machine())) {
      // A machine is declared gone only after its session has ended, so this is a late copy of an
      // earlier report.
      reply.send(503, Cbor.encode(Responses.error("the machine is gone")), RETRY_AFTER_S);
      return;
    }
    boolean ownerLives = record != null && verdict(record) == Verdict.HERE;
    String target = null;
    if (ownerLives) {
      boolean ownerInWorkerZone = isInZone(record.owner(), report.zone());
      if (ownerInWorkerZone || !zone.equals(report.zone())) {
        target = record.owner();
      }
    } else if (!zone.equals(report.zone())) {
      target = controllerInZone(report.machine(), report.zone());
    }
    if (target != null) {
      Redirect before = redirects.get(report.machine());
      boolean recent = before != null && now.minus(before.at).compareTo(REDIRECT_MEMORY) < 0;
      int times = recent ? before.times + 1 : 1;
      if (times <= 2) {
        if (redirects.size() >= MAX_REDIRECTS) {
          redirects.clear();
        }
        redirects.put(report.machine(), new Redirect(times, now));
        reply.send(421, Cbor.encode(Responses.redirect(target)));
        return;
      }
    }
    claimWithinBudget(record, report, reply);
  }

  /** Claims the machine if the claim budget allows it, and answers the worker after that. */
  void claimWithinBudget(MachineRecord record, Report report, Reply reply) {
    boolean neverClaimed = record == null && clusterState.machineVersion(report.machine()) == 0;
    if (!neverClaimed
        && !pendingClaims.containsKey(report.machine())
        && !claimBudget.tryAcquire(1, true, loop.now())) {
      // Its former owner may be back before the worker's next attempt; then no claim is needed.
      reply.send(503, Cbor.encode(Responses.error("too many machines to claim")));
      return;
    }
    redirects.remove(report.machine());
    claim(record, neverClaimed, report, reply);
  }

  private boolean isInZone(String controller, String targetZone) {
    ClusterState.ControllerRecord record = clusterState.controllers().get(controller);
    return record != null && record.zone().equals(targetZone);
  }

  /**
   * Picks another controller of the zone by a hash of the machine's name: one controller would be
   * overloaded by the workers of all machines.
   */
  private String controllerInZone(String machine, String targetZone) {
    List<String> candidates = new ArrayList<>();
    for (Map.Entry<String, ClusterState.ControllerRecord> entry :
        clusterState.controllers().entrySet()) {
      if (entry.getValue().zone().equals(targetZone)
          && !entry.getKey().equals(label)
          && !unfit.test(entry.getKey())) {
        candidates.add(entry.getKey());
      }
    }
    return candidates.isEmpty()
        ? null
        : candidates.get(Math.floorMod(machine.hashCode(), candidates.size()));
  }

  private void claim(MachineRecord before, boolean neverClaimed, Report report, Reply reply) {
    String name = report.machine();
    PendingClaim pending = pendingClaims.computeIfAbsent(name, k -> new PendingClaim());
    pending.waiting.add(new WaitingReport(report, reply, loop.now().plus(CLAIM_TIMEOUT)));
    if (pending.waiting.size() > 1) {
      return;
    }
    MachineRecord next =
        new MachineRecord(
            name,
            label,
            report.address(),
            report.type(),
            report.zone(),
            report.spot(),
            before != null && before.drain(),
            0,
            false);
    CommitCallback callback =
        (result, revision) -> {
          if (result != CommitResult.DONE) {
            failClaim(name);
          } else {
            pending.revision = revision;
            completeClaim(name);
          }
        };
    if (!neverClaimed) {
      writeOwner(
          before,
          next,
          "report of session " + report.session() + " token " + report.token(),
          callback);
    } else if (!claimBatcher.claim(next, callback)) {
      failClaim(name);
    }
  }

  private void failClaim(String name) {
    PendingClaim pending = pendingClaims.remove(name);
    if (pending != null) {
      Callbacks.forEach(
          pending.waiting,
          c -> c.reply.send(503, Cbor.encode(Responses.error("the claim did not succeed"))));
    }
  }

  /**
   * Claims a machine that this controller owns once more, which invalidates commands that got no
   * response.
   */
  void reclaim(OwnedMachine machine, MachineRecord record) {
    machine.recordWriteInFlight = true;
    writeOwner(
        record,
        record.ownedBy(label),
        "commands without a response under token " + machine.unconfirmedToken,
        (result, revision) -> {
          machine.recordWriteInFlight = false;
          if (result != CommitResult.DONE) {
            machine.backOffUntil = loop.now().plusMillis(500);
          }
        });
  }

  /** Writes a new owner, on the condition that the machine's record has not changed. */
  void writeOwner(
      MachineRecord before, MachineRecord next, String reason, CommitCallback callback) {
    String key = ClusterState.machineKey(next.name());
    Condition unchanged =
        before == null
            // The version of the tombstone, if the machine was gone before.
            ? new Condition(key, clusterState.machineVersion(next.name()))
            : before.condition();
    store.commitUrgent(
        List.of(unchanged),
        List.of(new Write(key, next.write(), 0)),
        Duration.ofSeconds(2),
        (result, revision) -> {
          if (result == CommitResult.DONE) {
            log.info(
                "claim machine={} token={} former={} because={}",
                next.name(),
                revision,
                before == null ? "none" : before.owner() + "@" + before.version(),
                reason);
          } else {
            log.info("claim failed machine={} result={} because={}", next.name(), result, reason);
          }
          callback.done(result, revision);
        });
  }

  /** Completes the claims that the changed cluster state shows. */
  void onClusterStateChange() {
    Callbacks.forEach(List.copyOf(pendingClaims.keySet()), this::completeClaim);
  }

  /**
   * Answers the waiting reports once the cluster state shows this controller as the owner. Another
   * controller's claim batch may have named the machine earlier: then this claim has no effect, and
   * it fails once the cluster state includes its write.
   */
  private void completeClaim(String name) {
    PendingClaim pending = pendingClaims.get(name);
    MachineRecord record = clusterState.machine(name);
    if (pending == null) {
      return;
    }
    if (mayAnswer.test(record)) {
      pendingClaims.remove(name);
      Callbacks.forEach(
          pending.waiting, c -> claimListener.onClaimed(record, c.report, c.reply));
    } else if (pending.revision > 0 && clusterState.revision() >= pending.revision) {
      failClaim(name);
    }
  }

  /** Fails the claims that have taken too long. */
  void tick(Duration now) {
    for (String name : List.copyOf(pendingClaims.keySet())) {
      List<WaitingReport> waiting = pendingClaims.get(name).waiting;
      if (!waiting.isEmpty() && now.compareTo(waiting.get(0).deadline) > 0) {
        failClaim(name);
      }
    }
  }

  /** Fails over the machines of an owner that has no record and is overdue. */
  void failOverIfOverdue(MachineRecord orphan) {
    if (recovery.ownerLiveness().verdict(orphan.owner()) == Verdict.LATE) {
      recovery
          .failoverCoordinator()
          .failOver(orphan, orphan.owner() + " is overdue and owns machines");
    }
  }
}
