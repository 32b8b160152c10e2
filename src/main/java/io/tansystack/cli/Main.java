package io.tansystack.cli;

import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import picocli.CommandLine;

/** Command line of the service. */
@Command(
    name = "tansystack",
    mixinStandardHelpOptions = true,
    version = "tansystack 0.1.0",
    description = "Runs one controller of the tansystack cluster scheduler until it is killed.")
public final class Main implements Callable<Integer> {
  /** Not an exit code: the controller has started, and the process keeps running. */
  private static final int KEEP_RUNNING = -1;

  private static final int CANNOT_START = 1;
  private static final int BAD_SETTINGS = 2;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "settings file that the platform provides (TOML)")
  private Path platformFile;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "settings file of the operators (TOML); every key has a default")
  private Path operatorFile;

  @Option(
      names = "--check",
      description = "check the settings and exit: 0 if valid, 2 with the invalid key if not")
  private boolean checkOnly;

  @Option(
      names = "--exit-after",
      paramLabel = "SECONDS",
      description =
          "run for this many seconds and exit with 0; the build uses it to create the class-data"
              + " archive")
  private Double exitAfterS;

  @Spec private CommandSpec command;

  @Override
  public Integer call() throws InterruptedException {
    if (platformFile == null) {
      throw new CommandLine.ParameterException(
          command.commandLine(), "Missing required option: '--config=FILE'");
    }
    try {
      Logging.configure(System.getenv("LOG_LEVEL"));
      PlatformSettings platform = PlatformSettings.load(platformFile);
      OperatorSettings operator =
          operatorFile == null ? OperatorSettings.defaults() : OperatorSettings.load(operatorFile);
      if (checkOnly) {
        System.out.println("settings are usable");
        return 0;
      }
      ControllerProcess.run(platform, operator);
      if (exitAfterS != null) {
        Thread.sleep((long) (exitAfterS * 1000));
        return 0;
      }
      return KEEP_RUNNING;
    } catch (SettingsException e) {
      System.err.println("tansystack: " + e.getMessage());
      return BAD_SETTINGS;
    } catch (IOException | RuntimeException e) {
      System.err.println("tansystack: cannot start: " + e);
      return CANNOT_START;
    }
  }

  public static void main(String[] args) {
    CommandLine commandLine = new CommandLine(new Main());
    if (!List.of(args).contains("--config")) {
      // A controller starts on a fraction of a core, so it loads no classes of the scale command.
      commandLine.addSubcommand(new ScaleCommand());
    }
    int code = commandLine.execute(args);
    if (code != KEEP_RUNNING) {
      System.exit(code);
    }
  }
}
