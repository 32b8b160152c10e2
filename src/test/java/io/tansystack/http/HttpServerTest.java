package io.tansystack.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against connections that stay open though nobody serves them any more: those of lost
 * machines used up a controller's sockets, after which it accepted nothing (review/2).
 */
@Timeout(30)
class HttpServerTest {
  private static final String REQUEST = "GET /up HTTP/1.1\r\nHost: c\r\n\r\n";
  private static final String OPENED_BODY =
      "POST /v1/report HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\nabc";
  private static final int RESPONSE_BYTES = 32 << 20;
  private static final int MAX_BODY_BYTES = 256 * 1024;

  private static final ServerTimeouts TIMEOUTS =
      new ServerTimeouts(
          Duration.ofMillis(1500), Duration.ofMillis(500), Duration.ofMillis(500));

  /** Time for timers that fire late on a busy machine. */
  private static final Duration ALLOWANCE = Duration.ofSeconds(3);

  private LoopbackWorker loopback;
  private HttpServer server;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws IOException {
    loopback = new LoopbackWorker();
    address = LoopbackWorker.freeAddress();
    server =
        new HttpServer(
            loopback.worker,
            loopback.buffers,
            address,
            (method, path, body, reply) ->
                reply.send(200, new byte[path.equals("/large") ? RESPONSE_BYTES : 0]),
            MAX_BODY_BYTES,
            LoopbackWorker.freeAddress(),
            (method, path, body, reply) -> reply.send(200, new byte[0]),
            1024,
            TIMEOUTS);
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
    loopback.close();
  }

  private Socket connect(String sent) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4096);
    socket.connect(address);
    socket.getOutputStream().write(sent.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /** Whether the server closes the connection within the time; what it sends is discarded. */
  private static boolean closedWithin(Socket socket, Duration time) throws IOException {
    InputStream in = socket.getInputStream();
    long deadline = System.nanoTime() + time.toNanos();
    byte[] buffer = new byte[8192];
    try {
      while (true) {
        socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
        if (in.read(buffer) < 0) {
          return true;
        }
      }
    } catch (SocketTimeoutException e) {
      return false;
    } catch (SocketException e) {
      return true; // Reset.
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", REQUEST, "GET /up HT", OPENED_BODY})
  void connectionWithoutFurtherRequestIsClosed(String sent) throws IOException {
    try (Socket socket = connect(sent)) {
      assertTrue(closedWithin(socket, TIMEOUTS.idle().plus(ALLOWANCE)), "still open after: " + sent);
    }
  }

  @Test
  void connectionWhoseResponseIsNotReadIsClosed() throws Exception {
    try (Socket socket = connect("GET /large HTTP/1.1\r\nHost: c\r\n\r\n")) {
      Thread.sleep(TIMEOUTS.transfer().plus(ALLOWANCE).toMillis());
      int received = 0;
      byte[] buffer = new byte[1 << 16];
      InputStream in = socket.getInputStream();
      socket.setSoTimeout(2000);
      try {
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          received += n;
        }
      } catch (SocketException e) {
        // Reset.
      }
      assertTrue(received < RESPONSE_BYTES, "the rest was kept for a client that didn't read");
    }
  }

  /** Requests that are malformed, end early, or claim to be longer than they are. */
  private static final List<String> UNSOUND =
      List.of(
          "",
          "\r\n\r\n",
          "GET",
          "GET /up HTTP/9.9\r\n\r\n",
          "\u0000\u0001\u0016\u0003\u0001\r\n\r\n",
          "GET /up HTTP/1.1\r\nHost",
          "GET /%zz HTTP/1.1\r\nHost: c\r\n\r\n",
          "GET /up HTTP/1.1\r\n" + "X: y\r\n".repeat(1000),
          "GET /" + "x".repeat(100_000),
          OPENED_BODY,
          "POST /v1/jobs HTTP/1.1\r\nHost: c\r\nContent-Length: -1\r\n\r\nabc",
          "POST /v1/jobs HTTP/1.1\r\nHost: c\r\nContent-Length: many\r\n\r\nabc",
          "POST /v1/jobs HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999999\r\n\r\nabc",
          "POST /v1/jobs HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          "POST /v1/jobs HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\nab");

  /** Another client is served meanwhile, and the connections are closed in the stated time. */
  @Test
  void unsoundRequestsNeitherEndNorBlockTheServer() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      for (String request : UNSOUND) {
        sockets.add(connect(request));
      }
      assertServed();
    }
    for (Socket socket : sockets) {
      assertTrue(closedWithin(socket, TIMEOUTS.idle().plus(ALLOWANCE)));
      socket.close();
    }
    assertServed();
  }

  /** A controller has 96 MB; the bytes that were announced may never come. */
  @Test
  void announcedBodiesTakeNoSpaceBeforeTheyArrive() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    long before = usedBytes();
    for (int i = 0; i < 300; i++) {
      sockets.add(
          connect("POST / HTTP/1.1\r\nHost: c\r\nContent-Length: " + MAX_BODY_BYTES + "\r\n\r\nabc"));
    }
    assertServed();
    long taken = usedBytes() - before;
    assertTrue(taken < sockets.size() * (MAX_BODY_BYTES / 4L), taken + " bytes");
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private static long usedBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  @ParameterizedTest
  @CsvSource({"0, 200", "-1, 200", "1, 400"})
  void bodyIsReadUpToTheLimit(int beyondLimit, int status) throws Exception {
    int length = MAX_BODY_BYTES + beyondLimit;
    try (Socket socket = connect("POST / HTTP/1.1\r\nHost: c\r\nContent-Length: " + length + "\r\n\r\n")) {
      if (status == 200) {
        socket.getOutputStream().write(new byte[length]);
      }
      socket.setSoTimeout((int) ALLOWANCE.toMillis());
      byte[] answer = socket.getInputStream().readNBytes(12);
      assertEquals("HTTP/1.1 " + status, new String(answer, StandardCharsets.US_ASCII));
    }
  }

  /** The request comes byte by byte, more slowly than the time allowed for a whole one. */
  @ParameterizedTest
  @ValueSource(strings = {REQUEST, OPENED_BODY})
  void slowlySentRequestDoesNotBlockTheServer(String request) throws Exception {
    try (Socket slow = connect("")) {
      byte[] bytes = request.getBytes(StandardCharsets.US_ASCII);
      long pauseMs = 2 * TIMEOUTS.transfer().toMillis() / bytes.length;
      try {
        for (byte b : bytes) {
          slow.getOutputStream().write(b);
          Thread.sleep(pauseMs);
        }
      } catch (SocketException e) {
        // Closed: it took too long.
      }
      assertServed();
      assertTrue(closedWithin(slow, TIMEOUTS.idle().plus(ALLOWANCE)));
    }
  }

  /** A sound request in the forms that clients use is answered at once. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /v1/jobs HTTP/1.1\r\nHost: c\r\nContent-Length: 3\r\n\r\nabc",
        "POST /v1/jobs HTTP/1.1\r\nhOST: c\r\ncontent-LENGTH:3\r\nX-Unknown: 1\r\n\r\nabc",
        "POST /v1/jobs HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "POST http://c/v1/jobs HTTP/1.1\r\nHost: c\r\nContent-Length: 3\r\n\r\nabc",
        "GET /up HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n"
      })
  void soundRequestInAnyFormIsAnswered(String request) throws Exception {
    assertServed(request);
  }

  private void assertServed() throws IOException {
    assertServed(REQUEST);
  }

  private void assertServed(String request) throws IOException {
    try (Socket socket = connect(request)) {
      socket.setSoTimeout((int) ALLOWANCE.toMillis());
      byte[] status = socket.getInputStream().readNBytes(12);
      assertEquals("HTTP/1.1 200", new String(status, StandardCharsets.US_ASCII));
    }
  }

  /** Sound workers report more often than the idle timeout, on one connection. */
  @Test
  void connectionInUseIsKept() throws Exception {
    try (Socket socket = connect("")) {
      socket.setSoTimeout(5000);
      byte[] buffer = new byte[8192];
      for (int i = 0; i < 6; i++) {
        socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        int n = socket.getInputStream().read(buffer);
        assertTrue(n > 0, "closed before request " + i);
        assertEquals(
            "HTTP/1.1 200", new String(buffer, 0, 12, StandardCharsets.US_ASCII), "request " + i);
        Thread.sleep(TIMEOUTS.idle().toMillis() / 3);
      }
    }
  }
}
