package io.tansystack.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A command to a worker.
 *
 * @param graceS the seconds that a task has to save its state before it is killed; 0 stops it at
 *     once. It is sent with STOP only.
 */
public record Command(Op op, TaskId task, long attempt, double graceS) {

  /** The operation ({@code Aspect} in the protocol). */
  public enum Op {
    START("launch"),
    STOP("halt"),
    /** Removes an ended task from the worker's reports. */
    FORGET("forget");

    final String wireName;

    Op(String wireName) {
      this.wireName = wireName;
    }
  }

  private ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("Aspect", op.wireName).put("Wagon", task.toString()).put("Departure", attempt);
    if (op == Op.STOP) {
      map.put("SlackS", graceS);
    }
    return map;
  }

  /**
   * The body of {@code POST /orders}.
   *
   * @param token the fencing token under which the sender owns the machine ({@code Baton})
   * @param session the session of the worker that the commands are meant for ({@code Shift})
   */
  public static byte[] encodeAll(long token, long session, List<Command> commands) {
    ObjectNode map = Cbor.map();
    map.put("Baton", token).put("Shift", session);
    ArrayNode list = map.putArray("Signals");
    commands.forEach(command -> list.add(command.write()));
    return Cbor.encode(map);
  }
}
