package io.tansystack.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads whole bodies. Undertow's own receiver takes them byte by byte, which on the first compiler
 * tier came to a twentieth of all processor time of a busy controller.
 */
final class BodyReader {
  private static final byte[] NONE = new byte[0];

  private BodyReader() {}

  /** Moves what the buffer holds to the end of the body. */
  static void append(ByteArrayOutputStream body, ByteBuffer buffer) {
    if (buffer.hasArray()) {
      body.write(buffer.array(), buffer.arrayOffset() + buffer.position(), buffer.remaining());
      buffer.position(buffer.limit());
    } else {
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      body.write(bytes, 0, bytes.length);
    }
  }

  /**
   * Hands over the request's body once all of it is here; {@code tooLong} is told instead if it
   * passes the exchange's limit or can't be read.
   */
  static void receive(HttpServerExchange exchange, Consumer<byte[]> whole, Runnable tooLong) {
    StreamSourceChannel channel = exchange.isRequestComplete() ? null : exchange.getRequestChannel();
    if (channel == null) {
      whole.accept(NONE);
      return;
    }
    ByteArrayOutputStream body =
        new ByteArrayOutputStream((int) Math.max(32, exchange.getRequestContentLength()));
    try {
      if (read(exchange, channel, body)) {
        whole.accept(body.toByteArray());
        return;
      }
    } catch (IOException e) {
      tooLong.run();
      return;
    }
    channel
        .getReadSetter()
        .set(
            ch -> {
              try {
                if (read(exchange, ch, body)) {
                  ch.suspendReads();
                  Connectors.executeRootHandler(ex -> whole.accept(body.toByteArray()), exchange);
                }
              } catch (IOException e) {
                IoUtils.safeClose(ch);
                Connectors.executeRootHandler(ex -> tooLong.run(), exchange);
              }
            });
    channel.resumeReads();
  }

  /** Takes what has arrived; true if that was the end. */
  private static boolean read(
      HttpServerExchange exchange, StreamSourceChannel channel, ByteArrayOutputStream body)
      throws IOException {
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (true) {
        buffer.clear();
        int n = channel.read(buffer);
        if (n <= 0) {
          return n < 0;
        }
        buffer.flip();
        append(body, buffer);
      }
    }
  }
}
