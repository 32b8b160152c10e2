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
 * Rents and returns machines, on the one controller that holds the fleet record (the autoscaler
 * role). It rents machines for tasks for which no capacity was found ({@link Rentals}), and returns
 * machines that are idle ({@link ScaleDownPolicy}), failed or never came up ({@link Inventory}). It
 * also deletes machines without reports: a confirmed deletion is the quickest proof that their
 * tasks have ended ({@link MachineReleaser}).
 */
public final class Autoscaler {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
  private static final Duration EVALUATION_INTERVAL = Duration.ofSeconds(1);
  private static final Duration BOOTING_CACHE_TTL = Duration.ofMillis(200);

  /** The state service counts as unavailable after this long without a successful request. */
  private static final Duration STORE_OUTAGE = Duration.ofMillis(3500);

  /** Age at which the autoscaler's last update on booting machines is ignored. */
  private static final Duration UPDATE_TTL = Duration.ofSeconds(3);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final ControllerLease lease;
  private final StallDetector stall;
  private final SlotManager slotManager;
  private final MachineTypeCatalog machineTypes;
  private final OperatorSettings operator;
  private final WorkerManager workerManager;
  private final Function<String, MachineView> views;
  private final JobScheduler scheduler;
  private final FleetCoverage coverage;
  private final MachineReleaser releaser;
  private final Inventory inventory;
  private final Rentals rentals;
  private final ScaleDownPolicy scaleDownPolicy;
  private Duration evaluatedAt = Duration.ZERO;

  /** Version of the fleet record under which this controller last held the role; 0 if never. */
  private long roleVersion;

  private Duration roleSince;
  private ObjectNode receivedUpdate;
  private List<MachineState> booting = List.of();
  private Duration bootingComputedAt;
  private Duration updateReceivedAt;

  public Autoscaler(
      EventLoop loop,
      HttpClient httpClient,
      StoreClient store,
      ClusterState clusterState,
      ControllerLease lease,
      StallDetector stall,
      SlotManager slotManager,
      MachineTypeCatalog machineTypes,
      PlatformSettings settings,
      OperatorSettings operator,
      WorkerManager workerManager,
      Function<String, MachineView> views,
      JobScheduler scheduler,
      FleetCoverage coverage) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.lease = lease;
    this.stall = stall;
    this.slotManager = slotManager;
    this.machineTypes = machineTypes;
    this.operator = operator;
    this.workerManager = workerManager;
    this.views = views;
    this.scheduler = scheduler;
    this.coverage = coverage;
    // A machine list may be this old, and may be older than the list read before it.
    Duration maxListAge = settings.cloudLimits().listLag().multipliedBy(2).plusSeconds(2);
    CloudClient cloud =
        new CloudClient(
            httpClient, loop, settings.cloudAddress(), settings.cloudLimits().rps() * 0.9);
    this.releaser = new MachineReleaser(loop, cloud, store, clusterState);
    this.inventory =
        new Inventory(loop, cloud, clusterState, machineTypes::get, views, releaser, maxListAge);
    this.rentals =
        new Rentals(
            loop,
            cloud,
            store,
            clusterState,
            inventory,
            operator,
            machineTypes::byName,
            maxListAge);
    this.scaleDownPolicy =
        new ScaleDownPolicy(clusterState, machineTypes::get, settings, operator, releaser);
    releaser.onReturned(inventory::forget);
  }

  /** Starts the periodic ticks; they do nothing while another controller holds the role. */
  public void start() {
    loop.after(
        TICK_INTERVAL,
        () -> {
          start();
          tick();
        });
  }

  private void tick() {
    if (!slotManager.holdsAutoscalerRole() || !lease.validAndFresh()) {
      return;
    }
    Duration now = loop.now();
    if (roleVersion != clusterState.autoscaler().version()
        || roleSince.compareTo(stall.runningSince()) < 0) {
      roleVersion = clusterState.autoscaler().version();
      reset(now);
    }
    if (now.minus(evaluatedAt).compareTo(EVALUATION_INTERVAL) >= 0) {
      evaluatedAt = now;
      scaleDownPolicy.recordArrivals(now);
      adoptOrphans();
      releaseSilentMachines();
      inventory.releaseFailed(now);
      if (now.minus(store.lastSuccess()).compareTo(STORE_OUTAGE) > 0) {
        // Nothing can be placed during the outage, so idle machines don't mean that work is
        // lacking.
        scaleDownPolicy.reset(now);
      }
      scaleDownPolicy.evaluate(now);
      scaleDownPolicy.consolidate(
          now, scheduler.lastSnapshot(), scheduler.lastPlan(), inventory.overdue());
    }
    releaser.send();
    rentals.tick(
        scheduler.lastPlan().unmet().stream().filter(u -> coverage.covers(u.spec())).toList(), now);
    inventory.refresh(now);
  }

  /**
   * Discards all earlier observations: another controller held the role in the meantime, or this
   * process was paused.
   */
  private void reset(Duration now) {
    roleSince = now;
    releaser.reset();
    inventory.reset(now);
    rentals.reset(now);
    scaleDownPolicy.reset(now);
  }

  /**
   * Finds new owners for machines whose owner has no record. Machines whose workers don't report to
   * any controller need an owner too, because without one they are never declared gone.
   */
  private void adoptOrphans() {
    for (MachineRecord record : clusterState.machines().values()) {
      if (!clusterState.alive(record.owner())) {
        workerManager.failOverIfOverdue(record);
      }
    }
  }

  /**
   * Marks machines for deletion that have sent no report for longer than the operator's limit,
   * unless the cause seems to be their owner.
   */
  private void releaseSilentMachines() {
    Map<String, List<String>> silentByOwner = new HashMap<>();
    Map<String, Integer> ownedCount = new HashMap<>();
    Map<String, Integer> suspectCount = new HashMap<>();
    for (MachineRecord record : clusterState.machines().values()) {
      String name = record.name();
      ownedCount.merge(record.owner(), 1, Integer::sum);
      Duration silence = workerManager.silentFor(name);
      MachineView view = views.apply(name);
      if (silence == null && view != null && view.token() == clusterState.token(record)) {
        silence = Duration.ofMillis(view.silentMs());
      }
      if (silence != null && silence.compareTo(operator.silentDeleteDelay().dividedBy(2)) > 0) {
        suspectCount.merge(record.owner(), 1, Integer::sum);
      }
      if (silence != null && silence.compareTo(operator.silentDeleteDelay()) > 0) {
        silentByOwner.computeIfAbsent(record.owner(), k -> new ArrayList<>()).add(name);
      }
    }
    silentByOwner.forEach(
        (owner, names) -> {
          // If a large part of an owner's machines is silent, it is the owner that they can't
          // reach. The first machines over the limit are few, so those over half of it are counted
          // too.
          if (suspectCount.get(owner)
              <= Math.max(2, ownedCount.get(owner) * WorkerManager.MASS_SILENCE_SHARE)) {
            names.forEach(
                name ->
                    releaser.markForDeletion(
                        name, "silent for longer than " + operator.silentDeleteDelay()));
          }
        });
  }

  /**
   * The update on booting machines for the other controllers; null if this is not the autoscaler.
   */
  public ObjectNode bootingUpdate() {
    if (roleVersion == 0 || !slotManager.holdsAutoscalerRole()) {
      return null;
    }
    ObjectNode update = Cbor.map();
    ArrayNode list = update.putArray("booting");
    List<MachineOffering> booting = inventory.booting(loop.now());
    booting.addAll(rentals.pendingMachines());
    for (MachineOffering offering : booting) {
      list.addObject()
          .put("type", offering.type())
          .put("zone", offering.zone())
          .put("spot", offering.spot());
    }
    return update;
  }

  /** Receives the autoscaler's update on booting machines. */
  public void onBootingUpdate(ObjectNode update) {
    receivedUpdate = update;
    updateReceivedAt = loop.now();
  }

  /**
   * Machines that are known to be booting. The result is cached, because every scheduling pass
   * needs it and few machines come or go between two passes.
   */
  public List<MachineState> booting() {
    Duration now = loop.now();
    if (bootingComputedAt == null
        || now.minus(bootingComputedAt).compareTo(BOOTING_CACHE_TTL) >= 0) {
      bootingComputedAt = now;
      booting = findBooting();
    }
    return booting;
  }

  private List<MachineState> findBooting() {
    ObjectNode own = bootingUpdate();
    boolean fresh =
        updateReceivedAt != null && loop.now().minus(updateReceivedAt).compareTo(UPDATE_TTL) < 0;
    ObjectNode update = own != null ? own : fresh ? receivedUpdate : null;
    List<MachineState> machines = new ArrayList<>();
    if (update != null) {
      for (JsonNode node : update.path("booting")) {
        MachineType type = machineTypes.get(node.path("type").asText());
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
