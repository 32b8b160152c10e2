package io.tansystack.settings;

import java.time.Duration;
import java.util.Set;

/**
 * When a session counts as out of use, and what follows.
 *
 * @param jobClass the class to which it applies; null for any
 * @param team the team; null for any
 * @param accelerators whether the session has to hold some, or none; null for either
 * @param idle out of use for so long, it is warned though nobody waits for what it holds
 * @param idleWaiting the same, where waiting work could use exactly that; no longer than {@code idle}
 * @param warning for so long a warning has to be on offer before anything is reclaimed
 * @param grace after a return of its owner it isn't warned for so long, whatever is seen of it
 * @param life it is warned at this age even in use
 * @param counts what counts as use
 */
public record IdlePolicy(
    String jobClass,
    String team,
    Boolean accelerators,
    Duration idle,
    Duration idleWaiting,
    Duration warning,
    Duration grace,
    Duration life,
    Set<Activity> counts) {

  /** What can be seen of a session. */
  public enum Activity {
    /** Its owner typed or sent something. */
    INPUT("input"),
    /** It printed or answered something. */
    OUTPUT("output"),
    /** A client is attached and beats: its owner may be reading a long result. */
    WATCHER("watcher"),
    /** Its own agent says that a query or a cell is running. */
    QUERY("query"),
    /** Its own agent says that its process is busy. */
    BUSY("busy");

    private final String text;

    Activity(String text) {
      this.text = text;
    }

    /** Its name in settings and messages. */
    public String text() {
      return text;
    }

    /** Null for what is no kind of activity. */
    public static Activity parse(String text) {
      for (Activity activity : values()) {
        if (activity.text.equals(text)) {
          return activity;
        }
      }
      return null;
    }
  }

  /** Whether the policy is for sessions of this class and team, with accelerators or without. */
  public boolean appliesTo(String ofClass, String ofTeam, boolean withAccelerators) {
    return (jobClass == null || jobClass.equals(ofClass))
        && (team == null || team.equals(ofTeam))
        && (accelerators == null || accelerators == withAccelerators);
  }
}
