package io.tansystack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.http.HttpServer.Service;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that get no answer because their processing fails or never ends. */
class ServiceHandlerTest {
  private static final ServerTimeouts TIMEOUTS =
      new ServerTimeouts(Duration.ZERO, Duration.ZERO, Duration.ofMillis(300));
  private static final int CLIENT_TIMEOUT_MS = 5000;

  private static int statusOf(Service service) throws IOException {
    try (LoopbackWorker loopback = new LoopbackWorker()) {
      InetSocketAddress address = LoopbackWorker.freeAddress();
      AddressServer server =
          new AddressServer(loopback.worker, loopback.buffers, 1024, TIMEOUTS);
      server.listen(address, service);
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create(
                      "http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + "/up")
                  .toURL()
                  .openConnection();
      connection.setReadTimeout(CLIENT_TIMEOUT_MS);
      return connection.getResponseCode();
    }
  }

  @Test
  @Timeout(20)
  void failedServiceIsAnswered500() throws IOException {
    assertEquals(
        500,
        statusOf(
            (method, path, body, reply) -> {
              throw new IllegalStateException("expected by this test");
            }));
  }

  @Test
  @Timeout(20)
  void serviceWithoutReplyIsAnswered503() throws IOException {
    assertEquals(503, statusOf((method, path, body, reply) -> {}));
  }
}
