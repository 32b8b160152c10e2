package io.tansystack.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.StoreProtocol.Changes;
import io.tansystack.wire.StoreProtocol;
import io.tansystack.wire.ThrottledLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the local cache of all keys under one prefix current by one ordered stream: first all pages
 * of a list, then one watch request after the other. Because there is only one stream, a controller
 * that has seen a change has seen all earlier ones too. The safety of start and {@code forget}
 * commands depends on that.
 */
public final class Watcher {
  private static final Logger log = LoggerFactory.getLogger(Watcher.class);
  private static final Duration LONG_POLL = Duration.ofMillis(1500);
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration RETRY = Duration.ofMillis(250);

  /** Pause before everything is read again after the listener has failed. */
  private static final Duration RELOAD_DELAY = Duration.ofSeconds(1);

  /** Receives the stream. */
  public interface Listener {
    /**
     * All keys, which replace everything known before: the listed pages, of which later ones may be
     * newer, and the changes since the first page, in order. Together they are the state as of the
     * revision.
     */
    void snapshot(List<Change> pages, List<Change> since, long revision);

    /** The next changes, in order; with them the cache is as of the revision. */
    void changes(List<Change> changes, long revision);
  }

  private final ThrottledLogger invalidMessages = new ThrottledLogger(log);
  private final StoreClient store;
  private final EventLoop loop;
  private final String prefix;
  private final Duration minInterval;
  private final Listener listener;
  private final Consumer<Duration> upToDateListener;
  private Duration upToDateAsOf;
  private Duration upToDateBeforeLastUpdate;
  private boolean confirmInFlight;

  /** Whether the listener failed, so that the cache may lack changes until it is loaded again. */
  private boolean incomplete;

  private long revision;

  /**
   * @param minInterval minimum time between the starts of two watch requests
   * @param upToDateListener receives, after the listener, the moment as of which the cache is up to
   *     date
   */
  public Watcher(
      StoreClient store,
      EventLoop loop,
      String prefix,
      Duration minInterval,
      Listener listener,
      Consumer<Duration> upToDateListener) {
    this.upToDateListener = upToDateListener;
    this.store = store;
    this.loop = loop;
    this.prefix = prefix;
    this.minInterval = minInterval;
    this.listener = listener;
  }

  /** Reads everything, then watches for changes. */
  public void start() {
    load(new ArrayList<>(), "", -1, loop.now());
  }

  /**
   * Asks the service whether the cache is up to date, for use when no change has arrived for a
   * while. If the service's revision is the one known here, the cache is up to date as of the
   * moment of the request. Otherwise the watch is about to deliver what is missing. One response
   * serves all callers that wait for it.
   */
  public void confirmUpToDate() {
    if (confirmInFlight || incomplete || upToDateAsOf == null) {
      return;
    }
    confirmInFlight = true;
    Duration sentAt = loop.now();
    store.request(
        "GET",
        StoreProtocol.revisionPath(prefix),
        null,
        PAGE_TIMEOUT,
        (status, map) -> {
          confirmInFlight = false;
          try {
            if (!incomplete
                && status == 200
                && StoreProtocol.readList(map).revision() <= revision) {
              upToDateAsOf = sentAt.compareTo(upToDateAsOf) > 0 ? sentAt : upToDateAsOf;
              upToDateListener.accept(sentAt);
            }
          } catch (InvalidMessageException e) {
            invalidMessages.warn("state service: unreadable list", e.getMessage());
          }
        });
  }

  /** All changes committed before this moment are in the cache; null before the first load. */
  public Duration upToDateAsOf() {
    return upToDateAsOf;
  }

  /**
   * The moment as of which the cache was up to date before the latest changes were applied, so that
   * these were committed later. Null before the first load. For the keys of the first load it is
   * only the moment when that load began; they may have been committed earlier.
   */
  public Duration upToDateBeforeLastUpdate() {
    return upToDateBeforeLastUpdate;
  }

  /** The revision of the cache; 0 before the first load. */
  public long revision() {
    return revision;
  }

  /**
   * Reads the pages of the list one after the other. Later pages may be newer, so changes may
   * arrive twice; the versions of the keys make that harmless.
   */
  private void load(List<Change> pages, String afterKey, long firstRevision, Duration startedAt) {
    store.request(
        "GET",
        StoreProtocol.listPath(prefix, afterKey),
        null,
        PAGE_TIMEOUT,
        (status, map) -> {
          try {
            if (status == 200) {
              Changes page = StoreProtocol.readList(map);
              pages.addAll(page.changes());
              long first = firstRevision < 0 ? page.revision() : firstRevision;
              if (page.hasMore() && !page.changes().isEmpty()) {
                load(pages, page.changes().get(page.changes().size() - 1).key(), first, startedAt);
              } else {
                loadChangesSince(pages, first, startedAt);
              }
              return;
            }
            // Pages that were read are kept: after a full restart all controllers read at the same
            // time, and one that started over after each refused page might never finish.
            loop.after(RETRY, () -> load(pages, afterKey, firstRevision, startedAt));
            return;
          } catch (InvalidMessageException e) {
            invalidMessages.warn("state service: unreadable list", e.getMessage());
          }
          loop.after(RETRY, this::start);
        });
  }

  /**
   * Reads the changes that were made while the pages were read, before the listener receives
   * anything: pages of different age may together show a job or a machine in a state that it never
   * had.
   */
  private void loadChangesSince(List<Change> pages, long firstRevision, Duration startedAt) {
    store.request(
        "GET",
        StoreProtocol.watchPath(prefix, firstRevision, 0),
        null,
        PAGE_TIMEOUT,
        (status, map) -> {
          try {
            if (status == 200) {
              Changes since = StoreProtocol.readWatch(map);
              revision = Math.max(firstRevision, since.revision());
              update(startedAt, () -> listener.snapshot(pages, since.changes(), revision));
              incomplete = false;
              watch();
              return;
            }
            if (status != 410) {
              loop.after(RETRY, () -> loadChangesSince(pages, firstRevision, startedAt));
              return;
            }
          } catch (InvalidMessageException e) {
            invalidMessages.warn("state service: unreadable watch", e.getMessage());
          }
          loop.after(RETRY, this::start);
        });
  }

  /**
   * Passes an update to the listener. If the listener fails, the cache does not count as up to date
   * as of this update, and everything is read again: no change may be skipped.
   *
   * @param asOf the moment as of which the cache is up to date with the update
   */
  private void update(Duration asOf, Runnable notifyListener) {
    Duration previous = upToDateAsOf;
    upToDateBeforeLastUpdate = previous == null ? asOf : previous;
    upToDateAsOf = asOf;
    try {
      notifyListener.run();
    } catch (RuntimeException e) {
      incomplete = true;
      upToDateAsOf = previous;
      loop.after(RELOAD_DELAY, this::start);
      throw e;
    }
  }

  private void watch() {
    Duration sentAt = loop.now();
    store.request(
        "GET",
        StoreProtocol.watchPath(prefix, revision, LONG_POLL.toMillis()),
        null,
        LONG_POLL.plusSeconds(3),
        (status, map) -> {
          if (status == 410) {
            log.info("watch: revision {} is too old, reading everything again", revision);
            start();
          } else if (status == 200) {
            onWatchResponse(map, sentAt);
          } else {
            loop.after(RETRY, this::watch);
          }
        });
  }

  private void onWatchResponse(ObjectNode map, Duration sentAt) {
    Changes changes;
    try {
      changes = StoreProtocol.readWatch(map);
    } catch (InvalidMessageException e) {
      // No change may be skipped, so everything is read again.
      invalidMessages.warn("state service: unreadable watch", e.getMessage());
      loop.after(RETRY, this::start);
      return;
    }
    revision = Math.max(revision, changes.revision());
    update(sentAt, () -> listener.changes(changes.changes(), revision));
    try {
      upToDateListener.accept(sentAt);
    } finally {
      watchAfter(minInterval.minus(loop.now().minus(sentAt)));
    }
  }

  private void watchAfter(Duration delay) {
    if (delay.isNegative() || delay.isZero()) {
      watch();
    } else {
      loop.after(delay, this::watch);
    }
  }
}
