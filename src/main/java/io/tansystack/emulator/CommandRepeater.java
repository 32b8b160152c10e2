package io.tansystack.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Sets;
import io.tansystack.http.EventLoop;
import java.time.Duration;
import java.util.Random;
import java.util.Set;

/**
 * Delivers requests with commands to emulated workers once more, some time after they were executed
 * and answered. A worker that executes a start command again has been allowed to forget an attempt
 * too early, which counts as a violation.
 */
final class CommandRepeater {
  private final EventLoop loop;
  private final ScaleSettings.RepeatedCommands settings;
  private final RuleChecker ruleChecker;
  private final Random random;
  private int repeatedCount;

  CommandRepeater(
      EventLoop loop,
      ScaleSettings.RepeatedCommands settings,
      RuleChecker ruleChecker,
      Random random) {
    this.loop = loop;
    this.settings = settings;
    this.ruleChecker = ruleChecker;
    this.random = random;
  }

  /** Notes that a worker has executed commands; a copy of them may arrive later. */
  void onExecuted(EmulatedWorker worker, ObjectNode commands) {
    if (settings.share() > 0 && random.nextDouble() < settings.share()) {
      long rangeNanos = settings.maxDelay().minus(settings.minDelay()).toNanos();
      Duration delay = settings.minDelay().plusNanos((long) (random.nextDouble() * rangeNanos));
      loop.after(delay, () -> repeat(worker, commands));
    }
  }

  private void repeat(EmulatedWorker worker, ObjectNode commands) {
    if (worker.isDead()) {
      return;
    }
    repeatedCount++;
    Set<String> heldBefore = worker.heldAttempts();
    worker.handleCommands(commands);
    Sets.difference(worker.heldAttempts(), heldBefore)
        .forEach(attempt -> ruleChecker.startExecutedAgain(worker.name(), attempt));
  }

  /** Number of copies that workers have received. */
  int repeatedCount() {
    return repeatedCount;
  }
}
