package io.tansystack.http;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Sends one request and tells its outcome on the loop; the seam at which tests put stand-ins. */
public interface HttpClient {
  /** What came of a request. */
  interface ResponseHandler {
    /** An answer arrived in whole. */
    void answer(int status, byte[] body);

    /**
     * No answer. With {@code refused} the connection was refused at once, so that nothing was sent;
     * otherwise the request may still be carried out, now or much later.
     */
    void silence(boolean refused);
  }

  void call(
      InetSocketAddress to,
      String method,
      String path,
      byte[] body,
      Duration timeout,
      ResponseHandler outcome);
}
