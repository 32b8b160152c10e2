package io.tansystack.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The file that the platform hands over. Keys that are not known here are ignored.
 *
 * @param skew by how much any process's time of day may be wrong, either way
 */
public record PlatformSettings(
    String label,
    String zone,
    InetSocketAddress front,
    InetSocketAddress peerBind,
    List<Peer> peers,
    InetSocketAddress cloud,
    InetSocketAddress state,
    int size,
    List<String> zones,
    Duration skew,
    List<Team> teams,
    List<Objective> objectives,
    WorkerTimings workers,
    StateServiceLimits store,
    CloudLimits cloudLimits,
    ProcessLimits limits) {

  private static final Logger log = LoggerFactory.getLogger(PlatformSettings.class);
  private static final double HUGE = 1e9;
  private static final double SHORTEST_S = 0.001;

  /** Where nobody says by how much times of day may be wrong. */
  private static final double SKEW_MS = 1000;

  /** Another controller. */
  public record Peer(String label, String zone, InetSocketAddress address) {}

  /** A team's guarantee and limit; 0 stands for none. */
  public record Team(String name, double cpus, double gpus, double cpusMax, double gpusMax) {}

  /**
   * An aim; {@code jobClass} may be null, {@code within} zero where it does not apply. {@code times}
   * is the multiple of their deadline that jobs are measured by.
   */
  public record Objective(
      String kind, String jobClass, Duration within, double share, double times) {}

  /** What the workers keep to. */
  public record WorkerTimings(
      Duration report, Duration lease, Duration gangWait, Duration gangPeer, Duration cancel) {}

  /** Limits of the state service. */
  public record StateServiceLimits(double rps, double writeRps, int valueBytes, int txnOps) {}

  /** Limits of the cloud. */
  public record CloudLimits(double rps, Duration listLag) {}

  /** What this process may use. */
  public record ProcessLimits(double cores, double memoryMb, int maxConnections) {}

  public static PlatformSettings load(Path file) throws SettingsException {
    return read(TomlTable.load(file));
  }

  public static PlatformSettings parse(String text) throws SettingsException {
    return read(TomlTable.parse("settings", text));
  }

  private static PlatformSettings read(TomlTable root) throws SettingsException {
    List<Peer> peers = new ArrayList<>();
    for (TomlTable seed : root.tables("seeds")) {
      peers.add(new Peer(seed.text("label"), seed.textOr("zone", ""), seed.address("peer_addr")));
    }
    TomlTable services = root.table("services");
    TomlTable cluster = root.table("cluster");
    List<Team> teams = new ArrayList<>();
    for (TomlTable team : cluster.tables("teams")) {
      teams.add(
          new Team(
              team.text("name"),
              team.numberOr("cpus", 0, 0, HUGE),
              team.numberOr("gpus", 0, 0, HUGE),
              team.numberOr("cpus_max", 0, 0, HUGE),
              team.numberOr("gpus_max", 0, 0, HUGE)));
    }
    List<Objective> objectives = new ArrayList<>();
    for (TomlTable objective : cluster.tables("objectives")) {
      Objective known = objective(objective);
      if (known != null) {
        objectives.add(known);
      }
    }
    TomlTable workers = cluster.table("workers");
    TomlTable state = cluster.table("state");
    TomlTable cloud = cluster.table("cloud");
    TomlTable limits = cluster.tableOrEmpty("machine_limits");
    return new PlatformSettings(
        root.text("label"),
        root.text("zone"),
        root.address("front"),
        root.address("peer_bind"),
        List.copyOf(peers),
        services.address("cloud"),
        services.address("state"),
        cluster.integerOr("size", peers.size() + 1, 1, 1000),
        cluster.texts("zones"),
        Duration.ofNanos(Math.round(cluster.numberOr("skew_ms", SKEW_MS, 0, HUGE) * 1e6)),
        List.copyOf(teams),
        List.copyOf(objectives),
        new WorkerTimings(
            workers.seconds("report_s", 0.1, 3600),
            workers.seconds("lease_s", 1, 86_400),
            workers.seconds("gang_wait_s", 0, 86_400),
            workers.seconds("gang_peer_s", 0, 86_400),
            workers.seconds("cancel_s", 1, 86_400)),
        new StateServiceLimits(
            state.number("rps", 1, HUGE),
            state.number("write_rps", 1, HUGE),
            (int) (state.number("value_kb", 1, 1e6) * 1024),
            state.integer("txn_ops", 2, 1_000_000)),
        new CloudLimits(cloud.number("rps", 0.01, HUGE), cloud.seconds("list_lag_s", 0, 3600)),
        new ProcessLimits(
            limits.numberOr("cores", 1, 0.01, 1e4),
            limits.numberOr("memory_mb", 1024, 32, 1e9),
            limits.integerOr("max_connections", 1000, 16, 1_000_000)));
  }

  /** An aim; null for one of a kind that is not known here, since new kinds may come. */
  private static Objective objective(TomlTable aim) throws SettingsException {
    String kind = aim.text("kind");
    switch (kind) {
      case "wait", "finished", "guarantee" -> {
        String jobClass = kind.equals("guarantee") ? null : aim.text("class");
        Duration within = aim.seconds("within_s", SHORTEST_S, HUGE);
        return new Objective(kind, jobClass, within, aim.number("share", 0, 1), 1);
      }
      case "deadline" -> {
        double times = aim.numberOr("times", 1, SHORTEST_S, HUGE);
        return new Objective(
            kind, aim.text("class"), Duration.ZERO, aim.number("share", 0, 1), times);
      }
      default -> {
        log.warn("{}: aims of kind {} are not known and are ignored", aim.key("kind"), kind);
        return null;
      }
    }
  }

  public Team team(String name) {
    for (Team team : teams) {
      if (team.name().equals(name)) {
        return team;
      }
    }
    return null;
  }
}
