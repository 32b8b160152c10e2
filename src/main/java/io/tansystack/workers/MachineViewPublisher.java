package io.tansystack.workers;

import io.tansystack.wire.Report;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Publishes the views of this controller's machines to the other controllers: proofs at once, the
 * rest at intervals.
 */
final class MachineViewPublisher {
  /** A machine that has been silent for longer counts as silent. */
  private static final Duration SILENCE_THRESHOLD = Duration.ofSeconds(7);

  /** Interval for a silent machine. */
  private static final Duration SILENT_INTERVAL = Duration.ofSeconds(3);

  /** Interval if nothing but hints has changed. */
  private static final Duration HINTS_INTERVAL = Duration.ofSeconds(6);

  /** Interval if nothing has changed. */
  private static final Duration UNCHANGED_INTERVAL = Duration.ofSeconds(30);

  private final Consumer<MachineView> publish;

  MachineViewPublisher(Consumer<MachineView> publish) {
    this.publish = publish;
  }

  /** Whether a machine that has been silent for this long counts as silent. */
  static boolean isSilent(Duration silence) {
    return silence.compareTo(SILENCE_THRESHOLD) > 0;
  }

  /**
   * Publishes the machine's view if it is due.
   *
   * @param ownerToken the owner's token for the machine. It is published once the worker has been
   *     answered under it: before that it is unknown whether the worker is still there, and work
   *     should go elsewhere
   */
  void publishIfDue(
      OwnedMachine machine,
      long ownerToken,
      List<MachineView.AbsentAttempt> absentAttempts,
      Duration silence,
      Duration now) {
    boolean answeredUnderToken =
        machine.answeredUnderToken == ownerToken || machine.latest.token() >= ownerToken;
    long token = answeredUnderToken ? ownerToken : machine.latest.token();
    MachineView previous = machine.lastView;
    Duration sincePublished = now.minus(machine.publishedAt);
    if (previous != null
        && previous.report().tasks() == machine.latest.tasks()
        && previous.report().session() == machine.latest.session()
        && reportsToken(previous.report()) == reportsToken(machine.latest)
        && (previous.report().reclaimNoticeS() == null) == (machine.latest.reclaimNoticeS() == null)
        && previous.token() == token
        && previous.unfitForTasks() == machine.unfitForTasks()
        && previous.absentAttempts().equals(absentAttempts)
        && sincePublished.compareTo(isSilent(silence) ? SILENT_INTERVAL : UNCHANGED_INTERVAL) < 0) {
      return;
    }
    MachineView view =
        new MachineView(
            machine.latest,
            token,
            absentAttempts,
            machine.history.images(),
            machine.history.fetchGbPerS(),
            machine.history.slowness(),
            Math.max(0, silence.toMillis()),
            machine.unfitForTasks());
    if (previous != null
        && sincePublished.compareTo(minInterval(previous, view)) < 0
        && !(isSilent(silence) && sincePublished.compareTo(SILENT_INTERVAL) >= 0)) {
      return;
    }
    machine.lastView = view;
    machine.publishedAt = now;
    publish.accept(view);
  }

  /**
   * Whether the worker has received a token. Which one does not matter to other controllers: an
   * owner raises it whenever tasks have ended.
   */
  private static boolean reportsToken(Report report) {
    return report.token() > 0;
  }

  /**
   * How long after the last view the next one is due. Proofs that placements have ended, and
   * changes that make a machine usable or unusable, are published at once; the progress of image
   * fetches is a hint and can wait.
   */
  private static Duration minInterval(MachineView previous, MachineView view) {
    Report before = previous.report();
    Report latest = view.report();
    if (previous.token() != view.token()
        || previous.unfitForTasks() != view.unfitForTasks()
        || before.session() != latest.session()
        || reportsToken(before) != reportsToken(latest)
        || (before.reclaimNoticeS() == null) != (latest.reclaimNoticeS() == null)
        || !view.jobsWithNewProofs(previous).isEmpty()) {
      return Duration.ZERO;
    }
    return before.tasks().equals(latest.tasks()) ? UNCHANGED_INTERVAL : HINTS_INTERVAL;
  }
}
