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
 * A server on many addresses that come and go while it runs, with a service behind each. All of it
 * runs on the loop of a worker with one I/O thread.
 */
public final class AddressServer {
  private static final int BACKLOG = 128;

  private final XnioWorker worker;
  private final ByteBufferPool buffers;
  private final int maxBody;
  private final Map<InetSocketAddress, AcceptingChannel<StreamConnection>> listening =
      new HashMap<>();

  public AddressServer(XnioWorker worker, ByteBufferPool buffers, int maxBody) {
    this.worker = worker;
    this.buffers = buffers;
    this.maxBody = maxBody;
  }

  /** Serves the address until it is closed. */
  public void listen(InetSocketAddress address, Service service) throws IOException {
    OptionMap undertowOptions =
        OptionMap.builder()
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, -1)
            .getMap();
    HttpOpenListener listener = new HttpOpenListener(buffers, undertowOptions);
    listener.setRootHandler(new ServiceHandler(service, maxBody, true));
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
    listening.put(address, channel);
  }

  /** Stops listening; nothing happens for an address that is not served. */
  public void close(InetSocketAddress address) {
    IoUtils.safeClose(listening.remove(address));
  }
}
