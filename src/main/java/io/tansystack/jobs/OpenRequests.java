package io.tansystack.jobs;

import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.wire.ThrottledLogger;
import java.time.Duration;
import java.util.function.Consumer;
import org.slf4j.LoggerFactory;

/**
 * The users' requests that are being processed. Their number is limited. Each of them is answered
 * once and then no longer counted, also if its processing fails or never ends: a request that is
 * not answered within {@link #ANSWER_TIMEOUT} gets 503.
 */
final class OpenRequests {
  static final int MAX_OPEN = 128;

  /** The protocol's timeout for a user's request; later answers are of no use. */
  static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

  private final ThrottledLogger expiredRequests =
      new ThrottledLogger(LoggerFactory.getLogger(OpenRequests.class));
  private final EventLoop loop;
  private int open;
  private long expired;

  OpenRequests(EventLoop loop) {
    this.loop = loop;
  }

  /** Whether no further request may be processed now. */
  boolean isFull() {
    return open >= MAX_OPEN;
  }

  /** The number of requests without an answer. */
  int count() {
    return open;
  }

  /** The number of requests so far whose processing did not answer them in time. */
  long expiredCount() {
    return expired;
  }

  /**
   * Counts a request as open until it is answered, and processes it. If the processing throws an
   * exception, the request is answered with 500 and the exception is passed on.
   *
   * @param kind the kind of request, for the log
   */
  void process(String kind, Reply reply, Consumer<TrackedReply> processing) {
    open++;
    TrackedReply tracked = new TrackedReply(reply);
    EventLoop.Timer timer = loop.after(ANSWER_TIMEOUT, () -> expire(kind, tracked));
    tracked.onAnswered(
        () -> {
          open--;
          timer.cancel();
        });
    try {
      processing.accept(tracked);
    } catch (RuntimeException e) {
      tracked.sendInternalError();
      throw e;
    }
  }

  private void expire(String kind, TrackedReply reply) {
    expired++;
    expiredRequests.warn(kind, "not answered within " + ANSWER_TIMEOUT.toSeconds() + " s");
    reply.sendUnavailable("not answered in time");
  }
}
