package io.tansystack.workers;

import com.google.common.collect.Sets;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ClusterStateDelta;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.WallClockConverter;
import io.tansystack.http.Callbacks;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.recovery.CommandThrottle;
import io.tansystack.recovery.Reconciliation;
import io.tansystack.recovery.RecoveryContext;
import io.tansystack.recovery.StartupLogger;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Command;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Report;
import io.tansystack.wire.ReportHeader;
import io.tansystack.wire.Responses;
import io.tansystack.wire.ThrottledLogger;
import io.tansystack.workers.OwnedMachines.ReportSource;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The owner's side of the machines: claims, responses to reports, and commands.
 *
 * <p>A machine's token is that of {@link ClusterState#token}, so every claim has a higher one, or a
 * later revision that the owner has seen ({@link OwnedMachine#raiseToken}).
 * Commands are sent by {@code /orders} only, one request at a time for each machine, and only while
 * the newest report shows a token of this owner: then every command of former owners is invalid.
 * What to send follows from the cluster state and that report. A request that got no response may
 * still arrive, so it is followed by a new claim, whose token invalidates it. One that was answered
 * may arrive once more, so an ended attempt is forgotten only under a higher token than that of its
 * start command ({@link SentStarts}).
 */
public final class WorkerManager {
  /** If more than this share is silent at once, the machines' owner or the network is at fault. */
  public static final double MASS_SILENCE_SHARE = 0.34;

  private static final Logger log = LoggerFactory.getLogger(WorkerManager.class);

  private final ThrottledLogger invalidMessages = new ThrottledLogger(log);
  private final EventLoop loop;
  private final ClusterState clusterState;
  private final ControllerLease lease;
  private final String label;
  private final String incarnation;
  private final OwnedMachines machines;
  private final HeartbeatMonitor heartbeats;
  private int lostTasks;
  private final MachineClaims claims;
  private final CommandSender commandSender;
  private final CommandThrottle throttle;
  private final Duration maxStartupTime;
  private final WorkerLeaseMonitor leaseMonitor;
  private final MachineViewPublisher viewPublisher;
  private final CancellationTracker cancellations;

  public WorkerManager(
      EventLoop loop,
      StoreClient store,
      HttpClient httpClient,
      ClusterState clusterState,
      ControllerLease lease,
      String label,
      String incarnation,
      String zone,
      Duration workerLease,
      double writesPerSecond,
      Predicate<String> unfit,
      RecoveryContext recovery,
      Supplier<Duration> notCommittedBefore,
      WallClockConverter wallClock,
      Function<String, MachineType> machineTypes,
      Function<String, MachineView> views,
      Consumer<MachineView> publish) {
    this.loop = loop;
    this.cancellations =
        new CancellationTracker(clusterState, lease, notCommittedBefore, wallClock);
    this.clusterState = clusterState;
    this.lease = lease;
    this.label = label;
    this.incarnation = incarnation;
    this.machines = new OwnedMachines(loop, clusterState, lease, label, machineTypes, views);
    this.heartbeats = new HeartbeatMonitor(loop.now());
    this.claims =
        new MachineClaims(
            loop, store, clusterState, label, incarnation, zone, writesPerSecond, unfit, recovery,
            this::mayAnswer, this::answerOwnWorker);
    this.maxStartupTime = recovery.maxStartupTime();
    this.throttle = new CommandThrottle(loop, this::reconcileIfOwned);
    this.commandSender =
        new CommandSender(
            loop, httpClient, clusterState, throttle,
            (machine, report) ->
                machines.applyReport(machine, report, ReportSource.COMMAND_RESPONSE),
            m -> reconcileIfOwned(m.name));
    this.leaseMonitor =
        new WorkerLeaseMonitor(loop, store, clusterState, lease, label, workerLease);
    this.viewPublisher = new MachineViewPublisher(publish);
  }

  /** To be called after this process was paused or could not answer reports. */
  public void restartSilenceTimers() {
    heartbeats.restartSilenceTimers(loop.now());
  }

  private boolean isOwn(MachineRecord record) {
    return record != null && record.owner().equals(label) && clusterState.alive(label, incarnation);
  }

  /**
   * Whether this controller owns the machine and may answer its worker under this record: not while
   * a deletion of this record may still be applied.
   */
  private boolean mayAnswer(MachineRecord record) {
    if (!isOwn(record)) {
      return false;
    }
    OwnedMachine machine = machines.get(record.name());
    return machine == null || machine.deletionVersion != record.version();
  }

  /**
   * Serves {@code POST /v1/report}. A worker that only has to retry later is answered before its
   * report is decoded: after a full restart every worker reports every second, and a startup has no
   * processor time to spare.
   */
  public void handleReport(byte[] body, Reply reply) {
    if (!lease.valid()) {
      reply.send(
          503,
          Cbor.encode(Responses.error("this controller has no valid lease")),
          MachineClaims.RETRY_AFTER_S);
      return;
    }
    ReportHeader header = ReportHeader.read(body);
    MachineRecord known = header == null ? null : clusterState.machine(header.machine());
    if (known != null && !isOwn(known) && claims.deferToExpectedOwner(known, reply)) {
      return;
    }
    Report report;
    try {
      OwnedMachine machine = header == null ? null : machines.get(header.machine());
      report = machine == null ? Report.read(body) : machine.read(header, body);
    } catch (InvalidMessageException e) {
      invalidMessages.warn("unreadable report", e.getMessage());
      reply.send(400, Cbor.encode(Responses.error(e.getMessage())));
      return;
    }
    MachineRecord record = clusterState.machine(report.machine());
    if (isOwn(record)) {
      answerOwnWorker(record, report, reply);
    } else if (record == null || !claims.deferToExpectedOwner(record, reply)) {
      claims.claimOrRedirect(record, report, reply);
    }
  }

  private void answerOwnWorker(MachineRecord record, Report report, Reply reply) {
    long token = clusterState.token(record);
    if (report.token() > Math.max(token, clusterState.revision())) {
      // The machine was claimed since; the cluster state cache is about to show it.
      reply.send(503, Cbor.encode(Responses.error("a later claim exists")));
      return;
    }
    Duration now = loop.now();
    OwnedMachine machine = machines.getOrAdd(record);
    if (report.token() > machine.token(token)) {
      // Every other owner's token up to this revision is lower than this one's claim.
      machine.raiseToken(report.token());
    }
    if (!mayAnswer(record)) {
      if (machine.recordWriteInFlight) {
        reply.send(503, Cbor.encode(Responses.error("the machine is being declared gone")));
      } else {
        claims.claimWithinBudget(record, report, reply);
      }
      return;
    }
    if (cancellations.mustLeaveToExpire(machine, report, token)) {
      reply.send(503, Cbor.encode(Responses.error("cancelled tasks there can't be stopped")));
    } else {
      if (machine.answeredUnderToken != token) {
        log.info(
            "answers machine={} session={} shown={} token={} copy={}",
            machine.name,
            report.session(),
            report.token(),
            token,
            clusterState.revision());
      }
      machine.onAnswered(report, token, now);
      if (machine.latest == null) {
        lostTasks +=
            StartupLogger.countLostTasks(clusterState.placedOn(record.name()), report.session());
      }
      reply.send(200, machine.response(machine.token(token)));
    }
    machines.applyReport(machine, report, ReportSource.HEARTBEAT);
    reconcile(machine);
  }

  /** Progress of this controller's machines since it started. */
  public StartupLogger.StartupCounts startupCounts() {
    int reporting = 0;
    for (OwnedMachine machine : machines.all()) {
      reporting += machine.latest == null ? 0 : 1;
    }
    return new StartupLogger.StartupCounts(
        machines.size(),
        reporting,
        throttle.waitingMachines(),
        commandSender.sentCount(Command.Op.START),
        commandSender.sentCount(Command.Op.STOP),
        commandSender.sentCount(Command.Op.FORGET),
        lostTasks);
  }

  /**
   * Handles changes of the records of machines, or of the placements on them: claims may have
   * become effective, and commands may be needed. A large cluster can't afford to scan all machines
   * for each change; what becomes due by time alone is found by {@link #tick}.
   */
  public void onClusterStateChange(ClusterStateDelta delta) {
    cancellations.onClusterStateChange(delta);
    claims.onClusterStateChange();
    if (delta.controllersChanged()
        && clusterState.alive(label, incarnation)
        && machines.isEmpty()) {
      trackOwnMachines();
    }
    for (String name : Sets.union(delta.machines(), delta.placementsChangedOn())) {
      MachineRecord record = clusterState.machine(name);
      // It may have become this controller's own by a claim whose response was lost, or by a
      // failover: its silence must be timed too.
      OwnedMachine machine = isOwn(record) ? machines.getOrAdd(record) : machines.get(name);
      if (machine != null) {
        machine.nothingToSend = false;
        reconcile(machine);
      }
    }
    machines.logAcquired();
  }

  /**
   * Tracks the machines that this controller already owns when it has restarted. Those that never
   * report to it must be timed too, or the attempts recorded on them would never end.
   */
  private void trackOwnMachines() {
    double usualRate = 0;
    for (MachineRecord record : clusterState.machines().values()) {
      if (isOwn(record)) {
        machines.getOrAdd(record);
        usualRate += CommandThrottle.expectedRate(clusterState.placedOn(record.name()));
      }
    }
    if (usualRate > 0) {
      throttle.begin(usualRate, maxStartupTime);
    }
  }

  /** Handles what is due by time alone; called about once a second. */
  public void tick() {
    Duration now = loop.now();
    if (!lease.valid()) {
      // Reports are refused now: workers that go to other controllers don't count as silent.
      restartSilenceTimers();
    }
    claims.tick(now);
    try {
      Callbacks.forEach(List.copyOf(machines.all()), this::tick);
    } finally {
      heartbeats.evaluate(machines.all(), now);
    }
  }

  private void tick(OwnedMachine machine) {
    reconcile(machine);
    MachineRecord record = clusterState.machine(machine.name);
    if (isOwn(record)) {
      leaseMonitor.declareGoneIfExpired(machine, record, heartbeats.listeningSince());
    }
  }

  /** Fails over the machines of an owner that has no record and is overdue. */
  public void failOverIfOverdue(MachineRecord orphan) {
    claims.failOverIfOverdue(orphan);
  }

  /**
   * Whether so many of this controller's machines were silent at the last tick that it must be
   * isolated from them. The other controllers are notified, and claim the machines of workers that
   * report to them instead of redirecting them here until their leases expire.
   */
  public boolean isolatedFromWorkers() {
    return heartbeats.isolatedFromWorkers();
  }

  /** How long a machine has been silent; null if this controller does not own it. */
  public Duration silentFor(String name) {
    OwnedMachine machine = machines.get(name);
    return machine == null ? null : heartbeats.silence(machine, loop.now());
  }

  private void reconcileIfOwned(String name) {
    OwnedMachine machine = machines.get(name);
    if (machine != null) {
      reconcile(machine);
    }
  }

  /** Sends the commands that the machine needs, and publishes its view if that is due. */
  private void reconcile(OwnedMachine machine) {
    MachineRecord record = clusterState.machine(machine.name);
    if (!isOwn(record)) {
      machines.remove(machine.name);
      commandSender.release(machine);
      return;
    }
    Duration now = loop.now();
    machines.observe(machine, record, now);
    Report latest = machine.latest;
    long token = clusterState.token(record);
    if (latest != null && latest.token() >= token) {
      machine.leaseStart.onTokenReported(now);
    }
    if (latest == null || !lease.valid()) {
      return;
    }
    if (!mayAnswer(record)) {
      viewPublisher.publishIfDue(machine, token, List.of(), heartbeats.silence(machine, now), now);
      return;
    }
    if (machine.unconfirmedToken == token) {
      if (!machine.recordWriteInFlight && now.compareTo(machine.backOffUntil) >= 0) {
        claims.reclaim(machine, record);
      }
      viewPublisher.publishIfDue(machine, token, List.of(), heartbeats.silence(machine, now), now);
      return;
    }
    if (machine.nothingToSend && machine.lastView != null && machine.lastView.token() == token) {
      viewPublisher.publishIfDue(
          machine, token, machine.lastView.absentAttempts(), heartbeats.silence(machine, now), now);
      return;
    }
    boolean tokenAcknowledged = latest.token() >= token;
    boolean nothingInFlight = !machine.commandsInFlight;
    Reconciliation reconciliation =
        tokenAcknowledged && nothingInFlight ? commandSender.reconciliation(machine) : null;
    List<MachineView.AbsentAttempt> absentAttempts =
        reconciliation == null ? List.of() : CommandSender.absentAttempts(reconciliation);
    viewPublisher.publishIfDue(
        machine, token, absentAttempts, heartbeats.silence(machine, now), now);
    boolean reachable =
        nothingInFlight && machine.address != null && now.compareTo(machine.backOffUntil) >= 0;
    if (reachable && reconciliation != null) {
      commandSender.sendCommands(machine, reconciliation, token, now);
    } else if (reachable && machine.leftToExpire) {
      // Its reports are not answered, so it does not learn the token; the cancelled tasks have to
      // be stopped first.
      commandSender.sendStops(machine, token);
    }
  }

  /** The last published view of each machine; a controller that has just started needs them all. */
  public List<MachineView> publishedViews() {
    return machines.publishedViews();
  }

  /** Counters of what this controller's machines have reported, for the summary line. */
  public String counters() {
    return machines.counters();
  }

  public Collection<String> ownedMachines() {
    return machines.names();
  }
}
