package io.tansystack.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Malformed;
import org.slf4j.LoggerFactory;

/** The outcome of a request whose answer is a CBOR map, as the published interfaces have it. */
public final class CborOutcome implements HttpCaller.Outcome {
  /** One for all: an outcome lives for one request. */
  private static final Malformed MALFORMED = new Malformed(LoggerFactory.getLogger(CborOutcome.class));

  /** An answer's status and, if it could be read, its body. Status 0 stands for no answer. */
  public interface Answer {
    void take(int status, ObjectNode body);
  }

  private final String service;
  private final int ifRefused;
  private final Answer then;

  /** @param ifRefused the status that a refused connection counts as: nothing was sent */
  public CborOutcome(String service, int ifRefused, Answer then) {
    this.service = service;
    this.ifRefused = ifRefused;
    this.then = then;
  }

  @Override
  public void answer(int status, byte[] answer) {
    ObjectNode map = null;
    try {
      map = Cbor.decodeMap(answer);
    } catch (BadInput e) {
      if (status == 200) {
        MALFORMED.tell(service + ": unreadable answer", e.getMessage());
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
