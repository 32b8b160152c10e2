package io.tansystack.workers;

import com.google.common.collect.Lists;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.http.Callbacks;
import io.tansystack.http.DelayedTask;
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
 * Claims machines that have never been claimed. Machines that come up at about the same time are
 * claimed by one record, a claim batch. A machine that comes up alone is claimed almost at once;
 * those that follow shortly after a write wait for a fraction of a second, so that others can join.
 */
final class ClaimBatcher {
  private static final Logger log = LoggerFactory.getLogger(ClaimBatcher.class);

  /** How long the first machine waits for others. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(20);

  /** Least time between two writes. */
  private static final Duration MIN_INTERVAL = Duration.ofMillis(700);

  private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(2);

  /** An entry takes about 120 bytes, and a value may have several thousand. */
  private static final int MAX_BATCH_SIZE = 40;

  private static final int MAX_WAITING = 400;

  private record Claim(MachineRecord record, CommitCallback callback) {
    Condition unclaimed() {
      return new Condition(ClusterState.machineKey(record.name()), 0);
    }
  }

  private final EventLoop loop;
  private final StoreClient store;
  private final String incarnation;
  private final ArrayDeque<Claim> waiting = new ArrayDeque<>();
  private final DelayedTask nextWrite;
  private Duration lastWriteAt = Duration.ofDays(-1);
  private long batchCounter;

  /** @param incarnation process incarnation ID, with which the names of claim batches begin */
  ClaimBatcher(EventLoop loop, StoreClient store, String incarnation) {
    this.loop = loop;
    this.store = store;
    this.incarnation = incarnation;
    this.nextWrite = new DelayedTask(loop, this::write);
  }

  /** Queues a claim of a machine that has no record; false if too many are waiting already. */
  boolean claim(MachineRecord record, CommitCallback callback) {
    if (waiting.size() >= MAX_WAITING) {
      return false;
    }
    waiting.add(new Claim(record, callback));
    Duration delay = lastWriteAt.plus(MIN_INTERVAL).minus(loop.now());
    nextWrite.schedule(delay.compareTo(BATCH_DELAY) > 0 ? delay : BATCH_DELAY);
    return true;
  }

  private void write() {
    lastWriteAt = loop.now();
    List<Claim> claims = List.copyOf(waiting);
    waiting.clear();
    Callbacks.forEach(Lists.partition(claims, MAX_BATCH_SIZE), this::write);
  }

  private void write(List<Claim> batch) {
    if (batch.size() == 1) {
      claimIndividually(batch.get(0));
    } else {
      claimInBatch(batch);
    }
  }

  private void claimIndividually(Claim claim) {
    String key = ClusterState.machineKey(claim.record.name());
    commit(
        List.of(claim),
        List.of(claim.unclaimed()),
        new Write(key, claim.record.write(), 0),
        (result, revision) -> claim.callback.done(result, revision));
  }

  private void claimInBatch(List<Claim> batch) {
    String key = ClusterState.claimBatchKey(incarnation + "-" + batchCounter++);
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition(key, 0));
    batch.forEach(claim -> conditions.add(claim.unclaimed()));
    commit(
        batch,
        conditions,
        new Write(key, ClusterState.claimBatch(batch.stream().map(Claim::record).toList()), 0),
        (result, revision) -> {
          if (result == CommitResult.CONFLICT || result == CommitResult.MALFORMED) {
            // Another controller has claimed one of them, or one of them can't be recorded; the
            // others can still be claimed.
            Callbacks.forEach(batch, this::claimIndividually);
          } else {
            Callbacks.forEach(batch, claim -> claim.callback.done(result, revision));
          }
        });
  }

  private void commit(
      List<Claim> batch, List<Condition> conditions, Write write, CommitCallback callback) {
    store.commitUrgent(
        conditions,
        List.of(write),
        COMMIT_TIMEOUT,
        (result, revision) -> {
          log.info(
              "claim machines={} token={} result={} because=they came up",
              batch.stream().map(claim -> claim.record.name()).toList(),
              revision,
              result);
          callback.done(result, revision);
        });
  }
}
