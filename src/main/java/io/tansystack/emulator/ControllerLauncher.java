package io.tansystack.emulator;

import io.tansystack.settings.SettingsException;
import io.tansystack.settings.TomlTable;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Starts and kills the controllers of a cell, which are real processes, with the command line given
 * in the deploy file.
 */
final class ControllerLauncher {
  private static final int MAX_CONNECTIONS = 8_000;

  private final ScaleSettings settings;
  private final CellAddresses addresses;
  private final List<String> commandLine;
  private final Path root;
  private final Path folder;
  private final List<Process> processes = new ArrayList<>();

  /**
   * @param deployFile TOML file whose key {@code run} is the command line; it is run in the parent
   *     of the directory that contains the file
   * @param folder directory for settings and logs of the controllers
   */
  ControllerLauncher(ScaleSettings settings, CellAddresses addresses, Path deployFile, Path folder)
      throws SettingsException {
    this.settings = settings;
    this.addresses = addresses;
    this.commandLine = List.of(TomlTable.load(deployFile).string("run").trim().split("\\s+"));
    this.root = deployFile.toAbsolutePath().getParent().getParent();
    this.folder = folder;
    for (int i = 0; i < settings.controllers(); i++) {
      processes.add(null);
    }
  }

  void startAll() throws IOException {
    for (int i = 0; i < settings.controllers(); i++) {
      start(i);
    }
  }

  void start(int index) throws IOException {
    Path file = folder.resolve(ReportSender.label(index) + ".toml");
    Files.writeString(file, settingsText(index));
    List<String> command = new ArrayList<>(commandLine);
    command.add(file.toAbsolutePath().toString());
    File log = folder.resolve(ReportSender.label(index) + ".log").toFile();
    processes.set(
        index,
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .redirectError(ProcessBuilder.Redirect.appendTo(log))
            .start());
  }

  /** Kills the process with a signal that it can't handle, and waits for its end. */
  void kill(int index) throws InterruptedException {
    Process process = processes.get(index);
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }

  /** Kills all controllers that are still running. */
  void stopAll() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  int size() {
    return processes.size();
  }

  boolean isRunning(int index) {
    return processes.get(index) != null && processes.get(index).isAlive();
  }

  /** Resource usage of a controller; null if its process has ended. */
  ProcessUsage usage(int index) {
    Process process = processes.get(index);
    return process.isAlive() ? ProcessUsage.of(process.pid()) : null;
  }

  private String settingsText(int index) {
    List<String> zones = EmulatedFleet.zones(settings);
    StringBuilder text = new StringBuilder();
    text.append(stringSetting("label", ReportSender.label(index)));
    text.append(stringSetting("zone", zones.get(index % zones.size())));
    text.append(stringSetting("front", CellAddresses.hostAndPort(addresses.front(index))));
    text.append(stringSetting("peer_bind", CellAddresses.hostAndPort(addresses.peer(index))));
    for (int other = 0; other < settings.controllers(); other++) {
      if (other != index) {
        text.append("[[seeds]]\n");
        text.append(stringSetting("label", ReportSender.label(other)));
        text.append(stringSetting("zone", zones.get(other % zones.size())));
        text.append(stringSetting("peer_addr", CellAddresses.hostAndPort(addresses.peer(other))));
      }
    }
    text.append("[services]\n");
    text.append(stringSetting("cloud", CellAddresses.hostAndPort(addresses.cloud())));
    text.append(stringSetting("state", CellAddresses.hostAndPort(addresses.state())));
    text.append("[cluster]\nsize = ").append(settings.controllers());
    text.append("\nzones = [\"").append(String.join("\", \"", zones)).append("\"]\n");
    text.append("skew_ms = 50.0\n");
    TeamLimits.of(settings).forEach((name, limit) -> text.append(teamSettings(name, limit)));
    text.append(platformSettings());
    return text.toString();
  }

  private static String stringSetting(String key, String value) {
    return key + " = \"" + value + "\"\n";
  }

  private static String teamSettings(String name, RuleChecker.Limit limit) {
    return "[[cluster.teams]]\n"
        + stringSetting("name", name)
        + "cpus_max = " + limit.cpus() + "\ngpus_max = " + limit.gpus() + "\n";
  }

  private String platformSettings() {
    ScaleSettings.WorkerTimes times = settings.workerTimes();
    ScaleSettings.StateService state = settings.state();
    return String.join(
        "\n",
        "[[cluster.objectives]]",
        "kind = \"wait\"",
        "class = \"" + WorkloadGenerator.URGENT + "\"",
        "within_s = 3.9",
        "share = 0.99",
        "[cluster.workers]",
        "report_s = " + seconds(times.reportInterval()),
        "lease_s = " + seconds(times.lease()),
        "gang_wait_s = " + seconds(times.gangWait()),
        "gang_peer_s = " + seconds(times.gangPeerTimeout()),
        "cancel_s = " + seconds(times.cancelLimit()),
        "[cluster.state]",
        "rps = " + state.rps(),
        "write_rps = " + state.writeRps(),
        "value_kb = " + state.valueKb(),
        "txn_ops = " + state.txnOps(),
        "[cluster.cloud]",
        "rps = " + settings.cloud().rps(),
        "list_lag_s = " + seconds(settings.cloud().listLag()),
        "[cluster.machine_limits]",
        "max_connections = " + MAX_CONNECTIONS,
        "");
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }
}
