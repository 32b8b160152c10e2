package io.tansystack.sessions;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;

/**
 * A clock for silence: it counts only time during which every controller would have told of activity.
 * One that is frozen, cut off or silent makes it stand still, and so does this one's own failure, so that
 * no failure on our side makes a session look idle. All times are this controller's loop time; what
 * others say of the past they say as ages, so clocks that differ or jump don't matter.
 *
 * <p>Time that was not covered isn't counted and resets nothing: what a controller heard and took with it
 * comes again with the next beat, since beats carry the age of the last input and output.
 */
public final class CoverageClock {
  /**
   * A controller's answer to the question what it has heard.
   *
   * @param askedAt when the question was sent: the answer tells all that was heard before
   * @param answeredAt when the answer came, which is after it was made
   * @param keeps for how long before making the answer its teller has forgotten nothing
   */
  public record Answer(Duration askedAt, Duration answeredAt, Duration keeps) {
    /** From here on nothing heard is missing; later than the truth by at most the answer's way. */
    Duration begins() {
      return answeredAt.minus(keeps);
    }
  }

  private final Duration beat;
  private Duration counted = Duration.ZERO;
  private Duration coveredTo;

  /** @param beat within this, whoever was attached to a controller that ended is heard elsewhere */
  public CoverageClock(Duration beat) {
    this.beat = beat;
  }

  /** The time that has counted. */
  public Duration counted() {
    return counted;
  }

  /** This controller stood still, was cut off, or has just become the one that counts. */
  public void interrupted(Duration now) {
    skipTo(now);
  }

  /** A controller's record has ended: its watchers need up to a beat to be heard elsewhere. */
  public void memberEnded(Duration now) {
    skipTo(now.plus(beat));
  }

  private void skipTo(Duration at) {
    if (coveredTo == null || at.compareTo(coveredTo) > 0) {
      coveredTo = at;
    }
  }

  /**
   * All that answered in a round of questions. Without an answer from each member nothing counts yet;
   * the next complete round counts what they have kept.
   *
   * @param members the controllers that have a record, this one included
   * @return up to when all have answered; null if not all have
   */
  public Duration round(Map<String, Answer> answers, Collection<String> members) {
    if (members.isEmpty() || !answers.keySet().containsAll(members)) {
      return null;
    }
    Duration to = null;
    Duration from = coveredTo;
    for (String member : members) {
      Answer answer = answers.get(member);
      if (to == null || answer.askedAt().compareTo(to) < 0) {
        to = answer.askedAt();
      }
      if (from == null || answer.begins().compareTo(from) > 0) {
        from = answer.begins();
      }
    }
    if (to.compareTo(from) > 0) {
      counted = counted.plus(to.minus(from));
    }
    skipTo(to);
    return to;
  }
}
