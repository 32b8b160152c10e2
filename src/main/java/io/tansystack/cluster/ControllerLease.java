package io.tansystack.cluster;

import io.tansystack.http.EventLoop;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.store.Watcher;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease and record, and whether it may act. It may while its last renewal that
 * succeeded was sent, and its copy of the records is complete up to, less than {@code life} ago. So a
 * controller that is cut off from the state service stops answering workers before a cancelled task
 * could outlive its time.
 */
public final class ControllerLease {
  private static final Logger log = LoggerFactory.getLogger(ControllerLease.class);

  /** Steady clocks drift by 0.05% against each other; twice that, and a stall between check and use. */
  private static final double DRIFT = 0.001;

  private static final Duration MARGIN = Duration.ofMillis(500);

  private final StoreClient store;
  private final EventLoop loop;
  private final String label;
  private final String boot;
  private final String zone;
  private final Duration life;

  /** So much of it is used; the rest is kept for drift, and for a stall between a check and its use. */
  private final Duration usable;

  private final Duration recordLife;
  private final Watcher watcher;
  private final StallDetector stall;
  private long lease;
  private boolean registered;
  private long registeredAt;
  private Duration renewedAt;

  public ControllerLease(
      StoreClient store,
      EventLoop loop,
      String label,
      String boot,
      String zone,
      Duration life,
      Duration recordLife,
      Watcher watcher,
      StallDetector stall) {
    this.store = store;
    this.loop = loop;
    this.label = label;
    this.boot = boot;
    this.zone = zone;
    this.life = life;
    this.usable = Duration.ofNanos((long) (life.toNanos() * (1 - DRIFT))).minus(MARGIN);
    this.recordLife = recordLife;
    this.watcher = watcher;
    this.stall = stall;
  }

  /** The longest time for which a controller cut off at this moment goes on acting. */
  public static Duration lifeFor(Duration cancel, Duration workerLease) {
    Duration room = cancel.minus(workerLease).multipliedBy(7).dividedBy(10);
    Duration longest = Duration.ofSeconds(30);
    Duration shortest = Duration.ofMillis(500);
    return room.compareTo(longest) > 0 ? longest : room.compareTo(shortest) < 0 ? shortest : room;
  }

  /**
   * How long the own record outlives the last renewal. Shorter than the time for which this controller
   * may act: workers whose controller has gone silent look for another, and that one takes them over
   * once the record has ended, long before their own leases do. No rule rests on it: claims are safe
   * at any time.
   */
  public static Duration recordLifeFor(Duration life, Duration workerLease) {
    Duration wanted = workerLease.dividedBy(4);
    Duration shortest = Duration.ofSeconds(3);
    Duration longest = Duration.ofSeconds(8);
    wanted = wanted.compareTo(shortest) < 0 ? shortest : wanted.compareTo(longest) > 0 ? longest : wanted;
    return wanted.compareTo(life) > 0 ? life : wanted;
  }

  public void start() {
    turn();
  }

  private void turn() {
    Duration next = recordLife.dividedBy(5);
    if (lease == 0) {
      Duration sentAt = loop.now();
      // A lease must have at least 100 ms; the state service's own range is kept to by the settings.
      store.grant(
          recordLife,
          granted -> {
            if (granted != null) {
              lease = granted;
              renewedAt = sentAt;
              register();
            }
            loop.after(granted == null ? Duration.ofMillis(300) : next, this::turn);
          });
      return;
    }
    Duration sentAt = loop.now();
    store.renew(
        lease,
        status -> {
          if (status == 200) {
            renewedAt = sentAt;
            if (!registered) {
              register();
            }
          } else if (status == 404) {
            log.warn("own lease {} has ended, asking for a new one", lease);
            lease = 0;
            registered = false;
          }
          loop.after(status == 200 ? next : Duration.ofMillis(300), this::turn);
        });
  }

  private void register() {
    store.commitUrgent(
        List.of(),
        OwnershipConditions.registration(label, boot, zone, lease),
        Duration.ofSeconds(2),
        (result, revision) -> {
          registered = result == CommitResult.DONE;
          if (registered) {
            registeredAt = revision;
            log.info("registered as {} boot {} under lease {}", label, boot, lease);
          } else if (result == CommitResult.NO_LEASE) {
            lease = 0;
          }
        });
  }

  /** The revision of the own record's last writing. */
  public long registeredAt() {
    return registeredAt;
  }

  /** The record is gone or another's though the lease is thought to live: write it again. */
  public void recordLost() {
    if (registered && lease != 0) {
      registered = false;
    }
  }

  public long lease() {
    return lease;
  }

  public Duration life() {
    return life;
  }

  public boolean registered() {
    return registered;
  }

  /**
   * Whether the copy of the records is good enough to judge others by: after a stall only once it has
   * been read anew, since others may have taken over what it still shows as this controller's.
   */
  public boolean current() {
    stall.turn();
    return valid() && watcher.syncedAt().compareTo(stall.listeningSince()) >= 0;
  }

  /** On what the right to act rests now: the registration, the last renewal and the copy's age; for logs. */
  public String grounds() {
    return "registered="
        + (registered ? registeredAt : "no")
        + " lease="
        + lease
        + " renewed="
        + age(renewedAt)
        + " synced="
        + age(watcher.syncedAt())
        + " copy="
        + watcher.revision();
  }

  private String age(Duration since) {
    return since == null ? "never" : loop.now().minus(since).toMillis() + "ms";
  }

  /** Checked at the moment of every act. */
  public boolean valid() {
    if (!registered || renewedAt == null || watcher.syncedAt() == null) {
      return false;
    }
    return within(renewedAt) && within(watcher.syncedAt());
  }

  /** Whether so little time has passed since the moment that a worker may still be answered in spite of it. */
  public boolean within(Duration since) {
    return loop.now().minus(since).compareTo(usable) < 0;
  }
}
