package io.tansystack.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Bodies of the responses to users and workers. */
public final class Responses {
  private Responses() {}

  /** The status of a job as users see it. */
  public enum JobStatus {
    PENDING("pending"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn");

    final String wireName;

    JobStatus(String wireName) {
      this.wireName = wireName;
    }
  }

  public static ObjectNode jobStatus(String id, JobStatus status) {
    return Cbor.map().put("Uid", id).put("Status", status.wireName);
  }

  /** The status of a job with the numbers of its done and running tasks. */
  public static ObjectNode jobProgress(String id, JobStatus status, int done, int running) {
    return jobStatus(id, status).put("done", done).put("running", running);
  }

  /**
   * Accepts a worker's report under the owner's fencing token ({@code Baton}). Commands are sent
   * only by {@code POST /orders}, so the list of commands ({@code Signals}) is always empty.
   */
  public static ObjectNode reportAccepted(long token) {
    ObjectNode map = Cbor.map().put("Baton", token);
    map.putArray("Signals");
    return map;
  }

  /**
   * Redirects a worker to another controller.
   *
   * @param ownerLabel the label of the machine's owner ({@code Dispatcher}); null makes the worker
   *     try the next controller
   */
  public static ObjectNode redirect(String ownerLabel) {
    ObjectNode map = Cbor.map();
    if (ownerLabel != null) {
      map.put("Dispatcher", ownerLabel);
    }
    return map;
  }

  public static ObjectNode error(String reason) {
    return Cbor.map().put("error", reason);
  }
}
