package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Responses;

/** The reply to a user's request; sending it also ends the tracking of the request. */
final class TrackedReply {
  private final Reply reply;
  private final Runnable onSent;

  TrackedReply(Reply reply, Runnable onSent) {
    this.reply = reply;
    this.onSent = onSent;
  }

  /** Sends the answer; with status 503 the client is asked to retry after one second. */
  void send(int status, ObjectNode body) {
    onSent.run();
    reply.send(status, Cbor.encode(body), status == 503 ? 1 : 0);
  }

  /** Answers 503, because the outcome is unknown or can't be determined now. */
  void sendUnavailable(String why) {
    send(503, Responses.error(why));
  }
}
