package io.tansystack.sessions;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Read;

/**
 * A session as the state service keeps it, beside its job of the same id. Every change is one of the
 * methods here, written on the condition that the record still has the version it was read with; so of
 * an owner who comes back and a holder who reclaims, one wins and the other reads what won.
 *
 * @param id the job's
 * @param owner who opened it
 * @param index its place in the slot's bitmaps of activity ({@link ActivityMarks}), never used again
 *     while the slot has it
 * @param openedSpan the newest span of these at its opening: its age in spans, not by any clock
 * @param reason why it was warned, reclaimed or closed; empty before
 * @param saved where its saved state is, as its agent told; empty if nobody did
 */
public record SessionRecord(
    String id,
    String owner,
    int index,
    long openedSpan,
    State state,
    String reason,
    String saved) {

  /** The states that are written. That one is idle is the holder's opinion and follows from marks. */
  public enum State {
    ACTIVE("active"),
    WARNED("warned"),
    RECLAIMING("reclaiming"),
    RECLAIMED("reclaimed"),
    CLOSED("closed");

    final String text;

    State(String text) {
      this.text = text;
    }

    /** Whether it can never be used again, though its job may still have to end. */
    public boolean over() {
      return this == RECLAIMING || this == RECLAIMED || this == CLOSED;
    }
  }

  /** What becomes of an owner who comes to a session in this state. */
  public enum Return {
    /** It is theirs, and nothing need be written. */
    BACK,
    /** It is theirs once {@link #resumed} has been written, and not before. */
    RESUME,
    /** It is over; the record says why and where saved state is. */
    OVER
  }

  public static SessionRecord opened(String id, String owner, int index, long openedSpan) {
    return new SessionRecord(id, owner, index, openedSpan, State.ACTIVE, "", "");
  }

  public Return onReturn() {
    return switch (state) {
      case ACTIVE -> Return.BACK;
      case WARNED -> Return.RESUME;
      case RECLAIMING, RECLAIMED, CLOSED -> Return.OVER;
    };
  }

  private SessionRecord from(State needed, State next, String why) {
    if (state != needed) {
      throw new IllegalStateException(
          "session " + id + " is " + state.text + ", so it can't become " + next.text);
    }
    return new SessionRecord(id, owner, index, openedSpan, next, why, saved);
  }

  /** Its watchers are to be told that it will be reclaimed. */
  public SessionRecord warned(String why) {
    return from(State.ACTIVE, State.WARNED, why);
  }

  /** Its owner is back, or what it was warned for has passed. */
  public SessionRecord resumed() {
    return from(State.WARNED, State.ACTIVE, "");
  }

  /** Written together with the cancellation of its job. */
  public SessionRecord reclaiming() {
    return from(State.WARNED, State.RECLAIMING, reason);
  }

  /** Its job is over, and so nothing of it is left anywhere. */
  public SessionRecord reclaimed() {
    return from(State.RECLAIMING, State.RECLAIMED, reason);
  }

  /** Its owner is done with it, or its job has ended by itself. */
  public SessionRecord closed(String why) {
    return from(state == State.WARNED ? State.WARNED : State.ACTIVE, State.CLOSED, why);
  }

  /** Its agent has told where it saves; that is no transition. */
  public SessionRecord savedAt(String where) {
    return new SessionRecord(id, owner, index, openedSpan, state, reason, where);
  }

  public static SessionRecord read(String id, ObjectNode map) throws BadInput {
    String text = Read.text(map, "state");
    for (State state : State.values()) {
      if (state.text.equals(text)) {
        return new SessionRecord(
            id,
            Read.text(map, "owner"),
            (int) Read.integer(map, "index", 0, Integer.MAX_VALUE),
            Read.integer(map, "opened"),
            state,
            Read.text(map, "reason"),
            Read.text(map, "saved"));
      }
    }
    throw new BadInput("state: unknown value");
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map().put("owner", owner).put("index", index).put("opened", openedSpan);
    return map.put("state", state.text).put("reason", reason).put("saved", saved);
  }
}
