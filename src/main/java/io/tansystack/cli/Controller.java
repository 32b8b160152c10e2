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

/** One controller: creates and connects its components on one event loop and routes requests. */
public final class Controller {
  private static final Logger log = LoggerFactory.getLogger(Controller.class);

  /** A controller may write more than an equal share, since others may need less than theirs. */
  private static final double WRITE_OVERCOMMIT = 1.8;

  /** A single planner leaves the rest of the write limit to submissions at other controllers. */
  private static final double MAX_WRITE_FRACTION = 0.75;

  /** Watch requests of all controllers may take this part of the state service's request limit. */
  private static final double WATCH_FRACTION = 0.2;

  /** The state service counts as not responding if no request has succeeded for this long. */
  private static final long MAX_SILENCE_MS = 3500;

  private static final Duration SUMMARY_INTERVAL = Duration.ofSeconds(30);

  private final EventLoop loop;
  private final PlatformSettings settings;
  private final String incarnation;
  private final ClusterState clusterState;
  private final StoreClient store;
  private final Watcher watcher;
  private final StallDetector stallDetector;
  private final ControllerLease lease;
  private final PeerLink peers;
  private final SlotManager slotManager;
  private final MachineTypeCatalog machineTypes;
  private final WorkerManager workerManager;
  private final JobScheduler scheduler;
  private final Autoscaler autoscaler;
  private final UserApi userApi;
  private final RecordGarbageCollector garbageCollector;
  private final JobHealthMonitor healthMonitor;
  private final StartupLogger startupLogger;
  private final Latencies latencies;

  /** The newest view of each machine, by machine name. */
  private final Map<String, MachineView> views = new HashMap<>();

  private Duration lastTick;
  private long ticks;

  /** Whether the lease has been valid at any time since this process started. */
  private boolean hasBeenValid;

  /** Validity of the lease as logged last. */
  private boolean loggedValid;

  private final byte[] emptyBody = Cbor.encode(Cbor.map());

  public Controller(
      EventLoop loop,
      HttpClient httpClient,
      PlatformSettings settings,
      OperatorSettings operator,
      InstantSource clock,
      Random random) {
    this.loop = loop;
    this.settings = settings;
    this.latencies = new Latencies(loop);
    String label = settings.label();
    this.incarnation = Long.toHexString(random.nextLong());
    this.stallDetector = new StallDetector(loop);
    double writeRps = settings.stateServiceLimits().writeRps();
    int controllerCount = settings.controllerCount();
    double share = writeShare(controllerCount);
    this.store =
        new StoreClient(
            httpClient,
            loop,
            settings.stateServiceAddress(),
            new RateBudget(share, Math.max(2, share), loop.now()),
            random);
    this.clusterState = new ClusterState(this::onClusterStateChange);
    double watchesPerSecond =
        settings.stateServiceLimits().rps() * WATCH_FRACTION / controllerCount;
    this.watcher =
        new Watcher(
            store,
            loop,
            ClusterState.PREFIX,
            Duration.ofMillis((long) (1000 / watchesPerSecond)),
            clusterState,
            this::onSynced);
    Duration leaseDuration =
        ControllerLease.leaseDurationFor(
            settings.workerTimings().cancelDeadline(), settings.workerTimings().leaseDuration());
    Duration recordTtl =
        ControllerLease.recordTtlFor(leaseDuration, settings.workerTimings().leaseDuration());
    this.lease =
        new ControllerLease(
            store, loop, label, incarnation, settings.zone(), leaseDuration, recordTtl, watcher,
            stallDetector);
    this.peers =
        new PeerLink(
            httpClient, loop, label, incarnation, settings.peers(), this::ableToSchedule,
            this::isolatedFromWorkers, this::onPeerView, this::publishedViews,
            this::autoscalerUpdate, this::onAutoscalerUpdate, this::viewSubscribers);
    this.slotManager =
        new SlotManager(
            loop, store, clusterState, lease, label, incarnation, controllerCount,
            peers::looksDown);
    RecoveryContext recovery =
        RecoveryContext.of(
            loop, store, clusterState, settings, clock, recordTtl,
            new RecoveryContext.PeerHealth(
                peers::unfitForWorkers, peers::heardFrom, peers::refusesConnections,
                peers::unresponsive));
    this.machineTypes = new MachineTypeCatalog(loop, store, clusterState, httpClient, settings);
    this.workerManager =
        new WorkerManager(
            loop, store, httpClient, clusterState, lease, label, incarnation, settings.zone(),
            settings.workerTimings().leaseDuration(), writeRps, peers::unfitForWorkers, recovery,
            watcher::upToDateBeforeLastUpdate,
            new WallClockConverter(loop, clock, settings.maxClockSkew()),
            machineTypes::get, views::get, this::onOwnView);
    this.scheduler =
        new JobScheduler(
            loop, store, clusterState, lease, slotManager, settings, views::get,
            machineTypes::get, this::bootingMachines, pass -> latencies.measure("pass", pass),
            clock, recovery.fleetCoverage(),
            peer -> peers.heardFrom(peer) && !peers.unfitForWorkers(peer));
    this.autoscaler =
        new Autoscaler(
            loop, httpClient, store, clusterState, lease, stallDetector, slotManager,
            machineTypes, settings, operator, workerManager, views::get, scheduler,
            recovery.fleetCoverage());
    this.userApi =
        new UserApi(
            loop, store, clusterState, settings, incarnation, clock, machineTypes::all,
            this::stateServiceResponds, watcher::confirmUpToDate);
    this.garbageCollector =
        new RecordGarbageCollector(loop, store, clusterState, lease, slotManager);
    this.startupLogger =
        new StartupLogger(loop, clusterState, label, recovery, workerManager::startupCounts);
    this.healthMonitor =
        new JobHealthMonitor(
            loop,
            clock,
            clusterState,
            slotManager,
            id -> scheduler.lastPlan().unmet().stream().anyMatch(u -> u.job().equals(id)));
    log.info(
        "controller {} boot {} in {}: continues for up to {} after losing the state service",
        label, incarnation, settings.zone(), leaseDuration);
  }

  public void start() {
    lastTick = loop.now();
    watcher.start();
    lease.start();
    machineTypes.start();
    peers.start();
    slotManager.start();
    autoscaler.start();
    garbageCollector.start();
    healthMonitor.start();
    tick();
    logSummary();
  }

  private void tick() {
    loop.after(Duration.ofMillis(500), this::tick);
    stallDetector.check();
    if (lastTick.compareTo(stallDetector.runningSince()) < 0) {
      peers.restartSilenceTimers();
      workerManager.restartSilenceTimers();
    }
    lastTick = loop.now();
    ticks++;
    logValidity();
    store.setWriteRate(
        writeShare(
            slotManager.isPlanner() ? slotManager.plannerCount() : settings.controllerCount()));
    if (ticks % 2 == 0) {
      workerManager.tick();
    }
    if (clusterState.loaded()) {
      if (clusterState.revision() >= lease.registrationRevision()
          && !clusterState.alive(settings.label(), incarnation)) {
        lease.recordLost();
      }
      Set<String> seen = views.keySet();
      seen.removeIf(m -> clusterState.machine(m) == null && workerManager.silentFor(m) == null);
      scheduler.requestPass();
      if (lease.valid() && clusterState.alive(settings.label(), incarnation)) {
        startupLogger.tick();
      }
    }
  }

  /**
   * Logs when the lease becomes valid or invalid. Only with a valid one does this controller answer
   * workers, send commands and declare machines gone.
   */
  private void logValidity() {
    if (lease.valid() != loggedValid) {
      loggedValid = !loggedValid;
      log.info("{} {}", loggedValid ? "may act" : "may not act any more", lease.describe());
    }
  }

  /**
   * This controller's part of the state service's write limit.
   *
   * @param sharers number of controllers among which the limit is divided: all of them, or for a
   *     planner only the planners, since they do most of the writes
   */
  private double writeShare(int sharers) {
    double writeRps = settings.stateServiceLimits().writeRps();
    return settings.controllerCount() == 1
        ? writeRps
        : Math.min(writeRps * MAX_WRITE_FRACTION, writeRps / sharers * WRITE_OVERCOMMIT);
  }

  private void logSummary() {
    loop.after(SUMMARY_INTERVAL, this::logSummary);
    log.info(
        "summary jobs={} machines={} idle={} closed={} unmet={} owned={} valid={}"
            + " plans={} stalls={} requests={} expired={} {} {} count/p50/p99/max{}",
        clusterState.jobs().size(),
        clusterState.machines().size(),
        clusterState.machines().keySet().stream()
            .filter(m -> clusterState.placedOn(m).isEmpty())
            .count(),
        scheduler.lastSnapshot().machines().stream().filter(m -> !m.acceptsTasks()).count(),
        scheduler.lastPlan().unmet().size(),
        workerManager.ownedMachines().size(),
        lease.valid(),
        slotManager.isPlanner(),
        stallDetector.stallCount(),
        userApi.openRequestCount(),
        userApi.expiredRequestCount(),
        workerManager.counters(),
        lease.describe(),
        latencies.summaryAndReset());
  }

  private void onClusterStateChange(ClusterStateDelta delta) {
    latencies.measure(
        "change",
        () -> {
          slotManager.tick();
          scheduler.onClusterStateChange(delta);
          workerManager.onClusterStateChange(delta);
        });
    scheduler.requestPass();
  }

  private void onSynced(Duration upToDateAsOf) {
    userApi.onUpToDate(upToDateAsOf);
  }

  private ObjectNode autoscalerUpdate() {
    return autoscaler.bootingUpdate();
  }

  private boolean isolatedFromWorkers() {
    return workerManager.isolatedFromWorkers();
  }

  private Set<String> viewSubscribers() {
    return slotManager.viewSubscribers();
  }

  private void onAutoscalerUpdate(ObjectNode update) {
    autoscaler.onBootingUpdate(update);
  }

  private List<MachineState> bootingMachines() {
    return autoscaler.booting();
  }

  private void onOwnView(MachineView view) {
    storeIfNewer(view);
    peers.publish(view);
  }

  private List<MachineView> publishedViews() {
    return workerManager.publishedViews();
  }

  private void onPeerView(MachineView view) {
    // Of the machines that this controller owns, its own views are newer.
    if (workerManager.silentFor(view.report().machine()) == null) {
      storeIfNewer(view);
    }
  }

  private void storeIfNewer(MachineView view) {
    MachineView previous = views.get(view.report().machine());
    if (previous == null || view.newerThan(previous)) {
      views.put(view.report().machine(), view);
      scheduler.onViewChange(previous, view);
    }
  }

  /** Handles a request to the front address, from a user, a worker or a health check. */
  public void handleFront(String method, String path, byte[] body, Reply reply) {
    boolean get = method.equals("GET");
    boolean post = method.equals("POST");
    if (post && path.equals("/v1/report")) {
      workerManager.handleReport(body, latencies.timed("report", reply));
    } else if (get && path.equals("/up")) {
      reply.send(ready() ? 200 : 503, emptyBody);
    } else if (post && path.equals("/v1/jobs")) {
      userApi.submit(body, latencies.timed("submit", reply));
    } else if (path.startsWith("/v1/jobs/")) {
      String jobPath = path.substring("/v1/jobs/".length());
      if (get) {
        userApi.poll(jobPath, latencies.timed("poll", reply));
      } else if (post && jobPath.endsWith("/abort")) {
        userApi.abort(
            jobPath.substring(0, jobPath.length() - "/abort".length()),
            latencies.timed("abort", reply));
      } else {
        reply.send(405, Cbor.encode(Responses.error("no such method")));
      }
    } else {
      reply.send(404, Cbor.encode(Responses.error("no such path")));
    }
  }

  /** Handles a request to the peer address, from another controller. */
  public void handlePeer(String method, String path, byte[] body, Reply reply) {
    latencies.measure("peer", () -> peers.handle(method, path, body, reply));
  }

  /**
   * Whether users should be sent to this controller. If it alone gets no response from the state
   * service, they are better served by another one; if no controller reaches the state service,
   * sending them elsewhere has no use. A controller that hears from no other controller either
   * counts as the one that is cut off.
   */
  private boolean ready() {
    if (!clusterState.loaded() || !lease.registered()) {
      return false;
    }
    return stateServiceResponds() || (peers.heardFromAnyPeer() && !peers.anyPeerCanSchedule());
  }

  private boolean stateServiceResponds() {
    return loop.now().minus(store.lastSuccess()).compareTo(Duration.ofMillis(MAX_SILENCE_MS)) < 0;
  }

  /**
   * The validity that is reported to the peers. A controller that has lost only the state service
   * reports itself as invalid long before its lease ends: it can't place anything, and others can
   * take its slots at once. A controller that is starting up reports itself as valid: its lease
   * will be valid soon, so nothing need be taken from it.
   */
  private boolean ableToSchedule() {
    boolean valid = lease.valid();
    hasBeenValid |= valid;
    return (valid || !hasBeenValid) && stateServiceResponds();
  }
}
