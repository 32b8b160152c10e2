package io.tansystack.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SessionSettingsTest {
  private static final String POLICIES =
      """
      [sessions]
      enabled = true
      idle_s = 3600

      [[sessions.policy]]
      class = "retouch"
      accelerators = true
      idle_s = 900
      counts = ["input", "watcher"]

      [[sessions.policy]]
      team = "vision"
      idle_s = 1200
      """;

  @Test
  void offUnlessSwitchedOn() throws Exception {
    assertFalse(SessionSettings.parse("").enabled());
    assertTrue(SessionSettings.parse(POLICIES).enabled());
  }

  @ParameterizedTest
  @CsvSource({
    "retouch,vision,true,900", "retouch,vision,false,1200", "path,vision,true,1200",
    "retouch,rail,false,3600"
  })
  void theFirstThatAppliesCounts(String jobClass, String team, boolean accelerators, long idle)
      throws Exception {
    IdlePolicy policy = SessionSettings.parse(POLICIES).policy(jobClass, team, accelerators);
    assertEquals(Duration.ofSeconds(idle), policy.idle());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "idle_s = 3600|idle_s = 0|sessions.idle_s",
        "idle_s = 3600|idle_waiting_s = 1801|sessions.idle_waiting_s",
        "idle_s = 3600|warning_s = 29|sessions.warning_s",
        "idle_s = 3600|life_s = 60|sessions.life_s",
        "idle_s = 900|idle_s = \"x\"|sessions.policy[0].idle_s",
        "\"watcher\"|\"mood\"|sessions.policy[0].counts",
        "[\"input\", \"watcher\"]|[]|sessions.policy[0].counts",
        "enabled = true|enabled = 1|sessions.enabled",
        "enabled = true|most = 0|sessions.most"
      })
  void errorsNameTheKey(String from, String to, String key) {
    String text = POLICIES.replace(from, to);
    SettingsException e = assertThrows(SettingsException.class, () -> SessionSettings.parse(text));
    assertTrue(e.getMessage().startsWith(key + ":"), e.getMessage());
  }
}
