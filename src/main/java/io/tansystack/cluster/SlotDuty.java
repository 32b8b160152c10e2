package io.tansystack.cluster;

import io.tansystack.cluster.World.Holder;
import io.tansystack.http.Loop;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims slots and the fleet duty, and gives slots away when others have too few. A claim is safe at
 * any time, because every write of a slot's holder carries the version of {@code slots/k} as a
 * condition; whether a holder looks dead decides only how soon others take over.
 */
public final class SlotDuty {
  private static final Logger log = LoggerFactory.getLogger(SlotDuty.class);
  private static final Duration TURN = Duration.ofMillis(300);

  /** A controller that has just come or gone settles before slots are moved towards evenness. */
  private static final Duration SETTLE = Duration.ofSeconds(4);

  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final OwnLease lease;
  private final String label;
  private final String boot;
  private final Predicate<String> looksDown;
  private final Set<String> inFlight = new HashSet<>();
  private Set<String> lastLive = Set.of();
  private Duration liveSince = Duration.ZERO;

  public SlotDuty(
      Loop loop,
      StoreClient store,
      World world,
      OwnLease lease,
      String label,
      String boot,
      Predicate<String> looksDown) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.lease = lease;
    this.label = label;
    this.boot = boot;
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
    if (!world.loaded() || !lease.valid() || !world.alive(label, boot)) {
      return;
    }
    List<String> live = new ArrayList<>();
    for (String controller : world.controllers().keySet()) {
      if (controller.equals(label) || !looksDown.test(controller)) {
        live.add(controller);
      }
    }
    Duration now = loop.now();
    if (!lastLive.equals(Set.copyOf(live))) {
      lastLive = Set.copyOf(live);
      liveSince = now;
    }
    int mineCount = 0;
    int[] counts = new int[live.size()];
    for (int slot = 0; slot < World.SLOTS; slot++) {
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
    int share = (World.SLOTS + live.size() - 1) / live.size();
    int me = live.indexOf(label);
    for (int i = 0; i < World.SLOTS; i++) {
      // Each starts elsewhere, so that two claimants seldom want the same slot.
      int slot = (i + me * share) % World.SLOTS;
      Holder holder = world.slot(slot);
      if (mine(holder)) {
        continue;
      }
      boolean own = holder != null && holder.label().equals(label);
      if ((own || orphaned(holder)) && (own || mineCount < share)) {
        claim(World.slotKey(slot), holder, label, boot, 0);
        mineCount++;
      }
    }
    if (!mine(world.fleet()) && orphaned(world.fleet())) {
      claim(World.FLEET_KEY, world.fleet(), label, boot, lease.lease());
    }
    if (now.minus(liveSince).compareTo(SETTLE) > 0) {
      giveOne(live, counts, mineCount);
    }
  }

  private boolean orphaned(Holder holder) {
    return holder == null
        || !world.alive(holder.label(), holder.boot())
        || (!holder.label().equals(label) && looksDown.test(holder.label()));
  }

  private void giveOne(List<String> live, int[] counts, int mineCount) {
    int floor = World.SLOTS / live.size();
    if (mineCount <= floor) {
      return;
    }
    for (int i = 0; i < live.size(); i++) {
      if (counts[i] < floor && !live.get(i).equals(label)) {
        for (int slot = 0; slot < World.SLOTS; slot++) {
          if (mine(world.slot(slot))) {
            String to = live.get(i);
            claim(
                World.slotKey(slot), world.slot(slot), to, world.controllers().get(to).boot(), 0);
            return;
          }
        }
      }
    }
  }

  private void claim(String key, Holder before, String to, String toBoot, long attach) {
    if (!inFlight.add(key)) {
      return;
    }
    store.commitUrgent(
        List.of(new Condition(key, before == null ? 0 : before.version())),
        List.of(new Write(key, World.holder(to, toBoot), attach)),
        Duration.ofSeconds(1),
        (result, revision) -> {
          log.info(
              "claim {} for={} former={} result={}",
              key,
              to,
              before == null ? "none" : before.label(),
              result);
          // The key stays marked until the copy of the records has had time to show the outcome.
          loop.after(Duration.ofMillis(200), () -> inFlight.remove(key));
        });
  }
}
