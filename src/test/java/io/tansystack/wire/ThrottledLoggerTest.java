package io.tansystack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class ThrottledLoggerTest {
  private long now = Long.MAX_VALUE - 1000; // The clock it uses may start anywhere, and run over.

  @Test
  void aFloodIsToldOnceInAWhileAndCounted() {
    ThrottledLogger malformed =
        new ThrottledLogger(LoggerFactory.getLogger(ThrottledLoggerTest.class), () -> now);
    assertEquals("report: Shift: missing", malformed.line("report", "Shift: missing"));
    for (int i = 0; i < 1000; i++) {
      now += Duration.ofMillis(4).toNanos();
      assertNull(malformed.line("report", "Shift: missing"));
    }
    now += Duration.ofMillis(1001).toNanos();
    assertEquals(
        "list: not a map (and 1000 more that could not be read)", malformed.line("list", "not a map"));
    now += ThrottledLogger.EVERY.toNanos();
    assertEquals("list: not a map", malformed.line("list", "not a map"));
  }
}
