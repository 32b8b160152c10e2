package io.tansystack.workers;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.ControllerLease;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.http.EventLoop;
import io.tansystack.schedule.MachineHistory;
import io.tansystack.wire.MachineType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machines that this controller owns by its copy of the records. */
final class OwnedMachines {
  private static final Logger log = LoggerFactory.getLogger(OwnedMachines.class);

  /** A line names so many machines at most. */
  private static final int MOST_NAMED = 40;

  /** Of a type that is not known. */
  private static final double USUAL_CACHE_GB = 50;

  private final EventLoop loop;
  private final ClusterState world;
  private final ControllerLease lease;
  private final String label;
  private final Function<String, MachineType> types;
  private final Function<String, MachineView> views;
  private final Map<String, OwnedMachine> machines = new LinkedHashMap<>();

  /** Those that came to be this controller's since it was last told. */
  private final List<String> acquired = new ArrayList<>();

  OwnedMachines(
      EventLoop loop,
      ClusterState world,
      ControllerLease lease,
      String label,
      Function<String, MachineType> types,
      Function<String, MachineView> views) {
    this.loop = loop;
    this.world = world;
    this.lease = lease;
    this.label = label;
    this.types = types;
    this.views = views;
  }

  /** Null for a machine that is not this controller's, or not yet seen to be. */
  OwnedMachine get(String name) {
    return machines.get(name);
  }

  /** What is known of a machine that is this controller's by its record; a former owner may still act. */
  OwnedMachine of(MachineRecord record) {
    return machines.computeIfAbsent(record.name(), name -> acquire(record));
  }

  private OwnedMachine acquire(MachineRecord record) {
    MachineType type = types.apply(record.type());
    MachineHistory history =
        new MachineHistory(type == null ? USUAL_CACHE_GB : type.cacheGb());
    MachineView old = views.apply(record.name());
    if (old != null) {
      history.inherit(old.images(), old.fetchGbPerS());
    }
    acquired.add(record.name());
    Duration now = loop.now();
    return new OwnedMachine(record.name(), history, now, heldSince(record), formerUntil(now));
  }

  /** The record, which is this controller's, may be a later one than the machine was held by. */
  void observe(OwnedMachine machine, MachineRecord record, Duration now) {
    machine.heldSince(heldSince(record), formerUntil(now));
  }

  /** By which record it is this controller's: that of its own registration, or one that names it an heir. */
  private long heldSince(MachineRecord record) {
    return record.claimant().equals(label)
        ? world.controllers().get(label).version()
        : record.ownedSince();
  }

  /** A former owner whose copy of the records ended just now may act until then. */
  private Duration formerUntil(Duration now) {
    return now.plus(lease.leaseDuration());
  }

  void remove(String name) {
    machines.remove(name);
  }

  boolean isEmpty() {
    return machines.isEmpty();
  }

  int size() {
    return machines.size();
  }

  /** A view of them as they are. */
  Collection<OwnedMachine> all() {
    return machines.values();
  }

  /** Their names as of now. */
  Collection<String> names() {
    return List.copyOf(machines.keySet());
  }

  /** What the others were last told of each machine: one that starts anew needs all of it. */
  List<MachineView> told() {
    List<MachineView> told = new ArrayList<>();
    for (OwnedMachine machine : machines.values()) {
      if (machine.published != null) {
        told.add(machine.published);
      }
    }
    return told;
  }

  /** Logs which machines have come to be this controller's since the last time, and by which copy. */
  void logAcquired() {
    if (acquired.isEmpty()) {
      return;
    }
    List<String> named = acquired.subList(0, Math.min(MOST_NAMED, acquired.size()));
    log.info(
        "owns {} more machines={} copy={}{}",
        acquired.size(),
        named,
        world.revision(),
        named.size() < acquired.size() ? " and others" : "");
    acquired.clear();
  }
}
