package io.tansystack.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The settings file that the platform provides. Unknown keys are ignored.
 *
 * @param label this controller's name, unique within the cluster
 * @param front address that serves users, workers and health checks
 * @param peerBind address that serves the other controllers
 * @param controllerCount number of controllers in the cluster, this one included
 * @param maxClockSkew maximum error of any process's wall clock, in either direction
 */
public record PlatformSettings(
    String label,
    String zone,
    InetSocketAddress front,
    InetSocketAddress peerBind,
    List<Peer> peers,
    InetSocketAddress cloudAddress,
    InetSocketAddress stateServiceAddress,
    int controllerCount,
    List<String> zones,
    Duration maxClockSkew,
    List<Team> teams,
    List<Objective> objectives,
    WorkerTimings workerTimings,
    StateServiceLimits stateServiceLimits,
    CloudLimits cloudLimits,
    ProcessLimits processLimits) {

  private static final Logger log = LoggerFactory.getLogger(PlatformSettings.class);

  /** Upper bound of values that have no natural one. */
  private static final double MAX_VALUE = 1e9;

  /** Lower bound of values that must be greater than zero. */
  private static final double MIN_POSITIVE = 0.001;

  /** Clock skew assumed if the file has no {@code skew_ms}. */
  private static final double DEFAULT_SKEW_MS = 1000;

  /** Another controller. */
  public record Peer(String label, String zone, InetSocketAddress address) {}

  /**
   * A team's quota; 0 stands for none.
   *
   * @param cpus guaranteed CPUs
   * @param gpus guaranteed GPUs
   * @param cpusMax limit of CPUs
   * @param gpusMax limit of GPUs
   */
  public record Team(String name, double cpus, double gpus, double cpusMax, double gpusMax) {}

  /**
   * A service level objective.
   *
   * @param jobClass class of the jobs that it is about; null for kind {@code guarantee}
   * @param within time within which the condition must be met; zero for kind {@code deadline}
   * @param share fraction of the cases that must meet it
   * @param deadlineFactor for kind {@code deadline}: jobs must finish within this multiple of their
   *     deadline; 1 for all other kinds
   */
  public record Objective(
      String kind, String jobClass, Duration within, double share, double deadlineFactor) {}

  /**
   * Timings of the workers.
   *
   * @param reportInterval time between two reports of a worker
   * @param leaseDuration a worker kills its tasks if its reports get no response for this long
   * @param gangWait how long a gang task waits for the other tasks of its attempt before it exits
   * @param gangPeerTimeout how long the tasks of a gang take to notice that one of them is gone
   * @param cancelDeadline the tasks of a cancelled job must have ended within this time
   */
  public record WorkerTimings(
      Duration reportInterval,
      Duration leaseDuration,
      Duration gangWait,
      Duration gangPeerTimeout,
      Duration cancelDeadline) {}

  /**
   * Limits of the state service, for all controllers together.
   *
   * @param rps requests per second
   * @param writeRps writes per second
   * @param maxValueBytes maximum size of a value
   * @param maxTxnOps maximum number of operations in a transaction
   */
  public record StateServiceLimits(double rps, double writeRps, int maxValueBytes, int maxTxnOps) {}

  /**
   * Limits of the cloud interface.
   *
   * @param rps requests per second
   * @param listLag how old a list of machines may be
   */
  public record CloudLimits(double rps, Duration listLag) {}

  /** Resources that this process may use. */
  public record ProcessLimits(double cores, double memoryMb, int maxConnections) {}

  /** Reads the file; the exception names the key that is wrong. */
  public static PlatformSettings load(Path file) throws SettingsException {
    return read(TomlTable.load(file));
  }

  public static PlatformSettings parse(String text) throws SettingsException {
    return read(TomlTable.parse("settings", text));
  }

  private static PlatformSettings read(TomlTable root) throws SettingsException {
    List<Peer> peers = new ArrayList<>();
    for (TomlTable seed : root.tables("seeds")) {
      peers.add(
          new Peer(seed.string("label"), seed.stringOr("zone", ""), seed.address("peer_addr")));
    }
    TomlTable services = root.table("services");
    TomlTable cluster = root.table("cluster");
    List<Team> teams = new ArrayList<>();
    for (TomlTable table : cluster.tables("teams")) {
      teams.add(
          new Team(
              table.string("name"),
              table.numberOr("cpus", 0, 0, MAX_VALUE),
              table.numberOr("gpus", 0, 0, MAX_VALUE),
              table.numberOr("cpus_max", 0, 0, MAX_VALUE),
              table.numberOr("gpus_max", 0, 0, MAX_VALUE)));
    }
    List<Objective> objectives = new ArrayList<>();
    for (TomlTable table : cluster.tables("objectives")) {
      Objective parsed = readObjective(table);
      if (parsed != null) {
        objectives.add(parsed);
      }
    }
    TomlTable workers = cluster.table("workers");
    TomlTable state = cluster.table("state");
    TomlTable cloud = cluster.table("cloud");
    TomlTable limits = cluster.tableOrEmpty("machine_limits");
    return new PlatformSettings(
        root.string("label"),
        root.string("zone"),
        root.address("front"),
        root.address("peer_bind"),
        List.copyOf(peers),
        services.address("cloud"),
        services.address("state"),
        cluster.integerOr("size", peers.size() + 1, 1, 1000),
        cluster.strings("zones"),
        Duration.ofNanos(
            Math.round(cluster.numberOr("skew_ms", DEFAULT_SKEW_MS, 0, MAX_VALUE) * 1e6)),
        List.copyOf(teams),
        List.copyOf(objectives),
        new WorkerTimings(
            workers.seconds("report_s", 0.1, 3600),
            workers.seconds("lease_s", 1, 86_400),
            workers.seconds("gang_wait_s", 0, 86_400),
            workers.seconds("gang_peer_s", 0, 86_400),
            workers.seconds("cancel_s", 1, 86_400)),
        new StateServiceLimits(
            state.number("rps", 1, MAX_VALUE),
            state.number("write_rps", 1, MAX_VALUE),
            (int) (state.number("value_kb", 1, 1e6) * 1024),
            state.integer("txn_ops", 2, 1_000_000)),
        new CloudLimits(cloud.number("rps", 0.01, MAX_VALUE), cloud.seconds("list_lag_s", 0, 3600)),
        new ProcessLimits(
            limits.numberOr("cores", 1, 0.01, 1e4),
            limits.numberOr("memory_mb", 1024, 32, 1e9),
            limits.integerOr("max_connections", 1000, 16, 1_000_000)));
  }

  /** Returns null for an objective of an unknown kind: the platform may add new kinds. */
  private static Objective readObjective(TomlTable table) throws SettingsException {
    String kind = table.string("kind");
    switch (kind) {
      case "wait", "finished", "guarantee" -> {
        String jobClass = kind.equals("guarantee") ? null : table.string("class");
        Duration within = table.seconds("within_s", MIN_POSITIVE, MAX_VALUE);
        return new Objective(kind, jobClass, within, table.number("share", 0, 1), 1);
      }
      case "deadline" -> {
        double deadlineFactor = table.numberOr("times", 1, MIN_POSITIVE, MAX_VALUE);
        return new Objective(
            kind,
            table.string("class"),
            Duration.ZERO,
            table.number("share", 0, 1),
            deadlineFactor);
      }
      default -> {
        log.warn("{}: unknown objective kind {}, objective ignored", table.fullKey("kind"), kind);
        return null;
      }
    }
  }

  /** Returns the team of this name; null if there is none. */
  public Team team(String name) {
    for (Team team : teams) {
      if (team.name().equals(name)) {
        return team;
      }
    }
    return null;
  }
}
