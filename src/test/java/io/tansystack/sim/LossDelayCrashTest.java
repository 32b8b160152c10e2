package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Lost responses, delayed requests and crashes, for several minutes of simulated time. */
class LossDelayCrashTest extends SimCluster {
  /**
   * Responses are lost, and requests are executed up to 43 s late. Controllers are killed, paused,
   * unresponsive, cut off from workers or refused by the state service, at any step and for less
   * and more than any lease. Delayed requests include launches, forgets and transactions, so that
   * faults hit every step of a launch.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void rulesHoldThroughLossDelayAndCrashes(long seed) throws Exception {
    random = new Random(seed);
    controllerCount = 3;
    for (int i = 0; i < 3; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(2));
    exchangeFaultShare = 0.03;
    for (int j = 0; j < 6; j++) {
      submit("wk-00000" + j, 12);
    }
    List<JobSpec> bursts = new ArrayList<>();
    for (int round = 0; round < 40; round++) {
      if (round % 10 == 4) {
        // The same IDs also go to a random controller at the same time, in reverse order and
        // with other descriptions.
        List<JobSpec> burst = new ArrayList<>();
        List<JobSpec> repeated = new ArrayList<>();
        for (int j = 0; j < 7; j++) {
          burst.add(spec("wk-1" + (round / 10) + "000" + j, 3));
          repeated.add(0, spec("wk-1" + (round / 10) + "000" + j, 2));
        }
        bursts.addAll(burst);
        submitTogether(random.nextInt(3), burst);
        submitTogether(random.nextInt(3), repeated);
      }
      int victim = random.nextInt(3);
      int fault = random.nextInt(9);
      if (fault == 3) {
        processes.get(victim).freeze(Duration.ofMillis(500 + random.nextInt(40_000)));
      } else if (fault == 4) {
        isolated.add(victim);
        loop.after(Duration.ofMillis(1000 + random.nextInt(60_000)), () -> isolated.remove(victim));
      } else if (fault == 5) {
        refusedByStore = victim;
        loop.after(Duration.ofMillis(1000 + random.nextInt(30_000)), () -> refusedByStore = -1);
      } else if (fault == 6) {
        cutOffFromWorkers = victim;
        loop.after(Duration.ofMillis(1000 + random.nextInt(60_000)), () -> cutOffFromWorkers = -1);
      } else if (fault == 7) {
        deletionDelay = Duration.ofMillis(random.nextInt(8000));
      } else if (controllers.containsKey(victim) && fault < 3) {
        kill(victim);
        bootAfter(victim, Duration.ofMillis(2000 + random.nextInt(3000)));
      }
      loop.runFor(Duration.ofMillis(3000 + random.nextInt(5000)));
      check();
    }
    exchangeFaultShare = 0;
    for (JobSpec spec : bursts) {
      submit(spec.id(), spec.tasks());
    }
    loop.runFor(Duration.ofSeconds(300));
    check();
    assertEquals(Set.of(), violations, "seed " + seed);
    for (JobSpec spec : bursts) {
      assertEquals("done", state(spec.id()), "seed " + seed + " job " + spec.id());
    }
    assertEquals(0, store.keyCount("ts/intake/"), "all submission batches are removed in the end");
    for (int j = 0; j < 6; j++) {
      assertEquals("done", state("wk-00000" + j), "seed " + seed + " job " + j);
    }
  }
}
