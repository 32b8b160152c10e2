package io.tansystack.recovery;

import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Evaluates whether the controller that owns a machine is alive, when the machine's worker contacts
 * this controller instead. After a full restart the controllers come back one after the other
 * within a second or two; if the first one claimed each machine, this would use up the write limit
 * for seconds, needlessly. So an owner that may be starting is waited for: as long as its workers'
 * leases certainly allow, and no longer than observed restarts have taken. Correctness does not
 * depend on a verdict; a wrong one costs one write or a few seconds.
 */
public final class OwnerLiveness {
  /** What to do with a worker of the controller. */
  public enum Verdict {
    /** It is active: its workers are redirected to it. */
    HERE,
    /** Its process seems to have ended, and is expected back at any moment. */
    AWAITED,
    /** It has no record and is overdue, or nothing suggests that it is coming back. */
    LATE,
    /** It has a record but does not respond, or does not receive its workers' reports. */
    UNFIT
  }

  /**
   * After a full restart the other controllers start at about the same time as this one: none is
   * overdue before this time has passed.
   */
  private static final Duration STABILIZATION_DELAY = Duration.ofMillis(2500);

  /**
   * The time until a worker is answered by a successor: the worker retries after 1 s, the failover
   * record is written and becomes known, and the worker is redirected and answered.
   */
  private static final Duration FAILOVER_TIME = Duration.ofMillis(3500);

  /** Allows for late expiry of a record in the state service, and for a renewal interval. */
  private static final Duration RECORD_MARGIN = Duration.ofSeconds(1);

  private static final int MAX_OBSERVED = 1000;

  /**
   * The incarnation whose record was seen last and the time at which it was first seen, and the
   * times since which the controller has been unreachable and without a record; null if it is not.
   */
  private static final class ObservedOwner {
    String incarnation;
    Duration incarnationSince;
    Duration unreachableSince;
    Duration unregisteredSince;
  }

  private final EventLoop loop;
  private final ClusterState clusterState;
  private final InstantSource clock;
  private final Duration recordTtl;
  private final Duration workerLease;
  private final Duration reportInterval;
  private final RecoveryContext.PeerHealth peerHealth;
  private final Map<String, ObservedOwner> observedOwners = new HashMap<>();
  /** The time at which this controller first evaluated an owner; null before that. */
  private Duration activeSince;

  /** Controller records with a later version were not written before a full restart. */
  private long activeFromRevision;

  /** The time of the newest activity in the records when this controller became active. */
  private Duration activityBefore;

  /** The longest restart observed, from the last renewal to the new record; null if none was. */
  private Duration longestRestart;

  /** @param recordTtl the time for which a controller's record outlives its last renewal */
  public OwnerLiveness(
      EventLoop loop,
      ClusterState clusterState,
      InstantSource clock,
      Duration recordTtl,
      Duration workerLease,
      Duration reportInterval,
      RecoveryContext.PeerHealth peerHealth) {
    this.loop = loop;
    this.clusterState = clusterState;
    this.clock = clock;
    this.recordTtl = recordTtl;
    this.workerLease = workerLease;
    this.reportInterval = reportInterval;
    this.peerHealth = peerHealth;
  }

  /** Evaluates the controller now; to be called only while this controller may act. */
  public Verdict verdict(String controller) {
    Duration now = loop.now();
    if (activeSince == null) {
      activeSince = now;
      activeFromRevision = clusterState.revision();
      activityBefore = lastActivity(now);
    }
    ObservedOwner owner = observed(controller);
    ClusterState.ControllerRecord record = clusterState.controllers().get(controller);
    if (record != null) {
      return registeredVerdict(owner, record, controller, now);
    }
    if (owner.unregisteredSince == null) {
      owner.unregisteredSince = now;
    }
    boolean late = peerHealth.unresponsive().test(controller) || now.compareTo(lateAt(owner)) >= 0;
    return late ? Verdict.LATE : Verdict.AWAITED;
  }

  private ObservedOwner observed(String controller) {
    if (observedOwners.size() >= MAX_OBSERVED) {
      // The settings name only a few controllers, but machine records may name arbitrary ones.
      observedOwners.clear();
    }
    return observedOwners.computeIfAbsent(controller, k -> new ObservedOwner());
  }

  private Verdict registeredVerdict(
      ObservedOwner owner, ClusterState.ControllerRecord record, String controller, Duration now) {
    if (owner.incarnation != null
        && !owner.incarnation.equals(record.incarnation())
        && owner.unreachableSince != null) {
      Duration took = now.minus(owner.unreachableSince);
      longestRestart =
          longestRestart == null || took.compareTo(longestRestart) > 0 ? took : longestRestart;
    }
    if (!record.incarnation().equals(owner.incarnation)) {
      owner.incarnationSince =
          owner.incarnation == null && record.version() <= activeFromRevision ? activeSince : now;
      owner.incarnation = record.incarnation();
    }
    owner.unregisteredSince = null;
    boolean heardFrom =
        (record.version() > activeFromRevision || peerHealth.heardFrom().test(controller))
            && !peerHealth.refusesConnections().test(controller);
    boolean unfit = peerHealth.unfit().test(controller);
    if (heardFrom && !unfit) {
      owner.unreachableSince = null;
      return Verdict.HERE;
    }
    if (owner.unreachableSince == null) {
      owner.unreachableSince = now;
    }
    // The record may belong to an incarnation that has ended, or to one so new that it may not act
    // yet. Neither is true if the record is still renewed while connections are refused, or if the
    // controller is never heard from.
    Duration since = heardFrom ? owner.incarnationSince : owner.unreachableSince;
    if (now.minus(since).compareTo(recordTtl.plus(RECORD_MARGIN)) < 0) {
      return Verdict.AWAITED;
    }
    return unfit ? Verdict.UNFIT : Verdict.HERE;
  }

  /**
   * The time from which the controller, whose record is gone, is overdue. Its workers' leases run
   * from a report that was sent up to an interval before the last one that it can have answered.
   */
  private Duration lateAt(ObservedOwner owner) {
    Duration lastAnswer = owner.unregisteredSince.minus(recordTtl);
    if (owner.unregisteredSince.equals(activeSince) || lastAnswer.compareTo(activeSince) < 0) {
      // It had ended before this controller became active; it is not known when.
      lastAnswer = activityBefore.compareTo(lastAnswer) < 0 ? activityBefore : lastAnswer;
    }
    if (owner.unreachableSince == null) {
      owner.unreachableSince = lastAnswer;
    }
    Duration leaseEnds =
        lastAnswer.plus(workerLease).minus(reportInterval.multipliedBy(5).dividedBy(4));
    Duration late = leaseEnds.minus(FAILOVER_TIME);
    if (longestRestart != null) {
      Duration expectedBack = lastAnswer.plus(longestRestart.multipliedBy(2)).plus(RECORD_MARGIN);
      late = expectedBack.compareTo(late) < 0 ? expectedBack : late;
    }
    Duration earliest = activeSince.plus(STABILIZATION_DELAY);
    return late.compareTo(earliest) > 0 ? late : earliest;
  }

  /**
   * The time at which the newest recorded job was accepted: a controller was active then. If there
   * is no job, there is no work to lose, and any time will do.
   */
  private Duration lastActivity(Duration now) {
    long newest =
        clusterState.jobs().values().stream()
            .mapToLong(job -> job.record().submittedMs())
            .max()
            .orElse(0);
    long agoMs = Math.max(0, clock.millis() - newest);
    return now.minusMillis(Math.min(agoMs, Duration.ofDays(1).toMillis()));
  }
}
