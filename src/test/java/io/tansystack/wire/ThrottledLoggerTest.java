package io.tansystack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Guards against a log that is flooded with lines about unreadable messages. */
class ThrottledLoggerTest {
  // System.nanoTime may start at any value and overflow.
  private long now = Long.MAX_VALUE - 1000;

  @Test
  void logsFloodOncePerIntervalWithCountOfSuppressed() {
    ThrottledLogger logger =
        new ThrottledLogger(LoggerFactory.getLogger(ThrottledLoggerTest.class), () -> now);
    assertEquals("report: Shift: missing", logger.nextLine("report", "Shift: missing"));
    for (int i = 0; i < 1000; i++) {
      now += Duration.ofMillis(4).toNanos();
      assertNull(logger.nextLine("report", "Shift: missing"));
    }
    now += Duration.ofMillis(1001).toNanos();
    assertEquals(
        "list: not a map (and 1000 more that could not be read)",
        logger.nextLine("list", "not a map"));
    now += ThrottledLogger.MIN_INTERVAL.toNanos();
    assertEquals("list: not a map", logger.nextLine("list", "not a map"));
  }
}
