package io.tansystack.emulator;

import io.tansystack.settings.SettingsException;
import io.tansystack.settings.TomlTable;
import java.nio.file.Path;
import java.time.Duration;

/**
 * The operators' settings of a scale run. Every key has a default, and the defaults are the whole
 * size that is planned for; a cell gets its share of workers, controllers, work and teams.
 *
 * @param cells regions, each with a state service, a cloud interface and users of its own
 * @param workers over all cells, up from the beginning
 * @param controllers over all cells
 * @param teams in each cell, all with a limit
 * @param startsPerSecond task starts that users ask for, over all cells
 * @param seed of all that is drawn
 */
public record ScaleSettings(
    int cells,
    int workers,
    int controllers,
    int zones,
    int teams,
    double startsPerSecond,
    long seed,
    Timeline timeline,
    Faults faults,
    WorkerTimes workerTimes,
    StateService state,
    Cloud cloud) {

  private static final int MAX_CELLS = 20;
  private static final int MAX_WORKERS = 50_000;
  private static final int MAX_CONTROLLERS = 100;
  private static final double MAX_RATE = 1e5;
  private static final double MAX_S = 3600;

  /**
   * Phases of a run.
   *
   * @param warmUp until the cell is full
   * @param measured what the figures are taken from
   * @param drain without new jobs, so that each accepted one can be asked about
   */
  public record Timeline(Duration warmUp, Duration measured, Duration drain) {
    /** From the first submission to the last question, without faults. */
    public Duration whole() {
      return warmUp.plus(measured).plus(drain);
    }
  }

  /**
   * What fails in the first cell after the measured phase; none where {@code lasts} is zero.
   *
   * @param rack so many machines of one zone die at once
   * @param restartEvery the controllers are killed one after the other, so far apart
   */
  public record Faults(Duration lasts, int rack, Duration restartEvery) {}

  /** What the workers keep to, as in the platform's settings. */
  public record WorkerTimes(
      Duration report, Duration lease, Duration gangWait, Duration gangPeer, Duration cancel) {}

  /** Limits of each cell's state service. */
  public record StateService(double rps, double writeRps, double valueKb, int txnOps) {}

  /** Limits of each cell's cloud interface, and how long its machines boot. */
  public record Cloud(double rps, Duration listLag, Duration boot) {}

  public static ScaleSettings defaults() {
    try {
      return read(TomlTable.parse("defaults", ""));
    } catch (SettingsException e) {
      throw new IllegalStateException("the defaults are within their own bounds", e);
    }
  }

  public static ScaleSettings load(Path file) throws SettingsException {
    return read(TomlTable.load(file));
  }

  public static ScaleSettings parse(String text) throws SettingsException {
    return read(TomlTable.parse("scale settings", text));
  }

  private static ScaleSettings read(TomlTable root) throws SettingsException {
    TomlTable times = root.tableOrEmpty("timeline");
    TomlTable faults = root.tableOrEmpty("faults");
    TomlTable workers = root.tableOrEmpty("worker_times");
    TomlTable state = root.tableOrEmpty("state");
    TomlTable cloud = root.tableOrEmpty("cloud");
    ScaleSettings settings =
        new ScaleSettings(
            root.integerOr("cells", 7, 1, MAX_CELLS),
            root.integerOr("workers", 16_000, 1, MAX_WORKERS),
            root.integerOr("controllers", 26, 1, MAX_CONTROLLERS),
            root.integerOr("zones", 3, 1, 26),
            root.integerOr("teams", 180, 1, 10_000),
            root.numberOr("starts_per_s", 890, 0.01, MAX_RATE),
            root.integerOr("seed", 1, 0, Integer.MAX_VALUE),
            new Timeline(
                times.secondsOr("warm_up_s", 60, 1, MAX_S),
                times.secondsOr("measured_s", 45, 1, MAX_S),
                times.secondsOr("drain_s", 15, 1, MAX_S)),
            new Faults(
                faults.secondsOr("lasts_s", 0, 0, MAX_S),
                faults.integerOr("rack", 40, 0, MAX_WORKERS),
                faults.secondsOr("restart_every_s", 10, 1, MAX_S)),
            new WorkerTimes(
                workers.secondsOr("report_s", 5, 0.5, MAX_S),
                workers.secondsOr("lease_s", 36, 1, MAX_S),
                workers.secondsOr("gang_wait_s", 40, 1, MAX_S),
                workers.secondsOr("gang_peer_s", 6, 1, MAX_S),
                workers.secondsOr("cancel_s", 61, 1, MAX_S)),
            new StateService(
                state.numberOr("rps", 700, 1, MAX_RATE),
                state.numberOr("write_rps", 70, 1, MAX_RATE),
                state.numberOr("value_kb", 16, 1, 64),
                state.integerOr("txn_ops", 16, 2, 1000)),
            new Cloud(
                cloud.numberOr("rps", 4, 0.1, MAX_RATE),
                cloud.secondsOr("list_lag_s", 3, 0, MAX_S),
                cloud.secondsOr("boot_s", 30, 0, MAX_S)));
    settings.check();
    return settings;
  }

  private void check() throws SettingsException {
    if (controllers < cells) {
      throw new SettingsException("controllers: fewer than cells");
    }
    if (workers < cells) {
      throw new SettingsException("workers: fewer than cells");
    }
  }

  /** The settings of one cell alone; only the first has faults. */
  public ScaleSettings cell(int index) {
    return new ScaleSettings(
        1,
        share(workers, index),
        share(controllers, index),
        zones,
        teams,
        startsPerSecond / cells,
        seed + index,
        timeline,
        index == 0 ? faults : new Faults(Duration.ZERO, 0, faults.restartEvery()),
        workerTimes,
        state,
        cloud);
  }

  /** The first cells have one more where a number is not a multiple of the cells. */
  private int share(int all, int index) {
    return all / cells + (index < all % cells ? 1 : 0);
  }

  /** The same with other sizes, as the command line gives them; null leaves one as it is. */
  public ScaleSettings sized(
      Integer newCells, Integer newWorkers, Integer newControllers, Double newStarts)
      throws SettingsException {
    ScaleSettings sized =
        new ScaleSettings(
            newCells == null ? cells : newCells,
            newWorkers == null ? workers : newWorkers,
            newControllers == null ? controllers : newControllers,
            zones,
            teams,
            newStarts == null ? startsPerSecond : newStarts,
            seed,
            timeline,
            faults,
            workerTimes,
            state,
            cloud);
    return parse(sized.toToml());
  }

  /** As a settings file, for the process of a cell. */
  public String toToml() {
    return String.join(
        "\n",
        "cells = " + cells,
        "workers = " + workers,
        "controllers = " + controllers,
        "zones = " + zones,
        "teams = " + teams,
        "starts_per_s = " + startsPerSecond,
        "seed = " + seed,
        "[timeline]",
        "warm_up_s = " + seconds(timeline.warmUp),
        "measured_s = " + seconds(timeline.measured),
        "drain_s = " + seconds(timeline.drain),
        "[faults]",
        "lasts_s = " + seconds(faults.lasts),
        "rack = " + faults.rack,
        "restart_every_s = " + seconds(faults.restartEvery),
        "[worker_times]",
        "report_s = " + seconds(workerTimes.report),
        "lease_s = " + seconds(workerTimes.lease),
        "gang_wait_s = " + seconds(workerTimes.gangWait),
        "gang_peer_s = " + seconds(workerTimes.gangPeer),
        "cancel_s = " + seconds(workerTimes.cancel),
        "[state]",
        "rps = " + state.rps,
        "write_rps = " + state.writeRps,
        "value_kb = " + state.valueKb,
        "txn_ops = " + state.txnOps,
        "[cloud]",
        "rps = " + cloud.rps,
        "list_lag_s = " + seconds(cloud.listLag),
        "boot_s = " + seconds(cloud.boot),
        "");
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }
}
