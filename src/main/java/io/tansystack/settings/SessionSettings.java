package io.tansystack.settings;

import io.tansystack.settings.IdlePolicy.Activity;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * The operators' settings for interactive sessions, table {@code sessions} of their file.
 *
 * @param enabled whether sessions may be opened at all
 * @param most how many may be open; more are refused with when to come back
 * @param beat how often a client that is attached and a session's agent have to be heard
 * @param policies the first that applies counts; the last applies to all
 */
public record SessionSettings(
    boolean enabled, int most, Duration beat, List<IdlePolicy> policies) {
  private static final double DAY_S = 86_400;
  private static final double YEAR_S = 365 * DAY_S;

  public static SessionSettings parse(String text) throws SettingsException {
    return read(TomlTable.parse("operators' settings", text));
  }

  static SessionSettings read(TomlTable root) throws SettingsException {
    TomlTable table = root.tableOrEmpty("sessions");
    Duration beat = table.secondsOr("beat_s", 15, 1, 600);
    List<IdlePolicy> policies = new ArrayList<>();
    for (TomlTable policy : table.tables("policy")) {
      policies.add(policy(policy, beat));
    }
    policies.add(policy(table, beat));
    return new SessionSettings(
        table.flagOr("enabled", false),
        table.integerOr("most", 10_000, 1, 100_000),
        beat,
        List.copyOf(policies));
  }

  private static IdlePolicy policy(TomlTable table, Duration beat) throws SettingsException {
    Duration idle = table.secondsOr("idle_s", 1800, 1, 30 * DAY_S);
    Duration idleWaiting =
        table.secondsOr("idle_waiting_s", Math.min(600, seconds(idle)), 1, seconds(idle));
    // A warning must outlast the beat in which its client learns of it.
    Duration warning = table.secondsOr("warning_s", Math.max(300, 2 * seconds(beat)), 2 * seconds(beat), DAY_S);
    return new IdlePolicy(
        table.textOr("class", null),
        table.textOr("team", null),
        table.has("accelerators") ? table.flagOr("accelerators", false) : null,
        idle,
        idleWaiting,
        warning,
        table.secondsOr("grace_s", 60, 0, DAY_S),
        table.secondsOr("life_s", 7 * DAY_S, seconds(idle), YEAR_S),
        activities(table));
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  private static Set<Activity> activities(TomlTable table) throws SettingsException {
    if (!table.has("counts")) {
      return EnumSet.allOf(Activity.class);
    }
    Set<Activity> counts = EnumSet.noneOf(Activity.class);
    for (String text : table.texts("counts")) {
      Activity activity = Activity.parse(text);
      if (activity == null) {
        throw new SettingsException(table.key("counts") + ": " + text + " is no kind of activity");
      }
      counts.add(activity);
    }
    if (counts.isEmpty()) {
      throw new SettingsException(table.key("counts") + ": nothing counts, so all would be idle");
    }
    return counts;
  }

  /** The policy for a session of this class and team, with accelerators or without. */
  public IdlePolicy policy(String jobClass, String team, boolean accelerators) {
    for (IdlePolicy policy : policies) {
      if (policy.appliesTo(jobClass, team, accelerators)) {
        return policy;
      }
    }
    throw new IllegalStateException("the last policy applies to all");
  }
}
