package io.tansystack.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The state of a task as its worker reports it.
 *
 * @param cause why the task has exited; null in all other states
 * @param saved whether the task stored a checkpoint when it was stopped
 */
public record TaskReport(TaskId task, long attempt, State state, Cause cause, boolean saved) {

  /**
   * The state of a task on a machine. Controllers exchange the ordinals, so the order of the
   * constants must not change.
   */
  public enum State {
    /** The image is being fetched. */
    FETCHING("pulling"),
    /** The task of a gang waits until all others of its attempt are ready to run. */
    WAITING("gathering"),
    RUNNING("running"),
    /** The task is being stopped and stores a checkpoint. */
    SAVING("flushing"),
    EXITED("ended");

    final String wireName;

    State(String wireName) {
      this.wireName = wireName;
    }
  }

  /**
   * Why a task has exited. Controllers exchange the ordinals, so the order of the constants must
   * not change.
   */
  public enum Cause {
    DONE("done"),
    /** Stopped by a command. */
    STOPPED("halted"),
    /** Another task of the gang has ended or does not respond. */
    PEERS("mates_gone"),
    /** The other tasks of the gang did not become ready in time. */
    ALONE("incomplete"),
    ERROR("error"),
    /** The machine has too little free capacity for the task. */
    NO_ROOM("full"),
    /** Another attempt of the same task is still on the machine. */
    BUSY("busy"),
    /** The task refers to something that does not exist. */
    UNKNOWN("no_such"),
    /** Any value that this protocol version does not define. */
    OTHER("other");

    final String wireName;

    Cause(String wireName) {
      this.wireName = wireName;
    }
  }

  /**
   * Written by hand because the generated method is slow (see {@link TaskId}) and every report is
   * compared with the one before.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskReport report
        && attempt == report.attempt
        && state == report.state
        && cause == report.cause
        && saved == report.saved
        && task.equals(report.task);
  }

  @Override
  public int hashCode() {
    return task.hashCode() * 31 + Long.hashCode(attempt);
  }

  public boolean exited() {
    return state == State.EXITED;
  }

  static TaskReport read(ObjectNode map) throws InvalidMessageException {
    String stateText = FieldReader.text(map, "Status");
    State state = null;
    for (State candidate : State.values()) {
      if (candidate.wireName.equals(stateText)) {
        state = candidate;
      }
    }
    if (state == null) {
      throw new InvalidMessageException("Status: unknown value");
    }
    Cause cause = null;
    if (state == State.EXITED) {
      cause = Cause.OTHER;
      String causeText = FieldReader.textOrNull(map, "Cause");
      for (Cause candidate : Cause.values()) {
        if (candidate.wireName.equals(causeText)) {
          cause = candidate;
        }
      }
    }
    return new TaskReport(
        TaskId.parse(FieldReader.text(map, "Wagon")),
        FieldReader.integer(map, "Departure"),
        state,
        cause,
        FieldReader.flagOr(map, "Stored", false));
  }

  ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("Wagon", task.toString()).put("Departure", attempt).put("Status", state.wireName);
    if (cause != null) {
      map.put("Cause", cause.wireName);
    }
    if (saved) {
      map.put("Stored", true);
    }
    return map;
  }
}
