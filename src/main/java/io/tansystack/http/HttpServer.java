package io.tansystack.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Undertow's server on the loop's thread: bodies are read whole and within the limit. */
public final class HttpServer {
  /** A request body may be at most this long; a longer one is refused unread. */
  public static final int MAX_BODY = 64 * 1024;

  /** Answers one request, at once or later, always on the loop. */
  public interface Service {
    void handle(String method, String path, byte[] body, Reply reply);
  }

  /** The way back to the one who asked. The first answer counts, later ones are ignored. */
  public interface Reply {
    void send(int status, byte[] body, int retryAfterS);

    default void send(int status, byte[] body) {
      send(status, body, 0);
    }
  }

  private final Undertow undertow;

  public HttpServer(
      XnioWorker worker,
      ByteBufferPool buffers,
      InetSocketAddress front,
      Service frontService,
      InetSocketAddress peer,
      Service peerService,
      int maxBodyPeer) {
    undertow =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, -1)
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.BACKLOG, 256)
            .addListener(listener(front, new ServiceHandler(frontService, MAX_BODY)))
            .addListener(listener(peer, new ServiceHandler(peerService, maxBodyPeer)))
            .build();
  }

  private static Undertow.ListenerBuilder listener(InetSocketAddress at, HttpHandler handler) {
    return new Undertow.ListenerBuilder()
        .setType(Undertow.ListenerType.HTTP)
        .setHost(at.getHostString())
        .setPort(at.getPort())
        .setRootHandler(handler);
  }

  public void start() {
    undertow.start();
  }

  public void stop() {
    undertow.stop();
  }
}
