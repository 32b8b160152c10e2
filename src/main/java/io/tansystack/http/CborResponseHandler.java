package io.tansystack.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.ThrottledLogger;
import org.slf4j.LoggerFactory;

/** The outcome of a request whose answer is a CBOR map, as the published interfaces have it. */
public final class CborResponseHandler implements HttpClient.ResponseHandler {
  /** One for all: an outcome lives for one request. */
  private static final ThrottledLogger MALFORMED =
      new ThrottledLogger(LoggerFactory.getLogger(CborResponseHandler.class));

  /** An answer's status and, if it could be read, its body. Status 0 stands for no answer. */
  public interface Callback {
    void take(int status, ObjectNode body);
  }

  private final String service;
  private final int ifRefused;
  private final Callback then;

  /** @param ifRefused the status that a refused connection counts as: nothing was sent */
  public CborResponseHandler(String service, int ifRefused, Callback then) {
    this.service = service;
    this.ifRefused = ifRefused;
    this.then = then;
  }

  @Override
  public void answer(int status, byte[] answer) {
    ObjectNode map = null;
    try {
      map = Cbor.decodeMap(answer);
    } catch (InvalidMessageException e) {
      if (status == 200) {
        MALFORMED.warn(service + ": unreadable answer", e.getMessage());
        then.take(0, null);
        return;
      }
    }
    then.take(status, map);
  }

  @Override
  public void silence(boolean refused) {
    then.take(refused ? ifRefused : 0, null);
  }
}
