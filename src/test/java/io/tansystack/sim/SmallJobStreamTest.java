package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One-task jobs, four per second for minutes, a quarter of them cancelled, with the lowest write
 * limits of the state service that are in use.
 */
class SmallJobStreamTest extends FaultScenario {
  private static final int PER_SECOND = 4;

  /**
   * The number of writes per job is bounded, submissions and cancellations are answered soon, no
   * controller loses its lease, and afterwards about as many keys are stored as before.
   */
  @ParameterizedTest
  @CsvSource({"180, 20, false", "60, 20, true", "120, 80, true"})
  void streamOfOneTaskJobs(int seconds, int writesPerSecond, boolean leaderEnds) throws Exception {
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
    int storedBefore = storedKeys();
    for (int i = 0; i < seconds * PER_SECOND; i++) {
      String id = id(jobCount++);
      Duration submittedAt = loop.now();
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
          leaderEnds || users().jobs.get(id).accepted != null || loop.now().minus(submittedAt).toSeconds() < 1, id);
    }
    long writes = store.writes("") - before;
    int streamed = seconds * PER_SECOND;
    // Three writes per job: accepted, placed, finished. Archiving an outcome takes two more when
    // nothing else is written.
    long archivalWrites = 2 * store.writes("ts-ended/");
    assertTrue(
        writes - archivalWrites <= 3.5 * streamed,
        writes + " writes for " + streamed + " jobs, " + archivalWrites + " to archive");
    assertTrue(store.rejected() <= 10, store.rejected() + " writes over the limit");
    List<Long> waits =
        users().jobs.values().stream()
            .filter(job -> job.accepted != null)
            .map(job -> job.accepted.minus(job.submitted).toMillis())
            .sorted()
            .toList();
    assertTrue(waits.get(waits.size() * 95 / 100) <= (leaderEnds ? 5000 : 500), "ms until accepted: " + waits);
    assertRecovered(streamed + " jobs");
    assertTrue(storedKeys() <= storedBefore + 8, storedKeys() + " keys stored, " + storedBefore + " before");
    assertEquals(0, users().checker().lateStarts.stream().filter(s -> s.after().toMillis() > 500).count());
  }

  /** Number of keys that each controller reads at startup. */
  private int storedKeys() {
    return (int) store.keyCount("ts/");
  }
}
