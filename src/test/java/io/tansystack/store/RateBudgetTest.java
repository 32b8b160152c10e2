package io.tansystack.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RateBudgetTest {
  @Test
  void ordinaryWritesLeaveAReserveForUrgentOnes() {
    RateBudget budget = new RateBudget(10, 10, Duration.ZERO);
    int ordinary = 0;
    while (budget.take(1, false, Duration.ZERO)) {
      ordinary++;
    }
    int urgent = 0;
    while (budget.take(1, true, Duration.ZERO)) {
      urgent++;
    }
    assertEquals(10, ordinary + urgent);
    assertTrue(urgent >= 3, "left for urgent ones: " + urgent);
  }

  @Test
  void neverMoreThanTheRateOverTime() {
    RateBudget budget = new RateBudget(10, 10, Duration.ZERO);
    int taken = 0;
    for (int ms = 0; ms <= 5000; ms += 7) {
      if (budget.take(1, true, Duration.ofMillis(ms))) {
        taken++;
      }
    }
    assertTrue(taken <= 60 && taken >= 55, "taken " + taken);
  }

  @Test
  void aRefusalByTheServicePausesAllWrites() {
    RateBudget budget = new RateBudget(10, 10, Duration.ZERO);
    budget.refused(Duration.ofSeconds(1), Duration.ofMillis(200));
    assertFalse(budget.take(1, true, Duration.ofMillis(1150)));
    assertTrue(budget.take(1, true, Duration.ofMillis(1250)));
  }
}
