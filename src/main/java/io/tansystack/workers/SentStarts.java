package io.tansystack.workers;

import io.tansystack.recovery.TaskAttempt;
import io.tansystack.wire.Command;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The start commands that this process has sent to a machine under its newest token. A request may
 * arrive once more at any later time, and a worker that has forgotten an attempt executes a
 * repeated start command for it. What prevents that is a higher token: the worker refuses requests
 * under a lower one than the highest that it has received. So an attempt may be forgotten only
 * under a higher token than that of its start command.
 *
 * <p>A token belongs to one incarnation of one controller ({@link OwnedMachine#token}). So an
 * attempt that is not listed here was started under a lower token than the newest one, whoever
 * started it, and no record of start commands has to survive a restart.
 */
final class SentStarts {
  private final Set<TaskAttempt> attempts = new HashSet<>();
  private long token = -1;
  private long session = -1;

  /** Notes commands that are being sent under the token, in a session of the worker. */
  void onSent(long sentToken, long sentSession, List<Command> commands) {
    if (token != sentToken || session != sentSession) {
      attempts.clear();
      token = sentToken;
      session = sentSession;
    }
    for (Command command : commands) {
      if (command.op() == Command.Op.START) {
        attempts.add(new TaskAttempt(command.task(), command.attempt()));
      }
    }
  }

  /** Whether a start command for the attempt was sent under the token. */
  boolean sentUnder(long candidate, TaskAttempt attempt) {
    return token == candidate && attempts.contains(attempt);
  }
}
