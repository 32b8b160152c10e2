package io.tansystack.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A command to a worker. {@code graceS} counts for stops alone. */
public record Command(Op op, TaskId task, long attempt, double graceS) {

  /** What the worker is told to do. */
  public enum Op {
    START("launch"),
    STOP("halt"),
    FORGET("forget");

    final String wire;

    Op(String wire) {
      this.wire = wire;
    }
  }

  private ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("Aspect", op.wire).put("Wagon", task.toString()).put("Departure", attempt);
    if (op == Op.STOP) {
      map.put("SlackS", graceS);
    }
    return map;
  }

  /** The body of {@code POST /orders}. */
  public static byte[] orders(long token, long session, List<Command> commands) {
    ObjectNode map = Cbor.map();
    map.put("Baton", token).put("Shift", session);
    ArrayNode list = map.putArray("Signals");
    commands.forEach(command -> list.add(command.write()));
    return Cbor.encode(map);
  }
}
