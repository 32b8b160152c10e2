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
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Undertow's client with a small pool of kept connections for each address. Everything runs on the
 * loop's thread. Waiting requests and connections are bounded for each address, and a request that
 * is not answered in time closes its connection, so that a late answer can't be taken for another's.
 */
public final class UndertowHttpClient implements HttpClient {
  private static final int MAX_WAITING = 256;
  private static final int MAX_STALE = 4;
  private static final int MAX_ANSWER = 64 << 20;

  private final XnioIoThread thread;
  private final EventLoop loop;
  private final ByteBufferPool buffers;
  private final int maxPerAddress;
  private final Map<InetSocketAddress, Pool> pools = new HashMap<>();

  public UndertowHttpClient(
      XnioIoThread thread, EventLoop loop, ByteBufferPool buffers, int maxPerAddress) {
    this.thread = thread;
    this.loop = loop;
    this.buffers = buffers;
    this.maxPerAddress = maxPerAddress;
  }

  private static final class Pool {
    final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    final ArrayDeque<Call> waiting = new ArrayDeque<>();
    int connecting;

    /** Attempts whose calls have given up; the network may leave them hanging for minutes. */
    int stale;

    int open;
  }

  private static final class Call {
    final InetSocketAddress to;
    final Pool pool;
    final ClientRequest request;
    final byte[] body;
    final ResponseHandler outcome;
    EventLoop.Timer timer;
    ClientConnection connection;
    boolean over;

    Call(
        InetSocketAddress to,
        Pool pool,
        ClientRequest request,
        byte[] body,
        ResponseHandler outcome) {
      this.to = to;
      this.pool = pool;
      this.request = request;
      this.body = body;
      this.outcome = outcome;
    }
  }

  @Override
  public void call(
      InetSocketAddress to,
      String method,
      String path,
      byte[] body,
      Duration timeout,
      ResponseHandler outcome) {
    Pool pool = pools.computeIfAbsent(to, key -> new Pool());
    ClientRequest request =
        new ClientRequest().setMethod(new HttpString(method)).setPath(path);
    request.getRequestHeaders().put(Headers.HOST, to.getHostString() + ":" + to.getPort());
    if (body != null) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
    }
    Call call = new Call(to, pool, request, body, outcome);
    call.timer = loop.after(timeout, () -> fail(call, false));
    ClientConnection connection;
    while ((connection = pool.idle.pollLast()) != null) {
      if (connection.isOpen()) {
        send(call, connection);
        return;
      }
    }
    if (pool.waiting.size() >= MAX_WAITING) {
      loop.execute(() -> fail(call, true));
      return;
    }
    pool.waiting.add(call);
    connect(to, pool);
  }

  private void connect(InetSocketAddress to, Pool pool) {
    if (pool.connecting >= pool.waiting.size() || pool.open + pool.connecting >= maxPerAddress) {
      return;
    }
    pool.connecting++;
    URI uri = URI.create("http://" + to.getHostString() + ":" + to.getPort());
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<ClientConnection>() {
              @Override
              public void completed(ClientConnection connection) {
                loop.execute(() -> connected(to, pool, connection));
              }

              @Override
              public void failed(IOException e) {
                loop.execute(() -> connectFailed(to, pool, e));
              }
            },
            uri,
            thread,
            buffers,
            OptionMap.EMPTY);
  }

  private void connected(InetSocketAddress to, Pool pool, ClientConnection connection) {
    attemptEnded(pool);
    pool.open++;
    connection
        .getCloseSetter()
        .set(
            closed -> {
              pool.open--;
              pool.idle.remove(connection);
              connect(to, pool);
            });
    next(pool, connection);
  }

  private void connectFailed(InetSocketAddress to, Pool pool, IOException e) {
    attemptEnded(pool);
    boolean refused = e instanceof ConnectException;
    Call call = pool.waiting.poll();
    if (call != null) {
      fail(call, refused);
    }
    connect(to, pool);
  }

  private static void attemptEnded(Pool pool) {
    if (pool.stale > 0) {
      pool.stale--;
    } else {
      pool.connecting--;
    }
  }

  /** Gives a free connection to the longest waiting call, or keeps it. */
  private void next(Pool pool, ClientConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    Call call;
    while ((call = pool.waiting.poll()) != null) {
      if (!call.over) {
        send(call, connection);
        return;
      }
    }
    pool.idle.addLast(connection);
  }

  private void fail(Call call, boolean refused) {
    if (call.over) {
      return;
    }
    call.over = true;
    call.timer.cancel();
    if (call.pool.waiting.remove(call)
        && call.pool.connecting > 0
        && call.pool.stale < MAX_STALE) {
      call.pool.connecting--;
      call.pool.stale++;
    }
    IoUtils.safeClose(call.connection);
    call.outcome.silence(refused);
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
                answered(call, status, body.toByteArray());
                return;
              }
              buffer.flip();
              BodyReader.append(body, buffer);
              if (body.size() > MAX_ANSWER) {
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

  private void answered(Call call, int status, byte[] body) {
    if (call.over) {
      return;
    }
    call.over = true;
    call.timer.cancel();
    ClientConnection connection = call.connection;
    // The connection is handed on only after Undertow has finished with this exchange.
    loop.execute(() -> next(call.pool, connection));
    XnioEventLoop.guarded(() -> call.outcome.answer(status, body));
  }
}
