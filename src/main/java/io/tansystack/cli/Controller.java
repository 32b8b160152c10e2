package io.tansystack.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ClusterStateDelta;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.RecordGarbageCollector;
import io.tansystack.cluster.SlotManager;
import io.tansystack.cluster.StallDetector;
import io.tansystack.cluster.WallClockConverter;
import io.tansystack.fleet.Autoscaler;
import io.tansystack.fleet.MachineTypeCatalog;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.jobs.JobHealthMonitor;
import io.tansystack.jobs.JobScheduler;
import io.tansystack.jobs.UserApi;
import io.tansystack.peers.PeerLink;
import io.tansystack.recovery.RecoveryContext;
import io.tansystack.recovery.StartupLogger;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.RateBudget;
import io.tansystack.store.StoreClient;
import io.tansystack.store.Watcher;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Responses;
import io.tansystack.workers.MachineView;
import io.tansystack.workers.WorkerManager;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: its duties, wired together on one loop. */
public final class Controller {
  private static final Logger log = LoggerFactory.getLogger(Controller.class);

  /** Other controllers may need less than their part of the write limit. */
  private static final double OVERCOMMIT = 1.8;

  /** A single planner leaves room for submissions elsewhere. */
  private static final double MOST_OF_WRITES = 0.75;

  private static final Duration SUMMARY_EVERY = Duration.ofSeconds(30);

  private final EventLoop loop;
  private final PlatformSettings settings;
  private final String boot;
  private final ClusterState world;
  private final StoreClient store;
  private final Watcher watcher;
  private final StallDetector stall;
  private final ControllerLease lease;
  private final PeerLink peers;
  private final SlotManager slots;
  private final MachineTypeCatalog types;
  private final WorkerManager desk;
  private final JobScheduler jobs;
  private final Autoscaler fleet;
  private final UserApi users;
  private final RecordGarbageCollector sweep;
  private final JobHealthMonitor overseer;
  private final StartupLogger start;
  private final Latencies latencies;
  private final Map<String, MachineView> views = new HashMap<>();
  private Duration heardUntil;
  private long ticks;

  /** Whether this controller has been entitled to act since it started. */
  private boolean acted;

  /** Whether it was entitled to act when that was logged last. */
  private boolean loggedValid;

  private final byte[] empty = Cbor.encode(Cbor.map());

  public Controller(
      EventLoop loop,
      HttpClient caller,
      PlatformSettings settings,
      OperatorSettings operator,
      InstantSource clock,
      Random random) {
    this.loop = loop;
    this.settings = settings;
    this.latencies = new Latencies(loop);
    String label = settings.label();
    this.boot = Long.toHexString(random.nextLong());
    this.stall = new StallDetector(loop);
    double writes = settings.store().writeRps();
    int size = settings.size();
    double share = writeShare(size);
    this.store =
        new StoreClient(
            caller,
            loop,
            settings.state(),
            new RateBudget(share, Math.max(2, share), loop.now()),
            random);
    this.world = new ClusterState(this::worldChanged);
    double watches = settings.store().rps() * 0.2 / size;
    this.watcher =
        new Watcher(
            store,
            loop,
            ClusterState.PREFIX,
            Duration.ofMillis((long) (1000 / watches)),
            world,
            this::synced);
    Duration life =
        ControllerLease.leaseDurationFor(settings.workers().cancel(), settings.workers().lease());
    Duration recordLife = ControllerLease.recordTtlFor(life, settings.workers().lease());
    this.lease =
        new ControllerLease(
            store,
            loop,
            label,
            boot,
            settings.zone(),
            life,
            recordLife,
            watcher,
            stall);
    this.peers =
        new PeerLink(
            caller,
            loop,
            label,
            boot,
            settings.peers(),
            this::useful,
            this::deaf,
            this::viewFromPeer,
            this::told,
            this::fleetNews,
            this::heardOfFleet,
            this::informed);
    this.slots = new SlotManager(loop, store, world, lease, label, boot, size, peers::looksDown);
    RecoveryContext recovery =
        RecoveryContext.of(
            loop,
            store,
            world,
            settings,
            clock,
            recordLife,
            new RecoveryContext.PeerHealth(
                peers::unfitForWorkers, peers::heardFrom, peers::refusesConnections, peers::unresponsive));
    this.types = new MachineTypeCatalog(loop, store, world, caller, settings);
    this.desk =
        new WorkerManager(
            loop,
            store,
            caller,
            world,
            lease,
            label,
            boot,
            settings.zone(),
            settings.workers().lease(),
            writes,
            peers::unfitForWorkers,
            recovery,
            watcher::upToDateBeforeLastUpdate,
            new WallClockConverter(loop, clock, settings.skew()),
            types::get,
            views::get,
            this::viewOfOwn);
    this.jobs =
        new JobScheduler(
            loop, store, world, lease, slots, settings, views::get, types::get, this::booting,
            pass -> latencies.measure("pass", pass), clock, recovery.fleetCoverage(),
            peer -> peers.heardFrom(peer) && !peers.unfitForWorkers(peer));
    this.fleet =
        new Autoscaler(
            loop, caller, store, world, lease, stall, slots, types, settings, operator, desk,
            views::get, jobs, recovery.fleetCoverage());
    this.users =
        new UserApi(
            loop, store, world, settings, boot, clock, types::all, this::storeAnswers,
            watcher::confirmUpToDate);
    this.sweep = new RecordGarbageCollector(loop, store, world, lease, slots);
    this.start = new StartupLogger(loop, world, label, recovery, desk::startupCounts);
    this.overseer =
        new JobHealthMonitor(
            loop,
            clock,
            world,
            slots,
            id -> jobs.lastPlan().unmet().stream().anyMatch(u -> u.job().equals(id)));
    log.info("controller {} boot {} in {}: acts for {} after it is cut off", label, boot, settings.zone(), life);
  }

  public void start() {
    heardUntil = loop.now();
    watcher.start();
    lease.start();
    types.start();
    peers.start();
    slots.start();
    fleet.start();
    sweep.start();
    overseer.start();
    tick();
    summarise();
  }

  private void tick() {
    loop.after(Duration.ofMillis(500), this::tick);
    stall.check();
    if (heardUntil.compareTo(stall.runningSince()) < 0) {
      peers.restartSilenceTimers();
      desk.restartSilenceTimers();
    }
    heardUntil = loop.now();
    ticks++;
    logValidity();
    store.setWriteRate(writeShare(slots.isPlanner() ? slots.plannerCount() : settings.size()));
    if (ticks % 2 == 0) {
      desk.tick();
    }
    if (world.loaded()) {
      if (world.revision() >= lease.registrationRevision() && !world.alive(settings.label(), boot)) {
        lease.recordLost();
      }
      views.keySet().removeIf(name -> world.machine(name) == null && desk.silentFor(name) == null);
      jobs.requestPass();
      if (lease.valid() && world.alive(settings.label(), boot)) {
        start.tick();
      }
    }
  }

  /** Workers' answers, commands and departures rest on it. */
  private void logValidity() {
    if (lease.valid() != loggedValid) {
      loggedValid = !loggedValid;
      log.info("{} {}", loggedValid ? "may act" : "may not act any more", lease.describe());
    }
  }

  /** Its part of the write limit, shared with so many others; those who plan write most of it. */
  private double writeShare(int among) {
    double writes = settings.store().writeRps();
    return settings.size() == 1
        ? writes
        : Math.min(writes * MOST_OF_WRITES, writes / among * OVERCOMMIT);
  }

  private void summarise() {
    loop.after(SUMMARY_EVERY, this::summarise);
    log.info(
        "summary jobs={} machines={} idle={} closed={} unmet={} owned={} valid={} plans={} stalls={} {} count/p50/p99/max{}",
        world.jobs().size(),
        world.machines().size(),
        world.machines().keySet().stream().filter(m -> world.placedOn(m).isEmpty()).count(),
        jobs.lastSnapshot().machines().stream().filter(m -> !m.acceptsTasks()).count(),
        jobs.lastPlan().unmet().size(),
        desk.ownedMachines().size(),
        lease.valid(),
        slots.isPlanner(),
        stall.stallCount(),
        lease.describe(),
        latencies.summary());
  }

  private void worldChanged(ClusterStateDelta touched) {
    latencies.measure(
        "change",
        () -> {
          slots.tick();
          jobs.onClusterStateChange(touched);
          desk.onClusterStateChange(touched);
        });
    jobs.requestPass();
  }

  private void synced(Duration at) {
    users.onUpToDate(at);
  }

  private ObjectNode fleetNews() {
    return fleet.bootingUpdate();
  }

  private boolean deaf() {
    return desk.isolatedFromWorkers();
  }

  private Set<String> informed() {
    return slots.viewSubscribers();
  }

  private void heardOfFleet(ObjectNode news) {
    fleet.onBootingUpdate(news);
  }

  private List<MachineState> booting() {
    return fleet.booting();
  }

  private void viewOfOwn(MachineView view) {
    keep(view);
    peers.publish(view);
  }

  private List<MachineView> told() {
    return desk.publishedViews();
  }

  private void viewFromPeer(MachineView view) {
    // What we own we know better ourselves.
    if (desk.silentFor(view.report().machine()) == null) {
      keep(view);
    }
  }

  private void keep(MachineView view) {
    MachineView old = views.get(view.report().machine());
    if (old == null || view.newerThan(old)) {
      views.put(view.report().machine(), view);
      jobs.onViewChange(old, view);
    }
  }

  /** Serves the front address: users, workers and health checks. */
  public void front(String method, String path, byte[] body, Reply reply) {
    boolean get = method.equals("GET");
    boolean post = method.equals("POST");
    if (post && path.equals("/v1/report")) {
      desk.handleReport(body, latencies.timed("report", reply));
    } else if (get && path.equals("/up")) {
      reply.send(ready() ? 200 : 503, empty);
    } else if (post && path.equals("/v1/jobs")) {
      users.submit(body, latencies.timed("submit", reply));
    } else if (path.startsWith("/v1/jobs/")) {
      String rest = path.substring("/v1/jobs/".length());
      if (get) {
        users.poll(rest, latencies.timed("poll", reply));
      } else if (post && rest.endsWith("/abort")) {
        users.abort(rest.substring(0, rest.length() - "/abort".length()), latencies.timed("abort", reply));
      } else {
        reply.send(405, Cbor.encode(Responses.error("no such method")));
      }
    } else {
      reply.send(404, Cbor.encode(Responses.error("no such path")));
    }
  }

  /** Serves the peer address. */
  public void peer(String method, String path, byte[] body, Reply reply) {
    latencies.measure("peer", () -> peers.handle(method, path, body, reply));
  }

  /**
   * Whether users should come here. With the state service silent for this controller alone they had
   * better go to another; if nobody reaches it, moving them around helps nobody. One that hears of no
   * other controller either is the one that is cut off.
   */
  private boolean ready() {
    if (!world.loaded() || !lease.registered()) {
      return false;
    }
    return storeAnswers() || (peers.heardFromAnyPeer() && !peers.anyPeerCanSchedule());
  }

  private boolean storeAnswers() {
    return loop.now().minus(store.lastSuccess()).compareTo(Duration.ofMillis(3500)) < 0;
  }

  /**
   * What the peers are told. A controller that the state service alone has left says so long before
   * its lease ends: it can't place anything, and others can take its slots at once. One that starts is
   * about to act: nothing need be taken from it.
   */
  private boolean useful() {
    boolean valid = lease.valid();
    acted |= valid;
    return (valid || !acted) && storeAnswers();
  }
}
