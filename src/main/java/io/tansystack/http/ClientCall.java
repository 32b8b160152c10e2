package io.tansystack.http;

import io.tansystack.http.HttpClient.ResponseHandler;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request on its way: its handler is called exactly once. */
final class ClientCall {
  private static final int MAX_RESPONSE_BYTES = 64 << 20;

  /** Receives the connection of a call that has ended with a complete response. */
  interface ReuseListener {
    void onReusable(ClientConnection connection);
  }

  private final ClientRequest request;
  private final byte[] body;
  private final ByteBufferPool buffers;
  private final ResponseHandler handler;
  private final ReuseListener reuseListener;
  private EventLoop.Timer timer;
  private ClientConnection connection;
  private boolean finished;

  /** @param body null for a request without a body */
  ClientCall(
      ClientRequest request,
      byte[] body,
      ByteBufferPool buffers,
      ResponseHandler handler,
      ReuseListener reuseListener) {
    this.request = request;
    this.body = body;
    this.buffers = buffers;
    this.handler = handler;
    this.reuseListener = reuseListener;
  }

  /** Sets the timer that ends the call; it is cancelled when the call ends otherwise. */
  void timer(EventLoop.Timer newTimer) {
    timer = newTimer;
  }

  /** Whether a connection has been assigned to the call, so that something may have been sent. */
  boolean started() {
    return connection != null;
  }

  boolean finished() {
    return finished;
  }

  /**
   * Ends the call without a response, unless it has finished already. Its connection is closed, so
   * that a late response can't be taken for that of another request.
   */
  void fail(boolean refused) {
    if (!finish()) {
      return;
    }
    IoUtils.safeClose(connection);
    XnioEventLoop.runLoggingErrors(() -> handler.onNoResponse(refused));
  }

  private void complete(int status, byte[] responseBody) {
    if (!finish()) {
      return;
    }
    reuseListener.onReusable(connection);
    XnioEventLoop.runLoggingErrors(() -> handler.onResponse(status, responseBody));
  }

  /** Marks the call as finished; false if it was before. */
  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    timer.cancel();
    return true;
  }

  /** Sends the request on a connection that no other call uses. */
  void send(ClientConnection assigned) {
    connection = assigned;
    connection.sendRequest(
        request,
        new ClientCallback<ClientExchange>() {
          @Override
          public void completed(ClientExchange exchange) {
            exchange.setResponseListener(
                new ClientCallback<ClientExchange>() {
                  @Override
                  public void completed(ClientExchange answered) {
                    receive(answered);
                  }

                  @Override
                  public void failed(IOException e) {
                    fail(false);
                  }
                });
            try {
              write(exchange.getRequestChannel());
            } catch (IOException e) {
              fail(false);
            }
          }

          @Override
          public void failed(IOException e) {
            fail(false);
          }
        });
  }

  private void write(StreamSinkChannel channel) throws IOException {
    if (body == null) {
      channel.shutdownWrites();
      flush(channel);
      return;
    }
    ByteBuffer data = ByteBuffer.wrap(body);
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
            flush(ch);
          } catch (IOException e) {
            fail(false);
          }
        };
    channel.getWriteSetter().set(listener);
    listener.handleEvent(channel);
  }

  private void flush(StreamSinkChannel channel) throws IOException {
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
                fail(false);
              }
            });
    channel.resumeWrites();
  }

  private void receive(ClientExchange exchange) {
    int status = exchange.getResponse().getResponseCode();
    ByteArrayOutputStream received = new ByteArrayOutputStream();
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
                complete(status, received.toByteArray());
                return;
              }
              buffer.flip();
              BodyReader.append(received, buffer);
              if (received.size() > MAX_RESPONSE_BYTES) {
                fail(false);
                return;
              }
            }
          } catch (IOException e) {
            fail(false);
          }
        };
    StreamSourceChannel channel = exchange.getResponseChannel();
    channel.getReadSetter().set(listener);
    listener.handleEvent(channel);
  }
}
