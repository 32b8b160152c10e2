package io.tansystack.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Undertow's server for a controller's front and peer addresses. It runs on the event loop's thread
 * and reads each request body completely, up to a size limit, before the service is called.
 * Connections that nobody serves any more are closed in the time that {@link ServerTimeouts}
 * states.
 */
public final class HttpServer {
  /** Handles requests on the event loop. */
  public interface Service {
    /** Handles one request; the reply may be sent later, but only from the event loop. */
    void handle(String method, String path, byte[] body, Reply reply);
  }

  /** Sends the response to a request. Only the first call has an effect. */
  public interface Reply {
    /** @param retryAfterS value of the Retry-After header in seconds; 0 for no such header */
    void send(int status, byte[] body, int retryAfterS);

    default void send(int status, byte[] body) {
      send(status, body, 0);
    }
  }

  private final Undertow undertow;

  /**
   * @param frontMaxBodyBytes longer request bodies on the front address are rejected unread
   * @param peerMaxBodyBytes likewise, on the peer address
   */
  public HttpServer(
      XnioWorker worker,
      ByteBufferPool buffers,
      InetSocketAddress frontAddress,
      Service frontService,
      int frontMaxBodyBytes,
      InetSocketAddress peerAddress,
      Service peerService,
      int peerMaxBodyBytes,
      ServerTimeouts timeouts) {
    undertow =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
            .setServerOption(
                UndertowOptions.NO_REQUEST_TIMEOUT, ServerTimeouts.undertowMillis(timeouts.idle()))
            .setServerOption(
                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                ServerTimeouts.undertowMillis(timeouts.transfer()))
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.BACKLOG, 256)
            .addListener(
                listener(
                    frontAddress, new ServiceHandler(frontService, frontMaxBodyBytes, timeouts)))
            .addListener(
                listener(
                    peerAddress, new ServiceHandler(peerService, peerMaxBodyBytes, timeouts)))
            .build();
  }

  private static Undertow.ListenerBuilder listener(InetSocketAddress address, HttpHandler handler) {
    return new Undertow.ListenerBuilder()
        .setType(Undertow.ListenerType.HTTP)
        .setHost(address.getHostString())
        .setPort(address.getPort())
        .setRootHandler(handler);
  }

  public void start() {
    undertow.start();
  }

  public void stop() {
    undertow.stop();
  }
}
