package io.tansystack.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** An XNIO worker with one I/O thread, and free addresses on the loopback interface. */
final class LoopbackWorker implements AutoCloseable {
  private static final AtomicInteger ADDRESS_COUNT = new AtomicInteger();

  final XnioWorker worker;
  final ByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 64, 0);
  final XnioEventLoop loop;

  LoopbackWorker() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .getMap());
    loop = new XnioEventLoop(worker.getIoThread());
  }

  /** Returns an address with an IP address of its own: no client socket can take its port. */
  static InetSocketAddress freeAddress() throws IOException {
    int number = ADDRESS_COUNT.getAndIncrement();
    byte[] ip = {127, 30, (byte) (number / 250), (byte) (1 + number % 250)};
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByAddress(ip))) {
      return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
  }

  @Override
  public void close() {
    worker.shutdownNow();
  }
}
