package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The sums that the rules rest on, with the settings of all deployments and some of none. */
class ControllerLeaseTest {
  private static final double DRIFT = 0.0005;

  /** Intervals in seconds: between reports, of a worker's lease, and for a cancellation. */
  @ParameterizedTest
  @CsvSource({"3,36,61", "5,36,61", "3,18,43", "4,18,43", "6,30,55", "6,30,35", "1,5,60", "2,100,600"})
  void whatACutOffControllerKeepsAliveEndsInTime(double report, double lease, double cancel) {
    Duration life = ControllerLease.lifeFor(seconds(cancel), seconds(lease));
    Duration record = ControllerLease.recordLifeFor(life, seconds(lease));
    // It answers until its life has ended; the worker's lease then counts from when it sent that report.
    double gone = (life.toMillis() / 1000.0 + lease) * (1 + 2 * DRIFT);
    assertTrue(gone < cancel - (cancel - lease) * 0.2, "gone after " + gone + " s of " + cancel);
    assertTrue(record.compareTo(life) <= 0, "others may take over before it ceases to act");
    // The last report it answers is followed by one that it refuses an interval and a quarter later.
    double left = lease - report * 1.25 - 1;
    assertTrue(left > lease / 4, left + " s are left to be taken over in");
  }

  private static Duration seconds(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }
}
