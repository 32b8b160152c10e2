package io.tansystack.workers;

import java.time.Duration;
import java.util.Collection;

/** How long machines have been silent, and whether it is they or this controller that can't be heard. */
final class HeartbeatMonitor {
  /** Since when reports were heard and answered; before that, silences were this controller's own. */
  private Duration listeningSince;

  private boolean deaf;

  HeartbeatMonitor(Duration now) {
    this.listeningSince = now;
  }

  /** This process stood still, or could not answer: no machine is to be judged by that time. */
  void listenAnew(Duration now) {
    listeningSince = now;
  }

  Duration listeningSince() {
    return listeningSince;
  }

  /** For how long the machine has not been heard, or has not heard: either way it is of no use. */
  Duration of(OwnedMachine machine, Duration now) {
    return since(machine.soundAt(), now);
  }

  private Duration since(Duration last, Duration now) {
    return now.minus(last.compareTo(listeningSince) > 0 ? last : listeningSince);
  }

  /** Looks at all machines of this controller, but for those that it hears and that don't hear it. */
  void judge(Collection<OwnedMachine> machines, Duration now) {
    int silent = 0;
    int all = 0;
    for (OwnedMachine machine : machines) {
      if (!machine.unhearing()) {
        all++;
        silent += MachineViewPublisher.silent(since(machine.answeredAt, now)) ? 1 : 0;
      }
    }
    deaf = silent > 2 && silent > all * WorkerManager.MASS;
  }

  /** Whether most machines had fallen silent together when they were looked at last. */
  boolean deaf() {
    return deaf;
  }
}
