package io.tansystack.http;

import io.tansystack.http.HttpServer.Service;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server on any number of addresses, which can be added and removed while it runs; each of
 * them has its own service. Everything runs on the event loop of a worker with one I/O thread.
 */
public final class AddressServer {
  private static final int BACKLOG = 128;

  private final XnioWorker worker;
  private final ByteBufferPool buffers;
  private final int maxBodyBytes;
  private final ServerTimeouts timeouts;
  private final Map<InetSocketAddress, AcceptingChannel<StreamConnection>> channels =
      new HashMap<>();

  /** @param maxBodyBytes longer request bodies are rejected unread */
  public AddressServer(XnioWorker worker, ByteBufferPool buffers, int maxBodyBytes) {
    this(worker, buffers, maxBodyBytes, ServerTimeouts.NONE);
  }

  AddressServer(
      XnioWorker worker, ByteBufferPool buffers, int maxBodyBytes, ServerTimeouts timeouts) {
    this.worker = worker;
    this.buffers = buffers;
    this.maxBodyBytes = maxBodyBytes;
    this.timeouts = timeouts;
  }

  /** Serves the address until {@link #close} is called for it. */
  public void listen(InetSocketAddress address, Service service) throws IOException {
    OptionMap undertowOptions =
        OptionMap.builder()
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .set(
                UndertowOptions.NO_REQUEST_TIMEOUT, ServerTimeouts.undertowMillis(timeouts.idle()))
            .set(
                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                ServerTimeouts.undertowMillis(timeouts.transfer()))
            .getMap();
    HttpOpenListener listener = new HttpOpenListener(buffers, undertowOptions);
    listener.setRootHandler(new ServiceHandler(service, maxBodyBytes, timeouts, true));
    OptionMap socketOptions =
        OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG)
            .getMap();
    AcceptingChannel<StreamConnection> channel =
        worker.createStreamConnectionServer(
            address, ChannelListeners.openListenerAdapter(listener), socketOptions);
    channel.resumeAccepts();
    channels.put(address, channel);
  }

  /** Stops listening on the address; has no effect if the address is not served. */
  public void close(InetSocketAddress address) {
    IoUtils.safeClose(channels.remove(address));
  }
}
