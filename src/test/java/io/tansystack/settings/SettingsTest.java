package io.tansystack.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Invalid settings must be rejected with the key, unknown keys ignored. */
public class SettingsTest {
  /** Valid platform settings; the simulated cluster of other tests starts from them too. */
  public static final String VALID =
      """
      label = "c-0"
      zone = "a"
      front = "127.0.0.1:8080"
      peer_bind = "127.0.0.1:8081"
      unheard_of = 3

      [services]
      cloud = "127.0.0.1:8443"
      state = "127.0.0.1:2379"

      [cluster]
      size = 1
      zones = ["a", "b"]
      skew_ms = 250.0

      [[cluster.teams]]
      name = "vision"
      cpus = 0.0
      cpus_max = 40.0
      gpus = 4.0
      gpus_max = 8.0

      [cluster.workers]
      report_s = 3.0
      lease_s = 36.0
      gang_wait_s = 40.0
      gang_peer_s = 6.0
      cancel_s = 61.0

      [cluster.state]
      rps = 200.0
      write_rps = 200.0
      value_kb = 16.0
      txn_ops = 16

      [cluster.cloud]
      rps = 2.0
      list_lag_s = 3.0
      """;

  @Test
  void readsKnownKeysAndIgnoresUnknownOnes() throws Exception {
    PlatformSettings settings = PlatformSettings.parse(VALID);
    assertEquals(Duration.ofSeconds(36), settings.workerTimings().leaseDuration());
    assertEquals(Duration.ofMillis(250), settings.maxClockSkew());
    assertEquals(8, settings.team("vision").gpusMax());
    assertEquals(16384, settings.stateServiceLimits().maxValueBytes());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "label = \"c-0\"|label = 3|label",
        "zone = \"a\"||zone",
        "127.0.0.1:8080|somewhere:80|front",
        "lease_s = 36.0|lease_s = -1.0|cluster.workers.lease_s",
        "lease_s = 36.0|lease_s = \"x\"|cluster.workers.lease_s",
        "write_rps = 200.0||cluster.state.write_rps",
        "skew_ms = 250.0|skew_ms = -1.0|cluster.skew_ms",
        "txn_ops = 16|txn_ops = 1.5|cluster.state.txn_ops",
        "gpus = 4.0|gpus = true|cluster.teams[0].gpus"
      })
  void errorsNameTheKey(String original, String replacement, String key) {
    String text = VALID.replace(original, replacement == null ? "" : replacement);
    SettingsException e =
        assertThrows(SettingsException.class, () -> PlatformSettings.parse(text));
    assertTrue(e.getMessage().startsWith(key + ":"), e.getMessage());
  }

  /** The keys of known kinds are checked; objectives of other kinds are left out. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "kind = \"wait\"; class = \"c\"; within_s = 10.0; share = 0.8|1|",
        "kind = \"guarantee\"; within_s = 5.0; share = 0.985|1|",
        "kind = \"deadline\"; class = \"c\"; share = 0.6; times = 1.5|1|",
        "kind = \"makespan\"; share = 0.99|0|",
        "kind = \"wait\"; within_s = 10.0; share = 0.8|0|cluster.objectives[0].class",
        "kind = \"finished\"; class = \"c\"; share = 0.8|0|cluster.objectives[0].within_s",
        "kind = \"finished\"; class = \"c\"; within_s = 0.0; share = 0.8|0|cluster.objectives[0].within_s",
        "kind = \"guarantee\"; within_s = 5.0; share = 1.5|0|cluster.objectives[0].share",
        "kind = \"deadline\"; class = \"c\"; share = 0.6; times = 0.0|0|cluster.objectives[0].times",
        "class = \"c\"; share = 0.6|0|cluster.objectives[0].kind"
      })
  void objectivesAreCheckedAndUnknownKindsIgnored(String objective, int count, String key)
      throws Exception {
    String text =
        VALID.replace(
            "[cluster.workers]",
            "[[cluster.objectives]]\n" + objective.replace("; ", "\n") + "\n[cluster.workers]");
    if (key == null) {
      assertEquals(count, PlatformSettings.parse(text).objectives().size());
    } else {
      SettingsException e =
          assertThrows(SettingsException.class, () -> PlatformSettings.parse(text));
      assertTrue(e.getMessage().startsWith(key + ":"), e.getMessage());
    }
  }

  @Test
  void operatorSettingsHaveDefaultsAndBounds() throws Exception {
    assertEquals(OperatorSettings.defaults(), OperatorSettings.parse("[rent]\n"));
    SettingsException e =
        assertThrows(
            SettingsException.class,
            () -> OperatorSettings.parse("[machines]\nidle_return_s = 0\n"));
    assertTrue(e.getMessage().startsWith("machines.idle_return_s:"), e.getMessage());
  }
}
