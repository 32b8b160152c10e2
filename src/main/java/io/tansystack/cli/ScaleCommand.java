package io.tansystack.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.tansystack.emulator.CellRun;
import io.tansystack.emulator.MultiCellRun;
import io.tansystack.emulator.ScaleResult;
import io.tansystack.emulator.ScaleSettings;
import io.tansystack.emulator.ScaleTable;
import io.tansystack.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs controllers of this build against emulators, at a configurable size. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description = {
      "Runs controllers of this build, as real processes, against emulated workers, users, cloud"
          + " and state service on loopback addresses, and prints the resource use of each role.",
      "Exits with 0 on success, with 1 if a rule was violated or the run failed, and with 2 for"
          + " invalid settings."
    })
final class ScaleCommand implements Callable<Integer> {
  private static final int FAILED = 1;
  private static final int BAD_SETTINGS = 2;

  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description = "settings of the run (TOML); the defaults are the full planned size")
  private Path settingsFile;

  @Option(names = "--cells", description = "number of cells (regions), overrides the settings")
  private Integer cells;

  @Option(
      names = "--workers",
      description = "number of workers over all cells, overrides the settings")
  private Integer workers;

  @Option(
      names = "--controllers",
      description = "number of controllers over all cells, overrides the settings")
  private Integer controllers;

  @Option(
      names = "--starts",
      description = "requested task starts per second over all cells, overrides the settings")
  private Double starts;

  @Option(
      names = "--deploy",
      paramLabel = "FILE",
      defaultValue = "deploy/service.toml",
      description = "file with the command line of a controller (default: ${DEFAULT-VALUE})")
  private Path deployFile;

  @Option(
      names = "--folder",
      paramLabel = "DIR",
      description = "for settings and logs of the processes (default: a new temporary directory)")
  private Path folder;

  @Option(
      names = "--out",
      paramLabel = "FILE",
      description = "also write the result to this file, as JSON")
  private Path resultFile;

  @Option(
      names = "--cell",
      hidden = true,
      description = "index of the only cell, for a process started by another scale run")
  private int cell;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try {
      Logging.configure(System.getenv("LOG_LEVEL"));
      ScaleSettings settings =
          (settingsFile == null ? ScaleSettings.defaults() : ScaleSettings.load(settingsFile))
              .withSizes(cells, workers, controllers, starts);
      Path runFolder = folder == null ? Files.createTempDirectory("tansystack-scale") : folder;
      Files.createDirectories(runFolder);
      ScaleResult result =
          settings.cells() == 1
              ? runOneCell(settings, runFolder)
              : runAllCells(settings, runFolder);
      System.out.print(ScaleTable.of(result));
      if (resultFile != null) {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        mapper.writeValue(resultFile.toFile(), result);
      }
      return result.rulesHeld() ? 0 : FAILED;
    } catch (SettingsException e) {
      System.err.println("tansystack scale: " + e.getMessage());
      return BAD_SETTINGS;
    } catch (IllegalStateException e) {
      System.err.println("tansystack scale: " + e.getMessage());
      return FAILED;
    }
  }

  private ScaleResult runOneCell(ScaleSettings settings, Path runFolder)
      throws IOException, InterruptedException, SettingsException {
    double limitMb = MultiCellRun.memoryLimitMb();
    try (CellRun run =
        new CellRun(settings, cell, deployFile, runFolder, limitMb, System.err::println)) {
      Runtime.getRuntime().addShutdownHook(new Thread(run::close));
      return run.run();
    }
  }

  private ScaleResult runAllCells(ScaleSettings settings, Path runFolder)
      throws IOException, InterruptedException {
    try (MultiCellRun run =
        new MultiCellRun(settings, deployFile, runFolder, System.err::println)) {
      Runtime.getRuntime().addShutdownHook(new Thread(run::close));
      return run.run();
    }
  }
}
