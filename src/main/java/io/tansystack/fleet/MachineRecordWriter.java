package io.tansystack.fleet;

import io.tansystack.http.Callbacks;
import io.tansystack.store.StoreClient.CommitCallback;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Writes changes of machine records that can wait: draining idle machines, and removing machines
 * that are gone and had no task. When work ends, hundreds of these changes are due within a second.
 * As urgent transactions they would keep that queue full, and no placement would be written until
 * the fleet was gone (seen in the run dunavtrack, day rough: no placement for 180 s while 75 jobs
 * waited). So the changes are batched, a few in one transaction, and use the part of the write
 * limit that placements leave.
 */
final class MachineRecordWriter {
  /** So few that a controller's share of any write limit can hold twice as many. */
  private static final int MAX_BATCH = 5;

  private static final int MAX_IN_FLIGHT = 2;

  private record PendingWrite(Condition condition, Write write, CommitCallback callback) {}

  private final StoreClient store;
  private final Map<String, PendingWrite> pending = new LinkedHashMap<>();

  /**
   * Machines whose transaction failed. They are written individually next, to isolate the failure.
   */
  private final Set<String> sendAlone = new HashSet<>();

  private int inFlight;

  MachineRecordWriter(StoreClient store) {
    this.store = store;
  }

  /** Queues a change of the machine's record; it replaces one that was not sent yet. */
  void add(String machine, Condition condition, Write write, CommitCallback callback) {
    pending.put(machine, new PendingWrite(condition, write, callback));
  }

  /** Cancels the machine's change if it was not sent yet; its callback is not called. */
  void cancel(String machine) {
    pending.remove(machine);
  }

  /** Drops all changes that were not sent yet; their callbacks receive {@code REFUSED}. */
  void reset() {
    List<PendingWrite> dropped = List.copyOf(pending.values());
    pending.clear();
    sendAlone.clear();
    Callbacks.forEach(dropped, change -> change.callback.done(CommitResult.REFUSED, 0));
  }

  /** Sends as many queued changes as the write limit leaves for them. */
  void send() {
    while (inFlight < MAX_IN_FLIGHT && !pending.isEmpty()) {
      List<String> batch = nextBatch();
      if (!store.reserveIfAmple(batch.size())) {
        return;
      }
      send(batch);
    }
  }

  private List<String> nextBatch() {
    List<String> batch = new ArrayList<>();
    for (String machine : pending.keySet()) {
      boolean single = sendAlone.contains(machine);
      if (batch.size() == MAX_BATCH || (single && !batch.isEmpty())) {
        break;
      }
      batch.add(machine);
      if (single) {
        break;
      }
    }
    return batch;
  }

  private void send(List<String> batch) {
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    List<CommitCallback> callbacks = new ArrayList<>();
    for (String machine : batch) {
      PendingWrite change = pending.remove(machine);
      conditions.add(change.condition);
      writes.add(change.write);
      callbacks.add(change.callback);
    }
    inFlight++;
    store.commitReserved(
        conditions,
        writes,
        (result, revision) -> {
          inFlight--;
          if (result == CommitResult.DONE) {
            batch.forEach(sendAlone::remove);
          } else if (result == CommitResult.CONFLICT || result == CommitResult.MALFORMED) {
            sendAlone.addAll(batch);
          }
          Callbacks.forEach(callbacks, callback -> callback.done(result, revision));
        });
  }
}
