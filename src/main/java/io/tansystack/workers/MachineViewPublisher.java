package io.tansystack.workers;

import io.tansystack.wire.Report;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/** When the others are told of a machine: at once what proves something, the rest now and then. */
final class MachineViewPublisher {
  private static final Duration SILENT = Duration.ofSeconds(7);
  private static final Duration TELL_SILENT = Duration.ofSeconds(3);
  private static final Duration TELL_HINTS = Duration.ofSeconds(6);
  private static final Duration TELL_SAME = Duration.ofSeconds(30);

  private final Consumer<MachineView> publish;

  MachineViewPublisher(Consumer<MachineView> publish) {
    this.publish = publish;
  }

  /** Whether a machine that has not been heard for so long counts as silent. */
  static boolean silent(Duration silence) {
    return silence.compareTo(SILENT) > 0;
  }

  /**
   * @param held the owner's token for the machine. It is told once the worker has been answered under
   *     it: before that nobody knows whether it is there, and work should go elsewhere
   */
  void tell(
      OwnedMachine machine,
      long held,
      List<MachineView.AbsentAttempt> voids,
      Duration silence,
      Duration now) {
    boolean met = machine.answeredUnder == held || machine.latest.token() == held;
    long token = met ? held : machine.latest.token();
    MachineView old = machine.published;
    Duration since = now.minus(machine.publishedAt);
    if (old != null
        && old.report().tasks() == machine.latest.tasks()
        && old.report().session() == machine.latest.session()
        && old.report().token() == machine.latest.token()
        && (old.report().noticeS() == null) == (machine.latest.noticeS() == null)
        && old.token() == token
        && old.unhearing() == machine.unhearing()
        && old.voids().equals(voids)
        && since.compareTo(silent(silence) ? TELL_SILENT : TELL_SAME) < 0) {
      return;
    }
    MachineView view =
        new MachineView(
            machine.latest,
            token,
            voids,
            machine.history.images(),
            machine.history.fetchGbPerS(),
            machine.history.slowness(),
            Math.max(0, silence.toMillis()),
            machine.unhearing());
    if (old != null
        && since.compareTo(due(old, view)) < 0
        && !(silent(silence) && since.compareTo(TELL_SILENT) >= 0)) {
      return;
    }
    machine.published = view;
    machine.publishedAt = now;
    publish.accept(view);
  }

  /**
   * How long after the last telling the next one is due. What placements end by, and what closes or
   * opens a machine, is told at once; how far its fetches are is a hint and can wait.
   */
  private static Duration due(MachineView old, MachineView view) {
    Report before = old.report();
    Report latest = view.report();
    if (old.token() != view.token()
        || old.unhearing() != view.unhearing()
        || before.session() != latest.session()
        || before.token() != latest.token()
        || (before.noticeS() == null) != (latest.noticeS() == null)
        || !view.provesMoreThan(old).isEmpty()) {
      return Duration.ZERO;
    }
    return before.tasks().equals(latest.tasks()) ? TELL_SAME : TELL_HINTS;
  }
}
