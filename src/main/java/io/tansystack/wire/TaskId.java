package io.tansystack.wire;

/** A task of a job, written {@code job/index} in messages. */
public record TaskId(String job, int index) {
  /** The most digits of an index. */
  private static final int MAX_DIGITS = 6;

  static TaskId parse(String text) throws InvalidMessageException {
    int slash = text.indexOf('/');
    if (slash < 1 || text.length() - slash > MAX_DIGITS + 1) {
      throw new InvalidMessageException("Wagon: not a task name");
    }
    try {
      return new TaskId(
          text.substring(0, slash), Integer.parseUnsignedInt(text.substring(slash + 1)));
    } catch (NumberFormatException e) {
      throw new InvalidMessageException("Wagon: not a task name");
    }
  }

  // equals and hashCode are written by hand: the generated ones go through method handles, which
  // cost several times as much in code compiled by the first JIT tier, and task IDs are compared
  // constantly as keys and elements of collections.

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId task && index == task.index && job.equals(task.job);
  }

  @Override
  public int hashCode() {
    return job.hashCode() * 31 + index;
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
