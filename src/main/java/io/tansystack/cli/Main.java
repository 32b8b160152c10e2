package io.tansystack.cli;

import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.SettingsException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line of the service. */
@Command(
    name = "tansystack",
    mixinStandardHelpOptions = true,
    version = "tansystack 0.1.0",
    description = "Runs one controller of the tansystack cluster scheduler until it is killed.")
public final class Main implements Callable<Integer> {
  private static final int BAD_SETTINGS = 2;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "the settings file that the platform hands over (TOML)")
  private Path config;

  @Override
  public Integer call() {
    try {
      Logging.configure(System.getenv("LOG_LEVEL"));
      PlatformSettings platform = PlatformSettings.load(config);
      Controller.start(platform);
      return -1;
    } catch (SettingsException e) {
      System.err.println("tansystack: " + e.getMessage());
      return BAD_SETTINGS;
    }
  }

  public static void main(String[] args) {
    int code = new CommandLine(new Main()).execute(args);
    if (code >= 0) {
      System.exit(code);
    }
  }
}
