package io.tansystack.workers;

import com.google.common.collect.Sets;
import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ClusterStateDelta;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.WallClockConverter;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.recovery.CommandThrottle;
import io.tansystack.recovery.Reconciliation;
import io.tansystack.recovery.RecoveryContext;
import io.tansystack.recovery.StartupLogger;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Addresses;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Command;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Report;
import io.tansystack.wire.ReportHeader;
import io.tansystack.wire.Responses;
import io.tansystack.wire.ThrottledLogger;
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
 * The owner's side of the machines: claims, answers to reports, and commands.
 *
 * <p>A machine's token is that of {@link ClusterState#token}, so every claim has a higher one. Commands go out
 * by {@code /orders} alone, one request at a time for each machine, and only while the newest report
 * shows the current token: then every command sent under an earlier one is void. What to send follows
 * from the records and that report; nothing needs to be remembered of what was sent before. A request
 * without an answer may still arrive, so it is followed by a new claim, whose token makes it void.
 */
public final class WorkerManager {
  /** More machines than this part falling silent at once speaks of us or the network, not of them. */
  public static final double MASS = 0.34;

  private static final Logger log = LoggerFactory.getLogger(WorkerManager.class);

  private final ThrottledLogger malformed = new ThrottledLogger(log);
  private final EventLoop loop;
  private final ClusterState world;
  private final ControllerLease lease;
  private final String label;
  private final String boot;
  private final OwnedMachines machines;
  private final HeartbeatMonitor silences;
  private int lost;
  private final MachineClaims claims;
  private final CommandSender orders;
  private final CommandThrottle pace;
  private final Duration longestStart;
  private final WorkerLeaseMonitor departures;
  private final MachineViewPublisher telling;
  private final CancellationTracker cancelled;

  public WorkerManager(
      EventLoop loop,
      StoreClient store,
      HttpClient caller,
      ClusterState world,
      ControllerLease lease,
      String label,
      String boot,
      String zone,
      Duration workerLease,
      double writesPerSecond,
      Predicate<String> unfit,
      RecoveryContext recovery,
      Supplier<Duration> unknownUntil,
      WallClockConverter timeOfDay,
      Function<String, MachineType> types,
      Function<String, MachineView> views,
      Consumer<MachineView> publish) {
    this.loop = loop;
    this.cancelled = new CancellationTracker(world, lease, unknownUntil, timeOfDay);
    this.world = world;
    this.lease = lease;
    this.label = label;
    this.boot = boot;
    this.machines = new OwnedMachines(loop, world, lease, label, types, views);
    this.silences = new HeartbeatMonitor(loop.now());
    this.claims =
        new MachineClaims(
            loop, store, world, label, boot, zone, writesPerSecond, unfit, recovery,
            this::usable, this::accept);
    this.longestStart = recovery.maxStartupTime();
    this.pace = new CommandThrottle(loop, this::tendIfOwned);
    this.orders =
        new CommandSender(loop, caller, world, pace, this::take, m -> tendIfOwned(m.name));
    this.departures = new WorkerLeaseMonitor(loop, store, world, lease, label, workerLease);
    this.telling = new MachineViewPublisher(publish);
  }

  /** This process stood still, or could not answer: no machine is to be judged by that time. */
  public void listenAnew() {
    silences.listenAnew(loop.now());
  }

  private boolean mine(MachineRecord record) {
    return record != null && record.owner().equals(label) && world.alive(label, boot);
  }

  /** Whether the machine is ours and its worker may be answered under this record. */
  private boolean usable(MachineRecord record) {
    if (!mine(record)) {
      return false;
    }
    OwnedMachine machine = machines.get(record.name());
    return machine == null || machine.goneVersion != record.version();
  }

  /**
   * Serves {@code POST /v1/report}. Who is only to be sent away is answered unread: after an end of all
   * every worker asks every second, and a start has no processor time to spare.
   */
  public void report(byte[] body, Reply reply) {
    if (!lease.valid()) {
      reply.send(
          503, Cbor.encode(Responses.error("not entitled to act now")), MachineClaims.COME_AGAIN_S);
      return;
    }
    ReportHeader head = ReportHeader.read(body);
    MachineRecord known = head == null ? null : world.machine(head.machine());
    if (known != null && !mine(known) && claims.awaits(known, reply)) {
      return;
    }
    Report report;
    try {
      OwnedMachine machine = head == null ? null : machines.get(head.machine());
      report = machine == null ? Report.read(body) : machine.read(head, body);
    } catch (InvalidMessageException e) {
      malformed.tell("unreadable report", e.getMessage());
      reply.send(400, Cbor.encode(Responses.error(e.getMessage())));
      return;
    }
    MachineRecord record = world.machine(report.machine());
    if (mine(record)) {
      accept(record, report, reply);
    } else if (record == null || !claims.awaits(record, reply)) {
      claims.claimOrRedirect(record, report, reply);
    }
  }

  private void accept(MachineRecord record, Report report, Reply reply) {
    long token = world.token(record);
    if (report.token() > token) {
      // Somebody has claimed it since; our copy of the records is about to say so.
      reply.send(503, Cbor.encode(Responses.error("a later claim exists")));
      return;
    }
    Duration now = loop.now();
    OwnedMachine machine = machines.of(record);
    if (!usable(record)) {
      if (machine.claiming) {
        reply.send(503, Cbor.encode(Responses.error("it is being declared gone")));
      } else {
        claims.inTurn(record, report, reply);
      }
      return;
    }
    if (cancelled.leftToItsLease(machine, report, token)) {
      reply.send(503, Cbor.encode(Responses.error("cancelled work can't be stopped there")));
    } else {
      if (machine.answeredUnder != token) {
        log.info(
            "answers machine={} session={} shown={} token={} copy={}",
            machine.name,
            report.session(),
            report.token(),
            token,
            world.revision());
      }
      machine.answered(report, token, now);
      if (machine.latest == null) {
        lost += StartupLogger.countLostTasks(world.placedOn(record.name()), report.session());
      }
      reply.send(200, machine.answer(token));
    }
    take(machine, report);
    tend(machine);
  }

  /** How far this controller's machines are since it started. */
  public StartupLogger.StartupCounts standing() {
    int heard = 0;
    for (OwnedMachine machine : machines.all()) {
      heard += machine.latest == null ? 0 : 1;
    }
    return new StartupLogger.StartupCounts(
        machines.size(),
        heard,
        pace.waitingMachines(),
        orders.sent(Command.Op.START),
        orders.sent(Command.Op.STOP),
        orders.sent(Command.Op.FORGET),
        lost);
  }

  /** Takes in a report unless a newer one is known; reports may arrive minutes late. */
  private void take(OwnedMachine machine, Report report) {
    if (machine.latest != null && !report.newerThan(machine.latest)) {
      return;
    }
    if (machine.latest != null && report.saysNoMoreThan(machine.latest)) {
      // With the same list of tasks, so that it is known as unchanged from here on.
      machine.latest = report.with(machine.latest.tasks());
      return;
    }
    machine.take(report);
    try {
      machine.address = Addresses.parse(report.address());
    } catch (InvalidMessageException e) {
      malformed.tell("machine=" + machine.name + " can't be given commands", e.getMessage());
      machine.address = null;
    }
    machine.history.observe(report, loop.now(), this::spec);
  }

  private JobSpec spec(String job) {
    Job known = world.job(job);
    return known == null ? null : known.record().spec();
  }

  /**
   * The records of these machines, or what is recorded on them, have changed: claims may have come
   * true, and commands may follow. Looking at all machines for each change is what a large cluster
   * can't afford; what is due by time alone is found by the tick.
   */
  public void worldChanged(ClusterStateDelta touched) {
    cancelled.worldChanged(touched);
    claims.worldChanged();
    if (touched.controllersChanged() && world.alive(label, boot) && machines.isEmpty()) {
      timeAll();
    }
    for (String name : Sets.union(touched.machines(), touched.placementsChangedOn())) {
      MachineRecord record = world.machine(name);
      // Ours by a claim whose answer was lost, or adopted: its silence has to be timed too.
      OwnedMachine machine = mine(record) ? machines.of(record) : machines.get(name);
      if (machine != null) {
        machine.settled = false;
        tend(machine);
      }
    }
    machines.logAcquired();
  }

  /**
   * This controller has started anew and finds machines that are its own: those that never report to it
   * have to be timed too, or what is recorded on them would never be over.
   */
  private void timeAll() {
    double usual = 0;
    for (MachineRecord record : world.machines().values()) {
      if (mine(record)) {
        machines.of(record);
        usual += CommandThrottle.expectedRate(world.placedOn(record.name()));
      }
    }
    if (usual > 0) {
      pace.begin(usual, longestStart);
    }
  }

  /** Once a second or so: what is due by time alone. */
  public void tick() {
    Duration now = loop.now();
    if (!lease.valid()) {
      listenAnew(); // Reports are refused now; that workers then go elsewhere is no silence of theirs.
    }
    claims.tick(now);
    for (OwnedMachine machine : List.copyOf(machines.all())) {
      tend(machine);
      MachineRecord record = world.machine(machine.name);
      if (mine(record)) {
        departures.judge(machine, record, silences.listeningSince());
      }
    }
    silences.judge(machines.all(), now);
  }

  /** Finds a new owner for a machine whose owner has ended, if that one is late. */
  public void adopt(MachineRecord orphan) {
    claims.adopt(orphan);
  }

  /**
   * Whether most machines of this controller have fallen silent together: then it is this controller
   * that the workers can't reach. The others are told so, and take the workers over when they come,
   * rather than sending them back here until their leases end. As of the last tick.
   */
  public boolean deaf() {
    return silences.deaf();
  }

  /** How long a machine of ours has been silent; null if it is not ours. */
  public Duration silentFor(String name) {
    OwnedMachine machine = machines.get(name);
    return machine == null ? null : silences.of(machine, loop.now());
  }

  private void tendIfOwned(String name) {
    OwnedMachine machine = machines.get(name);
    if (machine != null) {
      tend(machine);
    }
  }

  /** Sends what the machine lacks, and tells the others what is new. */
  private void tend(OwnedMachine machine) {
    MachineRecord record = world.machine(machine.name);
    if (!mine(record)) {
      machines.remove(machine.name);
      return;
    }
    Duration now = loop.now();
    machines.observe(machine, record, now);
    Report latest = machine.latest;
    long token = world.token(record);
    if (latest != null && latest.token() >= token) {
      machine.tokenShown(now);
    }
    if (latest == null || !lease.valid()) {
      return;
    }
    if (!usable(record)) {
      telling.tell(machine, token, List.of(), silences.of(machine, now), now);
      return;
    }
    if (machine.doubtfulToken == token) {
      if (!machine.claiming && now.compareTo(machine.quietUntil) >= 0) {
        claims.anew(machine, record);
      }
      telling.tell(machine, token, List.of(), silences.of(machine, now), now);
      return;
    }
    if (machine.settled && machine.published != null && machine.published.token() == token) {
      telling.tell(machine, token, machine.published.voids(), silences.of(machine, now), now);
      return;
    }
    boolean shown = latest.token() == token;
    boolean quiet = !machine.ordersInFlight;
    Reconciliation difference = shown && quiet ? orders.difference(machine) : null;
    List<MachineView.AbsentAttempt> voids =
        difference == null ? List.of() : CommandSender.voids(difference);
    telling.tell(machine, token, voids, silences.of(machine, now), now);
    boolean reachable = quiet && machine.address != null && now.compareTo(machine.quietUntil) >= 0;
    if (reachable && difference != null) {
      orders.tend(machine, difference, token, now);
    } else if (reachable && machine.leftToItsLease) {
      // It is not told the token in answer to its reports; what is cancelled there has to be stopped first.
      orders.stop(machine, token);
    }
  }

  /** What the others were last told of each machine: one that starts anew needs all of it. */
  public List<MachineView> told() {
    return machines.told();
  }

  public Collection<String> owned() {
    return machines.names();
  }
}
