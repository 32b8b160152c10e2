package io.tansystack.fleet;

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
 * Changes of machines' records that can wait: emptying what is idle, and removing what is gone and had
 * nothing on it. When work ends, hundreds of machines ask for it within a second. Among the urgent
 * transactions they would fill that queue for good, and no placement would be written again until the
 * fleet was gone (dunavtrack, day rough: 180 s without one while 75 jobs waited). So they are gathered,
 * a few share a transaction, and they take what placements leave of the write limit.
 */
final class MachineRecordWriter {
  /** Few enough for a controller's part of any write limit to hold twice as many. */
  private static final int AT_ONCE = 5;

  private static final int MAX_OPEN = 2;

  private record Wanted(Condition condition, Write write, CommitCallback then) {}

  private final StoreClient store;
  private final Map<String, Wanted> waiting = new LinkedHashMap<>();

  /** Those whose transaction failed: the next time their failure is theirs alone. */
  private final Set<String> alone = new HashSet<>();

  private int open;

  MachineRecordWriter(StoreClient store) {
    this.store = store;
  }

  /** Asks for a change of the machine's record; a later one replaces one that was not sent yet. */
  void add(String machine, Condition condition, Write write, CommitCallback then) {
    waiting.put(machine, new Wanted(condition, write, then));
  }

  /** Takes back what was not sent yet. */
  void drop(String machine) {
    waiting.remove(machine);
  }

  /** Nothing that was asked for before counts; whoever asked is told so. */
  void startAnew() {
    List<Wanted> dropped = List.copyOf(waiting.values());
    waiting.clear();
    alone.clear();
    dropped.forEach(wanted -> wanted.then.done(CommitResult.REFUSED, 0));
  }

  /** Sends what the write limit has room for. */
  void send() {
    while (open < MAX_OPEN && !waiting.isEmpty()) {
      List<String> batch = next();
      if (!store.reserveSpare(batch.size())) {
        return;
      }
      send(batch);
    }
  }

  private List<String> next() {
    List<String> batch = new ArrayList<>();
    for (String machine : waiting.keySet()) {
      boolean single = alone.contains(machine);
      if (batch.size() == AT_ONCE || (single && !batch.isEmpty())) {
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
    List<CommitCallback> told = new ArrayList<>();
    for (String machine : batch) {
      Wanted wanted = waiting.remove(machine);
      conditions.add(wanted.condition);
      writes.add(wanted.write);
      told.add(wanted.then);
    }
    open++;
    store.commitReserved(
        conditions,
        writes,
        (result, revision) -> {
          open--;
          if (result == CommitResult.DONE) {
            batch.forEach(alone::remove);
          } else if (result == CommitResult.CONFLICT || result == CommitResult.MALFORMED) {
            alone.addAll(batch);
          }
          told.forEach(then -> then.done(result, revision));
        });
  }
}
