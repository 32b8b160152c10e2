package io.tansystack.emulator;

import io.tansystack.settings.SettingsException;
import io.tansystack.settings.TomlTable;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Settings of a scale run. Every key has a default, and the defaults are the full planned size.
 * Each cell gets its share of workers, controllers and task starts, and has {@code teams} teams of
 * its own.
 *
 * @param cells number of regions, each with its own state service, cloud interface and users
 * @param workers number of workers in all cells together; all are up from the beginning
 * @param controllers number of controllers in all cells together
 * @param zones number of zones in each cell
 * @param teams number of teams in each cell, all with a limit
 * @param startsPerSecond task starts per second that users request, in all cells together
 * @param runTimeFactor run times of tasks as a multiple of those of the planned workload
 * @param seed seed of all random numbers; cell {@code i} uses {@code seed + i}
 */
public record ScaleSettings(
    int cells,
    int workers,
    int controllers,
    int zones,
    int teams,
    double startsPerSecond,
    double runTimeFactor,
    long seed,
    Timeline timeline,
    Faults faults,
    RepeatedCommands repeatedCommands,
    MachineRestarts machineRestarts,
    CloudOutage cloudOutage,
    WorkerTimes workerTimes,
    StateService state,
    Cloud cloud) {

  private static final int MAX_CELLS = 20;
  private static final int MAX_WORKERS = 50_000;
  private static final int MAX_CONTROLLERS = 100;
  private static final double MAX_RATE = 1e5;
  private static final double MAX_SECONDS = 3600;

  /**
   * Durations of the phases of a run.
   *
   * @param warmUp time to fill the cell
   * @param measured phase from which the figures are taken
   * @param drain phase without new jobs, in which users get a response about each accepted job
   */
  public record Timeline(Duration warmUp, Duration measured, Duration drain) {
    /** Time from the first submission to the last status request, without faults. */
    public Duration total() {
      return warmUp.plus(measured).plus(drain);
    }
  }

  /**
   * Faults in the first cell after the measured phase; none if {@code duration} is zero.
   *
   * @param duration length of the phase with faults
   * @param rackSize number of machines of one zone that are killed at once
   * @param restartInterval time between the end of one controller's restart and the next kill
   */
  public record Faults(Duration duration, int rackSize, Duration restartInterval) {}

  /**
   * Copies of executed and answered commands that workers receive throughout the run.
   *
   * @param share share of the requests that arrive once more
   * @param minDelay the shortest time after the first arrival
   * @param maxDelay the longest time after the first arrival
   */
  public record RepeatedCommands(double share, Duration minDelay, Duration maxDelay) {}

  /**
   * Machines that restart in place throughout the run: all their tasks end, and the next session
   * begins.
   *
   * @param interval time between two restarts, each of a random machine; zero for none
   * @param minDown the shortest time until the machine is back
   * @param maxDown the longest time until the machine is back
   */
  public record MachineRestarts(Duration interval, Duration minDown, Duration maxDown) {}

  /**
   * A time in which the cloud's interface answers 503.
   *
   * @param start time from the start of the run
   * @param duration length of the outage; zero for none
   * @param calls the kind of calls that fail, or "all"
   */
  public record CloudOutage(Duration start, Duration duration, String calls) {
    private static final String ALL = "all";

    /** Whether calls of the kind fail, at a time from the start of the run. */
    boolean affects(EmulatedCloud.RequestKind kind, Duration elapsed) {
      boolean during =
          elapsed.compareTo(start) >= 0 && elapsed.compareTo(start.plus(duration)) < 0;
      return during && (calls.equals(ALL) || calls.equals(settingName(kind)));
    }

    private static String settingName(EmulatedCloud.RequestKind kind) {
      return kind.name().toLowerCase(Locale.ROOT);
    }

    private void validate() throws SettingsException {
      List<String> allowed = new ArrayList<>(List.of(ALL));
      for (EmulatedCloud.RequestKind kind : EmulatedCloud.RequestKind.values()) {
        allowed.add(settingName(kind));
      }
      if (!allowed.contains(calls)) {
        throw new SettingsException("cloud_outage.calls: not one of " + allowed);
      }
    }
  }

  /** Intervals and time limits of workers, as in the platform's settings. */
  public record WorkerTimes(
      Duration reportInterval,
      Duration lease,
      Duration gangWait,
      Duration gangPeerTimeout,
      Duration cancelLimit) {}

  /** Limits of each cell's state service. */
  public record StateService(double rps, double writeRps, double valueKb, int txnOps) {}

  /** Limits of each cell's cloud interface, and the boot time of its machines. */
  public record Cloud(double rps, Duration listLag, Duration bootTime) {}

  /** The settings with the default of every key. */
  public static ScaleSettings defaults() {
    try {
      return read(TomlTable.parse("defaults", ""));
    } catch (SettingsException e) {
      throw new IllegalStateException("a default setting is out of bounds", e);
    }
  }

  /** Reads a TOML file; an error names the key or the file. */
  public static ScaleSettings load(Path file) throws SettingsException {
    return read(TomlTable.load(file));
  }

  /** Reads TOML text; an error names the key. */
  public static ScaleSettings parse(String text) throws SettingsException {
    return read(TomlTable.parse("scale settings", text));
  }

  private static ScaleSettings read(TomlTable root) throws SettingsException {
    TomlTable times = root.tableOrEmpty("timeline");
    TomlTable faults = root.tableOrEmpty("faults");
    TomlTable repeats = root.tableOrEmpty("repeated_commands");
    TomlTable restarts = root.tableOrEmpty("machine_restarts");
    TomlTable outage = root.tableOrEmpty("cloud_outage");
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
            root.numberOr("run_time_factor", 1, 0.001, 1000),
            root.integerOr("seed", 1, 0, Integer.MAX_VALUE),
            new Timeline(
                times.secondsOr("warm_up_s", 60, 1, MAX_SECONDS),
                times.secondsOr("measured_s", 45, 1, MAX_SECONDS),
                times.secondsOr("drain_s", 15, 1, MAX_SECONDS)),
            new Faults(
                faults.secondsOr("lasts_s", 0, 0, MAX_SECONDS),
                faults.integerOr("rack", 40, 0, MAX_WORKERS),
                faults.secondsOr("restart_every_s", 10, 1, MAX_SECONDS)),
            new RepeatedCommands(
                repeats.numberOr("share", 0, 0, 1),
                repeats.secondsOr("min_s", 1, 0, MAX_SECONDS),
                repeats.secondsOr("max_s", 72, 0, MAX_SECONDS)),
            new MachineRestarts(
                restarts.secondsOr("every_s", 0, 0, MAX_SECONDS),
                restarts.secondsOr("min_down_s", 0.1, 0, MAX_SECONDS),
                restarts.secondsOr("max_down_s", 2, 0, MAX_SECONDS)),
            new CloudOutage(
                outage.secondsOr("starts_s", 0, 0, MAX_SECONDS),
                outage.secondsOr("lasts_s", 0, 0, MAX_SECONDS),
                outage.stringOr("calls", CloudOutage.ALL)),
            new WorkerTimes(
                workers.secondsOr("report_s", 5, 0.5, MAX_SECONDS),
                workers.secondsOr("lease_s", 36, 1, MAX_SECONDS),
                workers.secondsOr("gang_wait_s", 40, 1, MAX_SECONDS),
                workers.secondsOr("gang_peer_s", 6, 1, MAX_SECONDS),
                workers.secondsOr("cancel_s", 61, 1, MAX_SECONDS)),
            new StateService(
                state.numberOr("rps", 700, 1, MAX_RATE),
                state.numberOr("write_rps", 70, 1, MAX_RATE),
                state.numberOr("value_kb", 16, 1, 64),
                state.integerOr("txn_ops", 16, 2, 1000)),
            new Cloud(
                cloud.numberOr("rps", 4, 0.1, MAX_RATE),
                cloud.secondsOr("list_lag_s", 3, 0, MAX_SECONDS),
                cloud.secondsOr("boot_s", 30, 0, MAX_SECONDS)));
    settings.validate();
    return settings;
  }

  private void validate() throws SettingsException {
    if (controllers < cells) {
      throw new SettingsException("controllers: fewer than cells");
    }
    if (workers < cells) {
      throw new SettingsException("workers: fewer than cells");
    }
    if (repeatedCommands.maxDelay.compareTo(repeatedCommands.minDelay) < 0) {
      throw new SettingsException("repeated_commands.max_s: shorter than min_s");
    }
    if (machineRestarts.maxDown.compareTo(machineRestarts.minDown) < 0) {
      throw new SettingsException("machine_restarts.max_down_s: shorter than min_down_s");
    }
    cloudOutage.validate();
  }

  /** The settings of a single cell; only the first cell has faults. */
  public ScaleSettings cell(int index) {
    return new ScaleSettings(
        1,
        share(workers, index),
        share(controllers, index),
        zones,
        teams,
        startsPerSecond / cells,
        runTimeFactor,
        seed + index,
        timeline,
        index == 0 ? faults : new Faults(Duration.ZERO, 0, faults.restartInterval()),
        repeatedCommands,
        machineRestarts,
        cloudOutage,
        workerTimes,
        state,
        cloud);
  }

  /** Divides a number among the cells; the first cells get one more if it isn't a multiple. */
  private int share(int total, int index) {
    return total / cells + (index < total % cells ? 1 : 0);
  }

  /** A copy with the sizes given on the command line; null keeps a size. */
  public ScaleSettings withSizes(
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
            runTimeFactor,
            seed,
            timeline,
            faults,
            repeatedCommands,
            machineRestarts,
            cloudOutage,
            workerTimes,
            state,
            cloud);
    return parse(sized.toToml());
  }

  /** The settings as TOML, written to a file for the process of a cell. */
  public String toToml() {
    return String.join(
        "\n",
        "cells = " + cells,
        "workers = " + workers,
        "controllers = " + controllers,
        "zones = " + zones,
        "teams = " + teams,
        "starts_per_s = " + startsPerSecond,
        "run_time_factor = " + runTimeFactor,
        "seed = " + seed,
        "[timeline]",
        "warm_up_s = " + seconds(timeline.warmUp),
        "measured_s = " + seconds(timeline.measured),
        "drain_s = " + seconds(timeline.drain),
        "[faults]",
        "lasts_s = " + seconds(faults.duration),
        "rack = " + faults.rackSize,
        "restart_every_s = " + seconds(faults.restartInterval),
        "[repeated_commands]",
        "share = " + repeatedCommands.share,
        "min_s = " + seconds(repeatedCommands.minDelay),
        "max_s = " + seconds(repeatedCommands.maxDelay),
        "[machine_restarts]",
        "every_s = " + seconds(machineRestarts.interval),
        "min_down_s = " + seconds(machineRestarts.minDown),
        "max_down_s = " + seconds(machineRestarts.maxDown),
        "[cloud_outage]",
        "starts_s = " + seconds(cloudOutage.start),
        "lasts_s = " + seconds(cloudOutage.duration),
        "calls = \"" + cloudOutage.calls + "\"",
        "[worker_times]",
        "report_s = " + seconds(workerTimes.reportInterval),
        "lease_s = " + seconds(workerTimes.lease),
        "gang_wait_s = " + seconds(workerTimes.gangWait),
        "gang_peer_s = " + seconds(workerTimes.gangPeerTimeout),
        "cancel_s = " + seconds(workerTimes.cancelLimit),
        "[state]",
        "rps = " + state.rps,
        "write_rps = " + state.writeRps,
        "value_kb = " + state.valueKb,
        "txn_ops = " + state.txnOps,
        "[cloud]",
        "rps = " + cloud.rps,
        "list_lag_s = " + seconds(cloud.listLag),
        "boot_s = " + seconds(cloud.bootTime),
        "");
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }
}
