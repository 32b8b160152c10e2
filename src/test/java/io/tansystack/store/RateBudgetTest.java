package io.tansystack.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards the reserve for urgent writes, the rate over time and the pause after a 429. */
class RateBudgetTest {
  @Test
  void ordinaryWritesLeaveAReserveForUrgentOnes() {
    RateBudget budget = new RateBudget(10, 10, Duration.ZERO);
    int ordinary = 0;
    while (budget.tryAcquire(1, false, Duration.ZERO)) {
      ordinary++;
    }
    int urgent = 0;
    while (budget.tryAcquire(1, true, Duration.ZERO)) {
      urgent++;
    }
    assertEquals(10, ordinary + urgent);
    assertTrue(urgent >= 3, "tokens left for urgent writes: " + urgent);
  }

  @Test
  void rateIsNotExceededOverTime() {
    RateBudget budget = new RateBudget(10, 10, Duration.ZERO);
    int taken = 0;
    for (int ms = 0; ms <= 5000; ms += 7) {
      if (budget.tryAcquire(1, true, Duration.ofMillis(ms))) {
        taken++;
      }
    }
    assertTrue(taken <= 60 && taken >= 55, "taken " + taken);
  }

  @Test
  void throttlingByTheServicePausesAllWrites() {
    RateBudget budget = new RateBudget(10, 10, Duration.ZERO);
    budget.onThrottled(Duration.ofSeconds(1), Duration.ofMillis(200));
    assertFalse(budget.tryAcquire(1, true, Duration.ofMillis(1150)));
    assertTrue(budget.tryAcquire(1, true, Duration.ofMillis(1250)));
  }
}
