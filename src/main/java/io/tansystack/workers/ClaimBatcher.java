package io.tansystack.workers;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.http.EventLoop;
import io.tansystack.store.StoreClient.CommitCallback;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims machines that nobody has claimed before, those that come up at once by one record. The first
 * is claimed as it comes; who follows closely waits for a fraction of a second, for others.
 */
final class ClaimBatcher {
  private static final Logger log = LoggerFactory.getLogger(ClaimBatcher.class);
  private static final Duration TOGETHER = Duration.ofMillis(20);
  private static final Duration APART = Duration.ofMillis(700);
  private static final Duration WAIT = Duration.ofSeconds(2);

  /** An entry has some 120 bytes, a value several thousand. */
  private static final int MAX_NAMED = 40;

  private static final int MAX_WAITING = 400;

  private record Claim(MachineRecord record, CommitCallback then) {
    Condition unclaimed() {
      return new Condition(ClusterState.machineKey(record.name()), 0);
    }
  }

  private final EventLoop loop;
  private final StoreClient store;
  private final String boot;
  private final ArrayDeque<Claim> waiting = new ArrayDeque<>();
  private boolean timed;
  private Duration writtenAt = Duration.ofDays(-1);
  private long counter;

  /** @param boot this start of the process: names of lots begin with it */
  ClaimBatcher(EventLoop loop, StoreClient store, String boot) {
    this.loop = loop;
    this.store = store;
    this.boot = boot;
  }

  /** Claims a machine that has no record at all; false if too many wait already. */
  boolean claim(MachineRecord record, CommitCallback then) {
    if (waiting.size() >= MAX_WAITING) {
      return false;
    }
    waiting.add(new Claim(record, then));
    if (!timed) {
      timed = true;
      Duration due = writtenAt.plus(APART).minus(loop.now());
      loop.after(due.compareTo(TOGETHER) > 0 ? due : TOGETHER, this::write);
    }
    return true;
  }

  private void write() {
    timed = false;
    writtenAt = loop.now();
    while (!waiting.isEmpty()) {
      List<Claim> lot = new ArrayList<>();
      while (!waiting.isEmpty() && lot.size() < MAX_NAMED) {
        lot.add(waiting.poll());
      }
      if (lot.size() == 1) {
        alone(lot.get(0));
      } else {
        together(lot);
      }
    }
  }

  private void alone(Claim claim) {
    String key = ClusterState.machineKey(claim.record.name());
    commit(
        List.of(claim),
        List.of(claim.unclaimed()),
        new Write(key, claim.record.write(), 0),
        (result, revision) -> claim.then.done(result, revision));
  }

  private void together(List<Claim> lot) {
    String key = ClusterState.claimBatchKey(boot + "-" + counter++);
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition(key, 0));
    lot.forEach(claim -> conditions.add(claim.unclaimed()));
    commit(
        lot,
        conditions,
        new Write(key, ClusterState.claimBatch(lot.stream().map(Claim::record).toList()), 0),
        (result, revision) -> {
          if (result == CommitResult.CONFLICT) {
            // One of them was claimed by another; the rest need not suffer for it.
            lot.forEach(this::alone);
          } else {
            lot.forEach(claim -> claim.then.done(result, revision));
          }
        });
  }

  private void commit(
      List<Claim> lot, List<Condition> conditions, Write write, CommitCallback then) {
    store.commitUrgent(
        conditions,
        List.of(write),
        WAIT,
        (result, revision) -> {
          log.info(
              "claim machines={} token={} result={} because=they came up",
              lot.stream().map(claim -> claim.record.name()).toList(),
              revision,
              result);
          then.done(result, revision);
        });
  }
}
