package io.tansystack.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/**
 * Undertow's client with a small pool of persistent connections for each address. Everything runs
 * on the event loop's thread. The numbers of waiting requests and of connections per address are
 * limited. A request that gets no response in time closes its connection, and a connection that
 * stays idle is closed too: one to a machine without power shows no other sign of its end.
 */
public final class UndertowHttpClient implements HttpClient {
  /** Idle connections are looked for this many times within the idle timeout. */
  private static final int SWEEPS_PER_TIMEOUT = 4;

  private static final Logger log = LoggerFactory.getLogger(UndertowHttpClient.class);

  private final XnioIoThread thread;
  private final EventLoop loop;
  private final ByteBufferPool buffers;
  private final int maxConnectionsPerAddress;
  private final Duration idleTimeout;
  private final Map<InetSocketAddress, ConnectionPool> pools = new HashMap<>();
  private final DelayedTask nextSweep;

  /** A client that keeps idle connections until the other side closes them. */
  public UndertowHttpClient(
      XnioIoThread thread, EventLoop loop, ByteBufferPool buffers, int maxConnectionsPerAddress) {
    this(thread, loop, buffers, maxConnectionsPerAddress, null);
  }

  /** @param idleTimeout connections that have been idle for this long are closed; null: never */
  public UndertowHttpClient(
      XnioIoThread thread,
      EventLoop loop,
      ByteBufferPool buffers,
      int maxConnectionsPerAddress,
      Duration idleTimeout) {
    this.thread = thread;
    this.loop = loop;
    this.buffers = buffers;
    this.maxConnectionsPerAddress = maxConnectionsPerAddress;
    this.idleTimeout = idleTimeout;
    this.nextSweep = new DelayedTask(loop, this::sweep);
  }

  /** The number of open connections. */
  public int openConnections() {
    return pools.values().stream().mapToInt(ConnectionPool::openConnections).sum();
  }

  /** The number of addresses of which anything is remembered. */
  int knownAddresses() {
    return pools.size();
  }

  @Override
  public void call(
      InetSocketAddress address,
      String method,
      String path,
      byte[] body,
      Duration timeout,
      ResponseHandler handler) {
    ConnectionPool pool =
        pools.computeIfAbsent(
            address, key -> new ConnectionPool(key, loop, maxConnectionsPerAddress));
    ClientCall call =
        new ClientCall(
            request(address, method, path, body),
            body,
            buffers,
            handler,
            // Deferred: Undertow has to finish this exchange before the connection is reused.
            connection -> loop.execute(() -> pool.assignOrKeepIdle(connection)));
    call.timer(loop.after(timeout, () -> fail(pool, call, false)));
    try {
      sendOrEnqueue(pool, call);
    } catch (RuntimeException e) {
      log.error("{} {} can't be sent to {}", method, path, address, e);
      boolean nothingSent = !call.started();
      loop.execute(() -> fail(pool, call, nothingSent));
    }
    scheduleSweep();
  }

  private static ClientRequest request(
      InetSocketAddress address, String method, String path, byte[] body) {
    ClientRequest request = new ClientRequest().setMethod(new HttpString(method)).setPath(path);
    request
        .getRequestHeaders()
        .put(Headers.HOST, address.getHostString() + ":" + address.getPort());
    if (body != null) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
    }
    return request;
  }

  private void sendOrEnqueue(ConnectionPool pool, ClientCall call) {
    ClientConnection connection = pool.pollIdle();
    if (connection != null) {
      call.send(connection);
    } else if (pool.enqueue(call)) {
      connectIfNeeded(pool);
    } else {
      loop.execute(() -> fail(pool, call, true));
    }
  }

  private void fail(ConnectionPool pool, ClientCall call, boolean refused) {
    if (!call.finished()) {
      pool.abandon(call);
      call.fail(refused);
    }
  }

  /** Opens a connection if calls wait for one and the limit per address allows it. */
  private void connectIfNeeded(ConnectionPool pool) {
    if (!pool.beginConnect()) {
      return;
    }
    InetSocketAddress address = pool.address;
    URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort());
    ClientCallback<ClientConnection> callback =
        new ClientCallback<>() {
          @Override
          public void completed(ClientConnection connection) {
            loop.execute(() -> onConnected(pool, connection));
          }

          @Override
          public void failed(IOException e) {
            loop.execute(() -> onConnectFailed(pool, e));
          }
        };
    try {
      UndertowClient.getInstance().connect(callback, uri, thread, buffers, OptionMap.EMPTY);
    } catch (RuntimeException e) {
      log.error("connecting to {} failed", address, e);
      callback.failed(new IOException(e));
    }
  }

  private void onConnected(ConnectionPool pool, ClientConnection connection) {
    if (!connection.isOpen()) {
      // Closed by the other side since; its close listener would never be called.
      onConnectFailed(pool, new IOException("closed at once"));
      return;
    }
    pool.endConnect();
    pool.opened();
    connection
        .getCloseSetter()
        .set(
            closed -> {
              pool.closed(connection);
              connectIfNeeded(pool);
            });
    pool.assignOrKeepIdle(connection);
  }

  private void onConnectFailed(ConnectionPool pool, IOException e) {
    pool.endConnect();
    ClientCall call = pool.pollWaiting();
    if (call != null) {
      call.fail(e instanceof ConnectException);
    }
    connectIfNeeded(pool);
  }

  @Override
  public void release(InetSocketAddress address) {
    ConnectionPool pool = pools.get(address);
    if (pool != null) {
      pool.closeIdleSince(loop.now());
    }
  }

  private void scheduleSweep() {
    if (idleTimeout != null) {
      nextSweep.schedule(idleTimeout.dividedBy(SWEEPS_PER_TIMEOUT));
    }
  }

  /** Closes connections that have been idle for too long, and forgets pools that hold nothing. */
  private void sweep() {
    Duration idleSince = loop.now().minus(idleTimeout);
    for (ConnectionPool pool : List.copyOf(pools.values())) {
      pool.closeIdleSince(idleSince);
    }
    pools.values().removeIf(ConnectionPool::unused);
    if (!pools.isEmpty()) {
      scheduleSweep();
    }
  }
}
