package io.tansystack.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.tansystack.sim.SimEventLoop;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.EncodingException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against requests that stay counted as open: at the limit, every user is refused. */
class OpenRequestsTest {
  private final SimEventLoop loop = new SimEventLoop();
  private final OpenRequests requests = new OpenRequests(loop);
  private final List<Integer> statuses = new ArrayList<>();

  private void process(Consumer<TrackedReply> processing) {
    requests.process("test", (status, body, retryAfterS) -> statuses.add(status), processing);
  }

  @Test
  void processingThatNeverAnswersIsAnswered503AndNoLongerCounted() {
    for (int i = 0; i < OpenRequests.MAX_OPEN; i++) {
      process(reply -> {});
    }
    assertEquals(OpenRequests.MAX_OPEN, requests.count());
    loop.runFor(OpenRequests.ANSWER_TIMEOUT);
    assertEquals(0, requests.count());
    assertFalse(requests.isFull());
    assertEquals(Collections.nCopies(OpenRequests.MAX_OPEN, 503), statuses);
  }

  @Test
  void processingThatFailsIsAnswered500() {
    assertThrows(
        IllegalStateException.class,
        () ->
            process(
                reply -> {
                  throw new IllegalStateException("expected by this test");
                }));
    assertEquals(List.of(500), statuses);
    assertEquals(0, requests.count());
  }

  @Test
  void answerThatCannotBeEncodedIsReplacedBy500() {
    assertThrows(
        EncodingException.class,
        () -> process(reply -> reply.send(200, Cbor.map().put("Uid", "\ud83d"))));
    assertEquals(List.of(500), statuses);
    assertEquals(0, requests.count());
  }

  @Test
  void onlyTheFirstAnswerIsSent() {
    List<TrackedReply> replies = new ArrayList<>();
    process(replies::add);
    loop.runFor(OpenRequests.ANSWER_TIMEOUT.plus(Duration.ofSeconds(1)));
    replies.get(0).send(201, Cbor.map());
    assertEquals(List.of(503), statuses);
    assertEquals(0, requests.count());
  }
}
