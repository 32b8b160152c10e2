package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.sim.RandomFaultRun.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Two to four troubles out of all pages that meet, drawn; every rule is judged, {@code forgotten} by job. */
class RandomFaultsTest {
  /**
   * Those that have found something once: 721 and 1074 reads that were older than what the copy showed, the
   * others gangs that waited for ever, since machines were rented in a zone where they have no use for them.
   */
  private static final long[] FOUND =
      {721, 1074, RandomFaultRun.LAST_NARROW_SEED + 10, RandomFaultRun.LAST_NARROW_SEED + 55};

  /** Some dozens, or those that {@code tansystack.pairs} names as {@code FROM-TO}. */
  static LongStream seeds() {
    String named = System.getProperty("tansystack.pairs", "");
    if (named.isEmpty()) {
      LongStream wide = LongStream.rangeClosed(RandomFaultRun.LAST_NARROW_SEED + 11, RandomFaultRun.LAST_NARROW_SEED + 50);
      return LongStream.concat(
          LongStream.concat(LongStream.rangeClosed(1, 40), LongStream.of(FOUND)), wide);
    }
    String[] range = named.split("-");
    return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noRuleBreaks(long seed) throws Exception {
    List<Fault> troubles = RandomFaultRun.drawFaults(seed);
    Set<String> broken = RandomFaultRun.simulate(seed, troubles);
    if (!broken.isEmpty()) {
      List<Fault> shortest = RandomFaultRun.minimize(seed, troubles);
      assertEquals(Set.of(), broken, "seed " + seed + " with " + troubles + ", shortest found: " + shortest);
    }
  }

  /** A day repeats itself, or its failure could not be looked into; troubles left out don't move the others. */
  @Test
  void aSeedsDayIsTheSameEveryTime() throws Exception {
    List<Fault> troubles = RandomFaultRun.drawFaults(5);
    assertEquals(troubles, RandomFaultRun.drawFaults(5));
    assertEquals(
        RandomFaultRun.simulate(5, troubles), RandomFaultRun.simulate(5, new ArrayList<>(troubles)));
  }
}
