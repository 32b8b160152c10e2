package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the lease and record durations against the time limits that the safety rules depend on,
 * with the settings of all deployments and some others.
 */
class ControllerLeaseTest {
  private static final double DRIFT = 0.0005;

  /** Seconds: the report interval, a worker's lease, and the time limit for cancellations. */
  @ParameterizedTest
  @CsvSource({
    "3,36,61", "5,36,61", "3,18,43", "4,18,43", "6,30,55", "6,30,35", "1,5,60", "2,100,600"
  })
  void workOfACutOffControllerEndsBeforeTheCancelDeadline(
      double report, double lease, double cancel) {
    Duration leaseDuration = ControllerLease.leaseDurationFor(seconds(cancel), seconds(lease));
    Duration recordTtl = ControllerLease.recordTtlFor(leaseDuration, seconds(lease));
    // The controller answers until its lease has ended; the worker's lease then runs from the time
    // at which the worker sent the report that was answered last.
    double goneAfter = (leaseDuration.toMillis() / 1000.0 + lease) * (1 + 2 * DRIFT);
    assertTrue(
        goneAfter < cancel - (cancel - lease) * 0.2, "gone after " + goneAfter + " s of " + cancel);
    assertTrue(
        recordTtl.compareTo(leaseDuration) <= 0, "others may take over before it ceases to act");
    // The report after the last answered one is refused, at most 1.25 report intervals later.
    double remaining = lease - report * 1.25 - 1;
    assertTrue(remaining > lease / 4, remaining + " s are left to be taken over");
  }

  private static Duration seconds(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }
}
