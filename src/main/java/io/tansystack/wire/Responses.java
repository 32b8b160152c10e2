package io.tansystack.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Bodies of the answers to users and workers. */
public final class Responses {
  private Responses() {}

  /** A job's state as users see it. */
  public enum JobStatus {
    PENDING("pending"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn");

    final String wire;

    JobStatus(String wire) {
      this.wire = wire;
    }
  }

  public static ObjectNode job(String id, JobStatus state) {
    return Cbor.map().put("Uid", id).put("Status", state.wire);
  }

  public static ObjectNode progress(String id, JobStatus state, int done, int running) {
    return job(id, state).put("done", done).put("running", running);
  }

  /** Accepts a report. Commands travel by {@code /orders} alone, so the list is always empty. */
  public static ObjectNode report(long token) {
    ObjectNode map = Cbor.map().put("Baton", token);
    map.putArray("Signals");
    return map;
  }

  /** Sends a worker on; with {@code label} null it tries the next node. */
  public static ObjectNode redirect(String label) {
    ObjectNode map = Cbor.map();
    if (label != null) {
      map.put("Dispatcher", label);
    }
    return map;
  }

  public static ObjectNode error(String why) {
    return Cbor.map().put("error", why);
  }
}
