package io.tansystack.recovery;

import io.tansystack.wire.TaskId;

/**
 * An attempt of a task on one machine. Used as a map key; {@code equals} and {@code hashCode} are
 * written out for the reason given in {@link TaskId}.
 */
public record TaskAttempt(TaskId task, long number) {
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskAttempt a && number == a.number && task.equals(a.task);
  }

  @Override
  public int hashCode() {
    return task.hashCode() * 31 + Long.hashCode(number);
  }
}
