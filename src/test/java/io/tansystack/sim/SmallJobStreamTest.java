package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One-task jobs, four a second for minutes, a quarter cancelled, at the smallest limits that are used. */
class SmallJobStreamTest extends FaultScenario {
  private static final int PER_SECOND = 4;

  /**
   * Writes for a job's life have a bound, submissions and cancellations are answered soon, no lease of a
   * controller ends, and afterwards everything is back to what it was.
   */
  @ParameterizedTest
  @CsvSource({"180, 20, false", "60, 20, true", "120, 80, true"})
  void oneTaskJobs(int seconds, int writesPerSecond, boolean leaderEnds) throws Exception {
    random = new Random(seconds);
    settings =
        settings
            .replace("cpus_max = 60.0", "cpus_max = 0.0")
            .replace("write_rps = 200.0", "write_rps = " + writesPerSecond + ".0");
    taskRunTime = Duration.ofSeconds(6);
    start(3, 16);
    store.limits(store.limits().withWrites(writesPerSecond));
    submitJobs(2, 4);
    loop.runFor(Duration.ofSeconds(14));
    long before = store.writes("");
    int kept = keptKeys();
    for (int i = 0; i < seconds * PER_SECOND; i++) {
      String id = id(jobCount++);
      Duration asked = loop.now();
      users().submit(spec(id, 1), SimUsers.ANY);
      if (i % 4 == 0) {
        loop.after(
            Duration.ofMillis(1200 + random.nextInt(9000)), () -> users().cancel(id, SimUsers.ANY));
      }
      if (leaderEnds && i == seconds * PER_SECOND / 2) {
        restart(Math.max(0, leader()), 3000);
      }
      loop.runFor(Duration.ofMillis(1000 / PER_SECOND));
      assertTrue(
          leaderEnds || users().jobs.get(id).accepted != null || loop.now().minus(asked).toSeconds() < 1, id);
    }
    long writes = store.writes("") - before;
    int streamed = seconds * PER_SECOND;
    // Accepted, placed, over; an outcome that is put away, when nothing else is written, takes two writes more.
    long putAway = 2 * store.writes("ts-ended/");
    assertTrue(writes - putAway <= 3.5 * streamed, writes + " writes for " + streamed + " jobs, " + putAway + " put away");
    assertTrue(store.rejected() <= 10, store.rejected() + " writes over the limit");
    List<Long> waits =
        users().jobs.values().stream()
            .filter(told -> told.accepted != null)
            .map(told -> told.accepted.minus(told.submitted).toMillis())
            .sorted()
            .toList();
    assertTrue(waits.get(waits.size() * 95 / 100) <= (leaderEnds ? 5000 : 500), "accepted within ms: " + waits);
    assertRecovered(streamed + " jobs");
    assertTrue(keptKeys() <= kept + 8, keptKeys() + " keys are left, " + kept + " before");
    assertEquals(0, users().checker().lateStarts.stream().filter(s -> s.after().toMillis() > 500).count());
  }

  /** What every start has to read. */
  private int keptKeys() {
    return (int) store.keyCount("ts/");
  }
}
