package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Responses;

/** The reply to a user's request. Only the first answer is sent. */
final class TrackedReply {
  private static final int RETRY_AFTER_S = 1;

  private final Reply reply;
  private Runnable onAnswered = () -> {};
  private boolean answered;

  TrackedReply(Reply reply) {
    this.reply = reply;
  }

  /** Sets what is run when the request is answered, once and before the answer is sent. */
  void onAnswered(Runnable listener) {
    onAnswered = listener;
  }

  /** Sends the answer; with status 503 the client is asked to retry after one second. */
  void send(int status, ObjectNode body) {
    if (answered) {
      return;
    }
    byte[] encoded = Cbor.encode(body); // Before anything changes: it may fail.
    answered = true;
    onAnswered.run();
    reply.send(status, encoded, status == 503 ? RETRY_AFTER_S : 0);
  }

  /** Answers 503, because the outcome is unknown or can't be determined now. */
  void sendUnavailable(String why) {
    send(503, Responses.error(why));
  }

  /** Answers 500, because the processing of the request failed; users retry it. */
  void sendInternalError() {
    send(500, Responses.error("internal error"));
  }
}
