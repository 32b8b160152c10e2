package io.tansystack.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.ThrottledLogger;
import org.slf4j.LoggerFactory;

/** Decodes responses whose body is a CBOR map, as in the published interfaces. */
public final class CborResponseHandler implements HttpClient.ResponseHandler {
  /** Shared by all instances, since each instance lives for one request only. */
  private static final ThrottledLogger INVALID_RESPONSES =
      new ThrottledLogger(LoggerFactory.getLogger(CborResponseHandler.class));

  /** Receives the result of a request. */
  public interface Callback {
    /**
     * @param status HTTP status; 0 if there was no response, or if a response with status 200
     *     can't be decoded: the request may have been executed
     * @param body null if there is no body that could be decoded
     */
    void onResult(int status, ObjectNode body);
  }

  private final String service;
  private final int statusIfRefused;
  private final Callback callback;

  /**
   * @param service name of the service, for the log
   * @param statusIfRefused status to report if the connection was refused, so that nothing was sent
   */
  public CborResponseHandler(String service, int statusIfRefused, Callback callback) {
    this.service = service;
    this.statusIfRefused = statusIfRefused;
    this.callback = callback;
  }

  @Override
  public void onResponse(int status, byte[] body) {
    ObjectNode map = null;
    try {
      map = Cbor.decodeMap(body);
    } catch (InvalidMessageException e) {
      if (status == 200) {
        INVALID_RESPONSES.warn(service + ": unreadable response", e.getMessage());
        callback.onResult(0, null);
        return;
      }
    }
    callback.onResult(status, map);
  }

  @Override
  public void onNoResponse(boolean refused) {
    callback.onResult(refused ? statusIfRefused : 0, null);
  }
}
