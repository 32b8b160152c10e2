package io.tansystack.wire;

/** One task of a job, written {@code job/index} on the wire. */
public record TaskId(String job, int index) {
  static TaskId parse(String text) throws InvalidMessageException {
    int slash = text.indexOf('/');
    if (slash < 1 || text.length() - slash > 7) {
      throw new InvalidMessageException("Wagon: not a task name");
    }
    try {
      return new TaskId(text.substring(0, slash), Integer.parseUnsignedInt(text.substring(slash + 1)));
    } catch (NumberFormatException e) {
      throw new InvalidMessageException("Wagon: not a task name");
    }
  }

  // Written out: the generated ones go through method handles, which cost several times as much on
  // the first compiler tier, and these are keys and elements that are compared all the time.

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
