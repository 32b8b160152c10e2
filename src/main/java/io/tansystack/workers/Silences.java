package io.tansystack.workers;

import java.time.Duration;
import java.util.Collection;

/** How long machines have been silent, and whether it is they or this controller that can't be heard. */
final class Silences {
  /** Since when reports were heard and answered; before that, silences were this controller's own. */
  private Duration listeningSince;

  private boolean deaf;

  Silences(Duration now) {
    this.listeningSince = now;
  }

  /** This process stood still, or could not answer: no machine is to be judged by that time. */
  void listenAnew(Duration now) {
    listeningSince = now;
  }

  Duration listeningSince() {
    return listeningSince;
  }

  Duration of(OwnedMachine machine, Duration now) {
    boolean later = machine.answeredAt.compareTo(listeningSince) > 0;
    return now.minus(later ? machine.answeredAt : listeningSince);
  }

  /** Looks at all machines of this controller. */
  void judge(Collection<OwnedMachine> machines, Duration now) {
    int silent = 0;
    for (OwnedMachine machine : machines) {
      silent += Telling.silent(of(machine, now)) ? 1 : 0;
    }
    deaf = silent > 2 && silent > machines.size() * WorkerDesk.MASS;
  }

  /** Whether most machines had fallen silent together when they were looked at last. */
  boolean deaf() {
    return deaf;
  }
}
