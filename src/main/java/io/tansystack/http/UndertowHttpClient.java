package io.tansystack.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Undertow's client with a small pool of persistent connections for each address. Everything runs
 * on the event loop's thread. The numbers of waiting requests and of connections per address are
 * limited. A request that gets no response in time closes its connection, so that a late response
 * can't be taken for that of another request.
 */
public final class UndertowHttpClient implements HttpClient {
  private static final Logger log = LoggerFactory.getLogger(UndertowHttpClient.class);
  private static final int MAX_WAITING_CALLS = 256;
  private static final int MAX_ABANDONED_CONNECTS = 4;
  private static final int MAX_RESPONSE_BYTES = 64 << 20;

  private final XnioIoThread thread;
  private final EventLoop loop;
  private final ByteBufferPool buffers;
  private final int maxConnectionsPerAddress;
  private final Map<InetSocketAddress, Pool> pools = new HashMap<>();

  public UndertowHttpClient(
      XnioIoThread thread, EventLoop loop, ByteBufferPool buffers, int maxConnectionsPerAddress) {
    this.thread = thread;
    this.loop = loop;
    this.buffers = buffers;
    this.maxConnectionsPerAddress = maxConnectionsPerAddress;
  }

  /** Connections to one address, and the calls that wait for one. */
  private static final class Pool {
    final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    final ArrayDeque<Call> waiting = new ArrayDeque<>();

    /** Connection attempts in progress, without the abandoned ones. */
    int activeConnects;

    /** Connection attempts whose calls have timed out; they may hang in the network for minutes. */
    int abandonedConnects;

    int openConnections;
  }

  private static final class Call {
    final InetSocketAddress address;
    final Pool pool;
    final ClientRequest request;
    final byte[] body;
    final ResponseHandler handler;
    EventLoop.Timer timer;
    ClientConnection connection;
    boolean finished;

    Call(
        InetSocketAddress address,
        Pool pool,
        ClientRequest request,
        byte[] body,
        ResponseHandler handler) {
      this.address = address;
      this.pool = pool;
      this.request = request;
      this.body = body;
      this.handler = handler;
    }
  }

  @Override
  public void call(
      InetSocketAddress address,
      String method,
      String path,
      byte[] body,
      Duration timeout,
      ResponseHandler handler) {
    Pool pool = pools.computeIfAbsent(address, key -> new Pool());
    ClientRequest request =
        new ClientRequest().setMethod(new HttpString(method)).setPath(path);
    request
        .getRequestHeaders()
        .put(Headers.HOST, address.getHostString() + ":" + address.getPort());
    if (body != null) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
    }
    Call call = new Call(address, pool, request, body, handler);
    call.timer = loop.after(timeout, () -> fail(call, false));
    try {
      sendOrWait(call);
    } catch (RuntimeException e) {
      log.error("request {} {} to {} can't be sent", method, path, address, e);
      boolean nothingSent = call.connection == null;
      loop.execute(() -> fail(call, nothingSent));
    }
  }

  /** Sends the request on an idle connection, or lets it wait for a new one. */
  private void sendOrWait(Call call) {
    Pool pool = call.pool;
    ClientConnection connection;
    while ((connection = pool.idle.pollLast()) != null) {
      if (connection.isOpen()) {
        send(call, connection);
        return;
      }
    }
    if (pool.waiting.size() >= MAX_WAITING_CALLS) {
      loop.execute(() -> fail(call, true));
      return;
    }
    pool.waiting.add(call);
    connectIfNeeded(call.address, pool);
  }

  /** Opens a connection if calls wait for one and the limit per address allows it. */
  private void connectIfNeeded(InetSocketAddress address, Pool pool) {
    if (pool.activeConnects >= pool.waiting.size()
        || pool.openConnections + pool.activeConnects >= maxConnectionsPerAddress) {
      return;
    }
    pool.activeConnects++;
    URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort());
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<ClientConnection>() {
              @Override
              public void completed(ClientConnection connection) {
                loop.execute(() -> onConnected(address, pool, connection));
              }

              @Override
              public void failed(IOException e) {
                loop.execute(() -> onConnectFailed(address, pool, e));
              }
            },
            uri,
            thread,
            buffers,
            OptionMap.EMPTY);
  }

  private void onConnected(InetSocketAddress address, Pool pool, ClientConnection connection) {
    connectEnded(pool);
    pool.openConnections++;
    connection
        .getCloseSetter()
        .set(
            closed -> {
              pool.openConnections--;
              pool.idle.remove(connection);
              connectIfNeeded(address, pool);
            });
    assignOrKeepIdle(pool, connection);
  }

  private void onConnectFailed(InetSocketAddress address, Pool pool, IOException e) {
    connectEnded(pool);
    boolean refused = e instanceof ConnectException;
    Call call = pool.waiting.poll();
    if (call != null) {
      fail(call, refused);
    }
    connectIfNeeded(address, pool);
  }

  /** Counts a connection attempt as ended: as an abandoned one while there are any. */
  private static void connectEnded(Pool pool) {
    if (pool.abandonedConnects > 0) {
      pool.abandonedConnects--;
    } else {
      pool.activeConnects--;
    }
  }

  /** Gives a free connection to the call that has waited longest, or keeps it for later calls. */
  private void assignOrKeepIdle(Pool pool, ClientConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    Call call;
    while ((call = pool.waiting.poll()) != null) {
      if (!call.finished) {
        send(call, connection);
        return;
      }
    }
    pool.idle.addLast(connection);
  }

  /** Ends the call without a response, unless it has finished already. */
  private void fail(Call call, boolean refused) {
    if (call.finished) {
      return;
    }
    call.finished = true;
    call.timer.cancel();
    if (call.pool.waiting.remove(call)
        && call.pool.activeConnects > 0
        && call.pool.abandonedConnects < MAX_ABANDONED_CONNECTS) {
      call.pool.activeConnects--;
      call.pool.abandonedConnects++;
    }
    IoUtils.safeClose(call.connection);
    XnioEventLoop.runLoggingErrors(() -> call.handler.onNoResponse(refused));
  }

  private void send(Call call, ClientConnection connection) {
    call.connection = connection;
    connection.sendRequest(
        call.request,
        new ClientCallback<ClientExchange>() {
          @Override
          public void completed(ClientExchange exchange) {
            exchange.setResponseListener(
                new ClientCallback<ClientExchange>() {
                  @Override
                  public void completed(ClientExchange answered) {
                    receive(call, answered);
                  }

                  @Override
                  public void failed(IOException e) {
                    fail(call, false);
                  }
                });
            try {
              write(call, exchange.getRequestChannel());
            } catch (IOException e) {
              fail(call, false);
            }
          }

          @Override
          public void failed(IOException e) {
            fail(call, false);
          }
        });
  }

  private void write(Call call, StreamSinkChannel channel) throws IOException {
    if (call.body == null) {
      channel.shutdownWrites();
      flush(call, channel);
      return;
    }
    ByteBuffer data = ByteBuffer.wrap(call.body);
    ChannelListener<StreamSinkChannel> listener =
        ch -> {
          try {
            while (data.hasRemaining()) {
              if (ch.write(data) == 0) {
                ch.resumeWrites();
                return;
              }
            }
            ch.suspendWrites();
            ch.shutdownWrites();
            flush(call, ch);
          } catch (IOException e) {
            fail(call, false);
          }
        };
    channel.getWriteSetter().set(listener);
    listener.handleEvent(channel);
  }

  private void flush(Call call, StreamSinkChannel channel) throws IOException {
    if (channel.flush()) {
      return;
    }
    channel
        .getWriteSetter()
        .set(
            ch -> {
              try {
                if (((StreamSinkChannel) ch).flush()) {
                  ch.suspendWrites();
                }
              } catch (IOException e) {
                fail(call, false);
              }
            });
    channel.resumeWrites();
  }

  private void receive(Call call, ClientExchange exchange) {
    int status = exchange.getResponse().getResponseCode();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    ChannelListener<StreamSourceChannel> listener =
        ch -> {
          try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
              buffer.clear();
              int n = ch.read(buffer);
              if (n == 0) {
                ch.resumeReads();
                return;
              }
              if (n < 0) {
                ch.suspendReads();
                complete(call, status, body.toByteArray());
                return;
              }
              buffer.flip();
              BodyReader.append(body, buffer);
              if (body.size() > MAX_RESPONSE_BYTES) {
                fail(call, false);
                return;
              }
            }
          } catch (IOException e) {
            fail(call, false);
          }
        };
    StreamSourceChannel channel = exchange.getResponseChannel();
    channel.getReadSetter().set(listener);
    listener.handleEvent(channel);
  }

  private void complete(Call call, int status, byte[] body) {
    if (call.finished) {
      return;
    }
    call.finished = true;
    call.timer.cancel();
    ClientConnection connection = call.connection;
    // Deferred, so that Undertow has finished this exchange before the connection is reused.
    loop.execute(() -> assignOrKeepIdle(call.pool, connection));
    XnioEventLoop.runLoggingErrors(() -> call.handler.onResponse(status, body));
  }
}
