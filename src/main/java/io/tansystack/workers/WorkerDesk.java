package io.tansystack.workers;

import com.google.common.collect.Sets;
import io.tansystack.cluster.OwnLease;
import io.tansystack.cluster.World;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World.MachineRecord;
import io.tansystack.cluster.World.Placed;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.http.Loop;
import io.tansystack.jobs.Placement;
import io.tansystack.schedule.MachineHistory;
import io.tansystack.store.StoreClient;
import io.tansystack.store.StoreClient.Result;
import io.tansystack.store.RateBudget;
import io.tansystack.wire.Addresses;
import io.tansystack.wire.Answers;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Command;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Report;
import io.tansystack.wire.ReportHead;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
  private static final Duration ORDERS_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration CLAIM_WAIT = Duration.ofMillis(3500);
  private static final Duration HALT_AGAIN = Duration.ofSeconds(5);
  private static final Duration SENT_BACK = Duration.ofSeconds(20);

  /** Workers try one controller after the other, and each report has 4 s. */
  private static final Duration COME_BACK = Duration.ofSeconds(10);

  private static final Duration FORGET_WAIT = Duration.ofSeconds(6);
  private static final int MANY_FORGETS = 40;
  private static final Duration SILENT = Duration.ofSeconds(7);
  private static final Duration TELL_SILENT = Duration.ofSeconds(3);
  private static final Duration TELL_HINTS = Duration.ofSeconds(6);
  private static final Duration TELL_SAME = Duration.ofSeconds(30);

  /** More machines than this part falling silent at once speaks of us or the network, not of them. */
  public static final double MASS = 0.34;

  private static final double CLAIM_SHARE = 0.25;
  private static final int MAX_COMMANDS = 300;
  private static final int MAX_SENT_AWAY = 10_000;

  private static final class Machine {
    final String name;
    final MachineHistory history;
    Report latest;

    /** The newest report that came as such, as it came: the next one often differs in its number only. */
    byte[] body;

    ReportHead head;
    Report read;

    /** What its reports are answered with; it changes with the token only. */
    byte[] answer;

    long answerToken = -1;

    /** The newest report's lines by attempt, made once for each report. */
    Map<Attempt, TaskReport> listed = Map.of();

    InetSocketAddress address;

    /** Receipt of the last report that was answered with 200. */
    Duration answeredAt;

    /** Until then a former owner may have answered, as long as the worker hasn't shown our token. */
    Duration formerOwnerUntil = Duration.ZERO;

    /** Nothing is wanted of it as things stand, until it reports or something is recorded on it. */
    boolean settled;

    /** Forgetting alone is not worth a request of its own before this. */
    Duration forgetAt = Duration.ZERO;

    /**
     * The record's version that its deletion names, while that may still be applied. The worker may
     * come back meanwhile, in its next session: it must have another record before anything starts
     * on it, or what starts would count as gone with the old one.
     */
    long goneVersion = -1;

    boolean ordersInFlight;
    long doubtfulToken = -1;
    boolean claiming;
    int failures;
    Duration quietUntil = Duration.ZERO;
    final Map<Attempt, Duration> halted = new HashMap<>();
    View published;
    Duration publishedAt = Duration.ZERO;

    Machine(String name, MachineHistory history, Duration now) {
      this.name = name;
      this.history = history;
      this.answeredAt = now;
    }
  }

  private record Claiming(Report report, Reply reply, Duration until) {}

  /** A key written out for the reason given in {@link TaskId}. */
  private record Attempt(TaskId task, long attempt) {
    @Override
    public boolean equals(Object other) {
      return other instanceof Attempt a && attempt == a.attempt && task.equals(a.task);
    }

    @Override
    public int hashCode() {
      return task.hashCode() * 31 + Long.hashCode(attempt);
    }
  }

  private record SentAway(int times, Duration at) {}

  private final Loop loop;
  private final StoreClient store;
  private final HttpCaller caller;
  private final World world;
  private final OwnLease lease;
  private final String label;
  private final String boot;
  private final String zone;
  private final Duration workerLease;
  private final Predicate<String> unfit;
  private final Function<String, MachineType> types;
  private final Function<String, View> views;
  private final Consumer<View> publish;
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** As of the last tick: every message to another controller says it. */
  private boolean deaf;

  /** Since when reports were heard and answered; before that, silences were this controller's own. */
  private Duration listeningSince;
  private final Map<String, List<Claiming>> claims = new HashMap<>();
  private final Map<String, SentAway> sentAway = new HashMap<>();

  /** Claims may use a part of the write limit only: after a crash every machine asks at once. */
  private final RateBudget claimPace;

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
    this.caller = caller;
    this.world = world;
    this.lease = lease;
    this.label = label;
    this.boot = boot;
    this.zone = zone;
    this.workerLease = workerLease;
    this.claimPace =
        new RateBudget(
            writesPerSecond * CLAIM_SHARE, Math.max(2, writesPerSecond * CLAIM_SHARE * 2), loop.now());
    this.unfit = unfit;
    this.types = types;
    this.views = views;
    this.publish = publish;
    this.listeningSince = loop.now();
  }

  /** This process stood still, or could not answer: no machine is to be judged by that time. */
  public void listenAnew() {
    listeningSince = loop.now();
  }

  private boolean mine(MachineRecord record) {
    return record != null && record.owner().equals(label) && world.alive(label, boot);
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
      claimOrRedirect(record, report, reply);
    }
  }

  private Report read(byte[] body) throws BadInput {
    ReportHead head = ReportHead.read(body);
    Machine machine = head == null ? null : machines.get(head.machine());
    if (machine != null
        && machine.body != null
        && head.sameRest(body, machine.head, machine.body)) {
      return machine.read.numbered(head.seq());
    }
    Report report = Report.read(Cbor.decodeMap(body));
    if (machine != null) {
      machine.body = body;
      machine.head = head;
      machine.read = report;
    }
    return report;
  }

  private void accept(MachineRecord record, Report report, Reply reply) {
    long token = world.token(record);
    if (report.token() > token) {
      // Somebody has claimed it since; our copy of the records is about to say so.
      reply.send(503, Cbor.encode(Answers.error("a later claim exists")));
      return;
    }
    Duration now = loop.now();
    Machine machine = machine(record, now);
    if (machine.goneVersion == record.version()) {
      if (machine.claiming) {
        reply.send(503, Cbor.encode(Answers.error("it is being declared gone")));
      } else {
        claimInTurn(record, report, reply);
      }
      return;
    }
    machine.answeredAt = now;
    if (machine.answerToken != token) {
      machine.answerToken = token;
      machine.answer = Cbor.encode(Answers.report(token));
    }
    reply.send(200, machine.answer);
    take(machine, report);
    tend(machine);
  }

  private Machine machine(MachineRecord record, Duration now) {
    return machines.computeIfAbsent(
        record.name(),
        name -> {
          MachineType type = types.apply(record.type());
          MachineHistory history = new MachineHistory(type == null ? 50 : type.cacheGb());
          View old = views.apply(name);
          if (old != null) {
            history.inherit(old.images(), old.fetchGbPerS());
          }
          Machine machine = new Machine(name, history, now);
          machine.formerOwnerUntil = now.plus(lease.life());
          return machine;
        });
  }

  /** Takes in a report unless a newer one is known; reports may arrive minutes late. */
  private void take(Machine machine, Report report) {
    if (machine.latest != null && !report.newerThan(machine.latest)) {
      return;
    }
    if (machine.latest != null && report.saysNoMoreThan(machine.latest)) {
      // With the same list of tasks, so that it is known as unchanged from here on.
      machine.latest = report.with(machine.latest.tasks());
      return;
    }
    machine.latest = report;
    machine.listed = listed(report);
    machine.settled = false;
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
   * A worker that is not ours: it is sent to its owner if that one lives and is no worse for its
   * zone, and claimed if there is none or if it keeps coming although it was sent away.
   */
  private void claimOrRedirect(MachineRecord record, Report report, Reply reply) {
    Duration now = loop.now();
    boolean ownerLives =
        record != null
            && world.alive(record.owner())
            && !unfit.test(record.owner());
    String to = null;
    if (ownerLives && !record.owner().equals(label)) {
      boolean ownerNear = inZone(record.owner(), report.zone());
      if (ownerNear || !zone.equals(report.zone())) {
        to = record.owner();
      }
    } else if (!zone.equals(report.zone())) {
      to = nearController(report.machine(), report.zone());
    }
    if (to != null) {
      SentAway before = sentAway.get(report.machine());
      boolean recent = before != null && now.minus(before.at).compareTo(SENT_BACK) < 0;
      int times = recent ? before.times + 1 : 1;
      if (times <= 2) {
        if (sentAway.size() >= MAX_SENT_AWAY) {
          sentAway.clear();
        }
        sentAway.put(report.machine(), new SentAway(times, now));
        reply.send(421, Cbor.encode(Answers.redirect(to)));
        return;
      }
    }
    claimInTurn(record, report, reply);
  }

  private void claimInTurn(MachineRecord record, Report report, Reply reply) {
    if (!claims.containsKey(report.machine()) && !claimPace.take(1, true, loop.now())) {
      // Its former owner may be back before its turn comes, and then nobody need claim it.
      reply.send(503, Cbor.encode(Answers.error("too many machines to claim")));
      return;
    }
    sentAway.remove(report.machine());
    claim(record, report, reply);
  }

  private boolean inZone(String controller, String wanted) {
    World.ControllerRecord record = world.controllers().get(controller);
    return record != null && record.zone().equals(wanted);
  }

  /** A controller of the zone, by the machine's name: all machines at one of them would be its end. */
  private String nearController(String machine, String wanted) {
    List<String> near = new ArrayList<>();
    for (Map.Entry<String, World.ControllerRecord> entry : world.controllers().entrySet()) {
      if (entry.getValue().zone().equals(wanted)
          && !entry.getKey().equals(label)
          && !unfit.test(entry.getKey())) {
        near.add(entry.getKey());
      }
    }
    return near.isEmpty() ? null : near.get(Math.floorMod(machine.hashCode(), near.size()));
  }

  private void claim(MachineRecord before, Report report, Reply reply) {
    List<Claiming> waiting = claims.computeIfAbsent(report.machine(), k -> new ArrayList<>());
    waiting.add(new Claiming(report, reply, loop.now().plus(CLAIM_WAIT)));
    if (waiting.size() > 1) {
      return;
    }
    MachineRecord next =
        new MachineRecord(
            report.machine(),
            label,
            report.address(),
            report.type(),
            report.zone(),
            report.spot(),
            before != null && before.drain(),
            0);
    write(
        before,
        next,
        "report of session " + report.session() + " token " + report.token(),
        result -> {
          if (result != Result.DONE) {
            dropClaims(report.machine());
          }
        });
  }

  private void dropClaims(String name) {
    List<Claiming> waiting = claims.remove(name);
    if (waiting != null) {
      waiting.forEach(
          c -> c.reply.send(503, Cbor.encode(Answers.error("the claim did not succeed"))));
    }
  }

  private void write(
      MachineRecord before, MachineRecord next, String why, Consumer<Result> then) {
    String key = World.machineKey(next.name());
    store.commitUrgent(
        List.of(new Condition(key, before == null ? 0 : before.version())),
        List.of(new Write(key, next.write(), 0)),
        Duration.ofSeconds(2),
        (result, revision) -> {
          if (result == Result.DONE) {
            log.info(
                "claim machine={} token={} former={} because={}",
                next.name(),
                revision,
                before == null ? "none" : before.owner() + "@" + before.version(),
                why);
          } else {
            log.info("claim failed machine={} result={} because={}", next.name(), result, why);
          }
          then.accept(result);
        });
  }

  /**
   * The records of these machines, or what is recorded on them, have changed: claims may have come
   * true, and commands may follow. Looking at all machines for each change is what a large cluster
   * can't afford; what is due by time alone is found by the tick.
   */
  public void worldChanged(World.Touched touched) {
    for (String name : List.copyOf(claims.keySet())) {
      MachineRecord record = world.machine(name);
      if (mine(record)) {
        List<Claiming> waiting = claims.remove(name);
        waiting.forEach(c -> accept(record, c.report, c.reply));
      }
    }
    for (String name : Sets.union(touched.machines(), touched.placedOn())) {
      MachineRecord record = world.machine(name);
      // Ours by a claim whose answer was lost, or adopted: its silence has to be timed too.
      Machine machine = mine(record) ? machine(record, loop.now()) : machines.get(name);
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
    for (String name : List.copyOf(claims.keySet())) {
      List<Claiming> waiting = claims.get(name);
      if (!waiting.isEmpty() && now.compareTo(waiting.get(0).until) > 0) {
        dropClaims(name);
      }
    }
    for (Machine machine : List.copyOf(machines.values())) {
      tend(machine);
      declareGone(machine);
    }
    deaf = mostAreSilent(now);
  }

  /** Takes over a machine whose owner has ended and that reports to nobody. */
  public void adopt(MachineRecord orphan) {
    if (claims.containsKey(orphan.name()) || !claimPace.take(1, true, loop.now())) {
      return;
    }
    write(
        orphan,
        orphan.ownedBy(label),
        "its owner has ended and it reports to nobody",
        result -> {});
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
    for (Machine machine : machines.values()) {
      silent += silent(machine, now) ? 1 : 0;
    }
    return silent > 2 && silent > machines.size() * MASS;
  }

  /** How long a machine of ours has been silent; null if it is not ours. */
  public Duration silentFor(String name) {
    Machine machine = machines.get(name);
    return machine == null ? null : silence(machine, loop.now());
  }

  private Duration silence(Machine machine, Duration now) {
    boolean later = machine.answeredAt.compareTo(listeningSince) > 0;
    return now.minus(later ? machine.answeredAt : listeningSince);
  }

  /**
   * The worker's lease has run out for certain: it counts from when the last answered report was
   * sent, which was before we received it. Until a worker has shown our token, its former owner may
   * have gone on answering for as long as that one could be valid. One that was cut off itself waits
   * for its workers to come back first: their next session proves as much without a write for each.
   */
  private void declareGone(Machine machine) {
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
    machine.claiming = true;
    machine.goneVersion = record.version();
    String key = World.machineKey(machine.name);
    store.commitUrgent(
        // The second condition voids what an earlier start of this process may still have under way:
        // the machine may have come back since, under the same record.
        List.of(
            new Condition(key, record.version()),
            new Condition(World.controllerKey(label), world.controllers().get(label).version())),
        List.of(new Write(key, null, 0)),
        Duration.ofSeconds(2),
        (result, revision) -> {
          machine.claiming = false;
          if (result == Result.REFUSED || result == Result.CONFLICT) {
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

  /** Sends what the machine lacks, and tells the others what is new. */
  private void tend(Machine machine) {
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
    if (machine.goneVersion == record.version()) {
      tell(machine, record, List.of(), now);
      return;
    }
    if (machine.doubtfulToken == token) {
      if (!machine.claiming && now.compareTo(machine.quietUntil) >= 0) {
        reclaim(machine, record);
      }
      tell(machine, record, List.of(), now);
      return;
    }
    if (machine.settled && machine.published != null && machine.published.token() == token) {
      tell(machine, record, machine.published.voids(), now);
      return;
    }
    boolean shown = latest.token() == token;
    boolean quiet = !machine.ordersInFlight;
    tell(machine, record, shown && quiet ? voids(machine, latest) : List.of(), now);
    if (!shown || !quiet || machine.address == null || now.compareTo(machine.quietUntil) < 0) {
      return;
    }
    List<Command> commands = wanted(machine, latest, now);
    machine.settled = commands.isEmpty() && machine.halted.isEmpty();
    if (forgetsOnly(commands) && now.compareTo(machine.forgetAt) < 0) {
      return; // Where tasks end, others start soon: these go with the launches.
    }
    if (!commands.isEmpty()) {
      machine.forgetAt = now.plus(FORGET_WAIT);
      send(machine, token, latest.session(), commands);
    }
  }

  private void reclaim(Machine machine, MachineRecord record) {
    machine.claiming = true;
    write(
        record,
        record.ownedBy(label),
        "commands without an answer under token " + machine.doubtfulToken,
        result -> {
          machine.claiming = false;
          if (result != Result.DONE) {
            machine.quietUntil = loop.now().plusMillis(500);
          }
        });
  }

  /**
   * Unwanted attempts that are recorded but not on the machine. They will not be launched under this
   * token: launches leave them out from the moment at which the record says that they are unwanted.
   */
  private List<View.Void> voids(Machine machine, Report latest) {
    List<View.Void> voids = new ArrayList<>();
    for (Placed placed : world.placedOn(machine.name)) {
      Placement p = placed.placement();
      if ((!p.stop() && placed.job().record().active()) || p.session() != latest.session()) {
        continue;
      }
      String job = placed.job().id();
      p.tasks()
          .forEach(
              task -> {
                if (!machine.listed.containsKey(new Attempt(new TaskId(job, task), p.attempt()))) {
                  voids.add(new View.Void(job, task, p.attempt()));
                }
              });
    }
    return voids;
  }

  private static Map<Attempt, TaskReport> listed(Report report) {
    Map<Attempt, TaskReport> listed = new LinkedHashMap<>();
    for (TaskReport task : report.tasks()) {
      listed.put(new Attempt(task.task(), task.attempt()), task);
    }
    return listed;
  }

  private List<Command> wanted(Machine machine, Report latest, Duration now) {
    List<Command> commands = new ArrayList<>();
    List<Command> halts = new ArrayList<>();
    Map<Attempt, TaskReport> listed = machine.listed;
    Map<Attempt, Placed> recorded = new LinkedHashMap<>();
    for (Placed placed : world.placedOn(machine.name)) {
      Placement p = placed.placement();
      String job = placed.job().id();
      p.tasks().forEach(t -> recorded.put(new Attempt(new TaskId(job, t), p.attempt()), placed));
    }
    machine.halted.keySet().retainAll(listed.keySet());
    for (Map.Entry<Attempt, TaskReport> entry : listed.entrySet()) {
      TaskReport task = entry.getValue();
      Placed placed = recorded.get(entry.getKey());
      Placement p = placed == null ? null : placed.placement();
      Job job = placed == null ? null : placed.job();
      if (task.exited()) {
        if (p == null) {
          // Its outcome is in the record, or nobody wants it: the report's line is no longer needed.
          commands.add(new Command(Command.Op.FORGET, task.task(), task.attempt(), 0));
        }
        continue;
      }
      if (p != null && !p.stop() && job.record().active()) {
        continue;
      }
      Duration haltedAt = machine.halted.get(entry.getKey());
      if (haltedAt != null && now.minus(haltedAt).compareTo(HALT_AGAIN) < 0) {
        continue;
      }
      boolean save =
          p != null && job.record().active() && job.record().spec().checkpointS() > 0;
      if (save && task.state() == TaskReport.State.SAVING) {
        continue;
      }
      double grace = save ? job.record().spec().saveS() * 2 + 2 : 0;
      machine.halted.put(entry.getKey(), now);
      halts.add(new Command(Command.Op.STOP, task.task(), task.attempt(), grace));
    }
    commands.addAll(halts);
    for (Map.Entry<Attempt, Placed> entry : recorded.entrySet()) {
      Placed placed = entry.getValue();
      Placement p = placed.placement();
      if (!listed.containsKey(entry.getKey())
          && !p.stop()
          && placed.job().record().active()
          && p.session() == latest.session()) {
        commands.add(new Command(Command.Op.START, entry.getKey().task(), p.attempt(), 0));
      }
    }
    return commands.size() > MAX_COMMANDS ? commands.subList(0, MAX_COMMANDS) : commands;
  }

  private static boolean forgetsOnly(List<Command> commands) {
    return !commands.isEmpty()
        && commands.size() < MANY_FORGETS
        && commands.stream().allMatch(c -> c.op() == Command.Op.FORGET);
  }

  private void send(Machine machine, long token, long session, List<Command> commands) {
    machine.ordersInFlight = true;
    if (log.isDebugEnabled()) {
      for (Command c : commands) {
        log.debug(
            "{} task={} attempt={} machine={} token={}",
            c.op(),
            c.task(),
            c.attempt(),
            machine.name,
            token);
      }
    }
    caller.call(
        machine.address,
        "POST",
        "/orders",
        Command.orders(token, session, commands),
        ORDERS_TIMEOUT,
        new HttpCaller.Outcome() {
          @Override
          public void answer(int status, byte[] body) {
            machine.ordersInFlight = false;
            machine.failures = 0;
            try {
              if (status == 200 || status == 409) {
                Report report = Report.read(Cbor.decodeMap(body));
                if (report.machine().equals(machine.name)) {
                  take(machine, report);
                }
              } else {
                log.warn("machine={} answered commands with {}", machine.name, status);
                machine.quietUntil = loop.now().plusSeconds(1);
              }
            } catch (BadInput e) {
              log.warn("machine={} sent an unreadable answer: {}", machine.name, e.getMessage());
              machine.doubtfulToken = token;
            }
            if (status == 409) {
              machine.quietUntil = loop.now().plusMillis(300);
            }
            if (machines.get(machine.name) == machine) {
              tend(machine);
            }
          }

          @Override
          public void silence(boolean refused) {
            machine.ordersInFlight = false;
            machine.halted.clear();
            machine.failures = Math.min(machine.failures + 1, 4);
            machine.quietUntil = loop.now().plusMillis(500L << machine.failures);
            if (!refused) {
              // They may still be carried out at any later time: only a higher token stops that.
              machine.doubtfulToken = token;
              log.info(
                  "no answer to {} commands machine={} token={}",
                  commands.size(),
                  machine.name,
                  token);
            }
          }
        });
  }

  private void tell(
      Machine machine, MachineRecord record, List<View.Void> voids, Duration now) {
    View old = machine.published;
    Duration since = now.minus(machine.publishedAt);
    if (old != null
        && old.report().tasks() == machine.latest.tasks()
        && old.report().session() == machine.latest.session()
        && old.report().token() == machine.latest.token()
        && (old.report().noticeS() == null) == (machine.latest.noticeS() == null)
        && old.token() == world.token(record)
        && old.voids().equals(voids)
        && since.compareTo(silent(machine, now) ? TELL_SILENT : TELL_SAME) < 0) {
      return;
    }
    View view =
        new View(
            machine.latest,
            world.token(record),
            voids,
            machine.history.images(),
            machine.history.fetchGbPerS(),
            machine.history.slowness(),
            Math.max(0, silence(machine, now).toMillis()));
    if (old != null
        && since.compareTo(due(old, view)) < 0
        && !(silent(machine, now) && since.compareTo(TELL_SILENT) >= 0)) {
      return;
    }
    machine.published = view;
    machine.publishedAt = now;
    publish.accept(view);
  }

  /**
   * How long after the last telling the next one is due. What placements end by, and what closes or
   * opens a machine, is told at once; how far its fetches are is a hint and can wait.
   */
  private static Duration due(View old, View view) {
    Report before = old.report();
    Report latest = view.report();
    if (old.token() != view.token()
        || before.session() != latest.session()
        || before.token() != latest.token()
        || (before.noticeS() == null) != (latest.noticeS() == null)
        || !view.provesMoreThan(old).isEmpty()) {
      return Duration.ZERO;
    }
    return before.tasks().equals(latest.tasks()) ? TELL_SAME : TELL_HINTS;
  }

  private boolean silent(Machine machine, Duration now) {
    return silence(machine, now).compareTo(SILENT) > 0;
  }

  /** What the others were last told of each machine: one that starts anew needs all of it. */
  public List<View> told() {
    List<View> views = new ArrayList<>();
    for (Machine machine : machines.values()) {
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
