package io.tansystack.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.tansystack.emulator.ScaleResult.ClassResult;
import io.tansystack.emulator.ScaleResult.RoleResult;
import io.tansystack.emulator.ScaleResult.StoreResult;
import io.tansystack.emulator.ScaleResult.Submissions;
import io.tansystack.emulator.ScaleResult.WorkerTraffic;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/** Runs several cells at the same time, each in its own process, and merges their results. */
public final class MultiCellRun implements AutoCloseable {
  /** Share of the machine's memory that a run may use. */
  private static final double MEMORY_SHARE = 0.5;

  /** Time that the cells may take beyond their timeline and faults before the run fails. */
  private static final Duration DEADLINE_MARGIN = Duration.ofSeconds(60);

  private static final int EMULATOR_HEAP_MB = 384;

  private final ScaleSettings settings;
  private final Path deployFile;
  private final Path folder;
  private final Consumer<String> progress;
  private final List<Process> processes = new ArrayList<>();

  public MultiCellRun(
      ScaleSettings settings, Path deployFile, Path folder, Consumer<String> progress) {
    this.settings = settings;
    this.deployFile = deployFile;
    this.folder = folder;
    this.progress = progress;
  }

  /** Memory limit for all processes of a run together, in MiB. */
  public static double memoryLimitMb() {
    return ProcessUsage.machineMb() * MEMORY_SHARE;
  }

  /**
   * Runs all cells at the same time.
   *
   * @throws IllegalStateException if a cell produces no result in time
   */
  public ScaleResult run() throws IOException, InterruptedException {
    for (int cell = 0; cell < settings.cells(); cell++) {
      startCell(cell);
    }
    Duration timeLimit =
        settings.timeline().total().plus(settings.faults().duration()).plus(DEADLINE_MARGIN);
    long deadline = System.nanoTime() + timeLimit.toNanos();
    List<ScaleResult> results = new ArrayList<>();
    for (int cell = 0; cell < settings.cells(); cell++) {
      boolean ended =
          processes.get(cell).waitFor(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
      Path file = resultFile(cell);
      if (!ended || !Files.exists(file)) {
        throw new IllegalStateException(
            "cell " + cell + " has produced no result; see its log: " + logFile(cell));
      }
      results.add(new ObjectMapper().readValue(file.toFile(), ScaleResult.class));
      progress.accept("cell " + cell + " has finished");
    }
    return merge(results);
  }

  private Path cellFolder(int cell) {
    return folder.resolve("cell-" + cell);
  }

  private Path resultFile(int cell) {
    return cellFolder(cell).resolve("result.json");
  }

  private Path logFile(int cell) {
    return cellFolder(cell).resolve("cell.log");
  }

  private void startCell(int cell) throws IOException {
    Files.createDirectories(cellFolder(cell));
    Files.deleteIfExists(resultFile(cell));
    Path file = cellFolder(cell).resolve("scale.toml");
    Files.writeString(file, settings.cell(cell).toToml());
    String java = ProcessHandle.current().info().command().orElse("java");
    List<String> command =
        List.of(
            java, "-Xmx" + EMULATOR_HEAP_MB + "m", "-XX:+UseSerialGC",
            "-cp", System.getProperty("java.class.path"), "io.tansystack.cli.Main", "scale",
            "--settings", file.toString(), "--cell", Integer.toString(cell),
            "--deploy", deployFile.toAbsolutePath().toString(),
            "--folder", cellFolder(cell).toString(), "--out", resultFile(cell).toString());
    processes.add(
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(logFile(cell).toFile())
            .start());
  }

  /**
   * Merges results: counts, rates and memory are added, waits are those of the slowest cell, the
   * share of started jobs is the lowest, and figures of a role or worker are means.
   */
  static ScaleResult merge(List<ScaleResult> results) {
    List<String> broken = new ArrayList<>();
    for (int cell = 0; cell < results.size(); cell++) {
      for (String violation : results.get(cell).broken()) {
        broken.add("cell " + cell + ": " + violation);
      }
    }
    ScaleResult first = results.get(0);
    List<ClassResult> classes = new ArrayList<>();
    for (int i = 0; i < first.classes().size(); i++) {
      int index = i;
      List<ClassResult> all = results.stream().map(r -> r.classes().get(index)).toList();
      classes.add(
          new ClassResult(
              all.get(0).name(),
              all.stream().mapToDouble(ClassResult::begun).min().orElse(1),
              max(all, ClassResult::waitMsP50),
              max(all, ClassResult::waitMsP99)));
    }
    List<RoleResult> roles = new ArrayList<>();
    for (int i = 0; i < first.roles().size(); i++) {
      int index = i;
      roles.add(meanRole(results.stream().map(r -> r.roles().get(index)).toList()));
    }
    List<Submissions> submissions = results.stream().map(ScaleResult::submissions).toList();
    List<StoreResult> stores = results.stream().map(ScaleResult::store).toList();
    List<WorkerTraffic> traffic = results.stream().map(ScaleResult::workerTraffic).toList();
    return new ScaleResult(
        results.size(),
        (int) sum(results, ScaleResult::workers),
        (int) sum(results, ScaleResult::controllers),
        results.stream().mapToDouble(ScaleResult::seconds).max().orElse(0),
        sum(results, ScaleResult::startsPerSecond),
        sum(results, ScaleResult::wantedPerSecond),
        (int) sum(results, ScaleResult::running),
        (int) sum(results, ScaleResult::alive),
        (int) sum(results, ScaleResult::lostTasks),
        sum(results, ScaleResult::memoryMb),
        classes,
        new Submissions(
            (int) sum(submissions, Submissions::jobs),
            max(submissions, Submissions::acceptedMsP50),
            max(submissions, Submissions::acceptedMsP99),
            (long) sum(submissions, Submissions::refused)),
        roles,
        new StoreResult(
            (long) sum(stores, StoreResult::keys),
            sum(stores, StoreResult::valueKb),
            sum(stores, StoreResult::requestsPerSecond),
            sum(stores, StoreResult::writesPerSecond),
            sum(stores, StoreResult::refusedPerSecond),
            writesByKind(stores)),
        new WorkerTraffic(
            mean(traffic, WorkerTraffic::reportsPerSecond),
            mean(traffic, WorkerTraffic::commandsPerSecond),
            mean(traffic, WorkerTraffic::bytesPerSecond)),
        (int) sum(results, ScaleResult::repeatedCommands),
        (int) sum(results, ScaleResult::machineRestarts),
        (long) sum(results, ScaleResult::brokenCount),
        broken);
  }

  private static Map<String, Double> writesByKind(List<StoreResult> stores) {
    Map<String, Double> all = new TreeMap<>();
    stores.forEach(
        store -> store.writesByKind().forEach((kind, n) -> all.merge(kind, n, Double::sum)));
    return all;
  }

  private static RoleResult meanRole(List<RoleResult> all) {
    return new RoleResult(
        all.get(0).role(),
        (int) sum(all, RoleResult::count),
        mean(all, RoleResult::cores),
        mean(all, RoleResult::memoryMb),
        mean(all, RoleResult::inKbPerSecond),
        mean(all, RoleResult::outKbPerSecond));
  }

  private static <T> double sum(List<T> all, ToDoubleFunction<T> component) {
    return all.stream().mapToDouble(component).sum();
  }

  private static <T> double mean(List<T> all, ToDoubleFunction<T> component) {
    return all.stream().mapToDouble(component).average().orElse(0);
  }

  private static <T> long max(List<T> all, ToLongFunction<T> component) {
    return all.stream().mapToLong(component).max().orElse(0);
  }

  /** Terminates the cells' processes, each of which ends its controllers in its shutdown hook. */
  @Override
  public void close() {
    processes.forEach(Process::destroy);
  }
}
