package io.tansystack.http;

import com.google.common.collect.Comparators;
import java.time.Duration;

/**
 * How long a server waits. A duration of zero stands for no limit.
 *
 * @param idle a connection on which no request arrives for this long is closed
 * @param transfer a connection is closed if the rest of a request that has begun, or the reading of
 *     its response, takes longer than this
 * @param reply a request without a reply of the service is answered with 503 after this time
 */
public record ServerTimeouts(Duration idle, Duration transfer, Duration reply) {
  /** For servers whose clients decide how long to wait, such as stand-ins for other systems. */
  public static final ServerTimeouts NONE =
      new ServerTimeouts(Duration.ZERO, Duration.ZERO, Duration.ZERO);

  /** Longer than any client of the protocol waits for a response. */
  private static final Duration CONTROLLER_TIMEOUT = Duration.ofSeconds(10);

  /** A user may be asked to wait this long between two requests. */
  private static final Duration MIN_IDLE = Duration.ofSeconds(30);

  /** Sockets must be free again before a job counts as forgotten, after 75 s. */
  private static final Duration MAX_IDLE = Duration.ofSeconds(60);

  /**
   * The timeouts of a controller. The connection of a worker is idle for longer than the worker's
   * lease only after the lease has expired.
   */
  public static ServerTimeouts ofController(Duration workerLease) {
    Duration idle = Comparators.min(Comparators.max(workerLease, MIN_IDLE), MAX_IDLE);
    return new ServerTimeouts(idle, CONTROLLER_TIMEOUT, CONTROLLER_TIMEOUT);
  }

  /** The duration as an option of Undertow, where -1 stands for no limit. */
  static int undertowMillis(Duration timeout) {
    return timeout.isZero() ? -1 : (int) timeout.toMillis();
  }
}
