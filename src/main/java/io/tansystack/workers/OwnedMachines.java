package io.tansystack.workers;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.http.EventLoop;
import io.tansystack.recovery.TaskAttempt;
import io.tansystack.schedule.MachineHistory;
import io.tansystack.wire.Addresses;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Report;
import io.tansystack.wire.ThrottledLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machines that this controller owns according to the cluster state. */
final class OwnedMachines {
  private static final Logger log = LoggerFactory.getLogger(OwnedMachines.class);

  /** Most machines that are named in one log line, and most log lines for one report. */
  private static final int MAX_LOGGED = 40;

  /** Assumed image cache size of a machine whose type is unknown. */
  private static final double DEFAULT_CACHE_GB = 50;

  private final ThrottledLogger invalidMessages = new ThrottledLogger(log);
  private final EventLoop loop;
  private final ClusterState clusterState;
  private final ControllerLease lease;
  private final String label;
  private final Function<String, MachineType> machineTypes;
  private final Function<String, MachineView> views;
  private final Map<String, OwnedMachine> machines = new LinkedHashMap<>();

  /** Machines that became this controller's own since they were last logged. */
  private final List<String> acquired = new ArrayList<>();

  private long startedByNobodyCount;
  private long laterSessionCount;

  OwnedMachines(
      EventLoop loop,
      ClusterState clusterState,
      ControllerLease lease,
      String label,
      Function<String, MachineType> machineTypes,
      Function<String, MachineView> views) {
    this.loop = loop;
    this.clusterState = clusterState;
    this.lease = lease;
    this.label = label;
    this.machineTypes = machineTypes;
    this.views = views;
  }

  /** Null for a machine that this controller does not own, or has not yet noticed that it owns. */
  OwnedMachine get(String name) {
    return machines.get(name);
  }

  /**
   * Returns the state of a machine that this controller owns by the record, and begins to track it
   * if it is new. Its former owner may still act then.
   */
  OwnedMachine getOrAdd(MachineRecord record) {
    return machines.computeIfAbsent(record.name(), name -> acquire(record));
  }

  /** The kinds of messages that contain a worker's report. */
  enum ReportSource {
    HEARTBEAT("report"),
    COMMAND_RESPONSE("response to commands");

    private final String text;

    ReportSource(String text) {
      this.text = text;
    }
  }

  /** Applies a report unless a newer one is known; reports may arrive minutes late. */
  void applyReport(OwnedMachine machine, Report report, ReportSource source) {
    if (machine.latest != null && !report.newerThan(machine.latest)) {
      return;
    }
    if (machine.latest != null && report.repeats(machine.latest)) {
      // Keeps the same list object, by which later comparisons recognize the tasks as unchanged.
      machine.latest = report.withTasks(machine.latest.tasks());
      return;
    }
    if (machine.leaseStart.onSessionSeen(report.session(), loop.now()) && machine.latest != null) {
      logLaterSession(machine, report, source);
    }
    MachineRecord record = clusterState.machine(machine.name);
    long claimToken = record == null ? Long.MAX_VALUE : clusterState.token(record);
    logStartedByNobody(machine, report, machine.apply(report, claimToken));
    try {
      machine.address = Addresses.parse(report.address());
    } catch (InvalidMessageException e) {
      invalidMessages.warn("machine=" + machine.name + " can't be sent commands", e.getMessage());
      machine.address = null;
    }
    machine.history.observe(report, loop.now(), this::spec);
  }

  private void logLaterSession(OwnedMachine machine, Report report, ReportSource source) {
    laterSessionCount++;
    log.info(
        "session machine={} session={} before={} seen in={} token={} copy={}",
        machine.name,
        report.session(),
        machine.latest.session(),
        source.text,
        report.token(),
        clusterState.revision());
  }

  private void logStartedByNobody(OwnedMachine machine, Report report, List<TaskAttempt> attempts) {
    startedByNobodyCount += attempts.size();
    for (TaskAttempt attempt : attempts.subList(0, Math.min(MAX_LOGGED, attempts.size()))) {
      log.warn(
          "started by a repeated command machine={} task={} attempt={} session={} token={} copy={}",
          machine.name,
          attempt.task(),
          attempt.number(),
          report.session(),
          report.token(),
          clusterState.revision());
    }
  }

  /**
   * How many attempts were reported that nobody had started under the token then in force, how many
   * later sessions of machines were seen, and how many machines are in a session of which no report
   * was answered.
   */
  String counters() {
    long unanswered = machines.values().stream().filter(OwnedMachine::sessionUnanswered).count();
    return "repeated=" + startedByNobodyCount + " sessions=" + laterSessionCount + " unanswered="
        + unanswered;
  }

  private JobSpec spec(String job) {
    Job known = clusterState.job(job);
    return known == null ? null : known.record().spec();
  }

  private OwnedMachine acquire(MachineRecord record) {
    MachineType type = machineTypes.apply(record.type());
    MachineHistory history =
        new MachineHistory(type == null ? DEFAULT_CACHE_GB : type.cacheGb());
    MachineView lastView = views.apply(record.name());
    if (lastView != null) {
      history.inherit(lastView.images(), lastView.fetchGbPerS());
    }
    acquired.add(record.name());
    Duration now = loop.now();
    return new OwnedMachine(record.name(), history, now, ownedSince(record), formerOwnerUntil(now));
  }

  /**
   * Notes the machine's record, which may be a later one than that by which it was owned so far.
   */
  void observe(OwnedMachine machine, MachineRecord record, Duration now) {
    machine.updateOwnedSince(ownedSince(record), formerOwnerUntil(now));
  }

  /**
   * The revision of the record that makes this controller the owner: its own registration if it
   * claimed the machine, otherwise the failover record that names it as a successor.
   */
  private long ownedSince(MachineRecord record) {
    return record.claimant().equals(label)
        ? clusterState.controllers().get(label).version()
        : record.ownedSince();
  }

  /**
   * The latest moment at which a former owner can act: one whose cluster state cache was up to date
   * until just now keeps acting until then.
   */
  private Duration formerOwnerUntil(Duration now) {
    return now.plus(lease.leaseDuration());
  }

  void remove(String name) {
    machines.remove(name);
  }

  boolean isEmpty() {
    return machines.isEmpty();
  }

  int size() {
    return machines.size();
  }

  /** A live view of the machines. */
  Collection<OwnedMachine> all() {
    return machines.values();
  }

  /** A copy of the machines' names. */
  Collection<String> names() {
    return List.copyOf(machines.keySet());
  }

  /** The last published view of each machine; a controller that has just started needs them all. */
  List<MachineView> publishedViews() {
    List<MachineView> published = new ArrayList<>();
    for (OwnedMachine machine : machines.values()) {
      if (machine.lastView != null) {
        published.add(machine.lastView);
      }
    }
    return published;
  }

  /**
   * Logs which machines became this controller's own since the last call, and the revision of the
   * cluster state that shows it.
   */
  void logAcquired() {
    if (acquired.isEmpty()) {
      return;
    }
    List<String> named = acquired.subList(0, Math.min(MAX_LOGGED, acquired.size()));
    log.info(
        "owns {} more machines={} copy={}{}",
        acquired.size(),
        named,
        clusterState.revision(),
        named.size() < acquired.size() ? " and others" : "");
    acquired.clear();
  }
}
