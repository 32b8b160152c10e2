package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidText;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against submissions that are never answered and use up a controller's open requests, after
 * which it refuses all users (review/1).
 */
class UnprocessableSubmissionTest extends SimCluster {
  /** More than a controller processes at the same time. */
  private static final int SUBMISSIONS = 300;

  @BeforeEach
  void bootController() throws Exception {
    controllerCount = 1;
    boot(0);
    loop.runFor(Duration.ofSeconds(6));
  }

  private byte[] withInvalidText(String id, String field) {
    return InvalidText.replaceIn(Cbor.encode(spec(id, 1).write().put(field, "abcXXX")), "abc");
  }

  private void send(byte[] body, List<Integer> statuses) {
    processes.get(0).run(() -> controllers.get(0).handleFront("POST", "/v1/jobs", body, (status, bytes, r) -> statuses.add(status)));
  }

  @Test
  void eachIsAnsweredOnceAndOthersAreServed() {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < SUBMISSIONS; i++) {
      send(withInvalidText("wk-" + (1000 + i), "Consist"), statuses);
      loop.runFor(Duration.ofMillis(20));
    }
    Map<String, Integer> valid = submitTogether(0, List.of(spec("wk-000001", 1), spec("wk-000002", 1)));
    send(withInvalidText("wk-000003", "Cargo"), statuses);
    loop.runFor(Duration.ofSeconds(10));
    assertEquals(Collections.nCopies(SUBMISSIONS + 1, 400), statuses);
    assertEquals(Map.of("wk-000001", 201, "wk-000002", 201), valid, "the users of the same moment");
  }
}
