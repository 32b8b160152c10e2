package io.tansystack.sessions;

import io.tansystack.sessions.CoverageClock.Answer;
import io.tansystack.sessions.IdleDecision.Decision;
import io.tansystack.sessions.IdleDecision.Known;
import io.tansystack.sessions.IdleDecision.Step;
import io.tansystack.sessions.SessionRecord.State;
import io.tansystack.settings.IdlePolicy;
import io.tansystack.settings.IdlePolicy.Activity;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The sessions of one slot, as its holder knows them: how long each is out of use by counted time, and what
 * is to be written of it. Taken up from the records and marks by whoever comes to hold the slot.
 */
public final class Keeper {
  /** What a controller answered, and when. */
  public record Told(Duration askedAt, Duration answeredAt, Digest digest) {}

  /** A session with its record's version. */
  public record Session(SessionRecord record, long version, IdlePolicy policy) {}

  /** What is to be written of a session. */
  public record Due(Session session, Decision decision) {}

  private static final class Tracked {
    Session session;

    /** Counted time at which it was last in use, its owner returned, and it was opened. */
    Duration used;

    Duration returned;
    Duration opened;

    /** Counted time since which its warning is on offer everywhere; null for not yet. */
    Duration offered;
  }

  private final Duration span;
  private final int spansKept;
  private final CoverageClock clock;
  private final Map<String, Tracked> sessions = new TreeMap<>();
  private ActivityMarks marks;
  private Duration spanBegan = Duration.ZERO;
  private Duration askedAt;
  private Set<String> members = Set.of();

  /**
   * @param beat how often watchers and agents are heard
   * @param span the length of a span of the marks: half of the shortest warning
   * @param spansKept so many are kept: as many as the longest idle time needs
   * @param marks as the slot's holder of before wrote them
   */
  public Keeper(Duration beat, Duration span, int spansKept, ActivityMarks marks, Duration now) {
    this.span = span;
    this.spansKept = spansKept;
    this.marks = marks;
    this.clock = new CoverageClock(beat);
    clock.interrupted(now);
  }

  /** This process stood still or was cut off. */
  public void interrupted(Duration now) {
    clock.interrupted(now);
  }

  /** A session's record is new or has changed; one that is over is no longer kept. */
  public void put(Session session) {
    SessionRecord record = session.record;
    if (record.state().over()) {
      sessions.remove(record.id());
      return;
    }
    Tracked tracked = sessions.get(record.id());
    if (tracked == null) {
      tracked = new Tracked();
      int idle = marks.idleSpans(record.index(), record.openedSpan());
      tracked.used = clock.counted().minus(span.multipliedBy(idle));
      tracked.returned = tracked.used;
      tracked.opened =
          clock.counted().minus(span.multipliedBy(Math.max(0, marks.newest() - record.openedSpan())));
      sessions.put(record.id(), tracked);
    }
    if (tracked.session == null || tracked.session.version != session.version) {
      tracked.offered = null;
    }
    tracked.session = session;
  }

  public void remove(String id) {
    sessions.remove(id);
  }

  /** What to ask the others for: all that was heard since the last round that all answered. */
  public Duration window(Duration now) {
    return askedAt == null ? Beats.KEPT : now.minus(askedAt).plusSeconds(1);
  }

  /**
   * The answers of a round. What any of them has heard is taken in at once, whether or not all have
   * answered; only a round that all have answered makes time count.
   *
   * @param now the controllers that have a record, this one included
   */
  public void round(Map<String, Told> told, Collection<String> now, Duration at) {
    for (String member : members) {
      if (!now.contains(member)) {
        clock.memberEnded(at);
      }
    }
    members = Set.copyOf(now);
    Map<String, Answer> answers = new HashMap<>();
    told.forEach(
        (member, t) ->
            answers.put(member, new Answer(t.askedAt, t.answeredAt, t.digest.keeps())));
    Duration complete = clock.round(answers, members);
    long revision = Long.MAX_VALUE;
    for (String member : members) {
      Told t = told.get(member);
      revision = Math.min(revision, t == null ? -1 : t.digest.revision());
    }
    told.values().forEach(t -> t.digest.sessions().forEach(this::take));
    for (Tracked tracked : sessions.values()) {
      boolean warned = tracked.session.record.state() == State.WARNED;
      if (warned && tracked.offered == null && complete != null && revision >= tracked.session.version) {
        tracked.offered = clock.counted();
      }
    }
    askedAt = complete == null ? askedAt : complete;
  }

  private void take(String id, Digest.Seen seen) {
    Tracked tracked = sessions.get(id);
    if (tracked == null) {
      return;
    }
    for (Activity kind : tracked.session.policy.counts()) {
      Duration age = seen.ages().get(kind);
      if (age != null) {
        tracked.used = later(tracked.used, clock.counted().minus(age));
      }
    }
    if (seen.returned() != null) {
      tracked.returned = later(tracked.returned, clock.counted().minus(seen.returned()));
    }
  }

  private static Duration later(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }

  /**
   * What is to be written now.
   *
   * @param wanted sessions whose room waiting work could use
   */
  public List<Due> due(Set<String> wanted) {
    List<Due> due = new ArrayList<>();
    Duration counted = clock.counted();
    for (Tracked t : sessions.values()) {
      SessionRecord record = t.session.record;
      Decision decision =
          IdleDecision.decide(
              t.session.policy,
              new Known(
                  record.state(),
                  record.reason(),
                  counted.minus(t.used),
                  t.offered == null ? Duration.ZERO : counted.minus(t.offered),
                  counted.minus(t.returned),
                  counted.minus(t.opened),
                  wanted.contains(record.id())));
      if (decision.step() != Step.STAY) {
        due.add(new Due(t.session, decision));
      }
    }
    return due;
  }

  /** For how long a session has been out of use, by counted time; null if it isn't kept here. */
  public Duration idle(String id) {
    Tracked tracked = sessions.get(id);
    return tracked == null ? null : clock.counted().minus(tracked.used);
  }

  /** The marks to be written, if a span has gone by since the last; null if none has. */
  public ActivityMarks nextMarks() {
    if (clock.counted().minus(spanBegan).compareTo(span) < 0) {
      return null;
    }
    BitSet active = new BitSet();
    for (Tracked tracked : sessions.values()) {
      if (tracked.used.compareTo(spanBegan) >= 0) {
        active.set(tracked.session.record.index());
      }
    }
    return marks.with(active, spansKept);
  }

  /** The marks were written: the next span has begun. */
  public void written(ActivityMarks next) {
    marks = next;
    spanBegan = spanBegan.plus(span);
  }

  public ActivityMarks marks() {
    return marks;
  }
}
