package io.tansystack.http;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Sends HTTP requests and reports their results on the event loop. Tests replace it by fakes. */
public interface HttpClient {
  /** Receives the result of a request; exactly one of its methods is called, and only once. */
  interface ResponseHandler {
    /** A complete response has arrived. */
    void onResponse(int status, byte[] body);

    /**
     * There is no response.
     *
     * @param refused true if nothing was sent, because the connection was refused at once or too
     *     many requests wait for the address; false if the request may still be executed, now or
     *     much later
     */
    void onNoResponse(boolean refused);
  }

  /**
   * Sends a request. This never throws an exception: for a request that can't be sent, the handler
   * learns that there is no response.
   *
   * @param body null for a request without a body
   * @param timeout a request without a response within this time counts as having none
   */
  void call(
      InetSocketAddress address,
      String method,
      String path,
      byte[] body,
      Duration timeout,
      ResponseHandler handler);

  /** Closes the idle connections to an address to which no requests are expected any more. */
  default void release(InetSocketAddress address) {}
}
