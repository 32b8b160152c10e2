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

/** Runs controllers of this build against emulators at a size of one's choice. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description = {
      "Plays controllers of this build, as real processes, against emulated workers, users, cloud"
          + " and state service on loopback addresses, and prints what each role needs.",
      "Exits with 0, with 1 if a rule was broken or the run could not be played, and with 2 for"
          + " settings that can't be used."
    })
final class ScaleCommand implements Callable<Integer> {
  private static final int BROKEN = 1;
  private static final int BAD_SETTINGS = 2;

  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description = "settings of the run (TOML); the defaults are the whole planned size")
  private Path settingsFile;

  @Option(names = "--cells", description = "regions, in place of the settings' number")
  private Integer cells;

  @Option(names = "--workers", description = "workers of all cells together")
  private Integer workers;

  @Option(names = "--controllers", description = "controllers of all cells together")
  private Integer controllers;

  @Option(names = "--starts", description = "task starts a second that users ask for, of all cells")
  private Double starts;

  @Option(
      names = "--deploy",
      paramLabel = "FILE",
      defaultValue = "deploy/service.toml",
      description = "the file with the run line (default: ${DEFAULT-VALUE})")
  private Path deployFile;

  @Option(
      names = "--folder",
      paramLabel = "DIR",
      description = "for settings and logs of the processes (default: a new temporary one)")
  private Path folder;

  @Option(names = "--out", paramLabel = "FILE", description = "also write the result there, as JSON")
  private Path out;

  @Option(
      names = "--cell",
      hidden = true,
      description = "the number of the only cell, for a process started by another scale run")
  private int cell;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try {
      Logging.configure(System.getenv("LOG_LEVEL"));
      ScaleSettings settings =
          (settingsFile == null ? ScaleSettings.defaults() : ScaleSettings.load(settingsFile))
              .sized(cells, workers, controllers, starts);
      Path place = folder == null ? Files.createTempDirectory("tansystack-scale") : folder;
      Files.createDirectories(place);
      ScaleResult result = settings.cells() == 1 ? one(settings, place) : many(settings, place);
      System.out.print(ScaleTable.of(result));
      if (out != null) {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        mapper.writeValue(out.toFile(), result);
      }
      return result.rulesHeld() ? 0 : BROKEN;
    } catch (SettingsException e) {
      System.err.println("tansystack scale: " + e.getMessage());
      return BAD_SETTINGS;
    } catch (IllegalStateException e) {
      System.err.println("tansystack scale: " + e.getMessage());
      return BROKEN;
    }
  }

  private ScaleResult one(ScaleSettings settings, Path place)
      throws IOException, InterruptedException, SettingsException {
    double limitMb = MultiCellRun.memoryLimitMb();
    try (CellRun only =
        new CellRun(settings, cell, deployFile, place, limitMb, System.err::println)) {
      Runtime.getRuntime().addShutdownHook(new Thread(only::close));
      return only.run();
    }
  }

  private ScaleResult many(ScaleSettings settings, Path place)
      throws IOException, InterruptedException {
    try (MultiCellRun all = new MultiCellRun(settings, deployFile, place, System.err::println)) {
      Runtime.getRuntime().addShutdownHook(new Thread(all::close));
      return all.run();
    }
  }
}
