package io.tansystack.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Closes the connection of an exchange unless it is cancelled in time. */
final class ConnectionTimeout {
  private static final Logger log = LoggerFactory.getLogger(ConnectionTimeout.class);

  private final XnioExecutor.Key key;

  private ConnectionTimeout(XnioExecutor.Key key) {
    this.key = key;
  }

  /**
   * Starts a timeout; it has no effect if the timeout is zero.
   *
   * @param waitingFor what the other side has to do, for the log
   */
  static ConnectionTimeout start(
      HttpServerExchange exchange, Duration timeout, String waitingFor) {
    if (timeout.isZero()) {
      return new ConnectionTimeout(null);
    }
    ServerConnection connection = exchange.getConnection();
    return new ConnectionTimeout(
        exchange
            .getIoThread()
            .executeAfter(
                () -> {
                  log.debug("closing {}: waited for {}", connection.getPeerAddress(), waitingFor);
                  IoUtils.safeClose(connection);
                },
                timeout.toNanos(),
                TimeUnit.NANOSECONDS));
  }

  void cancel() {
    if (key != null) {
      key.remove();
    }
  }
}
