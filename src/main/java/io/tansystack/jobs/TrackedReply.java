package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Responses;

/** A user's request that is being served: its answer also counts it as over. */
final class TrackedReply {
  private final Reply reply;
  private final Runnable over;

  TrackedReply(Reply reply, Runnable over) {
    this.reply = reply;
    this.over = over;
  }

  void send(int status, ObjectNode body) {
    over.run();
    reply.send(status, Cbor.encode(body), status == 503 ? 1 : 0);
  }

  void unsure(String why) {
    send(503, Responses.error(why));
  }
}
