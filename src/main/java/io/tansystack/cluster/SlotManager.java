package io.tansystack.cluster;

import io.tansystack.cluster.ClusterState.Holder;
import io.tansystack.http.EventLoop;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims slots and the autoscaler role, and transfers slots to controllers that hold too few. A
 * claim is safe at any time, because every write of a slot's holder carries the version of
 * {@code slots/k} as a condition; whether a holder looks down only decides how soon others take
 * over.
 */
public final class SlotManager {
  private static final Logger log = LoggerFactory.getLogger(SlotManager.class);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(300);

  /** After the planners have changed, slots are rebalanced only once this time has passed. */
  private static final Duration STABILIZATION_DELAY = Duration.ofSeconds(4);

  /**
   * Within this time the cluster state normally shows a committed write; after it, the key may be
   * written again in any case.
   */
  private static final Duration VISIBILITY_DELAY = Duration.ofSeconds(2);

  /** The time after which a claim that did not succeed may be tried again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  /** For this time after conflicting claims, refused connections do not count as failures. */
  private static final Duration CONFLICT_BACKOFF = Duration.ofSeconds(30);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final ControllerLease lease;
  private final String label;
  private final String incarnation;
  private final int controllerCount;
  private final Predicate<String> looksDown;

  /**
   * The keys being written, each with the revision of the write: {@link Long#MAX_VALUE} until it is
   * committed. An entry is removed once the cluster state includes the revision.
   */
  private final Map<String, Long> inFlight = new HashMap<>();
  private Set<String> lastPlanners = Set.of();
  private boolean isPlanner;
  private final Set<Integer> heldSlots = new HashSet<>();
  private final Set<Integer> transferredSlots = new HashSet<>();
  private Duration conflictBackoffUntil = Duration.ZERO;
  private Duration plannersSince = Duration.ZERO;

  /**
   * @param controllerCount the number of controllers in the deployment
   * @param looksDown whether the controller of this label seems to have failed
   */
  public SlotManager(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      ControllerLease lease,
      String label,
      String incarnation,
      int controllerCount,
      Predicate<String> looksDown) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.lease = lease;
    this.label = label;
    this.incarnation = incarnation;
    this.controllerCount = controllerCount;
    this.looksDown = looksDown;
  }

  public void start() {
    loop.after(TICK_INTERVAL, this::start);
    tick();
  }

  public boolean holds(int slot) {
    return heldHere(clusterState.slot(slot));
  }

  public boolean holdsAutoscalerRole() {
    return heldHere(clusterState.autoscaler());
  }

  private boolean heldHere(Holder holder) {
    return holder != null
        && holder.label().equals(label)
        && holder.incarnation().equals(incarnation);
  }

  /** Runs periodically and whenever the records of controllers or slots change. */
  public void tick() {
    if (!clusterState.loaded()
        || !lease.validAndFresh()
        || !clusterState.alive(label, incarnation)) {
      return;
    }
    inFlight.values().removeIf(revision -> revision <= clusterState.revision());
    detectConflictingClaims();
    List<String> planners = planners();
    boolean chosen = planners.contains(label);
    if (isPlanner != chosen) {
      isPlanner = chosen;
      log.info(
          "{} of {} controllers plan, this one {}",
          planners,
          clusterState.controllers().size(),
          chosen ? "too" : "not");
    }
    Duration now = loop.now();
    if (!lastPlanners.equals(Set.copyOf(planners))) {
      lastPlanners = Set.copyOf(planners);
      plannersSince = now;
    }
    int ownCount = 0;
    int[] counts = new int[planners.size()];
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      Holder holder = clusterState.slot(slot);
      if (heldHere(holder)) {
        ownCount++;
      }
      if (holder != null && clusterState.alive(holder.label(), holder.incarnation())) {
        int index = planners.indexOf(holder.label());
        if (index >= 0) {
          counts[index]++;
        }
      }
    }
    int share = (ClusterState.SLOTS + planners.size() - 1) / planners.size();
    int ownIndex = Math.max(0, planners.indexOf(label));
    for (int i = 0; i < ClusterState.SLOTS; i++) {
      // Each planner starts at another slot, so that two of them seldom claim the same one.
      int slot = (i + ownIndex * share) % ClusterState.SLOTS;
      Holder holder = clusterState.slot(slot);
      if (heldHere(holder)) {
        continue;
      }
      boolean previouslyOwn = holder != null && holder.label().equals(label);
      if (chosen && (previouslyOwn || orphaned(holder)) && (previouslyOwn || ownCount < share)) {
        claim(ClusterState.slotKey(slot), holder, label, incarnation, 0);
        ownCount++;
      }
    }
    if (chosen && !heldHere(clusterState.autoscaler()) && orphaned(clusterState.autoscaler())) {
      claim(ClusterState.FLEET_KEY, clusterState.autoscaler(), label, incarnation, lease.leaseId());
    }
    if (now.minus(plannersSince).compareTo(STABILIZATION_DELAY) > 0) {
      transferOneSlot(planners, counts, ownCount);
      if (!chosen && ownCount == 0 && heldHere(clusterState.autoscaler())) {
        releaseAutoscalerRole();
      }
    }
  }

  /**
   * Gives up the autoscaler role. The autoscaler reads all machine views and plans too, so the role
   * had better be held by a controller that plans anyway. The record is bound to its holder's
   * lease, so it is deleted here and then claimed by the planner.
   */
  private void releaseAutoscalerRole() {
    if (inFlight.containsKey(ClusterState.FLEET_KEY)) {
      return;
    }
    inFlight.put(ClusterState.FLEET_KEY, Long.MAX_VALUE);
    store.commitUrgent(
        List.of(new Condition(ClusterState.FLEET_KEY, clusterState.autoscaler().version())),
        List.of(new Write(ClusterState.FLEET_KEY, null, 0)),
        Duration.ofSeconds(1),
        (result, revision) -> {
          log.info("released the autoscaler role to {} result={}", lastPlanners, result);
          commitFinished(ClusterState.FLEET_KEY, result, revision);
        });
  }

  /**
   * Keeps the key in {@link #inFlight} until the cluster state shows the write: during startup the
   * controller is slow to read its own writes.
   */
  private void commitFinished(String key, CommitResult result, long revision) {
    if (result == CommitResult.DONE) {
      inFlight.put(key, revision);
    }
    loop.after(
        result == CommitResult.DONE ? VISIBILITY_DELAY : RETRY_DELAY, () -> inFlight.remove(key));
  }

  private boolean orphaned(Holder holder) {
    return holder == null
        || !clusterState.alive(holder.label(), holder.incarnation())
        || (!holder.label().equals(label) && isDown(holder.label()));
  }

  private boolean isDown(String controller) {
    return loop.now().compareTo(conflictBackoffUntil) >= 0 && looksDown.test(controller);
  }

  /**
   * Detects that another controller has claimed a slot from this one, which is alive: connections
   * between controllers are refused although the processes are healthy, and each controller would
   * keep claiming all slots of all others. For a while only the records decide which controllers
   * are alive.
   */
  private void detectConflictingClaims() {
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      Holder holder = clusterState.slot(slot);
      boolean taken =
          heldSlots.contains(slot) && !transferredSlots.contains(slot) && !heldHere(holder);
      if (heldHere(holder)) {
        heldSlots.add(slot);
        transferredSlots.remove(slot);
      } else {
        heldSlots.remove(slot);
        transferredSlots.remove(slot);
      }
      // A claim before this controller's latest registration was right: its record had expired.
      if (taken && holder != null && holder.version() > lease.registrationRevision()) {
        if (loop.now().compareTo(conflictBackoffUntil) >= 0) {
          log.warn(
              "slot {} was taken by {} although this controller is alive:"
                  + " ignoring refused connections for now",
              slot,
              holder.label());
        }
        conflictBackoffUntil = loop.now().plus(CONFLICT_BACKOFF);
      }
    }
  }

  /** The controllers that are to plan, as far as this controller knows. */
  private List<String> planners() {
    Map<String, ClusterState.ControllerRecord> live = new HashMap<>();
    clusterState
        .controllers()
        .forEach(
            (controller, record) -> {
              if (controller.equals(label) || !isDown(controller)) {
                live.put(controller, record);
              }
            });
    return PlannerElection.choose(
        live, controllerCount, clusterState.machines().size(), concentrated());
  }

  /** Whether one controller holds all slots. */
  private boolean concentrated() {
    Set<String> holders = new HashSet<>();
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      holders.add(clusterState.slot(slot) == null ? "" : clusterState.slot(slot).label());
    }
    return holders.size() == 1;
  }

  /**
   * The controllers that need the machine views: those that are to plan, and those that still hold
   * a slot or the autoscaler role.
   */
  public Set<String> viewSubscribers() {
    Set<String> subscribers = new HashSet<>(planners());
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      if (clusterState.slot(slot) != null) {
        subscribers.add(clusterState.slot(slot).label());
      }
    }
    if (clusterState.autoscaler() != null) {
      subscribers.add(clusterState.autoscaler().label());
    }
    return subscribers;
  }

  /** The number of controllers that plan, as far as this controller knows; at least 1. */
  public int plannerCount() {
    return Math.max(1, lastPlanners.size());
  }

  /** Whether this controller has to plan: it is a planner, or still holds a slot or a role. */
  public boolean isPlanner() {
    return isPlanner || holdsAny();
  }

  private boolean holdsAny() {
    boolean any = holdsAutoscalerRole();
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      any |= holds(slot);
    }
    return any;
  }

  /** Transfers one slot to a planner that holds fewer than its share, if this one holds more. */
  private void transferOneSlot(List<String> planners, int[] counts, int ownCount) {
    int floor = planners.contains(label) ? ClusterState.SLOTS / planners.size() : 0;
    if (ownCount <= floor) {
      return;
    }
    for (int i = 0; i < planners.size(); i++) {
      if (counts[i] < ClusterState.SLOTS / planners.size() && !planners.get(i).equals(label)) {
        for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
          if (heldHere(clusterState.slot(slot))) {
            String recipient = planners.get(i);
            transferredSlots.add(slot);
            claim(
                ClusterState.slotKey(slot),
                clusterState.slot(slot),
                recipient,
                clusterState.controllers().get(recipient).incarnation(),
                0);
            return;
          }
        }
      }
    }
  }

  private void claim(
      String key, Holder previous, String newHolder, String newIncarnation, long leaseId) {
    if (inFlight.containsKey(key)) {
      return;
    }
    inFlight.put(key, Long.MAX_VALUE);
    store.commitUrgent(
        List.of(new Condition(key, previous == null ? 0 : previous.version())),
        List.of(new Write(key, ClusterState.holder(newHolder, newIncarnation), leaseId)),
        Duration.ofSeconds(1),
        (result, revision) -> {
          log.info(
              "claim {} for={} former={} result={} revision={}",
              key,
              newHolder,
              previous == null ? "none" : previous.label() + "@" + previous.version(),
              result,
              revision);
          commitFinished(key, result, revision);
        });
  }
}
