package io.tansystack.fleet;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.http.EventLoop;
import io.tansystack.schedule.RentPlanner.MachineOffering;
import io.tansystack.wire.CloudProtocol.ListedMachine;
import io.tansystack.wire.CloudProtocol.Status;
import io.tansystack.wire.CloudProtocol;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.ThrottledLogger;
import io.tansystack.workers.MachineView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.slf4j.LoggerFactory;

/**
 * What the cloud has rented out, as far as is known: from its list, which lags, and from the answers
 * to rentals made here, which don't. Finds what has vanished, failed or never came up.
 */
final class Inventory {
  private static final Duration LIST_EVERY = Duration.ofSeconds(2);
  private static final Duration UNCLAIMED = Duration.ofSeconds(40);

  private static final class Known {
    final MachineOffering kind;
    final double statedBootS;
    final Duration since;
    Status status = Status.BOOTING;
    Duration runningSince;

    /** When it last had a record: one declared gone by its owner may come back in its next session. */
    Duration ownedAt = Duration.ZERO;

    Duration listedAt;
    boolean rentedHere;
    boolean cameUp;

    Known(MachineOffering kind, double statedBootS, Duration since) {
      this.kind = kind;
      this.statedBootS = statedBootS;
      this.since = since;
    }

    double ageS(Duration now) {
      return now.minus(since).toNanos() / 1e9;
    }
  }

  private final ThrottledLogger malformed =
      new ThrottledLogger(LoggerFactory.getLogger(Inventory.class));
  private final EventLoop loop;
  private final CloudClient cloud;
  private final ClusterState world;
  private final Function<String, MachineType> types;
  private final Function<String, MachineView> views;
  private final MachineReleaser returns;
  private final Duration listAge;
  private final BootTimeEstimator boots = new BootTimeEstimator();
  private final Map<String, Known> known = new TreeMap<>();
  private Duration listedAt = Duration.ofDays(-1);
  private Duration heldSince = Duration.ZERO;
  private boolean listing;
  private boolean complete;

  /** Counts the holdings of the duty: what was asked for in an earlier one is not listened to. */
  private int holding;

  /** @param listAge a list may be as old as this, and older than the one before it */
  Inventory(
      EventLoop loop,
      CloudClient cloud,
      ClusterState world,
      Function<String, MachineType> types,
      Function<String, MachineView> views,
      MachineReleaser returns,
      Duration listAge) {
    this.loop = loop;
    this.cloud = cloud;
    this.world = world;
    this.types = types;
    this.views = views;
    this.returns = returns;
    this.listAge = listAge;
  }

  /** Nothing that was seen before counts. */
  void startAnew(Duration now) {
    heldSince = now;
    holding++;
    known.clear();
    complete = false;
    listing = false;
    listedAt = Duration.ofDays(-1);
  }

  /** Whether a whole list was read since the duty was taken. */
  boolean complete() {
    return complete;
  }

  boolean isEmpty() {
    return known.isEmpty();
  }

  /** Asks for the list if it is time to. */
  void refresh(Duration now) {
    if (!listing && now.minus(listedAt).compareTo(LIST_EVERY) > 0 && cloud.take()) {
      list("", new HashSet<>(), now);
    }
  }

  private void list(String after, Set<String> seen, Duration askedAt) {
    listing = true;
    int asked = holding;
    cloud.call(
        "GET",
        CloudProtocol.listPath(after),
        null,
        (status, map) -> {
          if (asked != holding) {
            return;
          }
          listing = false;
          listedAt = loop.now();
          if (status != 200) {
            return;
          }
          try {
            CloudProtocol.Page page = CloudProtocol.readPage(map);
            String last = after;
            for (ListedMachine line : page.machines()) {
              seen.add(line.machine());
              take(line);
              last = line.machine();
            }
            if (page.more() && !page.machines().isEmpty()) {
              list(last, seen, askedAt);
              return;
            }
            complete = true;
            vanished(seen, askedAt);
          } catch (InvalidMessageException e) {
            malformed.tell("the machine list is unreadable", e.getMessage());
          }
        });
  }

  private void take(ListedMachine line) {
    if (returns.isReturned(line.machine())) {
      return;
    }
    Duration now = loop.now();
    Known k =
        known.computeIfAbsent(
            line.machine(),
            name ->
                known(
                    new MachineOffering(line.type(), line.zone(), line.spot()),
                    now.minusMillis((long) (line.ageS() * 1000))));
    k.listedAt = now;
    if (k.status != Status.FAILED) {
      k.status = line.status();
    }
    if (k.status == Status.RUNNING && k.runningSince == null) {
      k.runningSince = now;
    }
  }

  private Known known(MachineOffering kind, Duration since) {
    MachineType type = types.apply(kind.type());
    return new Known(kind, type == null ? 60 : type.bootS(), since);
  }

  /** The cloud has answered a rental. */
  void rented(List<String> names, MachineOffering kind, Duration askedAt) {
    for (String name : names) {
      known.computeIfAbsent(name, n -> known(kind, askedAt)).rentedHere = true;
    }
  }

  void forget(String name) {
    known.remove(name);
  }

  /**
   * Machines that are no longer listed were deleted or taken. Their absence proves nothing, so the
   * deletion is asked for, which is answered at once for what is gone.
   */
  private void vanished(Set<String> seen, Duration askedAt) {
    for (Map.Entry<String, Known> entry : List.copyOf(known.entrySet())) {
      Known k = entry.getValue();
      Duration last = k.listedAt == null ? k.since : k.listedAt;
      if (!seen.contains(entry.getKey()) && askedAt.minus(last).compareTo(listAge) > 0) {
        returns.mark(entry.getKey(), "it is no longer listed");
      }
    }
    for (MachineRecord record : world.machines().values()) {
      if (!seen.contains(record.name())
          && !known.containsKey(record.name())
          && askedAt.minus(heldSince).compareTo(listAge) > 0) {
        MachineView view = views.apply(record.name());
        if (view == null || view.silentMs() > 6000) {
          returns.mark(record.name(), "it is not listed");
        }
      }
    }
  }

  /** Finds what failed, and what nobody owns though it should be up: some machines never come up. */
  void judge(Duration now) {
    boots.recount();
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      Known k = entry.getValue();
      if (k.status == Status.FAILED) {
        returns.mark(entry.getKey(), "the cloud lists it as failed");
      }
      if (world.machine(entry.getKey()) == null) {
        boots.count(k.kind.type(), k.statedBootS, k.ageS(now));
        continue;
      }
      k.ownedAt = now;
      if (!k.cameUp) {
        k.cameUp = true;
        if (k.rentedHere) {
          boots.cameUp(k.kind.type(), k.ageS(now));
        }
      }
    }
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      Known k = entry.getValue();
      if (world.machine(entry.getKey()) != null) {
        continue;
      }
      if (k.runningSince != null) {
        boolean owned = k.ownedAt.compareTo(k.runningSince) > 0;
        if (now.minus(owned ? k.ownedAt : k.runningSince).compareTo(UNCLAIMED) > 0) {
          returns.mark(entry.getKey(), "it runs and never reported");
        }
      } else if (boots.hopeless(k.kind.type(), k.statedBootS, k.ageS(now))) {
        returns.mark(entry.getKey(), "it never came up");
      }
    }
  }

  /** How many machines are waited for in vain at this time. */
  int overdue() {
    return boots.overdue();
  }

  /** It was claimed and has not shown that it heard of it: it will at once, or has long ended. */
  private boolean arriving(String name) {
    MachineView view = views.apply(name);
    return view != null && view.report().token() == 0;
  }

  /** What counts as room about to come. */
  List<MachineOffering> booting(Duration now) {
    List<MachineOffering> booting = new ArrayList<>();
    for (Map.Entry<String, Known> entry : known.entrySet()) {
      Known k = entry.getValue();
      if ((world.machine(entry.getKey()) == null || arriving(entry.getKey()))
          && k.status != Status.FAILED
          && !returns.isMarked(entry.getKey())
          && boots.counts(k.kind.type(), k.statedBootS, k.ageS(now))) {
        booting.add(k.kind);
      }
    }
    return booting;
  }
}
