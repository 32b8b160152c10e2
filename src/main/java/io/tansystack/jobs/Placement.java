package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Read;

/**
 * Tasks of a job that may exist on a machine in one of its sessions, all under one attempt number.
 * Recorded before the launch goes out and dropped only on proof. With {@code stop} set they are no
 * longer wanted: whoever owns the machine stops them and never launches them.
 */
public record Placement(String machine, long session, long attempt, TaskSet tasks, boolean stop) {

  static Placement read(ObjectNode map) throws BadInput {
    return new Placement(
        Read.text(map, "m"),
        Read.integer(map, "s"),
        Read.integer(map, "a"),
        tasks(map, "t"),
        Read.flagOr(map, "x", false));
  }

  static TaskSet tasks(ObjectNode map, String field) throws BadInput {
    try {
      return TaskSet.parse(Read.text(map, field));
    } catch (IllegalArgumentException e) {
      throw new BadInput(field + ": not task ranges");
    }
  }

  ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("m", machine).put("s", session).put("a", attempt).put("t", tasks.toString());
    if (stop) {
      map.put("x", true);
    }
    return map;
  }

  public Placement withTasks(TaskSet left) {
    return new Placement(machine, session, attempt, left, stop);
  }
}
