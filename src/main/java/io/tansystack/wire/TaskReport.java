package io.tansystack.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** One task as its worker reports it. */
public record TaskReport(TaskId task, long attempt, State state, Cause cause, boolean saved) {

  /** What a task on a machine is doing. */
  public enum State {
    FETCHING("pulling"),
    WAITING("gathering"),
    RUNNING("running"),
    SAVING("flushing"),
    EXITED("ended");

    final String wire;

    State(String wire) {
      this.wire = wire;
    }
  }

  /** Why a task has exited; OTHER stands for words of later protocol versions. */
  public enum Cause {
    DONE("done"),
    STOPPED("halted"),
    PEERS("mates_gone"),
    ALONE("incomplete"),
    ERROR("error"),
    NO_ROOM("full"),
    BUSY("busy"),
    UNKNOWN("no_such"),
    OTHER("other");

    final String wire;

    Cause(String wire) {
      this.wire = wire;
    }
  }

  /** Written out for the reason given in {@link TaskId}: every report is compared to the one before. */
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
      if (candidate.wire.equals(stateText)) {
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
        if (candidate.wire.equals(causeText)) {
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
    map.put("Wagon", task.toString()).put("Departure", attempt).put("Status", state.wire);
    if (cause != null) {
      map.put("Cause", cause.wire);
    }
    if (saved) {
      map.put("Stored", true);
    }
    return map;
  }
}
