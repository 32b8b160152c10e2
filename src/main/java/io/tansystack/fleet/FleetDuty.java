package io.tansystack.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.OwnLease;
import io.tansystack.cluster.SlotDuty;
import io.tansystack.cluster.StallDetector;
import io.tansystack.cluster.World;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World.MachineRecord;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.Loop;
import io.tansystack.jobs.JobDuty;
import io.tansystack.schedule.Consolidation;
import io.tansystack.schedule.RentPlanner;
import io.tansystack.schedule.RentPlanner.Kind;
import io.tansystack.schedule.Snapshot;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.PlatformSettings.Objective;
import io.tansystack.store.StoreClient;
import io.tansystack.store.StoreClient.Result;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.CloudWire;
import io.tansystack.wire.CloudWire.Listed;
import io.tansystack.wire.CloudWire.Status;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Priority;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
import io.tansystack.workers.View;
import io.tansystack.workers.WorkerDesk;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deals with the cloud, on the one controller that holds the fleet record: rents for what found no
 * room, returns what is idle, failed or never came up, and has silent machines deleted, whose
 * confirmed deletion is the quickest proof that their tasks are over.
 */
public final class FleetDuty {
  private static final Logger log = LoggerFactory.getLogger(FleetDuty.class);
  private static final Duration TURN = Duration.ofMillis(250);
  private static final Duration JUDGE_EVERY = Duration.ofSeconds(1);
  private static final Duration LIST_EVERY = Duration.ofSeconds(2);
  private static final Duration UNCLAIMED = Duration.ofSeconds(40);
  private static final Duration ORPHANED = Duration.ofSeconds(9);
  private static final Duration SETTLE = Duration.ofSeconds(15);
  private static final double MAX_KEEP = 12;
  private static final Duration EXPECTED = Duration.ofSeconds(120);
  private static final Duration FOREVER = Duration.ofDays(10_000);
  private static final Duration NEWS_LIFE = Duration.ofSeconds(3);
  private static final int MAX_ADOPT = 4;

  /** The latest job of a class, and when it was first seen here. */
  private record Arrival(JobSpec spec, long submittedMs, Duration at) {}

  private static final class Known {
    final Kind kind;
    final Duration since;
    Status status = Status.BOOTING;
    Duration runningSince;
    Duration listedAt;
    boolean rentedHere;
    boolean cameUp;

    Known(Kind kind, Duration since) {
      this.kind = kind;
      this.since = since;
    }
  }

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final OwnLease lease;
  private final StallDetector stall;
  private final SlotDuty slots;
  private final TypeDuty types;
  private final PlatformSettings settings;
  private final OperatorSettings operator;
  private final WorkerDesk desk;
  private final Function<String, View> views;
  private final JobDuty jobs;
  private final Cloud cloud;

  private final Map<String, Known> known = new TreeMap<>();
  private final Map<Kind, Duration> blockedUntil = new HashMap<>();
  private final Map<Kind, Integer> refusals = new HashMap<>();
  private final Map<String, Duration> idleSince = new HashMap<>();
  private final Map<String, Duration> orphanSince = new HashMap<>();
  private final Map<String, String> toDelete = new LinkedHashMap<>();
  private final Set<String> deleted = new LinkedHashSet<>();
  private final Set<String> draining = new HashSet<>();
  private Duration judgedAt = Duration.ZERO;
  private final BootEstimate boots = new BootEstimate();
  private final Map<String, Arrival> arrivals = new HashMap<>();
  private boolean calling;
  private long heldVersion;
  private Duration heldSince;
  private long counter;
  private Duration listedAt = Duration.ofDays(-1);
  private boolean listed;
  private ObjectNode heard;
  private Duration heardAt;
  private Duration lastBusy = Duration.ZERO;

  public FleetDuty(
      Loop loop,
      HttpCaller caller,
      StoreClient store,
      World world,
      OwnLease lease,
      StallDetector stall,
      SlotDuty slots,
      TypeDuty types,
      PlatformSettings settings,
      OperatorSettings operator,
      WorkerDesk desk,
      Function<String, View> views,
      JobDuty jobs) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.stall = stall;
    this.slots = slots;
    this.types = types;
    this.settings = settings;
    this.operator = operator;
    this.desk = desk;
    this.views = views;
    this.jobs = jobs;
    this.cloud = new Cloud(caller, loop, settings.cloud(), settings.cloudLimits().rps() * 0.9);
  }

  public void start() {
    loop.after(
        TURN,
        () -> {
          start();
          turn();
        });
  }

  private void turn() {
    if (!slots.holdsFleet() || !lease.current()) {
      return;
    }
    Duration now = loop.now();
    if (heldVersion != world.fleet().version()) {
      heldVersion = world.fleet().version();
      counter = 0; // Names of an earlier holding have its version in them.
      startAnew(now);
    } else if (heldSince.compareTo(stall.listeningSince()) < 0) {
      startAnew(now);
    }
    if (now.minus(judgedAt).compareTo(JUDGE_EVERY) >= 0) {
      judgedAt = now;
      noteArrivals(now);
      adoptOrphans(now);
      judge(now);
      consolidate(now);
    }
    if (calling || !cloud.free()) {
      return;
    }
    if (!toDelete.isEmpty()) {
      delete();
    } else if (listed
        && now.minus(heldSince).compareTo(listAge()) > 0
        && rent(now)) {
      return;
    } else if (now.minus(listedAt).compareTo(LIST_EVERY) > 0) {
      list("", new HashSet<>(), now);
    }
  }

  /** Nothing that was seen before counts: another held the duty meanwhile, or this process stood still. */
  private void startAnew(Duration now) {
    heldSince = now;
    known.clear();
    idleSince.clear();
    orphanSince.clear();
    toDelete.clear();
    draining.clear();
    blockedUntil.clear();
    listed = false;
  }

  private void adoptOrphans(Duration now) {
    int adopted = 0;
    for (MachineRecord record : world.machines().values()) {
      if (world.alive(record.owner())) {
        orphanSince.remove(record.name());
        continue;
      }
      Duration since = orphanSince.computeIfAbsent(record.name(), k -> now);
      if (now.minus(since).compareTo(ORPHANED) > 0 && adopted++ < MAX_ADOPT) {
        orphanSince.put(record.name(), now);
        desk.adopt(record);
      }
    }
    orphanSince.keySet().retainAll(world.machines().keySet());
  }

  /** Finds what is to be deleted, and drains what is idle. */
  private void judge(Duration now) {
    Map<String, List<String>> silent = new HashMap<>();
    Map<String, Integer> owned = new HashMap<>();
    Map<String, Integer> quiet = new HashMap<>();
    for (MachineRecord record : world.machines().values()) {
      String name = record.name();
      owned.merge(record.owner(), 1, Integer::sum);
      Duration silence = desk.silentFor(name);
      View view = views.apply(name);
      if (silence == null && view != null && view.token() == world.token(record)) {
        silence = Duration.ofMillis(view.silentMs());
      }
      if (silence != null && silence.compareTo(operator.silentDelete().dividedBy(2)) > 0) {
        quiet.merge(record.owner(), 1, Integer::sum);
      }
      if (silence != null && silence.compareTo(operator.silentDelete()) > 0) {
        silent.computeIfAbsent(record.owner(), k -> new ArrayList<>()).add(name);
      }
      Known k = known.get(name);
      if (k != null && k.status == Status.FAILED) {
        mark(name, "the cloud lists it as failed");
      }
      if (record.drain()) {
        if (world.placedOn(name).isEmpty()) {
          mark(name, "drained");
        }
        continue;
      }
      if (!world.placedOn(name).isEmpty()) {
        idleSince.remove(name);
        continue;
      }
      Duration since = idleSince.computeIfAbsent(name, n -> now);
      if (now.minus(since).compareTo(keepIdle(record)) > 0) {
        drain(record, "idle");
      }
    }
    idleSince.keySet().retainAll(world.machines().keySet());
    draining.retainAll(world.machines().keySet());
    silent.forEach(
        (owner, names) -> {
          // Most machines of one owner at once: it is the owner that they can't reach.
          // The first to be silent for long enough are few; those that follow them count too.
          if (quiet.get(owner) <= Math.max(2, owned.get(owner) * WorkerDesk.MASS)) {
            names.forEach(name -> mark(name, "silent for longer than " + operator.silentDelete()));
          }
        });
    judgeBooting(now);
  }

  /** Machines that nobody owns yet: most are booting, some never come up. */
  private void judgeBooting(Duration now) {
    boots.recount();
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      Known k = entry.getValue();
      double age = seconds(now.minus(k.since));
      if (world.machine(entry.getKey()) == null) {
        boots.count(k.kind.type(), statedBoot(k.kind), age);
      } else if (!k.cameUp) {
        k.cameUp = true;
        if (k.rentedHere) {
          boots.cameUp(k.kind.type(), age);
        }
      }
    }
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      Known k = entry.getValue();
      if (world.machine(entry.getKey()) != null) {
        continue;
      }
      if (k.status == Status.FAILED) {
        mark(entry.getKey(), "the cloud lists it as failed");
      } else if (k.runningSince != null) {
        if (now.minus(k.runningSince).compareTo(UNCLAIMED) > 0) {
          mark(entry.getKey(), "it runs and never reported");
        }
      } else if (boots.hopeless(k.kind.type(), statedBoot(k.kind), seconds(now.minus(k.since)))) {
        mark(entry.getKey(), "it never came up");
      }
    }
  }

  private double statedBoot(Kind kind) {
    MachineType type = types.get(kind.type());
    return type == null ? 60 : type.bootS();
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  /**
   * How long an idle machine is kept: longer where starts are expected sooner than a new machine
   * could be up, up to twelve times.
   */
  private Duration keepIdle(MachineRecord record) {
    return Duration.ofMillis((long) (operator.idleReturn().toMillis() * keepFactor(types.get(record.type()), EXPECTED)));
  }

  /** Machines are kept warm for classes of which jobs still come, not for those of an hour ago. */
  private void noteArrivals(Duration now) {
    for (Job job : world.jobs().values()) {
      JobSpec spec = job.record().spec();
      long at = job.record().submittedMs();
      Arrival known = arrivals.get(spec.jobClass());
      if (known == null || at > known.submittedMs) {
        arrivals.put(spec.jobClass(), new Arrival(spec, at, now));
      }
    }
  }

  /** @param lately only classes of which a job has come within this time count */
  private double keepFactor(MachineType type, Duration lately) {
    if (type == null) {
      return 1;
    }
    double factor = 1;
    for (Objective aim : settings.objectives()) {
      Arrival latest = aim.jobClass() == null ? null : arrivals.get(aim.jobClass());
      if (!aim.kind().equals("wait")
          || latest == null
          || loop.now().minus(latest.at).compareTo(lately) > 0
          || !latest.spec.allowsType(type.name())) {
        continue;
      }
      JobSpec spec = latest.spec;
      if (type.fits(spec) && (type.gpus() <= 0 || spec.gpus() > 0)) {
        double within = Math.max(0.1, seconds(aim.within()));
        factor = Math.max(factor, Math.min(MAX_KEEP, type.bootS() / within));
      }
    }
    return factor;
  }

  /**
   * Empties one machine at a time whose replicas fit elsewhere. Not while work lacks room, and not
   * where starts are due sooner than a machine boots by far: there every machine is wanted warm.
   */
  private void consolidate(Duration now) {
    // What is rented may not come for long: nothing that runs is given back meanwhile.
    boolean busy =
        boots.anyOverdue() || (!jobs.lastPlan().unmet().isEmpty() && urgentUnmet());
    if (busy || now.minus(heldSince).compareTo(SETTLE) < 0) {
      lastBusy = now;
      return;
    }
    if (now.minus(lastBusy).compareTo(operator.consolidateAfter()) < 0) {
      return;
    }
    for (MachineRecord record : world.machines().values()) {
      if (record.drain()) {
        return;
      }
    }
    lastBusy = now; // Whatever comes of it, the next look is a while later: it goes through everything.
    String name =
        Consolidation.pick(
            jobs.lastSnapshot(),
            // Machines that are wanted warm when jobs come are not worth moving replicas about.
            machine -> keepFactor(machine.type(), FOREVER) < MAX_KEEP,
            operator.spareReplicas());
    MachineRecord record = name == null ? null : world.machine(name);
    if (record != null) {
      drain(record, "its replicas fit elsewhere");
    }
  }

  private boolean urgentUnmet() {
    return jobs.lastPlan().unmet().stream().anyMatch(u -> u.spec().priority() != Priority.LOW);
  }

  private void mark(String name, String why) {
    if (!deleted.contains(name) && toDelete.putIfAbsent(name, why) == null) {
      log.info("return machine={} because={}", name, why);
    }
  }

  private void drain(MachineRecord record, String why) {
    if (!draining.add(record.name())) {
      return;
    }
    String key = World.machineKey(record.name());
    store.commitUrgent(
        List.of(new Condition(key, record.version())),
        List.of(new Write(key, record.draining().write(), 0)),
        Duration.ofSeconds(1),
        (result, revision) -> {
          log.info("drain machine={} result={} because={}", record.name(), result, why);
          if (result != Result.DONE) {
            loop.after(Duration.ofSeconds(1), () -> draining.remove(record.name()));
          }
        });
  }

  private void delete() {
    List<String> batch = new ArrayList<>();
    for (String name : toDelete.keySet()) {
      if (batch.size() < CloudWire.MAX_DELETE) {
        batch.add(name);
      }
    }
    calling = true;
    cloud.call(
        "POST",
        "/machines/delete",
        CloudWire.delete(batch),
        (status, map) -> {
          calling = false;
          if (status != 200) {
            log.info("deletion of {} machines not confirmed: {}", batch.size(), status);
            return;
          }
          for (String name : batch) {
            toDelete.remove(name);
            known.remove(name);
            deleted.add(name);
            forget(name);
          }
          while (deleted.size() > 2000) {
            deleted.remove(deleted.iterator().next());
          }
        });
  }

  /** The cloud has confirmed the deletion: whatever was on the machine is over. */
  private void forget(String name) {
    if (world.machine(name) == null) {
      return;
    }
    store.commitUrgent(
        List.of(),
        List.of(new Write(World.machineKey(name), null, 0)),
        Duration.ofSeconds(3),
        (result, revision) -> {
          if (result == Result.DONE) {
            log.info("gone machine={} because=the cloud confirmed its deletion", name);
          } else {
            // The deletion is a fact; it can be confirmed again and written then.
            deleted.remove(name);
            loop.after(
                Duration.ofMillis(500),
                () -> {
                  if (world.machine(name) != null) {
                    mark(name, "its record is still to be removed");
                  }
                });
          }
        });
  }

  private void list(String after, Set<String> seen, Duration now) {
    calling = true;
    cloud.call(
        "GET",
        CloudWire.listPath(after),
        null,
        (status, map) -> {
          calling = false;
          listedAt = loop.now();
          if (status != 200) {
            return;
          }
          try {
            CloudWire.Page page = CloudWire.readPage(map);
            String last = after;
            for (Listed line : page.machines()) {
              seen.add(line.machine());
              take(line);
              last = line.machine();
            }
            if (page.more() && !page.machines().isEmpty()) {
              list(last, seen, now);
              return;
            }
            listed = true;
            vanished(seen, now);
          } catch (BadInput e) {
            log.warn("the machine list is unreadable: {}", e.getMessage());
          }
        });
  }

  private void take(Listed line) {
    if (deleted.contains(line.machine())) {
      return;
    }
    Duration now = loop.now();
    Known k =
        known.computeIfAbsent(
            line.machine(),
            name ->
                new Known(
                    new Kind(line.type(), line.zone(), line.spot()),
                    now.minusMillis((long) (line.ageS() * 1000))));
    k.listedAt = now;
    if (k.status != Status.FAILED) {
      k.status = line.status();
    }
    if (k.status == Status.RUNNING && k.runningSince == null) {
      k.runningSince = now;
    }
  }

  /** A list may be as old as this, and older than the one before it. */
  private Duration listAge() {
    return settings.cloudLimits().listLag().multipliedBy(2).plusSeconds(2);
  }

  /**
   * Machines that are no longer listed were deleted or taken. Their absence proves nothing, so the
   * deletion is asked for, which is answered at once for what is gone.
   */
  private void vanished(Set<String> seen, Duration now) {
    Duration lag = listAge();
    for (Map.Entry<String, Known> entry : List.copyOf(known.entrySet())) {
      Known k = entry.getValue();
      if (seen.contains(entry.getKey())) {
        continue;
      }
      Duration last = k.listedAt == null ? k.since : k.listedAt;
      if (now.minus(last).compareTo(lag) > 0) {
        mark(entry.getKey(), "it is no longer listed");
      }
    }
    for (MachineRecord record : world.machines().values()) {
      if (!seen.contains(record.name())
          && !known.containsKey(record.name())
          && now.minus(heldSince).compareTo(lag) > 0) {
        View view = views.apply(record.name());
        if (view == null || view.silentMs() > 6000) {
          mark(record.name(), "it is not listed");
        }
      }
    }
  }

  /** What counts as room about to come. */
  private List<Kind> bootingKinds() {
    Duration now = loop.now();
    List<Kind> booting = new ArrayList<>();
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      Known k = entry.getValue();
      if (world.machine(entry.getKey()) == null
          && k.status != Status.FAILED
          && !toDelete.containsKey(entry.getKey())
          && boots.counts(k.kind.type(), statedBoot(k.kind), seconds(now.minus(k.since)))) {
        booting.add(k.kind);
      }
    }
    return booting;
  }

  /** What is booting, for the other controllers; null where this one doesn't deal with the cloud. */
  public ObjectNode news() {
    if (heldVersion == 0 || !slots.holdsFleet()) {
      return null;
    }
    ObjectNode news = Cbor.map();
    ArrayNode list = news.putArray("booting");
    for (Kind kind : bootingKinds()) {
      list.addObject().put("type", kind.type()).put("zone", kind.zone()).put("spot", kind.spot());
    }
    return news;
  }

  /** The news of the controller that deals with the cloud. */
  public void heard(ObjectNode news) {
    heard = news;
    heardAt = loop.now();
  }

  /** Machines that are booting, as far as is known here. */
  public List<MachineState> booting() {
    ObjectNode own = news();
    boolean fresh = heardAt != null && loop.now().minus(heardAt).compareTo(NEWS_LIFE) < 0;
    ObjectNode news = own != null ? own : fresh ? heard : null;
    List<MachineState> machines = new ArrayList<>();
    if (news != null) {
      for (JsonNode node : news.path("booting")) {
        MachineType type = types.get(node.path("type").asText());
        if (type != null) {
          machines.add(
              Snapshot.booting(
                  "booting-" + machines.size(),
                  type,
                  node.path("zone").asText(),
                  node.path("spot").asBoolean()));
        }
      }
    }
    return machines;
  }

  /** Rents one kind of what is lacking; true if a call was made. */
  private boolean rent(Duration now) {
    Map<Kind, Integer> wanted =
        RentPlanner.decide(
            jobs.lastPlan().unmet(),
            bootingKinds(),
            types.byName(),
            kind -> blockedUntil.getOrDefault(kind, Duration.ZERO).compareTo(now) > 0,
            operator,
            operator.maxRentAtOnce());
    if (wanted.isEmpty()) {
      return false;
    }
    Map.Entry<Kind, Integer> first = wanted.entrySet().iterator().next();
    rent(first.getKey(), Math.min(first.getValue(), CloudWire.MAX_RENT));
    return true;
  }

  /** A request name is made of the fleet record's version, which no other holder has, and a counter. */
  private void rent(Kind kind, int count) {
    String request = "r-" + heldVersion + "-" + ++counter;
    calling = true;
    Duration at = loop.now();
    cloud.call(
        "POST",
        "/machines",
        CloudWire.rent(request, kind.type(), kind.zone(), kind.spot(), count),
        (status, map) -> {
          calling = false;
          List<String> names = List.of();
          try {
            names = status == 200 ? CloudWire.readRented(map) : names;
          } catch (BadInput e) {
            log.warn("the answer to rental {} is unreadable: {}", request, e.getMessage());
          }
          log.info(
              "rent {} {} zone={} spot={} request={} status={} got={}",
              count,
              kind.type(),
              kind.zone(),
              kind.spot(),
              request,
              status,
              names);
          for (String name : names) {
            known.computeIfAbsent(name, n -> new Known(kind, at)).rentedHere = true;
          }
          if (names.size() < count && status != 429) {
            refused(kind, status, map);
          } else {
            refusals.remove(kind);
          }
        });
  }

  private void refused(Kind kind, int status, ObjectNode map) {
    int times = Math.min(refusals.merge(kind, 1, Integer::sum), 4);
    Duration pause = operator.refusedPause().multipliedBy(times);
    if (status != 200 && (map == null || !map.path("error").asText().equals("no capacity"))) {
      pause = Duration.ofSeconds(2); // The cloud is in trouble, not out of machines.
    }
    blockedUntil.put(kind, loop.now().plus(pause));
  }
}
