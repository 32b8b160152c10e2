package io.tansystack.cluster;

import com.google.common.collect.Comparators;
import io.tansystack.http.EventLoop;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.store.Watcher;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease and record, and whether the controller may act. It may act while both the
 * time at which its last successful renewal was sent and the time as of which its cluster state is
 * up to date are less than the lease duration ago. So a controller that is cut off from the state
 * service stops answering workers early enough for cancelled tasks to end in time.
 */
public final class ControllerLease {
  private static final Logger log = LoggerFactory.getLogger(ControllerLease.class);

  /** Twice the relative drift of steady clocks, which is at most 0.05%. */
  private static final double CLOCK_DRIFT = 0.001;

  /** Allows for a process pause between a check of the lease and the action that relies on it. */
  private static final Duration STALL_MARGIN = Duration.ofMillis(500);

  private final StoreClient store;
  private final EventLoop loop;
  private final String label;
  private final String incarnation;
  private final String zone;
  private final Duration leaseDuration;

  /** The lease duration less the allowances for clock drift and for a pause after a check. */
  private final Duration safeDuration;

  private final Duration recordTtl;
  private final Watcher watcher;
  private final StallDetector stallDetector;
  private long leaseId;
  private boolean registered;
  private long registrationRevision;
  private Duration renewedAt;

  public ControllerLease(
      StoreClient store,
      EventLoop loop,
      String label,
      String incarnation,
      String zone,
      Duration leaseDuration,
      Duration recordTtl,
      Watcher watcher,
      StallDetector stallDetector) {
    this.store = store;
    this.loop = loop;
    this.label = label;
    this.incarnation = incarnation;
    this.zone = zone;
    this.leaseDuration = leaseDuration;
    this.safeDuration =
        Duration.ofNanos((long) (leaseDuration.toNanos() * (1 - CLOCK_DRIFT))).minus(STALL_MARGIN);
    this.recordTtl = recordTtl;
    this.watcher = watcher;
    this.stallDetector = stallDetector;
  }

  /**
   * The longest time for which a controller that is cut off from the state service goes on acting:
   * 70% of what the time limit for cancellations leaves after a worker's lease, from 0.5 to 30 s.
   *
   * @param cancel the time within which cancelled tasks must have ended
   */
  public static Duration leaseDurationFor(Duration cancel, Duration workerLease) {
    Duration available = cancel.minus(workerLease).multipliedBy(7).dividedBy(10);
    Duration longest = Duration.ofSeconds(30);
    Duration shortest = Duration.ofMillis(500);
    return Comparators.min(Comparators.max(available, shortest), longest);
  }

  /**
   * How long this controller's record outlives the last renewal. This is at most the time for which
   * the controller may act: workers whose controller is unresponsive contact another one, which
   * takes them over once the record has expired, long before their own leases do. Correctness
   * doesn't depend on this duration, since claims are safe at any time.
   */
  public static Duration recordTtlFor(Duration leaseDuration, Duration workerLease) {
    Duration wanted = workerLease.dividedBy(4);
    Duration shortest = Duration.ofSeconds(3);
    Duration longest = Duration.ofSeconds(8);
    Duration bounded = Comparators.min(Comparators.max(wanted, shortest), longest);
    return Comparators.min(bounded, leaseDuration);
  }

  public void start() {
    tick();
  }

  private void tick() {
    Duration next = recordTtl.dividedBy(5);
    if (leaseId == 0) {
      Duration sentAt = loop.now();
      // Leases last at least 100 ms; the settings keep to the range that the state service allows.
      store.grantLease(
          recordTtl,
          granted -> {
            loop.after(granted == null ? Duration.ofMillis(300) : next, this::tick);
            if (granted != null) {
              leaseId = granted;
              renewedAt = sentAt;
              register();
            }
          });
      return;
    }
    Duration sentAt = loop.now();
    store.renewLease(
        leaseId,
        status -> {
          loop.after(status == 200 ? next : Duration.ofMillis(300), this::tick);
          if (status == 200) {
            renewedAt = sentAt;
            if (!registered) {
              register();
            }
          } else if (status == 404) {
            log.warn("own lease {} has ended, requesting a new one", leaseId);
            leaseId = 0;
            registered = false;
          }
        });
  }

  private void register() {
    store.commitUrgent(
        List.of(),
        OwnershipConditions.registration(label, incarnation, zone, leaseId),
        Duration.ofSeconds(2),
        (result, revision) -> {
          registered = result == CommitResult.DONE;
          if (registered) {
            registrationRevision = revision;
            log.info("registered as {} boot {} under lease {}", label, incarnation, leaseId);
          } else if (result == CommitResult.NO_LEASE) {
            leaseId = 0;
          }
        });
  }

  /** The revision of the last write of this controller's record. */
  public long registrationRevision() {
    return registrationRevision;
  }

  /**
   * To be called when this controller's record is missing or another incarnation's although the
   * lease seems to be alive. The record is written again after the next renewal.
   */
  public void recordLost() {
    if (registered && leaseId != 0) {
      registered = false;
    }
  }

  /** The ID of the current lease in the state service; 0 while there is none. */
  public long leaseId() {
    return leaseId;
  }

  public Duration leaseDuration() {
    return leaseDuration;
  }

  public boolean registered() {
    return registered;
  }

  /**
   * Whether the lease is valid and the cluster state is fresh enough to base decisions about other
   * controllers on. After a stall it is fresh only once it is up to date as of a later moment,
   * since others may have taken over what it still shows as owned by this controller.
   */
  public boolean validAndFresh() {
    stallDetector.check();
    return valid() && watcher.upToDateAsOf().compareTo(stallDetector.runningSince()) >= 0;
  }

  /**
   * Describes for logs why this controller may act or not: its registration, the age of the last
   * renewal, and the age and revision of the cluster state.
   */
  public String describe() {
    return "registered="
        + (registered ? registrationRevision : "no")
        + " lease="
        + leaseId
        + " renewed="
        + age(renewedAt)
        + " synced="
        + age(watcher.upToDateAsOf())
        + " copy="
        + watcher.revision();
  }

  private String age(Duration since) {
    return since == null ? "never" : loop.now().minus(since).toMillis() + "ms";
  }

  /** Whether this controller may act now; to be checked immediately before each action. */
  public boolean valid() {
    if (!registered || renewedAt == null || watcher.upToDateAsOf() == null) {
      return false;
    }
    return isRecent(renewedAt) && isRecent(watcher.upToDateAsOf());
  }

  /**
   * Whether less than the safe part of the lease duration has passed since the given time, so that
   * workers may still be answered.
   */
  public boolean isRecent(Duration since) {
    return loop.now().minus(since).compareTo(safeDuration) < 0;
  }
}
