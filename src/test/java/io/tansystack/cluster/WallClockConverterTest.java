package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.sim.SimEventLoop;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A converted wall-clock time may be later than the actual time, but never earlier: an event must
 * not seem older than it is.
 */
class WallClockConverterTest {
  private static final Duration SKEW = Duration.ofMillis(250);

  /**
   * Milliseconds: the errors of the writer's clock and of this process's clock, the actual age of
   * the time, and its proven age.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 10000, 9500", "250, -250, 10000, 9000", "-250, 250, 10000, 10000",
    "250, 250, 10000, 9500",
    "0, 0, 500, 0", "0, 0, 0, 0", "250, -250, 0, 0", "-250, 250, 0, 0", "-250, 250, 100, 100"
  })
  void neverComputesATimeEarlierThanTheActualOne(
      long writerMs, long ownMs, long agoMs, long provenMs) {
    SimEventLoop loop = new SimEventLoop();
    long written = loop.now().toMillis() + writerMs;
    Duration actual = loop.now();
    loop.runFor(Duration.ofMillis(agoMs));
    WallClockConverter converter =
        new WallClockConverter(
            loop, () -> Instant.ofEpochMilli(loop.now().toMillis() + ownMs), SKEW);
    Duration latest = converter.latest(written);
    assertEquals(Duration.ofMillis(provenMs), loop.now().minus(latest));
    assertTrue(latest.compareTo(actual) >= 0);
    assertTrue(latest.minus(actual).compareTo(SKEW.multipliedBy(4)) <= 0);
  }
}
