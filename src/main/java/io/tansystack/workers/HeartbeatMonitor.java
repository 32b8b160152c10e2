package io.tansystack.workers;

import java.time.Duration;
import java.util.Collection;

/**
 * Tells how long machines have been silent, and whether so many are silent at once that this
 * controller itself is isolated from its workers.
 */
final class HeartbeatMonitor {
  /**
   * Since when reports have been received and answered. Earlier silence was caused by this
   * controller itself.
   */
  private Duration listeningSince;

  private boolean isolatedFromWorkers;

  HeartbeatMonitor(Duration now) {
    this.listeningSince = now;
  }

  /**
   * Restarts the silence timers after a pause of this process or a time in which it could not
   * answer reports: silence during that time says nothing about the machines.
   */
  void restartSilenceTimers(Duration now) {
    listeningSince = now;
  }

  Duration listeningSince() {
    return listeningSince;
  }

  /**
   * How long the machine has sent no reports, or has not received the responses to them; it can't
   * be used in either case.
   */
  Duration silence(OwnedMachine machine, Duration now) {
    return timeSince(machine.lastHealthyAt(), now);
  }

  private Duration timeSince(Duration last, Duration now) {
    return now.minus(last.compareTo(listeningSince) > 0 ? last : listeningSince);
  }

  /**
   * Counts the silent machines of this controller. Those whose reports arrive while responses don't
   * reach them are left out.
   */
  void evaluate(Collection<OwnedMachine> machines, Duration now) {
    int silentCount = 0;
    int total = 0;
    for (OwnedMachine machine : machines) {
      if (!machine.responsesLost()) {
        total++;
        Duration silence = timeSince(machine.leaseStart.answeredAt(), now);
        silentCount += MachineViewPublisher.isSilent(silence) ? 1 : 0;
      }
    }
    isolatedFromWorkers = silentCount > 2 && silentCount > total * WorkerManager.MASS_SILENCE_SHARE;
  }

  /**
   * Whether more than {@link WorkerManager#MASS_SILENCE_SHARE} of the machines, and more than two,
   * were silent at the last evaluation.
   */
  boolean isolatedFromWorkers() {
    return isolatedFromWorkers;
  }
}
