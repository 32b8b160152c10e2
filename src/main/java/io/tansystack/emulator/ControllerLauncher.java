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

/** The controllers of a cell: real processes, started by the run line of the deploy file. */
final class ControllerLauncher {
  private static final int CONNECTIONS = 8_000;

  private final ScaleSettings settings;
  private final CellAddresses addresses;
  private final List<String> runLine;
  private final Path root;
  private final Path folder;
  private final List<Process> processes = new ArrayList<>();

  /**
   * @param deployFile names the run line, which is relative to the folder above the file's
   * @param folder for settings and logs
   */
  ControllerLauncher(ScaleSettings settings, CellAddresses addresses, Path deployFile, Path folder)
      throws SettingsException {
    this.settings = settings;
    this.addresses = addresses;
    this.runLine = List.of(TomlTable.load(deployFile).string("run").trim().split("\\s+"));
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
    Files.writeString(file, settingsOf(index));
    List<String> command = new ArrayList<>(runLine);
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

  /** Ends the process without a signal that it could hear. */
  void kill(int index) throws InterruptedException {
    Process process = processes.get(index);
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }

  /** Ends all that are still running. */
  void stop() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  int size() {
    return processes.size();
  }

  boolean runs(int index) {
    return processes.get(index) != null && processes.get(index).isAlive();
  }

  /** Null if the process has ended. */
  ProcessUsage usage(int index) {
    Process process = processes.get(index);
    return process.isAlive() ? ProcessUsage.of(process.pid()) : null;
  }

  private String settingsOf(int index) {
    List<String> zones = EmulatedFleet.zones(settings);
    StringBuilder text = new StringBuilder();
    text.append(line("label", ReportSender.label(index)));
    text.append(line("zone", zones.get(index % zones.size())));
    text.append(line("front", CellAddresses.text(addresses.front(index))));
    text.append(line("peer_bind", CellAddresses.text(addresses.peer(index))));
    for (int other = 0; other < settings.controllers(); other++) {
      if (other != index) {
        text.append("[[seeds]]\n");
        text.append(line("label", ReportSender.label(other)));
        text.append(line("zone", zones.get(other % zones.size())));
        text.append(line("peer_addr", CellAddresses.text(addresses.peer(other))));
      }
    }
    text.append("[services]\n");
    text.append(line("cloud", CellAddresses.text(addresses.cloud())));
    text.append(line("state", CellAddresses.text(addresses.state())));
    text.append("[cluster]\nsize = ").append(settings.controllers());
    text.append("\nzones = [\"").append(String.join("\", \"", zones)).append("\"]\n");
    text.append("skew_ms = 50.0\n");
    TeamLimits.of(settings).forEach((name, limit) -> text.append(team(name, limit)));
    text.append(limits());
    return text.toString();
  }

  private static String line(String key, String value) {
    return key + " = \"" + value + "\"\n";
  }

  private static String team(String name, RuleChecker.Limit limit) {
    return "[[cluster.teams]]\n"
        + line("name", name)
        + "cpus_max = " + limit.cpus() + "\ngpus_max = " + limit.gpus() + "\n";
  }

  private String limits() {
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
        "report_s = " + seconds(times.report()),
        "lease_s = " + seconds(times.lease()),
        "gang_wait_s = " + seconds(times.gangWait()),
        "gang_peer_s = " + seconds(times.gangPeer()),
        "cancel_s = " + seconds(times.cancel()),
        "[cluster.state]",
        "rps = " + state.rps(),
        "write_rps = " + state.writeRps(),
        "value_kb = " + state.valueKb(),
        "txn_ops = " + state.txnOps(),
        "[cluster.cloud]",
        "rps = " + settings.cloud().rps(),
        "list_lag_s = " + seconds(settings.cloud().listLag()),
        "[cluster.machine_limits]",
        "max_connections = " + CONNECTIONS,
        "");
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }
}
