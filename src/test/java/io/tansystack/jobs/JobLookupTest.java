package io.tansystack.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.tansystack.cluster.ClusterState;
import io.tansystack.sim.SimEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against polls that wait for ever behind one whose processing fails. */
class JobLookupTest {
  private static final Duration LONGER_THAN_ANY_WAIT = Duration.ofSeconds(2);

  private final SimEventLoop loop = new SimEventLoop();
  private final List<Boolean> results = new ArrayList<>();
  private final JobLookup lookup =
      new JobLookup(loop, null, new ClusterState(delta -> {}), () -> {});

  private void failingRequest() {
    lookup.whenUpToDate(
        upToDate -> {
          throw new IllegalStateException("expected by this test");
        });
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestsBehindOneThatFailsAreServed(boolean upToDate) {
    failingRequest();
    lookup.whenUpToDate(results::add);
    lookup.whenUpToDate(results::add);
    assertThrows(
        IllegalStateException.class,
        () -> {
          if (upToDate) {
            lookup.onUpToDate(loop.now());
          } else {
            loop.runFor(LONGER_THAN_ANY_WAIT);
          }
        });
    assertEquals(List.of(upToDate, upToDate), results);
  }

  @Test
  void laterRequestsAreServedToo() {
    failingRequest();
    assertThrows(IllegalStateException.class, () -> loop.runFor(LONGER_THAN_ANY_WAIT));
    lookup.whenUpToDate(results::add);
    loop.runFor(LONGER_THAN_ANY_WAIT);
    assertEquals(List.of(false), results);
  }
}
