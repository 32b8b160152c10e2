package io.tansystack.store;

import io.tansystack.http.CborResponseHandler;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.wire.Cbor;
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

/** The state service's client. Every callback runs on the loop. */
public final class StoreClient {
  private static final Logger log = LoggerFactory.getLogger(StoreClient.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_QUEUED = 64;

  /** What is known of a transaction. */
  public enum CommitResult {
    /** Applied, at the revision given with it. */
    DONE,
    /** A condition did not hold; nothing was changed. */
    CONFLICT,
    /** Not executed: refused, or an outage. */
    REFUSED,
    /** Not executed, and never will be: the service can't take it as it is. */
    MALFORMED,
    /** Not executed: over the service's limits just now. */
    BUSY,
    /** The lease of a write has ended. */
    NO_LEASE,
    /** No answer: it may have been applied, or may still be. */
    UNKNOWN
  }

  /** Receives the outcome of a transaction. */
  public interface CommitCallback {
    void done(CommitResult result, long revision);
  }

  /** Receives a strong read: {@code change} is null where the key does not exist. */
  public interface ReadCallback {
    void value(Change change);

    void failed();
  }

  private record Queued(
      List<Condition> conditions, List<Write> writes, Duration until, CommitCallback then) {}

  private final ThrottledLogger malformed = new ThrottledLogger(log);
  private final HttpClient caller;
  private final EventLoop loop;
  private final InetSocketAddress address;
  private final RateBudget budget;
  private final Random random;
  private final ArrayDeque<Queued> urgent = new ArrayDeque<>();
  private boolean draining;
  private Duration lastSuccess;

  public StoreClient(
      HttpClient caller,
      EventLoop loop,
      InetSocketAddress address,
      RateBudget budget,
      Random random) {
    this.caller = caller;
    this.loop = loop;
    this.address = address;
    this.budget = budget;
    this.random = random;
    this.lastSuccess = loop.now();
  }

  /** This controller's part of the write limit from now on. */
  public void writeRate(double perSecond) {
    budget.rate(perSecond, Math.max(2, perSecond), loop.now());
  }

  /** When the service last carried out something for this controller. */
  public Duration lastSuccess() {
    return lastSuccess;
  }

  /** A strong read of one key. */
  public void get(String key, ReadCallback got) {
    request(
        "GET",
        StoreProtocol.keyPath(key),
        null,
        TIMEOUT,
        (status, map) -> {
          try {
            if (status == 404) {
              // Of the service's own making, or it proves no absence.
              StoreProtocol.readRevision(map);
              got.value(null);
              return;
            }
            if (status == 200) {
              got.value(StoreProtocol.readKey(map));
              return;
            }
          } catch (InvalidMessageException e) {
            malformed.tell("state service: unreadable answer for " + key, e.getMessage());
          }
          got.failed();
        });
  }

  /**
   * A transaction that can't wait for its turn among others: it is queued for at most {@code wait}
   * if the budget is used up, and refused when the queue is full.
   */
  public void commitUrgent(
      List<Condition> conditions, List<Write> writes, Duration wait, CommitCallback then) {
    if (urgent.size() >= MAX_QUEUED) {
      then.done(CommitResult.REFUSED, 0);
      return;
    }
    urgent.add(new Queued(conditions, writes, loop.now().plus(wait), then));
    drain();
  }

  private void drain() {
    Duration now = loop.now();
    while (!urgent.isEmpty()) {
      Queued head = urgent.peek();
      if (now.compareTo(head.until) > 0) {
        urgent.poll();
        head.then.done(CommitResult.REFUSED, 0);
      } else if (budget.take(head.writes.size(), true, now)) {
        urgent.poll();
        sendUrgent(head);
      } else {
        break;
      }
    }
    if (!urgent.isEmpty() && !draining) {
      draining = true;
      loop.after(
          Duration.ofMillis(25),
          () -> {
            draining = false;
            drain();
          });
    }
  }

  /** A refusal changed nothing, so it is tried again while there is time. */
  private void sendUrgent(Queued queued) {
    send(
        queued.conditions,
        queued.writes,
        (result, revision) -> {
          if (result == CommitResult.BUSY && loop.now().compareTo(queued.until) < 0) {
            urgent.addFirst(queued);
            drain();
          } else {
            queued.then.done(result == CommitResult.BUSY ? CommitResult.REFUSED : result, revision);
          }
        });
  }

  /** Whether an ordinary transaction of so many writes may be sent now; takes its share if so. */
  public boolean reserve(int writes) {
    return urgent.isEmpty() && budget.take(writes, false, loop.now());
  }

  /** How many writes of ordinary transactions may be sent now. */
  public int spare() {
    return urgent.isEmpty() ? budget.spare(loop.now()) : 0;
  }

  /** Half of what {@link #spare} can be after a pause. */
  public int halfSpare() {
    return budget.mostSpare() / 2;
  }

  /** As {@link #reserve}, where at least as much is left over: for what can wait for long. */
  public boolean reserveSpare(int writes) {
    return budget.available(loop.now()) >= 2 * writes && reserve(writes);
  }

  /** As {@link #reserve}, where nobody has written for a while: for what can wait for ever. */
  public boolean reserveIdle(int writes) {
    return budget.full(loop.now()) && reserve(writes);
  }

  /** Sends a transaction whose share was reserved. */
  public void commitReserved(List<Condition> conditions, List<Write> writes, CommitCallback then) {
    send(conditions, writes, then);
  }

  private void send(List<Condition> conditions, List<Write> writes, CommitCallback then) {
    request(
        "POST",
        "/commit",
        StoreProtocol.txn(conditions, writes),
        TIMEOUT,
        (status, map) -> {
          switch (status) {
            case 200, 409 -> {
              long revision;
              try {
                revision = StoreProtocol.readRevision(map);
              } catch (InvalidMessageException e) {
                // Not of the service's own making: it does not tell what was changed, or that nothing was.
                then.done(CommitResult.UNKNOWN, 0);
                return;
              }
              then.done(
                  status == 200 ? CommitResult.DONE : CommitResult.CONFLICT,
                  status == 200 ? revision : 0);
            }
            case 400 -> {
              String error = map == null ? "" : map.path("error").asText();
              if (error.equals("no such lease")) {
                then.done(CommitResult.NO_LEASE, 0);
              } else {
                log.error("state service refused a transaction as malformed: {}", map);
                then.done(CommitResult.MALFORMED, 0);
              }
            }
            case 429 -> {
              budget.refused(loop.now(), Duration.ofMillis(50 + random.nextInt(100)));
              log.debug("state service: 429 for a transaction of {} writes", writes.size());
              then.done(CommitResult.BUSY, 0);
            }
            case 503 -> then.done(CommitResult.REFUSED, 0);
            default -> then.done(CommitResult.UNKNOWN, 0);
          }
        });
  }

  public void grant(Duration life, Consumer<Long> then) {
    request(
        "POST",
        "/grants",
        StoreProtocol.grant(life.toMillis()),
        TIMEOUT,
        (status, map) -> {
          try {
            then.accept(status == 200 ? StoreProtocol.readGrant(map) : null);
          } catch (InvalidMessageException e) {
            then.accept(null);
          }
        });
  }

  /** Renews a lease; tells the answer's status, 0 for none. */
  public void renew(long lease, Consumer<Integer> then) {
    request(
        "POST",
        StoreProtocol.renewPath(lease),
        Cbor.encode(Cbor.map()),
        TIMEOUT,
        (status, map) -> then.accept(status));
  }

  void request(
      String method,
      String path,
      byte[] body,
      Duration timeout,
      CborResponseHandler.Callback then) {
    caller.call(
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
              then.take(status, map);
            }));
  }
}
