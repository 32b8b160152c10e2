package io.tansystack.rebuild;

import io.tansystack.cluster.Keys;
import io.tansystack.cluster.World;
import io.tansystack.http.Loop;
import io.tansystack.store.StoreClient;
import io.tansystack.store.StoreClient.Result;
import io.tansystack.store.StoreClient.Suspicion;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that the state service has lost data, by what it can't say otherwise: a revision earlier than
 * one that was known before it was asked, a condition that failed though the copy, as of a later
 * revision, says that it holds, the end of a lease that was renewed a moment ago, and a worker that has
 * seen a token which no revision reached. An outage, a refusal and a late answer say none of these; nor does
 * a deployment's first start, in which no worker has seen a token.
 */
public final class Losses implements Suspicion {
  private static final Logger log = LoggerFactory.getLogger(Losses.class);
  private static final Duration READ_AGAIN = Duration.ofSeconds(3);
  private static final int MAX_DOUBTS = 200;

  private record Doubt(Condition condition, long revision) {}

  private final Loop loop;
  private final World world;
  private final StoreClient store;
  private final Supplier<Duration> syncedAt;
  private final Runnable readAgain;
  private final List<Doubt> doubts = new ArrayList<>();
  private String noticed;
  private Duration noticedAt;
  private Duration readAgainAt = Duration.ofDays(-1);
  private long highest;
  private boolean wentBack;
  private long highestToken;
  private Duration tokenSeenAt;

  /** The version of the word of a loss that was acted on; -1 before the first look. */
  private long told = -1;

  /**
   * @param syncedAt the copy holds all that was committed before this moment; null for nothing
   * @param readAgain has all records read again: the copy can't be trusted
   */
  public Losses(
      Loop loop,
      StoreClient store,
      World world,
      Supplier<Duration> syncedAt,
      Runnable readAgain) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.syncedAt = syncedAt;
    this.readAgain = readAgain;
    store.suspect(this);
    store.fence(() -> world.loaded() ? world.base().condition() : null);
  }

  @Override
  public void wentBack(long known, long told) {
    highest = Math.max(highest, known);
    wentBack = true;
    notice("its revision went back from " + known + " to " + told);
  }

  @Override
  public void failed(List<Condition> conditions, long revision) {
    for (Condition condition : conditions) {
      if (condition.version() > 0 && doubts.size() < MAX_DOUBTS) {
        doubts.add(new Doubt(condition, revision));
      }
    }
  }

  /** A lease ended that can't have. */
  public void leaseLost() {
    notice("a lease ended that had just been renewed");
  }

  /** A worker has seen this token, which is higher than its machine's; the copy may only be late. */
  public void tokenSeen(long token) {
    if (token > highestToken) {
      highestToken = token;
      tokenSeenAt = loop.now();
    }
  }

  /** None can be higher than the base and the revision together, once the copy is of its time. */
  private void doubtToken() {
    Duration complete = syncedAt.get();
    if (tokenSeenAt == null || complete == null || complete.compareTo(tokenSeenAt) < 0) {
      return;
    }
    tokenSeenAt = null;
    long over = highestToken - world.base().added();
    if (over > world.revision()) {
      highest = Math.max(highest, over);
      wentBack = true;
      notice("a worker has seen token " + highestToken + ", which no revision has reached");
    }
    highestToken = 0;
  }

  /** Looks again at conditions that failed, once the copy is of their time. */
  public void turn() {
    act();
    hear();
    doubtToken();
    Iterator<Doubt> each = doubts.iterator();
    while (each.hasNext()) {
      Doubt doubt = each.next();
      if (world.revision() >= doubt.revision) {
        each.remove();
        Condition c = doubt.condition;
        if (world.version(c.key()) == c.version()) {
          notice(c.key() + " is not there as of version " + c.version() + ", and was never changed");
        }
      }
    }
  }

  private void notice(String what) {
    noticed = what;
    act();
  }

  /** A loss that follows closely on another is acted on a little later. */
  private void act() {
    if (noticed == null || tooSoon()) {
      return;
    }
    String what = noticed;
    noticed = null;
    log.error("the state service has lost data: {}. All records are read again", what);
    readAgain();
    store.commitUrgent(
        List.of(),
        List.of(new Write(Keys.LOSS_KEY, Cbor.map().put("what", what), 0)),
        READ_AGAIN,
        (result, revision) -> told = result == Result.DONE ? revision : told);
  }

  /** What one notices, others need not have any sign of: their copies are as wrong. */
  private void hear() {
    long version = world.version(Keys.LOSS_KEY);
    if (told < 0) {
      told = version; // This controller has just read everything.
    } else if (version != told && !tooSoon()) {
      told = version;
      log.warn("another controller has noticed a loss: all records are read again");
      readAgain();
    }
  }

  private boolean tooSoon() {
    return loop.now().minus(readAgainAt).compareTo(READ_AGAIN) < 0;
  }

  private void readAgain() {
    readAgainAt = loop.now();
    noticedAt = readAgainAt;
    doubts.clear();
    world.distrust();
    readAgain.run();
  }

  /** When a loss was noticed last; null for never. */
  public Duration noticedAt() {
    return noticedAt;
  }

  /** What the deployment has to count from at least, as far as is known here; empty where it does. */
  public OptionalLong beyond() {
    boolean lower = world.base().added() < world.highestAdded();
    return wentBack || lower
        ? OptionalLong.of(world.highestAdded() + highest)
        : OptionalLong.empty();
  }

  /** The deployment counts from beyond all that was known. */
  public void counted() {
    wentBack = false;
  }
}
