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

/**
 * Drains machines and returns them to the cloud. A confirmed deletion proves that all attempts on
 * the machine have ended.
 */
final class MachineReleaser {
  private static final Logger log = LoggerFactory.getLogger(MachineReleaser.class);
  private static final int MAX_RETURNED = 2000;

  private final EventLoop loop;
  private final CloudClient cloud;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final MachineRecordWriter recordWriter;
  private final Map<String, String> pendingDeletions = new LinkedHashMap<>();
  private final Set<String> returned = new LinkedHashSet<>();
  private final Set<String> draining = new HashSet<>();
  private Consumer<String> onReturned = name -> {};
  private boolean callInFlight;

  MachineReleaser(EventLoop loop, CloudClient cloud, StoreClient store, ClusterState clusterState) {
    this.loop = loop;
    this.cloud = cloud;
    this.store = store;
    this.clusterState = clusterState;
    this.recordWriter = new MachineRecordWriter(store);
  }

  /** Sets the listener for the names of machines whose deletion the cloud has confirmed. */
  void onReturned(Consumer<String> listener) {
    this.onReturned = listener;
  }

  /** Discards all earlier decisions. */
  void reset() {
    pendingDeletions.clear();
    draining.clear();
    recordWriter.reset();
  }

  /** Has the machine deleted with one of the next calls, unless that is confirmed already. */
  void markForDeletion(String name, String why) {
    if (!returned.contains(name) && pendingDeletions.putIfAbsent(name, why) == null) {
      log.info("return machine={} because={}", name, why);
    }
  }

  boolean isMarkedForDeletion(String name) {
    return pendingDeletions.containsKey(name);
  }

  /** Whether the cloud has confirmed the machine's deletion; only recent ones are remembered. */
  boolean isReturned(String name) {
    return returned.contains(name);
  }

  /** Drains the machine; it is returned once no record places a task on it. */
  void drain(MachineRecord record, String why) {
    if (!draining.add(record.name())) {
      return;
    }
    String key = ClusterState.machineKey(record.name());
    recordWriter.add(
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

  /** Cancels the drain of an idle machine that got work, if its record is not written yet. */
  void cancelDrain(String name) {
    if (draining.remove(name)) {
      recordWriter.cancel(name);
    }
  }

  /** Deletes marked machines, as many as one call takes, with one call at a time. */
  void send() {
    recordWriter.send();
    draining.retainAll(clusterState.machines().keySet());
    if (callInFlight || pendingDeletions.isEmpty() || !cloud.tryAcquire()) {
      return;
    }
    List<String> batch = new ArrayList<>();
    for (String name : pendingDeletions.keySet()) {
      if (batch.size() < CloudProtocol.MAX_MACHINES_PER_DELETE) {
        batch.add(name);
      }
    }
    byte[] body = CloudProtocol.encodeDelete(batch);
    callInFlight = true;
    cloud.call(
        "POST",
        "/machines/delete",
        body,
        (status, map) -> {
          callInFlight = false;
          if (status != 200) {
            log.info("deletion of {} machines not confirmed: {}", batch.size(), status);
            return;
          }
          batch.forEach(this::onDeletionConfirmed);
        });
  }

  private void onDeletionConfirmed(String name) {
    pendingDeletions.remove(name);
    returned.add(name);
    if (returned.size() > MAX_RETURNED) {
      returned.remove(returned.iterator().next());
    }
    onReturned.accept(name);
    MachineRecord record = clusterState.machine(name);
    if (record == null) {
      return;
    }
    CommitCallback callback =
        (result, revision) -> {
          if (result == CommitResult.DONE) {
            log.info("gone machine={} because=the cloud confirmed its deletion", name);
          } else {
            // The machine stays deleted: the cloud can confirm it again, and it is written then.
            returned.remove(name);
            loop.after(
                Duration.ofMillis(500),
                () -> {
                  if (clusterState.machine(name) != null) {
                    markForDeletion(name, "its record is still to be removed");
                  }
                });
          }
        };
    // Without the condition, a deletion that was decided before the cache showed a claim batch
    // could remove the machine's individual record, and the claim in that batch would take effect
    // again.
    if (clusterState.placedOn(name).isEmpty()) {
      recordWriter.add(name, record.condition(), clusterState.deletion(name), callback);
    } else {
      store.commitUrgent(
          List.of(record.condition()),
          List.of(clusterState.deletion(name)),
          Duration.ofSeconds(3),
          callback);
    }
  }
}
