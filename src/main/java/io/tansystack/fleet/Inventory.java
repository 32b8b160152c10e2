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
 * The machines that are known to be rented: from the cloud's list, which lags, and from responses
 * to this controller's rentals, which don't. Marks machines for deletion that are no longer listed,
 * failed or never came up.
 */
final class Inventory {
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);

  /** A running machine without an owner is returned after this time. */
  private static final Duration UNCLAIMED_TIMEOUT = Duration.ofSeconds(40);

  /** Silence after which a machine that is missing from the list is deleted. */
  private static final long UNLISTED_SILENT_MS = 6000;

  /** Boot time that is assumed for machines of an unknown type. */
  private static final double DEFAULT_BOOT_S = 60;

  private static final class RentedMachine {
    final MachineOffering offering;
    final double statedBootS;
    final Duration rentedAt;
    Status status = Status.BOOTING;
    Duration runningSince;

    /**
     * When the machine last had a record. A machine that its owner has declared gone may come back
     * in its next session.
     */
    Duration lastOwnedAt = Duration.ZERO;

    Duration lastListedAt;

    /** Whether this controller rented it; boot times are learned only from such machines. */
    boolean rentedHere;

    boolean cameUp;

    RentedMachine(MachineOffering offering, double statedBootS, Duration rentedAt) {
      this.offering = offering;
      this.statedBootS = statedBootS;
      this.rentedAt = rentedAt;
    }

    double ageS(Duration now) {
      return now.minus(rentedAt).toNanos() / 1e9;
    }
  }

  private final ThrottledLogger invalidMessages =
      new ThrottledLogger(LoggerFactory.getLogger(Inventory.class));
  private final EventLoop loop;
  private final CloudClient cloud;
  private final ClusterState clusterState;
  private final Function<String, MachineType> machineTypes;
  private final Function<String, MachineView> views;
  private final MachineReleaser releaser;
  private final Duration maxListAge;
  private final BootTimeEstimator bootTimes = new BootTimeEstimator();
  private final Map<String, RentedMachine> machines = new TreeMap<>();
  private Duration listReadAt = Duration.ofDays(-1);
  private Duration roleSince = Duration.ZERO;
  private boolean listInFlight;
  private boolean complete;

  /** Incremented by each reset; responses to requests of an earlier term are ignored. */
  private int roleTerm;

  /** @param maxListAge a list may be this old, and may be older than the list read before it */
  Inventory(
      EventLoop loop,
      CloudClient cloud,
      ClusterState clusterState,
      Function<String, MachineType> machineTypes,
      Function<String, MachineView> views,
      MachineReleaser releaser,
      Duration maxListAge) {
    this.loop = loop;
    this.cloud = cloud;
    this.clusterState = clusterState;
    this.machineTypes = machineTypes;
    this.views = views;
    this.releaser = releaser;
    this.maxListAge = maxListAge;
  }

  /** Discards all earlier observations. */
  void reset(Duration now) {
    roleSince = now;
    roleTerm++;
    machines.clear();
    complete = false;
    listInFlight = false;
    listReadAt = Duration.ofDays(-1);
  }

  /** Whether a whole list has been read since the role was taken. */
  boolean complete() {
    return complete;
  }

  boolean isEmpty() {
    return machines.isEmpty();
  }

  /** Requests the machine list if it is due. */
  void refresh(Duration now) {
    if (!listInFlight
        && now.minus(listReadAt).compareTo(LIST_INTERVAL) > 0
        && cloud.tryAcquire()) {
      requestPage("", new HashSet<>(), now);
    }
  }

  private void requestPage(String after, Set<String> seen, Duration requestedAt) {
    listInFlight = true;
    int requestTerm = roleTerm;
    cloud.call(
        "GET",
        CloudProtocol.listPath(after),
        null,
        (status, map) -> {
          if (requestTerm != roleTerm) {
            return;
          }
          listInFlight = false;
          listReadAt = loop.now();
          if (status != 200) {
            return;
          }
          try {
            CloudProtocol.Page page = CloudProtocol.readPage(map);
            String last = after;
            for (ListedMachine listed : page.machines()) {
              seen.add(listed.machine());
              update(listed);
              last = listed.machine();
            }
            if (page.hasMore() && !page.machines().isEmpty()) {
              requestPage(last, seen, requestedAt);
              return;
            }
            complete = true;
            releaseUnlisted(seen, requestedAt);
          } catch (InvalidMessageException e) {
            invalidMessages.warn("the machine list is unreadable", e.getMessage());
          }
        });
  }

  private void update(ListedMachine listed) {
    if (releaser.isReturned(listed.machine())) {
      return;
    }
    Duration now = loop.now();
    RentedMachine machine =
        machines.computeIfAbsent(
            listed.machine(),
            name ->
                newMachine(
                    new MachineOffering(listed.type(), listed.zone(), listed.spot()),
                    now.minusMillis((long) (listed.ageS() * 1000))));
    machine.lastListedAt = now;
    if (machine.status != Status.FAILED) {
      machine.status = listed.status();
    }
    if (machine.status == Status.RUNNING && machine.runningSince == null) {
      machine.runningSince = now;
    }
  }

  private RentedMachine newMachine(MachineOffering offering, Duration rentedAt) {
    MachineType type = machineTypes.apply(offering.type());
    return new RentedMachine(offering, type == null ? DEFAULT_BOOT_S : type.bootS(), rentedAt);
  }

  /** Adds the machines that the cloud's response to a rental names. */
  void addRented(List<String> names, MachineOffering offering, Duration requestedAt) {
    for (String name : names) {
      machines.computeIfAbsent(name, n -> newMachine(offering, requestedAt)).rentedHere = true;
    }
  }

  /** Removes a machine whose deletion is confirmed. */
  void forget(String name) {
    machines.remove(name);
  }

  /**
   * Marks machines that are no longer listed for deletion; they were deleted, or the cloud took
   * them away. Their absence from the list proves nothing, but the cloud confirms a deletion at
   * once if the machine is gone.
   */
  private void releaseUnlisted(Set<String> seen, Duration requestedAt) {
    for (Map.Entry<String, RentedMachine> entry : List.copyOf(machines.entrySet())) {
      RentedMachine machine = entry.getValue();
      Duration lastKnownAt = machine.lastListedAt == null ? machine.rentedAt : machine.lastListedAt;
      if (!seen.contains(entry.getKey())
          && requestedAt.minus(lastKnownAt).compareTo(maxListAge) > 0) {
        releaser.markForDeletion(entry.getKey(), "it is no longer listed");
      }
    }
    for (MachineRecord record : clusterState.machines().values()) {
      if (!seen.contains(record.name())
          && !machines.containsKey(record.name())
          && requestedAt.minus(roleSince).compareTo(maxListAge) > 0) {
        MachineView view = views.apply(record.name());
        if (view == null || view.silentMs() > UNLISTED_SILENT_MS) {
          releaser.markForDeletion(record.name(), "it is not listed");
        }
      }
    }
  }

  /**
   * Marks machines for deletion that failed, or that have no owner though they should be up: some
   * machines never come up. Also counts the booting machines and learns boot times.
   */
  void releaseFailed(Duration now) {
    bootTimes.resetCounts();
    for (Map.Entry<String, RentedMachine> entry : machines.entrySet()) {
      RentedMachine machine = entry.getValue();
      if (machine.status == Status.FAILED) {
        releaser.markForDeletion(entry.getKey(), "the cloud lists it as failed");
      }
      if (clusterState.machine(entry.getKey()) == null) {
        bootTimes.countBooting(machine.offering.type(), machine.statedBootS, machine.ageS(now));
        continue;
      }
      machine.lastOwnedAt = now;
      if (!machine.cameUp) {
        machine.cameUp = true;
        if (machine.rentedHere) {
          bootTimes.addSample(machine.offering.type(), machine.ageS(now));
        }
      }
    }
    for (Map.Entry<String, RentedMachine> entry : machines.entrySet()) {
      RentedMachine machine = entry.getValue();
      if (clusterState.machine(entry.getKey()) != null) {
        continue;
      }
      if (machine.runningSince != null) {
        boolean ownedSince = machine.lastOwnedAt.compareTo(machine.runningSince) > 0;
        if (now.minus(ownedSince ? machine.lastOwnedAt : machine.runningSince)
                .compareTo(UNCLAIMED_TIMEOUT)
            > 0) {
          releaser.markForDeletion(entry.getKey(), "it runs and never reported");
        }
      } else if (bootTimes.timedOut(
          machine.offering.type(), machine.statedBootS, machine.ageS(now))) {
        releaser.markForDeletion(entry.getKey(), "it never came up");
      }
    }
  }

  /** Number of booting machines that are overdue. */
  int overdue() {
    return bootTimes.overdue();
  }

  /**
   * Whether the machine is claimed, but its worker has not acknowledged any token yet. Either it
   * will within moments, or it ended long ago.
   */
  private boolean awaitingFirstToken(String name) {
    MachineView view = views.apply(name);
    return view != null && view.report().token() == 0;
  }

  /** The machines that count as pending capacity. */
  List<MachineOffering> booting(Duration now) {
    List<MachineOffering> booting = new ArrayList<>();
    for (Map.Entry<String, RentedMachine> entry : machines.entrySet()) {
      RentedMachine machine = entry.getValue();
      if ((clusterState.machine(entry.getKey()) == null || awaitingFirstToken(entry.getKey()))
          && machine.status != Status.FAILED
          && !releaser.isMarkedForDeletion(entry.getKey())
          && bootTimes.countsAsPending(
              machine.offering.type(), machine.statedBootS, machine.ageS(now))) {
        booting.add(machine.offering);
      }
    }
    return booting;
  }
}
