package io.tansystack.sessions;

import io.tansystack.sessions.SessionRecord.State;
import io.tansystack.settings.IdlePolicy;
import java.time.Duration;

/** What is to be written of a session next. A pure function of what is known of it. */
public final class IdleDecision {
  private IdleDecision() {}

  /** What is to be done. */
  public enum Step {
    STAY,
    WARN,
    RESUME,
    RECLAIM
  }

  /** With the reason, as it goes into the record and the log. */
  public record Decision(Step step, String reason) {}

  public static final String IDLE = "idle";
  public static final String WANTED = "idle and wanted";
  public static final String LIFE = "at the end of its life";

  private static final Decision STAY = new Decision(Step.STAY, "");

  /**
   * What is known of a session.
   *
   * @param state as written
   * @param warnedFor why it was warned; empty if it wasn't
   * @param idle counted time since it was last in use by its policy
   * @param offered counted time for which its warning has been on offer to whoever watches
   * @param sinceReturn counted time since its owner last came back to it
   * @param age counted time since it was opened
   * @param wanted whether waiting work could use exactly what it holds
   */
  public record Known(
      State state,
      String warnedFor,
      Duration idle,
      Duration offered,
      Duration sinceReturn,
      Duration age,
      boolean wanted) {}

  public static Decision decide(IdlePolicy policy, Known known) {
    return switch (known.state()) {
      case ACTIVE -> active(policy, known);
      case WARNED -> warned(policy, known);
      case RECLAIMING, RECLAIMED, CLOSED -> STAY;
    };
  }

  private static Decision active(IdlePolicy policy, Known known) {
    if (known.age().compareTo(policy.life()) >= 0) {
      return new Decision(Step.WARN, LIFE);
    }
    if (known.sinceReturn().compareTo(policy.grace()) < 0) {
      return STAY;
    }
    if (known.idle().compareTo(policy.idle()) >= 0) {
      return new Decision(Step.WARN, IDLE);
    }
    boolean soon = known.wanted() && known.idle().compareTo(policy.idleWaiting()) >= 0;
    return soon ? new Decision(Step.WARN, WANTED) : STAY;
  }

  /** Use takes back a warning, but for one at the end of its life; so does that nobody waits any more. */
  private static Decision warned(IdlePolicy policy, Known known) {
    if (!known.warnedFor().equals(LIFE)) {
      if (known.idle().compareTo(policy.idleWaiting()) < 0) {
        return new Decision(Step.RESUME, "in use");
      }
      boolean longer = known.idle().compareTo(policy.idle()) >= 0;
      if (known.warnedFor().equals(WANTED) && !known.wanted() && !longer) {
        return new Decision(Step.RESUME, "nobody waits for it any more");
      }
    }
    return known.offered().compareTo(policy.warning()) >= 0
        ? new Decision(Step.RECLAIM, known.warnedFor())
        : STAY;
  }
}
