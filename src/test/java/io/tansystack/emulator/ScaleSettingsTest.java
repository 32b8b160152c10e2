package io.tansystack.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.settings.SettingsException;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the default sizes, the division among cells, and the errors for invalid values. */
class ScaleSettingsTest {
  @Test
  void defaultsAreThePlannedSize() {
    ScaleSettings whole = ScaleSettings.defaults();
    assertEquals(7, whole.cells());
    assertEquals(16_000, whole.workers());
    assertEquals(26, whole.controllers());
    assertEquals(890, whole.startsPerSecond());
  }

  @Test
  void cellsShareWorkersAndControllers() {
    ScaleSettings whole = ScaleSettings.defaults();
    int workers = 0;
    int controllers = 0;
    for (int cell = 0; cell < whole.cells(); cell++) {
      workers += whole.cell(cell).workers();
      controllers += whole.cell(cell).controllers();
      assertEquals(1, whole.cell(cell).cells());
    }
    assertEquals(whole.workers(), workers);
    assertEquals(whole.controllers(), controllers);
  }

  @Test
  void tomlOfACellReadsBackEqual() throws SettingsException {
    ScaleSettings cell = ScaleSettings.defaults().cell(3);
    assertEquals(cell, ScaleSettings.parse(cell.toToml()));
  }

  @Test
  void onlyTheFirstCellHasFaults() throws SettingsException {
    ScaleSettings settings = ScaleSettings.parse("[faults]\nlasts_s = 60");
    assertEquals(Duration.ofSeconds(60), settings.cell(0).faults().duration());
    assertEquals(Duration.ZERO, settings.cell(1).faults().duration());
  }

  @ParameterizedTest
  @CsvSource({"delete, DELETE, 5, true", "delete, RENT, 5, false", "all, RENT, 5, true",
    "delete, DELETE, 4, false", "delete, DELETE, 7, false"})
  void cloudOutageAffectsItsCallsWhileItLasts(
      String calls, EmulatedCloud.RequestKind kind, int elapsedS, boolean affected)
      throws SettingsException {
    String text = "[cloud_outage]\nstarts_s = 5\nlasts_s = 2\ncalls = \"" + calls + "\"";
    assertEquals(
        affected,
        ScaleSettings.parse(text).cloudOutage().affects(kind, Duration.ofSeconds(elapsedS)));
  }

  @ParameterizedTest
  @CsvSource({
    "workers = 0,workers",
    "workers = 'many',workers",
    "cells = 21,cells",
    "controllers = 6,controllers",
    "starts_per_s = -1,starts_per_s",
    "run_time_factor = 0,run_time_factor",
    "[timeline]@measured_s = 0,timeline.measured_s",
    "[state]@txn_ops = 1,state.txn_ops",
    "[worker_times]@lease_s = 0.5,worker_times.lease_s",
    "[cloud]@rps = 0,cloud.rps",
    "[repeated_commands]@share = 1.5,repeated_commands.share",
    "[repeated_commands]@min_s = 9@max_s = 5,repeated_commands.max_s",
    "[machine_restarts]@every_s = -1,machine_restarts.every_s",
    "[machine_restarts]@min_down_s = 3,machine_restarts.max_down_s",
    "[cloud_outage]@lasts_s = -1,cloud_outage.lasts_s",
    "[cloud_outage]@calls = 'reboot',cloud_outage.calls",
  })
  void errorNamesTheKey(String text, String key) {
    SettingsException error =
        assertThrows(
            SettingsException.class,
            () -> ScaleSettings.parse(text.replace("@", "\n").replace('\'', '"')));
    assertTrue(error.getMessage().startsWith(key + ":"), error.getMessage());
  }
}
