package io.tansystack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against connections, and places in their pools, that are never given back. */
@Timeout(60)
class UndertowHttpClientTest {
  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(400);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_CONNECTIONS = 2;

  /** Time for timers that fire late on a busy machine. */
  private static final long ALLOWANCE_MS = 3000;

  private final BlockingQueue<Integer> results = new LinkedBlockingQueue<>();
  private LoopbackWorker loopback;
  private UndertowHttpClient client;

  @BeforeEach
  void start() throws IOException {
    loopback = new LoopbackWorker();
    client = newClient(IDLE_TIMEOUT);
  }

  private UndertowHttpClient newClient(Duration idleTimeout) {
    return new UndertowHttpClient(
        loopback.worker.getIoThread(),
        loopback.loop,
        loopback.buffers,
        MAX_CONNECTIONS,
        idleTimeout);
  }

  @AfterEach
  void stop() {
    loopback.close();
  }

  private InetSocketAddress serve() throws IOException {
    InetSocketAddress address = LoopbackWorker.freeAddress();
    new AddressServer(loopback.worker, loopback.buffers, 1024)
        .listen(address, (method, path, body, reply) -> reply.send(200, new byte[0]));
    return address;
  }

  /** Sends a request; its status is added to the results, 0 if there is no response. */
  private void call(InetSocketAddress to, String path, byte[] body) {
    loopback.loop.execute(
        () ->
            client.call(
                to,
                "POST",
                path,
                body,
                CALL_TIMEOUT,
                new HttpClient.ResponseHandler() {
                  @Override
                  public void onResponse(int status, byte[] response) {
                    results.add(status);
                  }

                  @Override
                  public void onNoResponse(boolean refused) {
                    results.add(0);
                  }
                }));
  }

  private int nextResult() throws InterruptedException {
    Integer status = results.poll(CALL_TIMEOUT.toMillis() + ALLOWANCE_MS, TimeUnit.MILLISECONDS);
    assertTrue(status != null, "a request got no result");
    return status;
  }

  private void assertBecomesZero(String what, IntSupplier value) throws Exception {
    long deadline = System.nanoTime() + (IDLE_TIMEOUT.toMillis() + ALLOWANCE_MS) * 1_000_000;
    BlockingQueue<Integer> last = new LinkedBlockingQueue<>();
    int seen;
    do {
      loopback.loop.execute(() -> last.add(value.getAsInt()));
      seen = last.take();
      Thread.sleep(20);
    } while (seen != 0 && System.nanoTime() < deadline);
    assertEquals(0, seen, what);
  }

  @Test
  void idleConnectionsAreClosedAndTheirAddressesForgotten() throws Exception {
    for (int i = 0; i < 5; i++) {
      call(serve(), "/orders", new byte[1]);
      assertEquals(200, nextResult());
    }
    assertBecomesZero("open connections", client::openConnections);
    assertBecomesZero("known addresses", client::knownAddresses);
  }

  @Test
  void releasedConnectionsAreClosedBeforeTheyAreIdleForLong() throws Exception {
    client = newClient(Duration.ofMinutes(1));
    InetSocketAddress address = serve();
    call(address, "/orders", new byte[1]);
    assertEquals(200, nextResult());
    loopback.loop.execute(() -> client.release(address));
    assertBecomesZero("open connections", client::openConnections);
  }

  /** More connections than an address may have are closed by the other side before they are used. */
  @Test
  void connectionsThatAreClosedAtOnceAreGivenBack() throws Exception {
    InetSocketAddress address;
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      Thread closer =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Socket socket = server.accept();
                    socket.setSoLinger(true, 0);
                    socket.close();
                  }
                } catch (IOException e) {
                  // The server was closed: the end of this thread.
                }
              });
      closer.start();
      for (int i = 0; i < 4 * MAX_CONNECTIONS; i++) {
        call(address, "/orders", new byte[1]);
        assertEquals(0, nextResult());
      }
    }
    assertBecomesZero("open connections", client::openConnections);
    assertBecomesZero("known addresses", client::knownAddresses);
  }

  /** Undertow throws an exception for a request without a path. */
  @Test
  void requestThatCannotBeSentIsReported() throws Exception {
    InetSocketAddress address = serve();
    call(address, null, new byte[1]);
    assertEquals(0, nextResult());
    call(address, "/orders", new byte[1]);
    assertEquals(200, nextResult(), "the address can still be called");
  }
}
