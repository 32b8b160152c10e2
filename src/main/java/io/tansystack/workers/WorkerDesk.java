package io.tansystack.workers;

import com.google.common.collect.Sets;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.OwnLease;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.http.Loop;
import io.tansystack.schedule.MachineHistory;
import io.tansystack.store.StoreClient.Result;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Addresses;
import io.tansystack.wire.Answers;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Report;
import io.tansystack.wire.ReportHead;
import io.tansystack.wire.StoreWire.Condition;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The owner's side of the machines: claims, answers to reports, and commands.
 *
 * <p>A machine's token is that of {@link World#token}, so every claim has a higher one. Commands go out
 * by {@code /orders} alone, one request at a time for each machine, and only while the newest report
 * shows the current token: then every command sent under an earlier one is void. What to send follows
 * from the records and that report; nothing needs to be remembered of what was sent before. A request
 * without an answer may still arrive, so it is followed by a new claim, whose token makes it void.
 */
public final class WorkerDesk {
  private static final Logger log = LoggerFactory.getLogger(WorkerDesk.class);

  /** Workers try one controller after the other, and each report has 4 s. */
  private static final Duration COME_BACK = Duration.ofSeconds(10);

  /** More machines than this part falling silent at once speaks of us or the network, not of them. */
  public static final double MASS = 0.34;

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final OwnLease lease;
  private final String label;
  private final String boot;
  private final Duration workerLease;
  private final Function<String, MachineType> types;
  private final Function<String, View> views;
  private final Map<String, OwnedMachine> machines = new LinkedHashMap<>();

  /** As of the last tick: every message to another controller says it. */
  private boolean deaf;

  /** Since when reports were heard and answered; before that, silences were this controller's own. */
  private Duration listeningSince;
  private final Claims claims;
  private final Orders orders;
  private final Telling telling;

  public WorkerDesk(
      Loop loop,
      StoreClient store,
      HttpCaller caller,
      World world,
      OwnLease lease,
      String label,
      String boot,
      String zone,
      Duration workerLease,
      double writesPerSecond,
      Predicate<String> unfit,
      Function<String, MachineType> types,
      Function<String, View> views,
      Consumer<View> publish) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.label = label;
    this.boot = boot;
    this.workerLease = workerLease;
    this.types = types;
    this.views = views;
    this.listeningSince = loop.now();
    this.claims =
        new Claims(
            loop, store, world, label, boot, zone, writesPerSecond, unfit, this::usable, this::accept);
    this.orders = new Orders(loop, caller, world, this::take, this::tendIfOwned);
    this.telling = new Telling(publish);
  }

  /** This process stood still, or could not answer: no machine is to be judged by that time. */
  public void listenAnew() {
    listeningSince = loop.now();
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

  /** Serves {@code POST /v1/report}. */
  public void report(byte[] body, Reply reply) {
    Report report;
    try {
      report = read(body);
    } catch (BadInput e) {
      log.warn("unreadable report: {}", e.getMessage());
      reply.send(400, Cbor.encode(Answers.error(e.getMessage())));
      return;
    }
    if (!lease.valid()) {
      reply.send(503, Cbor.encode(Answers.error("not entitled to act now")));
      return;
    }
    MachineRecord record = world.machine(report.machine());
    if (mine(record)) {
      accept(record, report, reply);
    } else {
      claims.claimOrRedirect(record, report, reply);
    }
  }

  private Report read(byte[] body) throws BadInput {
    ReportHead head = ReportHead.read(body);
    OwnedMachine machine = head == null ? null : machines.get(head.machine());
    return machine == null ? Report.read(body) : machine.read(head, body);
  }

  private void accept(MachineRecord record, Report report, Reply reply) {
    long token = world.token(record);
    if (report.token() > token) {
      // Somebody has claimed it since; our copy of the records is about to say so.
      reply.send(503, Cbor.encode(Answers.error("a later claim exists")));
      return;
    }
    Duration now = loop.now();
    OwnedMachine machine = machine(record, now);
    if (!usable(record)) {
      if (machine.claiming) {
        reply.send(503, Cbor.encode(Answers.error("it is being declared gone")));
      } else {
        claims.inTurn(record, report, reply);
      }
      return;
    }
    machine.answeredAt = now;
    reply.send(200, machine.answer(token));
    take(machine, report);
    tend(machine);
  }

  private OwnedMachine machine(MachineRecord record, Duration now) {
    return machines.computeIfAbsent(
        record.name(),
        name -> {
          MachineType type = types.apply(record.type());
          MachineHistory history = new MachineHistory(type == null ? 50 : type.cacheGb());
          View old = views.apply(name);
          if (old != null) {
            history.inherit(old.images(), old.fetchGbPerS());
          }
          OwnedMachine machine = new OwnedMachine(name, history, now);
          machine.formerOwnerUntil = now.plus(lease.life());
          return machine;
        });
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
    } catch (BadInput e) {
      log.warn("machine={} can't be given commands: {}", machine.name, e.getMessage());
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
  public void worldChanged(World.Touched touched) {
    claims.worldChanged();
    for (String name : Sets.union(touched.machines(), touched.placedOn())) {
      MachineRecord record = world.machine(name);
      // Ours by a claim whose answer was lost, or adopted: its silence has to be timed too.
      OwnedMachine machine = mine(record) ? machine(record, loop.now()) : machines.get(name);
      if (machine != null) {
        machine.settled = false;
        tend(machine);
      }
    }
  }

  /** Once a second or so: what is due by time alone. */
  public void tick() {
    Duration now = loop.now();
    if (!lease.valid()) {
      listenAnew(); // Reports are refused now; that workers then go elsewhere is no silence of theirs.
    }
    claims.tick(now);
    for (OwnedMachine machine : List.copyOf(machines.values())) {
      tend(machine);
      declareGone(machine);
    }
    deaf = mostAreSilent(now);
  }

  /** Takes over a machine whose owner has ended and that reports to nobody. */
  public void adopt(MachineRecord orphan) {
    claims.adopt(orphan);
  }

  /**
   * Whether most machines of this controller have fallen silent together: then it is this controller
   * that the workers can't reach. The others are told so, and take the workers over when they come,
   * rather than sending them back here until their leases end.
   */
  public boolean deaf() {
    return deaf;
  }

  private boolean mostAreSilent(Duration now) {
    int silent = 0;
    for (OwnedMachine machine : machines.values()) {
      silent += Telling.silent(silence(machine, now)) ? 1 : 0;
    }
    return silent > 2 && silent > machines.size() * MASS;
  }

  /** How long a machine of ours has been silent; null if it is not ours. */
  public Duration silentFor(String name) {
    OwnedMachine machine = machines.get(name);
    return machine == null ? null : silence(machine, loop.now());
  }

  private Duration silence(OwnedMachine machine, Duration now) {
    boolean later = machine.answeredAt.compareTo(listeningSince) > 0;
    return now.minus(later ? machine.answeredAt : listeningSince);
  }

  /**
   * The worker's lease has run out for certain: it counts from when the last answered report was
   * sent, which was before we received it. Until a worker has shown our token, its former owner may
   * have gone on answering for as long as that one could be valid. One that was cut off itself waits
   * for its workers to come back first: their next session proves as much without a write for each.
   */
  private void declareGone(OwnedMachine machine) {
    MachineRecord record = world.machine(machine.name);
    if (!mine(record) || !lease.valid() || machine.claiming) {
      return;
    }
    boolean shown = machine.latest != null && machine.latest.token() >= world.token(record);
    Duration from = machine.answeredAt;
    if (!shown && machine.formerOwnerUntil.compareTo(from) > 0) {
      from = machine.formerOwnerUntil;
    }
    Duration sure = from.plus(workerLease).plus(workerLease.dividedBy(500)).plusSeconds(1);
    Duration now = loop.now();
    if (now.compareTo(sure) < 0 || now.minus(listeningSince).compareTo(COME_BACK) < 0) {
      return;
    }
    // An earlier one without an answer may still be applied, whatever becomes of this one.
    boolean doubtful = machine.goneVersion == record.version();
    machine.claiming = true;
    machine.goneVersion = record.version();
    store.commitUrgent(
        // The second condition voids what an earlier start of this process may still have under way:
        // the machine may have come back since, under the same record.
        List.of(
            record.condition(),
            new Condition(World.controllerKey(label), world.controllers().get(label).version())),
        List.of(world.gone(machine.name)),
        Duration.ofSeconds(2),
        (result, revision) -> {
          machine.claiming = false;
          if (result == Result.CONFLICT || (result == Result.REFUSED && !doubtful)) {
            machine.goneVersion = -1; // It was not applied and won't be.
          }
          if (result == Result.DONE) {
            log.warn(
                "gone machine={} token={} because=its lease has run out unanswered",
                machine.name,
                record.version());
          }
        });
  }

  private void tendIfOwned(OwnedMachine machine) {
    if (machines.get(machine.name) == machine) {
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
    Report latest = machine.latest;
    if (latest == null || !lease.valid()) {
      return;
    }
    Duration now = loop.now();
    long token = world.token(record);
    if (!usable(record)) {
      telling.tell(machine, token, List.of(), silence(machine, now), now);
      return;
    }
    if (machine.doubtfulToken == token) {
      if (!machine.claiming && now.compareTo(machine.quietUntil) >= 0) {
        reclaim(machine, record);
      }
      telling.tell(machine, token, List.of(), silence(machine, now), now);
      return;
    }
    if (machine.settled && machine.published != null && machine.published.token() == token) {
      telling.tell(machine, token, machine.published.voids(), silence(machine, now), now);
      return;
    }
    boolean shown = latest.token() == token;
    boolean quiet = !machine.ordersInFlight;
    List<View.Void> voids = shown && quiet ? orders.voids(machine, latest) : List.of();
    telling.tell(machine, token, voids, silence(machine, now), now);
    if (shown && quiet && machine.address != null && now.compareTo(machine.quietUntil) >= 0) {
      orders.tend(machine, token, now);
    }
  }

  private void reclaim(OwnedMachine machine, MachineRecord record) {
    machine.claiming = true;
    claims.write(
        record,
        record.ownedBy(label),
        "commands without an answer under token " + machine.doubtfulToken,
        (result, revision) -> {
          machine.claiming = false;
          if (result != Result.DONE) {
            machine.quietUntil = loop.now().plusMillis(500);
          }
        });
  }

  /** What the others were last told of each machine: one that starts anew needs all of it. */
  public List<View> told() {
    List<View> views = new ArrayList<>();
    for (OwnedMachine machine : machines.values()) {
      if (machine.published != null) {
        views.add(machine.published);
      }
    }
    return views;
  }

  public Collection<String> owned() {
    return List.copyOf(machines.keySet());
  }
}
