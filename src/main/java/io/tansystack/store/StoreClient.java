package io.tansystack.store;

import io.tansystack.http.CborResponseHandler;
import io.tansystack.http.DelayedTask;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.EncodingException;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import io.tansystack.wire.StoreProtocol;
import io.tansystack.wire.ThrottledLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service. Every callback runs on the event loop, and exactly once for each
 * request, also if the request can't be encoded or sent.
 */
public final class StoreClient {
  private static final Logger log = LoggerFactory.getLogger(StoreClient.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_QUEUED = 64;

  /** Time between two attempts to send queued transactions while the budget is used up. */
  private static final Duration DRAIN_INTERVAL = Duration.ofMillis(25);

  /** What is known about the outcome of a transaction. */
  public enum CommitResult {
    /** Applied at the given revision. */
    DONE,
    /** A condition did not hold; nothing was changed. */
    CONFLICT,
    /** Not executed: it was refused, or the service was unavailable. */
    REFUSED,
    /** Not executed, and never will be: it can't be encoded, or the service rejects its form. */
    MALFORMED,
    /** Not executed: it exceeded the service's rate limit. */
    BUSY,
    /** Not executed: the lease of a write has expired. */
    NO_LEASE,
    /** No response: it may have been applied, or may still be. */
    UNKNOWN
  }

  /** Receives the outcome of a transaction; the revision is 0 unless it was applied. */
  public interface CommitCallback {
    void done(CommitResult result, long revision);
  }

  /** Receives the outcome of a strongly consistent read. */
  public interface ReadCallback {
    /** The key was read; {@code change} is null if it does not exist. */
    void value(Change change);

    /** Nothing is known about the key. */
    void failed();
  }

  private record QueuedTransaction(
      List<Condition> conditions, List<Write> writes, Duration deadline, CommitCallback callback) {}

  private final ThrottledLogger invalidMessages = new ThrottledLogger(log);
  private final HttpClient httpClient;
  private final EventLoop loop;
  private final InetSocketAddress address;
  private final RateBudget budget;
  private final Random random;
  private final ArrayDeque<QueuedTransaction> urgentQueue = new ArrayDeque<>();
  private final DelayedTask drain;
  private Duration lastSuccess;

  public StoreClient(
      HttpClient httpClient,
      EventLoop loop,
      InetSocketAddress address,
      RateBudget budget,
      Random random) {
    this.httpClient = httpClient;
    this.loop = loop;
    this.address = address;
    this.budget = budget;
    this.random = random;
    this.lastSuccess = loop.now();
    this.drain = new DelayedTask(loop, this::drainQueue);
  }

  /** Sets this controller's share of the write limit. */
  public void setWriteRate(double perSecond) {
    budget.setRate(perSecond, Math.max(2, perSecond), loop.now());
  }

  /** When the service last executed a request of this client; initially its creation time. */
  public Duration lastSuccess() {
    return lastSuccess;
  }

  /** Reads one key with strong consistency. */
  public void get(String key, ReadCallback callback) {
    request(
        "GET",
        StoreProtocol.keyPath(key),
        null,
        TIMEOUT,
        (status, map) -> {
          try {
            if (status == 404) {
              // Only a 404 with a body of the service itself proves that the key does not exist.
              StoreProtocol.readRevision(map);
              callback.value(null);
              return;
            }
            if (status == 200) {
              callback.value(StoreProtocol.readKey(map));
              return;
            }
          } catch (InvalidMessageException e) {
            invalidMessages.warn("state service: unreadable response for " + key, e.getMessage());
          }
          callback.failed();
        });
  }

  /**
   * Commits a transaction that precedes ordinary ones. It is queued for at most {@code maxWait} if
   * the budget is used up, and refused if the queue is full.
   */
  public void commitUrgent(
      List<Condition> conditions, List<Write> writes, Duration maxWait, CommitCallback callback) {
    if (urgentQueue.size() >= MAX_QUEUED) {
      callback.done(CommitResult.REFUSED, 0);
      return;
    }
    urgentQueue.add(new QueuedTransaction(conditions, writes, loop.now().plus(maxWait), callback));
    drainQueue();
  }

  private void drainQueue() {
    try {
      sendQueued();
    } finally {
      if (!urgentQueue.isEmpty()) {
        drain.schedule(DRAIN_INTERVAL);
      }
    }
  }

  private void sendQueued() {
    Duration now = loop.now();
    while (!urgentQueue.isEmpty()) {
      QueuedTransaction head = urgentQueue.peek();
      if (now.compareTo(head.deadline) > 0) {
        urgentQueue.poll();
        head.callback.done(CommitResult.REFUSED, 0);
      } else if (budget.tryAcquire(head.writes.size(), true, now)) {
        urgentQueue.poll();
        sendUrgent(head);
      } else {
        break;
      }
    }
  }

  /** A transaction over the rate limit changed nothing, so it is retried until its deadline. */
  private void sendUrgent(QueuedTransaction queued) {
    send(
        queued.conditions,
        queued.writes,
        (result, revision) -> {
          if (result == CommitResult.BUSY && loop.now().compareTo(queued.deadline) < 0) {
            urgentQueue.addFirst(queued);
            drainQueue();
          } else {
            queued.callback.done(
                result == CommitResult.BUSY ? CommitResult.REFUSED : result, revision);
          }
        });
  }

  /** Reserves the budget for an ordinary transaction of this many writes; false if it must wait. */
  public boolean reserve(int writes) {
    return urgentQueue.isEmpty() && budget.tryAcquire(writes, false, loop.now());
  }

  /** Number of writes that ordinary transactions may send now. */
  public int availableWrites() {
    return urgentQueue.isEmpty() ? budget.availableForOrdinary(loop.now()) : 0;
  }

  /** Half the maximum of {@link #availableWrites}, which is reached after a time without writes. */
  public int halfOfMaxAvailableWrites() {
    return budget.maxAvailableForOrdinary() / 2;
  }

  /** Like {@link #reserve}, if at least as much budget remains: for writes that can wait long. */
  public boolean reserveIfAmple(int writes) {
    return budget.available(loop.now()) >= 2 * writes && reserve(writes);
  }

  /**
   * Like {@link #reserve}, if this controller has hardly written for a while: for writes that can
   * wait indefinitely.
   */
  public boolean reserveIfIdle(int writes) {
    return budget.nearlyFull(loop.now()) && reserve(writes);
  }

  /** Sends a transaction whose budget was reserved. */
  public void commitReserved(
      List<Condition> conditions, List<Write> writes, CommitCallback callback) {
    send(conditions, writes, callback);
  }

  private void send(List<Condition> conditions, List<Write> writes, CommitCallback callback) {
    byte[] body;
    try {
      body = StoreProtocol.encodeTransaction(conditions, writes);
    } catch (EncodingException e) {
      log.error("a transaction of {} writes is not sent: {}", writes.size(), e.getMessage());
      callback.done(CommitResult.MALFORMED, 0);
      return;
    }
    request(
        "POST",
        "/commit",
        body,
        TIMEOUT,
        (status, map) -> {
          switch (status) {
            case 200, 409 -> {
              long revision;
              try {
                revision = StoreProtocol.readRevision(map);
              } catch (InvalidMessageException e) {
                // Not the service's own response, so it doesn't tell whether anything changed.
                callback.done(CommitResult.UNKNOWN, 0);
                return;
              }
              callback.done(
                  status == 200 ? CommitResult.DONE : CommitResult.CONFLICT,
                  status == 200 ? revision : 0);
            }
            case 400 -> {
              String error = map == null ? "" : map.path("error").asText();
              if (error.equals("no such lease")) {
                callback.done(CommitResult.NO_LEASE, 0);
              } else {
                log.error("state service refused a transaction as malformed: {}", map);
                callback.done(CommitResult.MALFORMED, 0);
              }
            }
            case 429 -> {
              budget.onThrottled(loop.now(), Duration.ofMillis(50 + random.nextInt(100)));
              log.debug("state service: 429 for a transaction of {} writes", writes.size());
              callback.done(CommitResult.BUSY, 0);
            }
            case 503 -> callback.done(CommitResult.REFUSED, 0);
            default -> callback.done(CommitResult.UNKNOWN, 0);
          }
        });
  }

  /** Requests a lease; the callback receives its ID, or null if none was granted. */
  public void grantLease(Duration ttl, Consumer<Long> callback) {
    request(
        "POST",
        "/grants",
        StoreProtocol.encodeLeaseRequest(ttl.toMillis()),
        TIMEOUT,
        (status, map) -> {
          try {
            callback.accept(status == 200 ? StoreProtocol.readLeaseId(map) : null);
          } catch (InvalidMessageException e) {
            callback.accept(null);
          }
        });
  }

  /** Renews a lease; the callback receives the response's status, or 0 if there was none. */
  public void renewLease(long lease, Consumer<Integer> callback) {
    request(
        "POST",
        StoreProtocol.renewPath(lease),
        Cbor.encode(Cbor.map()),
        TIMEOUT,
        (status, map) -> callback.accept(status));
  }

  /** Sends a request without using the write budget; a refused connection counts as status 503. */
  void request(
      String method,
      String path,
      byte[] body,
      Duration timeout,
      CborResponseHandler.Callback callback) {
    httpClient.call(
        address,
        method,
        path,
        body,
        timeout,
        new CborResponseHandler(
            "state service",
            503,
            (status, map) -> {
              if (status == 200 || status == 404 || status == 409) {
                lastSuccess = loop.now();
              }
              callback.onResult(status, map);
            }));
  }
}
