package io.tansystack.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.cluster.SlotManager;
import io.tansystack.cluster.StallDetector;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.jobs.JobScheduler;
import io.tansystack.recovery.FleetCoverage;
import io.tansystack.schedule.RentPlanner.MachineOffering;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.schedule.Snapshot;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.MachineType;
import io.tansystack.workers.MachineView;
import io.tansystack.workers.WorkerManager;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Deals with the cloud, on the one controller that holds the fleet record: rents for what found no
 * room ({@link Rentals}), returns what is idle ({@link ScaleDownPolicy}), failed or never came up ({@link
 * Inventory}), and has silent machines deleted, whose confirmed deletion is the quickest proof that
 * their tasks are over ({@link MachineReleaser}).
 */
public final class Autoscaler {
  private static final Duration TURN = Duration.ofMillis(250);
  private static final Duration JUDGE_EVERY = Duration.ofSeconds(1);
  private static final Duration BOOTING_KEPT = Duration.ofMillis(200);
  private static final Duration UNWRITABLE = Duration.ofMillis(3500);
  private static final Duration NEWS_LIFE = Duration.ofSeconds(3);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final ControllerLease lease;
  private final StallDetector stall;
  private final SlotManager slots;
  private final MachineTypeCatalog types;
  private final OperatorSettings operator;
  private final WorkerManager desk;
  private final Function<String, MachineView> views;
  private final JobScheduler jobs;
  private final FleetCoverage coverage;
  private final MachineReleaser returns;
  private final Inventory inventory;
  private final Rentals rentals;
  private final ScaleDownPolicy warmth;
  private Duration judgedAt = Duration.ZERO;
  private long heldVersion;
  private Duration heldSince;
  private ObjectNode heard;
  private List<MachineState> booting = List.of();
  private Duration bootingAt;
  private Duration heardAt;

  public Autoscaler(
      EventLoop loop,
      HttpClient caller,
      StoreClient store,
      ClusterState world,
      ControllerLease lease,
      StallDetector stall,
      SlotManager slots,
      MachineTypeCatalog types,
      PlatformSettings settings,
      OperatorSettings operator,
      WorkerManager desk,
      Function<String, MachineView> views,
      JobScheduler jobs,
      FleetCoverage coverage) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.stall = stall;
    this.slots = slots;
    this.types = types;
    this.operator = operator;
    this.desk = desk;
    this.views = views;
    this.jobs = jobs;
    this.coverage = coverage;
    // A list may be as old as this, and older than the one before it.
    Duration listAge = settings.cloudLimits().listLag().multipliedBy(2).plusSeconds(2);
    CloudClient cloud =
        new CloudClient(caller, loop, settings.cloud(), settings.cloudLimits().rps() * 0.9);
    this.returns = new MachineReleaser(loop, cloud, store, world);
    this.inventory = new Inventory(loop, cloud, world, types::get, views, returns, listAge);
    this.rentals =
        new Rentals(loop, cloud, store, world, inventory, operator, types::byName, listAge);
    this.warmth = new ScaleDownPolicy(world, types::get, settings, operator, returns);
    returns.onReturned(inventory::forget);
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
    if (!slots.holdsAutoscalerRole() || !lease.validAndFresh()) {
      return;
    }
    Duration now = loop.now();
    if (heldVersion != world.autoscaler().version()
        || heldSince.compareTo(stall.runningSince()) < 0) {
      heldVersion = world.autoscaler().version();
      startAnew(now);
    }
    if (now.minus(judgedAt).compareTo(JUDGE_EVERY) >= 0) {
      judgedAt = now;
      warmth.noteArrivals(now);
      adoptOrphans();
      judgeSilence();
      inventory.judge(now);
      if (now.minus(store.lastSuccess()).compareTo(UNWRITABLE) > 0) {
        warmth.startAnew(now); // Nothing can be placed: what is idle now is not idle for want of work.
      }
      warmth.judge(now);
      warmth.consolidate(now, jobs.lastSnapshot(), jobs.lastPlan(), inventory.overdue());
    }
    returns.send();
    rentals.turn(
        jobs.lastPlan().unmet().stream().filter(u -> coverage.covers(u.spec())).toList(), now);
    inventory.refresh(now);
  }

  /** Nothing that was seen before counts: another held the duty meanwhile, or this process stood still. */
  private void startAnew(Duration now) {
    heldSince = now;
    returns.startAnew();
    inventory.startAnew(now);
    rentals.startAnew(now);
    warmth.startAnew(now);
  }

  /** Machines whose workers report to nobody need an owner too, or they are never declared gone. */
  private void adoptOrphans() {
    for (MachineRecord record : world.machines().values()) {
      if (!world.alive(record.owner())) {
        desk.failOverIfOverdue(record);
      }
    }
  }

  /** Finds machines that have been silent for too long. */
  private void judgeSilence() {
    Map<String, List<String>> silent = new HashMap<>();
    Map<String, Integer> owned = new HashMap<>();
    Map<String, Integer> quiet = new HashMap<>();
    for (MachineRecord record : world.machines().values()) {
      String name = record.name();
      owned.merge(record.owner(), 1, Integer::sum);
      Duration silence = desk.silentFor(name);
      MachineView view = views.apply(name);
      if (silence == null && view != null && view.token() == world.token(record)) {
        silence = Duration.ofMillis(view.silentMs());
      }
      if (silence != null && silence.compareTo(operator.silentDelete().dividedBy(2)) > 0) {
        quiet.merge(record.owner(), 1, Integer::sum);
      }
      if (silence != null && silence.compareTo(operator.silentDelete()) > 0) {
        silent.computeIfAbsent(record.owner(), k -> new ArrayList<>()).add(name);
      }
    }
    silent.forEach(
        (owner, names) -> {
          // Most machines of one owner at once: it is the owner that they can't reach.
          // The first to be silent for long enough are few; those that follow them count too.
          if (quiet.get(owner) <= Math.max(2, owned.get(owner) * WorkerManager.MASS_SILENCE_SHARE)) {
            names.forEach(
                name -> returns.mark(name, "silent for longer than " + operator.silentDelete()));
          }
        });
  }

  /** What is booting, for the other controllers; null where this one doesn't deal with the cloud. */
  public ObjectNode news() {
    if (heldVersion == 0 || !slots.holdsAutoscalerRole()) {
      return null;
    }
    ObjectNode news = Cbor.map();
    ArrayNode list = news.putArray("booting");
    List<MachineOffering> booting = inventory.booting(loop.now());
    booting.addAll(rentals.coming());
    for (MachineOffering kind : booting) {
      list.addObject().put("type", kind.type()).put("zone", kind.zone()).put("spot", kind.spot());
    }
    return news;
  }

  /** The news of the controller that deals with the cloud. */
  public void heard(ObjectNode news) {
    heard = news;
    heardAt = loop.now();
  }

  /** Machines that are booting, as far as is known here; each pass asks, and few come or go between two. */
  public List<MachineState> booting() {
    Duration now = loop.now();
    if (bootingAt == null || now.minus(bootingAt).compareTo(BOOTING_KEPT) >= 0) {
      bootingAt = now;
      booting = findBooting();
    }
    return booting;
  }

  private List<MachineState> findBooting() {
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
}
