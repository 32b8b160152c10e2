package io.tansystack.recovery;

import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * What to make of a controller that owns a machine whose worker comes here. After all of them ended
 * they come back one after the other within a second or two, and a claim of each machine by whoever is
 * first would use up the write limit for seconds, for nothing. So an owner that may be starting is
 * awaited: as long as its workers' leases certainly allow, and no longer than starts have been seen to
 * take. No rule rests on a verdict; a wrong one costs one write or some seconds.
 */
public final class OwnerLiveness {
  /** What to do with a worker of the controller. */
  public enum Verdict {
    /** It acts: its workers belong there. */
    HERE,
    /** Its process seems to have ended, and may be back any moment. */
    AWAITED,
    /** It has no record and is late, or nothing says that it is coming back. */
    LATE,
    /** It has its record but does not answer, or does not hear its workers. */
    UNFIT
  }

  /** Its peers start as late as this controller did, give or take. */
  private static final Duration SETTLE = Duration.ofMillis(2500);

  /** A worker tries again after a second; the heirs are written and known; it is sent on and answered. */
  private static final Duration HANDOVER = Duration.ofMillis(3500);

  /** A record may outlive its time by so much at the state service, and by a renewal's interval. */
  private static final Duration RECORD_MARGIN = Duration.ofSeconds(1);

  private static final int MAX_SEEN = 1000;

  /** The start whose record was seen last, and since when; since when it was away and without a record. */
  private static final class Seen {
    String boot;
    Duration bootSince;
    Duration awaySince;
    Duration goneSince;
  }

  private final EventLoop loop;
  private final ClusterState world;
  private final InstantSource clock;
  private final Duration recordLife;
  private final Duration workerLease;
  private final Duration reportInterval;
  private final RecoveryContext.PeerHealth contact;
  private final Map<String, Seen> seen = new HashMap<>();
  private Duration actsSince;

  /** Records of controllers that are later than this are none of before an end of all. */
  private long actsFrom;

  /** The newest sign of life in the records when this controller came to act. */
  private Duration aliveBefore;

  /** The longest start seen, from the last renewal to the new record; null for none. */
  private Duration longestStart;

  /** @param recordLife how long a controller's record outlives its last renewal */
  public OwnerLiveness(
      EventLoop loop,
      ClusterState world,
      InstantSource clock,
      Duration recordLife,
      Duration workerLease,
      Duration reportInterval,
      RecoveryContext.PeerHealth contact) {
    this.loop = loop;
    this.world = world;
    this.clock = clock;
    this.recordLife = recordLife;
    this.workerLease = workerLease;
    this.reportInterval = reportInterval;
    this.contact = contact;
  }

  /** What to make of the controller now; to be asked only while this one may act. */
  public Verdict verdict(String controller) {
    Duration now = loop.now();
    if (actsSince == null) {
      actsSince = now;
      actsFrom = world.revision();
      aliveBefore = lastSign(now);
    }
    Seen about = about(controller);
    ClusterState.ControllerRecord record = world.controllers().get(controller);
    if (record != null) {
      return present(about, record, controller, now);
    }
    if (about.goneSince == null) {
      about.goneSince = now;
    }
    boolean late = contact.silent().test(controller) || now.compareTo(lateAt(about)) >= 0;
    return late ? Verdict.LATE : Verdict.AWAITED;
  }

  private Seen about(String controller) {
    if (seen.size() >= MAX_SEEN) {
      seen.clear(); // Labels are those of the settings, a few; records of others may be strewn about.
    }
    return seen.computeIfAbsent(controller, k -> new Seen());
  }

  private Verdict present(
      Seen about, ClusterState.ControllerRecord record, String controller, Duration now) {
    if (about.boot != null && !about.boot.equals(record.boot()) && about.awaySince != null) {
      Duration took = now.minus(about.awaySince);
      longestStart = longestStart == null || took.compareTo(longestStart) > 0 ? took : longestStart;
    }
    if (!record.boot().equals(about.boot)) {
      about.bootSince = about.boot == null && record.version() <= actsFrom ? actsSince : now;
      about.boot = record.boot();
    }
    about.goneSince = null;
    boolean heard =
        (record.version() > actsFrom || contact.heard().test(controller))
            && !contact.refuses().test(controller);
    boolean unfit = contact.unfit().test(controller);
    if (heard && !unfit) {
      about.awaySince = null;
      return Verdict.HERE;
    }
    if (about.awaySince == null) {
      about.awaySince = now;
    }
    // The record may be that of a start which has ended, or the start so new that it may not act yet.
    // One that is renewed while connections are refused, or that is never heard of, is neither.
    Duration since = heard ? about.bootSince : about.awaySince;
    if (now.minus(since).compareTo(recordLife.plus(RECORD_MARGIN)) < 0) {
      return Verdict.AWAITED;
    }
    return unfit ? Verdict.UNFIT : Verdict.HERE;
  }

  /**
   * When the controller, whose record is gone, is late. Its workers' leases count from a report that
   * was sent up to an interval before the last one it can have answered.
   */
  private Duration lateAt(Seen about) {
    Duration answered = about.goneSince.minus(recordLife);
    if (about.goneSince.equals(actsSince) || answered.compareTo(actsSince) < 0) {
      // It had ended before this controller came to act, nobody here knows when.
      answered = aliveBefore.compareTo(answered) < 0 ? aliveBefore : answered;
    }
    if (about.awaySince == null) {
      about.awaySince = answered;
    }
    Duration leaseEnds =
        answered.plus(workerLease).minus(reportInterval.multipliedBy(5).dividedBy(4));
    Duration late = leaseEnds.minus(HANDOVER);
    if (longestStart != null) {
      Duration usual = answered.plus(longestStart.multipliedBy(2)).plus(RECORD_MARGIN);
      late = usual.compareTo(late) < 0 ? usual : late;
    }
    Duration settled = actsSince.plus(SETTLE);
    return late.compareTo(settled) > 0 ? late : settled;
  }

  /**
   * When somebody last accepted a job, by the records: some controller acted then. With no job left
   * there is no work to lose, and any moment will do.
   */
  private Duration lastSign(Duration now) {
    long newest =
        world.jobs().values().stream().mapToLong(job -> job.record().submittedMs()).max().orElse(0);
    long agoMs = Math.max(0, clock.millis() - newest);
    return now.minusMillis(Math.min(agoMs, Duration.ofDays(1).toMillis()));
  }
}
