package io.tansystack.store;

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
 * Keeps a copy of everything under one prefix by one ordered stream: first all pages, then one watch
 * after the other. Because there is one stream, whoever has seen a change has seen all that came
 * before it; the safety of launches and of {@code forget} rests on that.
 */
public final class Watcher {
  private static final Logger log = LoggerFactory.getLogger(Watcher.class);
  private static final Duration HOLD = Duration.ofMillis(1500);
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration RETRY = Duration.ofMillis(250);

  /** Receives the stream. */
  public interface Listener {
    /**
     * Everything, page by page, each page newer than those before; and what has changed since the
     * first, in order. Together they are everything as of the revision; it replaces all that was known.
     */
    void snapshot(List<Change> pages, List<Change> since, long revision);

    /** The next changes, in order. */
    void changes(List<Change> changes, long revision);
  }

  private final ThrottledLogger malformed = new ThrottledLogger(log);
  private final StoreClient store;
  private final EventLoop loop;
  private final String prefix;
  private final Duration spacing;
  private final Listener listener;
  private final Consumer<Duration> synced;
  private Duration syncedAt;
  private Duration completeBefore;
  private boolean confirming;
  private long revision;

  /** @param synced told, after the listener, up to which moment the copy is complete */
  public Watcher(
      StoreClient store,
      EventLoop loop,
      String prefix,
      Duration spacing,
      Listener listener,
      Consumer<Duration> synced) {
    this.synced = synced;
    this.store = store;
    this.loop = loop;
    this.prefix = prefix;
    this.spacing = spacing;
    this.listener = listener;
  }

  public void start() {
    load(new ArrayList<>(), "", -1, loop.now());
  }

  /**
   * Asks whether the copy is complete, where nothing has been heard for a while: if the service's
   * revision is the one that is known here, it is, up to the moment of asking. If not, the watch is
   * about to bring what is missing. One answer serves all who wait.
   */
  public void confirm() {
    if (confirming || syncedAt == null) {
      return;
    }
    confirming = true;
    Duration sentAt = loop.now();
    store.request(
        "GET",
        StoreProtocol.revisionPath(prefix),
        null,
        PAGE_TIMEOUT,
        (status, map) -> {
          confirming = false;
          try {
            if (status == 200 && StoreProtocol.readList(map).revision() <= revision) {
              syncedAt = sentAt.compareTo(syncedAt) > 0 ? sentAt : syncedAt;
              synced.accept(sentAt);
            }
          } catch (InvalidMessageException e) {
            malformed.tell("state service: unreadable list", e.getMessage());
          }
        });
  }

  /** The copy holds at least all that was committed before this moment; null before the first load. */
  public Duration syncedAt() {
    return syncedAt;
  }

  /**
   * Up to which moment the copy was complete before the newest changes were taken in: whatever they tell
   * of was committed later. Null before the first load; of what the first load brings it says no more
   * than when that began.
   */
  public Duration completeBefore() {
    return completeBefore;
  }

  public long revision() {
    return revision;
  }

  /**
   * Pages are read one after the other, so later ones may be newer; versions keep the changes that come
   * twice from doing harm.
   */
  private void load(List<Change> all, String after, long firstRevision, Duration startedAt) {
    store.request(
        "GET",
        StoreProtocol.listPath(prefix, after),
        null,
        PAGE_TIMEOUT,
        (status, map) -> {
          try {
            if (status == 200) {
              Changes page = StoreProtocol.readList(map);
              all.addAll(page.changes());
              long first = firstRevision < 0 ? page.revision() : firstRevision;
              if (page.more() && !page.changes().isEmpty()) {
                load(all, page.changes().get(page.changes().size() - 1).key(), first, startedAt);
              } else {
                complete(all, first, startedAt);
              }
              return;
            }
            // What was read is kept: all controllers read at the same moment after a common end, and
            // whoever began anew for each refused page might never come through.
            loop.after(RETRY, () -> load(all, after, firstRevision, startedAt));
            return;
          } catch (InvalidMessageException e) {
            malformed.tell("state service: unreadable list", e.getMessage());
          }
          loop.after(RETRY, this::start);
        });
  }

  /**
   * Nothing is told before all that changed while the pages were read is known: between two pages of
   * different age a job or a machine may seem to be what it never was.
   */
  private void complete(List<Change> pages, long first, Duration startedAt) {
    store.request(
        "GET",
        StoreProtocol.watchPath(prefix, first, 0),
        null,
        PAGE_TIMEOUT,
        (status, map) -> {
          try {
            if (status == 200) {
              Changes since = StoreProtocol.readWatch(map);
              revision = Math.max(first, since.revision());
              completeBefore = syncedAt == null ? startedAt : syncedAt;
              syncedAt = startedAt;
              listener.snapshot(pages, since.changes(), revision);
              watch();
              return;
            }
            if (status != 410) {
              loop.after(RETRY, () -> complete(pages, first, startedAt));
              return;
            }
          } catch (InvalidMessageException e) {
            malformed.tell("state service: unreadable watch", e.getMessage());
          }
          loop.after(RETRY, this::start);
        });
  }

  private void watch() {
    Duration sentAt = loop.now();
    store.request(
        "GET",
        StoreProtocol.watchPath(prefix, revision, HOLD.toMillis()),
        null,
        HOLD.plusSeconds(3),
        (status, map) -> {
          Duration next = RETRY;
          if (status == 410) {
            log.info("watch: revision {} is too old, reading everything again", revision);
            start();
            return;
          }
          try {
            if (status == 200) {
              Changes changes = StoreProtocol.readWatch(map);
              completeBefore = syncedAt;
              syncedAt = sentAt;
              revision = Math.max(revision, changes.revision());
              listener.changes(changes.changes(), revision);
              synced.accept(sentAt);
              next = spacing.minus(loop.now().minus(sentAt));
            }
          } catch (InvalidMessageException e) {
            // Nothing may be skipped: what can't be read is read again as a whole.
            malformed.tell("state service: unreadable watch", e.getMessage());
            loop.after(RETRY, this::start);
            return;
          }
          if (next.isNegative() || next.isZero()) {
            watch();
          } else {
            loop.after(next, this::watch);
          }
        });
  }
}
