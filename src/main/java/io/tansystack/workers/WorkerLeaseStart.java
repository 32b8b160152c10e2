package io.tansystack.workers;

import java.time.Duration;

/**
 * The latest moment from which a worker's lease can count, as far as its owner can't exclude it.
 *
 * <p>A start command names its session, so tasks can be on a machine only in a session that an
 * owner has heard of. The lease of a session counts from its beginning, or from the sending of its
 * last answered report. Either was before one of three moments: this owner received the last report
 * that it answered; this owner first heard of the newest session, by whatever message; a former
 * owner could last answer reports, or send commands in a session that this owner hasn't heard of.
 */
final class WorkerLeaseStart {
  /** What the lease can have counted from. */
  enum Event { ANSWERED_REPORT, SESSION_FIRST_SEEN, FORMER_OWNER }

  private static final long UNHEARD = 0;

  private Duration answeredAt;
  private Duration formerOwnerUntil;
  private Duration sessionSeenAt;
  private long session = UNHEARD;

  /**
   * @param now when this controller became the owner
   * @param formerOwnerUntil the latest moment at which a former owner can answer its worker
   */
  WorkerLeaseStart(Duration now, Duration formerOwnerUntil) {
    this.answeredAt = now;
    this.formerOwnerUntil = formerOwnerUntil;
    this.sessionSeenAt = now;
  }

  /** This controller has answered a report that is newer than all before. */
  void onAnswered(Duration now) {
    answeredAt = now;
  }

  /**
   * A message shows the session: a report, answered or not, or a response to commands.
   *
   * @return whether it is later than any that this controller has heard of
   */
  boolean onSessionSeen(long seen, Duration now) {
    if (seen <= session) {
      return false;
    }
    session = seen;
    sessionSeenAt = now;
    return true;
  }

  /** Another controller may have owned the machine until then. */
  void onFormerOwner(Duration until) {
    formerOwnerUntil = until;
  }

  /**
   * The worker has reported this controller's token, in any kind of message: from now on it refuses
   * the responses and commands of former owners. Until now it may have accepted them, even if this
   * controller has answered it before.
   */
  void onTokenReported(Duration now) {
    if (now.compareTo(formerOwnerUntil) < 0) {
      formerOwnerUntil = now;
    }
  }

  /** When the last report arrived that this controller has answered. */
  Duration answeredAt() {
    return answeredAt;
  }

  /** When this controller first heard of the newest session. */
  Duration sessionSeenAt() {
    return sessionSeenAt;
  }

  /** The latest moment at which a former owner can have acted for the worker. */
  Duration formerOwnerUntil() {
    return formerOwnerUntil;
  }

  /** The latest of the moments from which the lease can count. */
  Duration latest() {
    return switch (latestEvent()) {
      case ANSWERED_REPORT -> answeredAt;
      case SESSION_FIRST_SEEN -> sessionSeenAt;
      case FORMER_OWNER -> formerOwnerUntil;
    };
  }

  /** What the latest of the moments is. */
  Event latestEvent() {
    boolean answeredAfterSeen = answeredAt.compareTo(sessionSeenAt) >= 0;
    Duration own = answeredAfterSeen ? answeredAt : sessionSeenAt;
    if (formerOwnerUntil.compareTo(own) > 0) {
      return Event.FORMER_OWNER;
    }
    return answeredAfterSeen ? Event.ANSWERED_REPORT : Event.SESSION_FIRST_SEEN;
  }
}
