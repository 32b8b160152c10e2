package io.tansystack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.cluster.ClusterState;
import io.tansystack.records.JobRecord;
import io.tansystack.sim.SimEventLoop;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.StoreProtocol.Change;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A lease of 18 s, reports every 4 s, records that last 4.5 s; an owner "c" that does not answer. */
class OwnerLivenessTest {
  private static final Duration LEASE = Duration.ofSeconds(18);
  private static final Duration REPORT = Duration.ofSeconds(4);
  private static final Duration RECORD = Duration.ofMillis(4500);

  private final SimEventLoop loop = new SimEventLoop();
  private final ClusterState world = new ClusterState(touched -> {});
  private long revision;
  private boolean unfit;
  private boolean heard;
  private boolean refuses;
  private boolean silent;
  private final OwnerLiveness owners =
      new OwnerLiveness(
          loop,
          world,
          () -> Instant.ofEpochMilli(loop.now().toMillis()),
          RECORD,
          LEASE,
          REPORT,
          new RecoveryContext.PeerHealth(c -> unfit, c -> heard, c -> refuses, c -> silent));

  private void put(String key, com.fasterxml.jackson.databind.node.ObjectNode value) {
    world.changes(List.of(new Change(key, value, ++revision)), revision);
  }

  private void record(String boot) {
    put(
        ClusterState.controllerKey("c"),
        boot == null ? null : Cbor.map().put("boot", boot).put("zone", "a"));
  }

  private void acceptedJob() {
    JobSpec spec =
        new JobSpec(
            "wk-1", "c", "t", JobKind.ARRAY, Priority.LOW, 1, 1, 0, 1, "i", 1, null, null, false,
            false, true, 10, 0, 0, null);
    put(ClusterState.jobKey("wk-1"), JobRecord.created(spec, loop.now().toMillis()).write());
  }

  @ParameterizedTest
  @CsvSource({
    // record, unfit, heard, refuses, silent: what is made of it at once, and after so many ms.
    "true,  false, true,  false, false, HERE,    0, HERE",
    "true,  true,  true,  false, true,  AWAITED, 6000, UNFIT",
    "true,  false, false, false, false, AWAITED, 6000, HERE",
    "true,  true,  true,  true,  false, AWAITED, 5000, AWAITED",
    "true,  true,  true,  true,  false, AWAITED, 6000, UNFIT",
    "true,  false, false, true,  false, AWAITED, 5000, AWAITED",
    "false, true,  true,  true,  false, AWAITED, 2000, AWAITED",
    "false, true,  true,  true,  false, AWAITED, 30000, LATE",
    "false, true,  true,  false, true,  LATE,    0, LATE",
  })
  void whatIsMadeOfAnOwner(
      boolean recorded,
      boolean unfit,
      boolean heard,
      boolean refuses,
      boolean silent,
      OwnerLiveness.Verdict first,
      int afterMs,
      OwnerLiveness.Verdict then) {
    acceptedJob();
    if (recorded) {
      record("one");
    }
    this.unfit = unfit;
    this.heard = heard;
    this.refuses = refuses;
    this.silent = silent;
    assertEquals(first, owners.verdict("c"));
    loop.runFor(Duration.ofMillis(afterMs));
    assertEquals(then, owners.verdict("c"));
  }

  @Test
  void oneThatHasActedForLongIsUnfitAtOnceAndOneThatHasJustStartedIsAwaited() {
    acceptedJob();
    record("one");
    heard = true;
    assertEquals(OwnerLiveness.Verdict.HERE, owners.verdict("c"));
    loop.runFor(Duration.ofSeconds(60));
    unfit = true; // It says that it does not hear its workers: theirs is no time to lose.
    assertEquals(OwnerLiveness.Verdict.UNFIT, owners.verdict("c"));
    record("two"); // It has registered anew, and says that it may not act yet.
    assertEquals(OwnerLiveness.Verdict.AWAITED, owners.verdict("c"));
    unfit = false;
    assertEquals(OwnerLiveness.Verdict.HERE, owners.verdict("c"));
  }

  private Duration untilLate() {
    Duration from = loop.now();
    while (owners.verdict("c") != OwnerLiveness.Verdict.LATE) {
      loop.runFor(Duration.ofMillis(100));
      assertTrue(loop.now().minus(from).compareTo(Duration.ofSeconds(60)) < 0);
    }
    return loop.now().minus(from);
  }

  /**
   * It may have answered a report, sent an interval before, just before it ended: by the time it is
   * late the worker has to find its heir with something in hand, wherever this controller comes from.
   */
  @ParameterizedTest
  @CsvSource({"0, 4500", "2000, 4500", "4000, 4500", "6000, 0", "7500, 0", "20000, 0"})
  void aWorkersLeaseOutlastsTheWait(int startsAfterMs, int recordLastsMs) {
    acceptedJob();
    record("one");
    heard = true;
    boolean livesThrough = startsAfterMs == 0;
    if (livesThrough) {
      assertEquals(OwnerLiveness.Verdict.HERE, owners.verdict("c"));
    }
    Duration ended = loop.now();
    refuses = true;
    unfit = true;
    loop.runFor(Duration.ofMillis(Math.max(startsAfterMs, recordLastsMs)));
    record(null);
    Duration from = loop.now();
    untilLate();
    Duration leaseEnds = ended.plus(LEASE).minus(REPORT.multipliedBy(5).dividedBy(4));
    Duration inHand = leaseEnds.minus(loop.now());
    boolean couldBeSaved = from.plus(Duration.ofSeconds(6)).compareTo(leaseEnds) < 0;
    assertTrue(
        !couldBeSaved || inHand.compareTo(Duration.ofMillis(3300)) > 0,
        "started " + startsAfterMs + " ms after the end, in hand " + inHand);
    assertTrue(loop.now().minus(from).compareTo(Duration.ofSeconds(12)) < 0, "not for ever");
  }

  @Test
  void whatStartsHaveTakenIsLearnt() {
    acceptedJob();
    record("one");
    heard = true;
    owners.verdict("c");
    refuses = true;
    unfit = true;
    owners.verdict("c");
    loop.runFor(Duration.ofSeconds(1));
    refuses = false;
    unfit = false;
    record("two");
    assertEquals(OwnerLiveness.Verdict.HERE, owners.verdict("c"));
    loop.runFor(Duration.ofSeconds(60));
    unfit = true;
    refuses = true;
    record(null);
    // Its record had outlived it by 4.5 s already: by far more than a start has ever taken.
    assertEquals(OwnerLiveness.Verdict.LATE, owners.verdict("c"));
  }

  @Test
  void withNoWorkThereIsNothingToWaitFor() {
    assertTrue(untilLate().compareTo(Duration.ofSeconds(3)) < 0);
  }
}
