package io.tansystack.fleet;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.http.EventLoop;
import io.tansystack.store.StoreClient.CommitCallback;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.CloudProtocol;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Empties machines and gives them back. A confirmed deletion is the proof that all on it is over. */
final class MachineReleaser {
  private static final Logger log = LoggerFactory.getLogger(MachineReleaser.class);
  private static final int MAX_REMEMBERED = 2000;

  private final EventLoop loop;
  private final CloudClient cloud;
  private final StoreClient store;
  private final ClusterState world;
  private final MachineRecordWriter writes;
  private final Map<String, String> marked = new LinkedHashMap<>();
  private final Set<String> returned = new LinkedHashSet<>();
  private final Set<String> draining = new HashSet<>();
  private Consumer<String> onReturned = name -> {};
  private boolean calling;

  MachineReleaser(EventLoop loop, CloudClient cloud, StoreClient store, ClusterState world) {
    this.loop = loop;
    this.cloud = cloud;
    this.store = store;
    this.world = world;
    this.writes = new MachineRecordWriter(store);
  }

  /** Who is told of each machine that the cloud has confirmed as deleted. */
  void onReturned(Consumer<String> listener) {
    this.onReturned = listener;
  }

  /** Nothing that was decided before counts. */
  void startAnew() {
    marked.clear();
    draining.clear();
    writes.startAnew();
  }

  /** The machine is to be deleted with the next call. */
  void mark(String name, String why) {
    if (!returned.contains(name) && marked.putIfAbsent(name, why) == null) {
      log.info("return machine={} because={}", name, why);
    }
  }

  boolean isMarked(String name) {
    return marked.containsKey(name);
  }

  boolean isReturned(String name) {
    return returned.contains(name);
  }

  /** Has the machine emptied; it is returned once nothing is recorded on it. */
  void drain(MachineRecord record, String why) {
    if (!draining.add(record.name())) {
      return;
    }
    String key = ClusterState.machineKey(record.name());
    writes.add(
        record.name(),
        record.condition(),
        new Write(key, record.draining().write(), 0),
        (result, revision) -> {
          log.info("drain machine={} result={} because={}", record.name(), result, why);
          if (result != CommitResult.DONE) {
            loop.after(Duration.ofSeconds(1), () -> draining.remove(record.name()));
          }
        });
  }

  /** Work has come to a machine that was to be emptied as idle. */
  void keep(String name) {
    if (draining.remove(name)) {
      writes.drop(name);
    }
  }

  /** Deletes what is marked, as many as one call takes; one call at a time. */
  void send() {
    writes.send();
    draining.retainAll(world.machines().keySet());
    if (calling || marked.isEmpty() || !cloud.take()) {
      return;
    }
    List<String> batch = new ArrayList<>();
    for (String name : marked.keySet()) {
      if (batch.size() < CloudProtocol.MAX_DELETE) {
        batch.add(name);
      }
    }
    calling = true;
    cloud.call(
        "POST",
        "/machines/delete",
        CloudProtocol.delete(batch),
        (status, map) -> {
          calling = false;
          if (status != 200) {
            log.info("deletion of {} machines not confirmed: {}", batch.size(), status);
            return;
          }
          batch.forEach(this::confirmed);
        });
  }

  private void confirmed(String name) {
    marked.remove(name);
    returned.add(name);
    if (returned.size() > MAX_REMEMBERED) {
      returned.remove(returned.iterator().next());
    }
    onReturned.accept(name);
    MachineRecord record = world.machine(name);
    if (record == null) {
      return;
    }
    CommitCallback then =
        (result, revision) -> {
          if (result == CommitResult.DONE) {
            log.info("gone machine={} because=the cloud confirmed its deletion", name);
          } else {
            // The deletion is a fact; it can be confirmed again and written then.
            returned.remove(name);
            loop.after(
                Duration.ofMillis(500),
                () -> {
                  if (world.machine(name) != null) {
                    mark(name, "its record is still to be removed");
                  }
                });
          }
        };
    // Without the condition, a deletion decided before the copy showed a lot would uncover what that says.
    if (world.placedOn(name).isEmpty()) {
      writes.add(name, record.condition(), world.deletion(name), then);
    } else {
      store.commitUrgent(
          List.of(record.condition()), List.of(world.deletion(name)), Duration.ofSeconds(3), then);
    }
  }
}
