package io.tansystack.sessions;

import io.tansystack.settings.IdlePolicy.Activity;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What this controller has heard of sessions, kept in its memory alone: beats cost no write. What is older
 * than {@link #KEPT} is forgotten; whoever asks less often than that is told so.
 */
public final class Beats {
  static final Duration KEPT = Duration.ofMinutes(10);

  /** A session's watchers beyond this are not told apart; their beats count as activity all the same. */
  private static final int MAX_WATCHERS = 16;

  private static final class Heard {
    final Map<Activity, Duration> at = new EnumMap<>(Activity.class);
    final Map<String, Duration> watchers = new LinkedHashMap<>();
    Duration returned;
    Duration heardAt;
  }

  private final Duration gone;
  private final int most;
  private final Map<String, Heard> sessions = new HashMap<>();
  private Duration listeningSince;

  /**
   * @param beat a watcher that hasn't beaten twice this long is no longer attached
   * @param most sessions that are kept; beats of more are refused
   */
  public Beats(Duration beat, int most, Duration now) {
    this.gone = beat.multipliedBy(2);
    this.most = most;
    this.listeningSince = now;
  }

  /** This process stood still: what came meanwhile may be lost. */
  public void listenAnew(Duration now) {
    listeningSince = now;
  }

  /**
   * A beat of a watcher or of the session's own agent.
   *
   * @param watcher null for the agent
   * @param ages the ages of the latest activity that its sender knows of: what another controller heard
   *     and took with it is told again this way
   * @return false if no more sessions can be kept, and the beat has to be refused
   */
  public boolean heard(
      String session, String watcher, Map<Activity, Duration> ages, Duration now) {
    Heard heard = sessions.get(session);
    if (heard == null) {
      if (sessions.size() >= most) {
        return false;
      }
      heard = new Heard();
      sessions.put(session, heard);
    }
    heard.heardAt = now;
    for (Map.Entry<Activity, Duration> entry : ages.entrySet()) {
      latest(heard, entry.getKey(), now.minus(entry.getValue()));
    }
    if (watcher != null) {
      latest(heard, Activity.WATCHER, now);
      if (heard.watchers.containsKey(watcher) || heard.watchers.size() < MAX_WATCHERS) {
        heard.watchers.put(watcher, now);
      }
    }
    return true;
  }

  private static void latest(Heard heard, Activity kind, Duration at) {
    heard.at.merge(kind, at, (a, b) -> a.compareTo(b) > 0 ? a : b);
  }

  /** A watcher has attached, which is a return of the session's owner. */
  public boolean attached(String session, String watcher, Duration now) {
    if (!heard(session, watcher, Map.of(), now)) {
      return false;
    }
    sessions.get(session).returned = now;
    return true;
  }

  /** A watcher has left in order. */
  public void detached(String session, String watcher) {
    Heard heard = sessions.get(session);
    if (heard != null) {
      heard.watchers.remove(watcher);
    }
  }

  /**
   * Everything heard within the window.
   *
   * @param asked the sessions that are asked for
   * @param revision up to which this controller's copy of the records is complete
   */
  public Digest digest(Duration window, Predicate<String> asked, long revision, Duration now) {
    forget(now);
    Map<String, Digest.Seen> seen = new LinkedHashMap<>();
    sessions.forEach(
        (id, heard) -> {
          if (now.minus(heard.heardAt).compareTo(window) <= 0 && asked.test(id)) {
            Map<Activity, Duration> ages = new EnumMap<>(Activity.class);
            heard.at.forEach((kind, at) -> ages.put(kind, now.minus(at)));
            Duration returned = heard.returned == null ? null : now.minus(heard.returned);
            seen.put(id, new Digest.Seen(heard.watchers.size(), returned, ages));
          }
        });
    Duration keeps = now.minus(listeningSince);
    return new Digest(keeps.compareTo(KEPT) < 0 ? keeps : KEPT, revision, seen);
  }

  private void forget(Duration now) {
    sessions
        .values()
        .removeIf(
            heard -> {
              heard.watchers.values().removeIf(at -> now.minus(at).compareTo(gone) > 0);
              return now.minus(heard.heardAt).compareTo(KEPT) > 0;
            });
  }

  /** Sessions that are kept. */
  public int size() {
    return sessions.size();
  }
}
