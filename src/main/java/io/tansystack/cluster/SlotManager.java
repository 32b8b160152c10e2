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
 * Claims slots and the fleet duty, and gives slots away when others have too few. A claim is safe at
 * any time, because every write of a slot's holder carries the version of {@code slots/k} as a
 * condition; whether a holder looks dead decides only how soon others take over.
 */
public final class SlotManager {
  private static final Logger log = LoggerFactory.getLogger(SlotManager.class);
  private static final Duration TURN = Duration.ofMillis(300);

  /** A controller that has just come or gone settles before slots are moved towards evenness. */
  private static final Duration SETTLE = Duration.ofSeconds(4);

  /** What is done is shown by then, and what is not may be tried again. */
  private static final Duration SHOWN = Duration.ofSeconds(2);

  private static final Duration AGAIN = Duration.ofMillis(200);

  private static final Duration CONTESTED = Duration.ofSeconds(30);

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final ControllerLease lease;
  private final String label;
  private final String boot;
  private final int size;
  private final Predicate<String> looksDown;
  /** Keys whose claims are under way, with the revisions of those that are done. */
  private final Map<String, Long> inFlight = new HashMap<>();
  private Set<String> lastLive = Set.of();
  private boolean plans;
  private final Set<Integer> held = new HashSet<>();
  private final Set<Integer> given = new HashSet<>();
  private Duration contestedUntil = Duration.ZERO;
  private Duration liveSince = Duration.ZERO;

  /** @param size how many controllers the deployment has */
  public SlotManager(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      ControllerLease lease,
      String label,
      String boot,
      int size,
      Predicate<String> looksDown) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.label = label;
    this.boot = boot;
    this.size = size;
    this.looksDown = looksDown;
  }

  public void start() {
    turn();
    loop.after(TURN, this::start);
  }

  public boolean holds(int slot) {
    return mine(world.slot(slot));
  }

  public boolean holdsFleet() {
    return mine(world.fleet());
  }

  private boolean mine(Holder holder) {
    return holder != null && holder.label().equals(label) && holder.boot().equals(boot);
  }

  /** Run at every turn and whenever the records of controllers or slots change. */
  public void turn() {
    if (!world.loaded() || !lease.current() || !world.alive(label, boot)) {
      return;
    }
    inFlight.values().removeIf(revision -> revision <= world.revision());
    noticeContest();
    List<String> live = planners();
    boolean chosen = live.contains(label);
    if (plans != chosen) {
      plans = chosen;
      log.info("{} of {} plan, this one {}", live, world.controllers().size(), chosen ? "too" : "not");
    }
    Duration now = loop.now();
    if (!lastLive.equals(Set.copyOf(live))) {
      lastLive = Set.copyOf(live);
      liveSince = now;
    }
    int mineCount = 0;
    int[] counts = new int[live.size()];
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      Holder holder = world.slot(slot);
      if (mine(holder)) {
        mineCount++;
      }
      if (holder != null && world.alive(holder.label(), holder.boot())) {
        int at = live.indexOf(holder.label());
        if (at >= 0) {
          counts[at]++;
        }
      }
    }
    int share = (ClusterState.SLOTS + live.size() - 1) / live.size();
    int me = Math.max(0, live.indexOf(label));
    for (int i = 0; i < ClusterState.SLOTS; i++) {
      // Each starts elsewhere, so that two claimants seldom want the same slot.
      int slot = (i + me * share) % ClusterState.SLOTS;
      Holder holder = world.slot(slot);
      if (mine(holder)) {
        continue;
      }
      boolean own = holder != null && holder.label().equals(label);
      if (chosen && (own || orphaned(holder)) && (own || mineCount < share)) {
        claim(ClusterState.slotKey(slot), holder, label, boot, 0);
        mineCount++;
      }
    }
    if (chosen && !mine(world.fleet()) && orphaned(world.fleet())) {
      claim(ClusterState.FLEET_KEY, world.fleet(), label, boot, lease.lease());
    }
    if (now.minus(liveSince).compareTo(SETTLE) > 0) {
      giveOne(live, counts, mineCount);
      if (!chosen && mineCount == 0 && mine(world.fleet())) {
        leaveFleet();
      }
    }
  }

  /**
   * Whoever deals with the cloud reads all views and plans, too: the one that plans anyway had better do
   * it. The record hangs on its holder's lease, so it is removed, and claimed by the planner.
   */
  private void leaveFleet() {
    if (inFlight.containsKey(ClusterState.FLEET_KEY)) {
      return;
    }
    inFlight.put(ClusterState.FLEET_KEY, Long.MAX_VALUE);
    store.commitUrgent(
        List.of(new Condition(ClusterState.FLEET_KEY, world.fleet().version())),
        List.of(new Write(ClusterState.FLEET_KEY, null, 0)),
        Duration.ofSeconds(1),
        (result, revision) -> {
          log.info("left the fleet to {} result={}", lastLive, result);
          settled(ClusterState.FLEET_KEY, result, revision);
        });
  }

  /** The key stays marked until the copy shows the outcome: a start is slow to read what it wrote. */
  private void settled(String key, CommitResult result, long revision) {
    if (result == CommitResult.DONE) {
      inFlight.put(key, revision);
    }
    loop.after(result == CommitResult.DONE ? SHOWN : AGAIN, () -> inFlight.remove(key));
  }

  private boolean orphaned(Holder holder) {
    return holder == null
        || !world.alive(holder.label(), holder.boot())
        || (!holder.label().equals(label) && down(holder.label()));
  }

  private boolean down(String controller) {
    return loop.now().compareTo(contestedUntil) >= 0 && looksDown.test(controller);
  }

  /**
   * Somebody has taken a slot from this controller, which lives: connections between controllers are
   * refused though the processes are well, and each would go on taking all slots from all others. For
   * a while only the records tell who lives.
   */
  private void noticeContest() {
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      Holder holder = world.slot(slot);
      boolean taken = held.contains(slot) && !given.contains(slot) && !mine(holder);
      if (mine(holder)) {
        held.add(slot);
        given.remove(slot);
      } else {
        held.remove(slot);
        given.remove(slot);
      }
      // After its own record had ended it was right to take it; then the claim came before the new one.
      if (taken && holder != null && holder.version() > lease.registeredAt()) {
        if (loop.now().compareTo(contestedUntil) >= 0) {
          log.warn("slot {} was taken by {}: refused connections prove nothing for a while", slot, holder.label());
        }
        contestedUntil = loop.now().plus(CONTESTED);
      }
    }
  }

  /** The controllers that are to plan, as far as is known here. */
  private List<String> planners() {
    Map<String, ClusterState.ControllerRecord> live = new HashMap<>();
    world
        .controllers()
        .forEach(
            (controller, record) -> {
              if (controller.equals(label) || !down(controller)) {
                live.put(controller, record);
              }
            });
    return PlannerElection.choose(live, size, world.machines().size(), gathered());
  }

  private boolean gathered() {
    Set<String> holders = new HashSet<>();
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      holders.add(world.slot(slot) == null ? "" : world.slot(slot).label());
    }
    return holders.size() == 1;
  }

  /**
   * Who has to know how machines are: those that are to plan, and those that still hold a duty for
   * which it is needed.
   */
  public Set<String> informed() {
    Set<String> informed = new HashSet<>(planners());
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      if (world.slot(slot) != null) {
        informed.add(world.slot(slot).label());
      }
    }
    if (world.fleet() != null) {
      informed.add(world.fleet().label());
    }
    return informed;
  }

  /** How many controllers plan, as far as is known here. */
  public int plannerCount() {
    return Math.max(1, lastLive.size());
  }

  /** Whether this controller has to plan. */
  public boolean plans() {
    return plans || holdsAny();
  }

  private boolean holdsAny() {
    boolean any = holdsFleet();
    for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
      any |= holds(slot);
    }
    return any;
  }

  /** Passes slots on, one at a time, to planners that have less than their part. */
  private void giveOne(List<String> live, int[] counts, int mineCount) {
    int floor = live.contains(label) ? ClusterState.SLOTS / live.size() : 0;
    if (mineCount <= floor) {
      return;
    }
    for (int i = 0; i < live.size(); i++) {
      if (counts[i] < ClusterState.SLOTS / live.size() && !live.get(i).equals(label)) {
        for (int slot = 0; slot < ClusterState.SLOTS; slot++) {
          if (mine(world.slot(slot))) {
            String to = live.get(i);
            given.add(slot);
            claim(
                ClusterState.slotKey(slot),
                world.slot(slot),
                to,
                world.controllers().get(to).boot(),
                0);
            return;
          }
        }
      }
    }
  }

  private void claim(String key, Holder before, String to, String toBoot, long attach) {
    if (inFlight.containsKey(key)) {
      return;
    }
    inFlight.put(key, Long.MAX_VALUE);
    store.commitUrgent(
        List.of(new Condition(key, before == null ? 0 : before.version())),
        List.of(new Write(key, ClusterState.holder(to, toBoot), attach)),
        Duration.ofSeconds(1),
        (result, revision) -> {
          log.info(
              "claim {} for={} former={} result={} revision={}",
              key,
              to,
              before == null ? "none" : before.label() + "@" + before.version(),
              result,
              revision);
          settled(key, result, revision);
        });
  }
}
