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

/**
 * Checks the verdicts on an owner "c" with worker leases of 18 s, reports every 4 s and controller
 * records that outlive their last renewal by 4.5 s. Guards against workers whose lease expires
 * while their owner is waited for, and against taking machines from an owner that is restarting.
 */
class OwnerLivenessTest {
  private static final Duration LEASE = Duration.ofSeconds(18);
  private static final Duration REPORT = Duration.ofSeconds(4);
  private static final Duration RECORD_TTL = Duration.ofMillis(4500);

  private final SimEventLoop loop = new SimEventLoop();
  private final ClusterState clusterState = new ClusterState(delta -> {});
  private long revision;
  private boolean unfit;
  private boolean heardFrom;
  private boolean refusesConnections;
  private boolean unresponsive;
  private final OwnerLiveness ownerLiveness =
      new OwnerLiveness(
          loop,
          clusterState,
          () -> Instant.ofEpochMilli(loop.now().toMillis()),
          RECORD_TTL,
          LEASE,
          REPORT,
          new RecoveryContext.PeerHealth(
              c -> unfit, c -> heardFrom, c -> refusesConnections, c -> unresponsive));

  private void put(String key, com.fasterxml.jackson.databind.node.ObjectNode value) {
    clusterState.changes(List.of(new Change(key, value, ++revision)), revision);
  }

  private void record(String incarnation) {
    put(
        ClusterState.controllerKey("c"),
        incarnation == null ? null : Cbor.map().put("boot", incarnation).put("zone", "a"));
  }

  private void acceptJob() {
    JobSpec spec =
        new JobSpec(
            "wk-1", "c", "t", JobKind.ARRAY, Priority.LOW, 1, 1, 0, 1, "i", 1, null, null, false,
            false, true, 10, 0, 0, null);
    put(ClusterState.jobKey("wk-1"), JobRecord.created(spec, loop.now().toMillis()).write());
  }

  @ParameterizedTest
  @CsvSource({
    // recorded, unfit, heard from, refuses connections, unresponsive: the verdict at once, and
    // after this many ms.
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
  void verdictFollowsFromRecordAndPeerHealth(
      boolean recorded,
      boolean unfit,
      boolean heardFrom,
      boolean refusesConnections,
      boolean unresponsive,
      OwnerLiveness.Verdict first,
      int afterMs,
      OwnerLiveness.Verdict later) {
    acceptJob();
    if (recorded) {
      record("one");
    }
    this.unfit = unfit;
    this.heardFrom = heardFrom;
    this.refusesConnections = refusesConnections;
    this.unresponsive = unresponsive;
    assertEquals(first, ownerLiveness.verdict("c"));
    loop.runFor(Duration.ofMillis(afterMs));
    assertEquals(later, ownerLiveness.verdict("c"));
  }

  @Test
  void anEstablishedControllerIsUnfitAtOnceAndARestartedOneIsAwaited() {
    acceptJob();
    record("one");
    heardFrom = true;
    assertEquals(OwnerLiveness.Verdict.HERE, ownerLiveness.verdict("c"));
    loop.runFor(Duration.ofSeconds(60));
    unfit = true; // It says that it receives no reports: its workers have no time to lose.
    assertEquals(OwnerLiveness.Verdict.UNFIT, ownerLiveness.verdict("c"));
    record("two"); // It has registered again, and reports that it may not act yet.
    assertEquals(OwnerLiveness.Verdict.AWAITED, ownerLiveness.verdict("c"));
    unfit = false;
    assertEquals(OwnerLiveness.Verdict.HERE, ownerLiveness.verdict("c"));
  }

  private Duration runUntilLate() {
    Duration from = loop.now();
    while (ownerLiveness.verdict("c") != OwnerLiveness.Verdict.LATE) {
      loop.runFor(Duration.ofMillis(100));
      assertTrue(loop.now().minus(from).compareTo(Duration.ofSeconds(60)) < 0);
    }
    return loop.now().minus(from);
  }

  /**
   * Just before the owner ended, it may have answered a report that was sent an interval earlier.
   * When the owner becomes overdue, the worker must have enough of its lease left to find a
   * successor, whenever this controller started.
   */
  @ParameterizedTest
  @CsvSource({"0, 4500", "2000, 4500", "4000, 4500", "6000, 0", "7500, 0", "20000, 0"})
  void aWorkersLeaseOutlastsTheWaitForItsOwner(int startsAfterMs, int recordLastsMs) {
    acceptJob();
    record("one");
    heardFrom = true;
    boolean activeBeforeTheEnd = startsAfterMs == 0;
    if (activeBeforeTheEnd) {
      assertEquals(OwnerLiveness.Verdict.HERE, ownerLiveness.verdict("c"));
    }
    Duration ended = loop.now();
    refusesConnections = true;
    unfit = true;
    loop.runFor(Duration.ofMillis(Math.max(startsAfterMs, recordLastsMs)));
    record(null);
    Duration from = loop.now();
    runUntilLate();
    Duration leaseEnds = ended.plus(LEASE).minus(REPORT.multipliedBy(5).dividedBy(4));
    Duration remaining = leaseEnds.minus(loop.now());
    boolean couldBeSaved = from.plus(Duration.ofSeconds(6)).compareTo(leaseEnds) < 0;
    assertTrue(
        !couldBeSaved || remaining.compareTo(Duration.ofMillis(3300)) > 0,
        "started " + startsAfterMs + " ms after the end, remaining " + remaining);
    assertTrue(
        loop.now().minus(from).compareTo(Duration.ofSeconds(12)) < 0, "waits for a limited time");
  }

  @Test
  void learnsHowLongRestartsTake() {
    acceptJob();
    record("one");
    heardFrom = true;
    ownerLiveness.verdict("c");
    refusesConnections = true;
    unfit = true;
    ownerLiveness.verdict("c");
    loop.runFor(Duration.ofSeconds(1));
    refusesConnections = false;
    unfit = false;
    record("two");
    assertEquals(OwnerLiveness.Verdict.HERE, ownerLiveness.verdict("c"));
    loop.runFor(Duration.ofSeconds(60));
    unfit = true;
    refusesConnections = true;
    record(null);
    // Its record has outlived it by 4.5 s already, which is far longer than any restart has taken.
    assertEquals(OwnerLiveness.Verdict.LATE, ownerLiveness.verdict("c"));
  }

  @Test
  void doesNotWaitWithoutJobs() {
    assertTrue(runUntilLate().compareTo(Duration.ofSeconds(3)) < 0);
  }
}
