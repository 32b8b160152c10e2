package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.records.JobRecord;
import io.tansystack.records.JobRecord.Phase;
import io.tansystack.records.Placement;
import io.tansystack.records.TaskSet;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import io.tansystack.wire.StoreProtocol;
import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Reads and writes the records of a transaction that the previous version (commit 7ff9fad) sent to
 * the state service. Guards against a renamed identifier that changes a key or a field of a stored
 * record: after the upgrade the records would be unreadable, or controllers of the two versions
 * would not see each other's.
 */
class PreviousRecordFormatTest {
  /** The version of the first write of the transaction; each of the others has the next one. */
  private static final long FIRST_VERSION = 100;

  private static byte[] previousTransaction() throws Exception {
    try (InputStream in =
        PreviousRecordFormatTest.class.getResourceAsStream(
            "/formats-7ff9fad/transaction.cbor")) {
      return in.readAllBytes();
    }
  }

  private static List<Change> previousChanges() throws Exception {
    List<Change> changes = new ArrayList<>();
    for (JsonNode write : Cbor.decodeMap(previousTransaction()).get("Then")) {
      long version = FIRST_VERSION + changes.size();
      changes.add(
          write.has("Delete")
              ? new Change(write.get("Delete").textValue(), null, version)
              : new Change(
                  write.get("Write").textValue(), (ObjectNode) write.get("Value"), version));
    }
    assertEquals(13, changes.size());
    return changes;
  }

  private static ClusterState previousState() throws Exception {
    ClusterState clusterState = new ClusterState(delta -> {});
    clusterState.changes(previousChanges(), FIRST_VERSION + 20);
    return clusterState;
  }

  private static Placement placement(
      String machine, long session, long attempt, String tasks, boolean stop) {
    return new Placement(machine, session, attempt, TaskSet.parse(tasks), stop);
  }

  @Test
  void readsJobWithPlacements() throws Exception {
    ClusterState.Job job = previousState().job("wk-000001");
    assertEquals(FIRST_VERSION + 8, job.version());
    JobSpec spec = job.record().spec();
    assertEquals("wk-000001", spec.id());
    assertEquals("train", spec.jobClass());
    assertEquals("vision", spec.team());
    assertEquals(JobKind.ARRAY, spec.kind());
    assertEquals(Priority.HIGH, spec.priority());
    assertEquals(12, spec.tasks());
    assertEquals(1.5, spec.cpus());
    assertEquals(2.0, spec.gpus());
    assertEquals(3.25, spec.memGb());
    assertEquals("img-a", spec.image());
    assertEquals(4.5, spec.imageGb());
    assertEquals(List.of("g8", "c16"), spec.types());
    assertEquals("a", spec.zone());
    assertTrue(spec.sameZone());
    assertFalse(spec.spreadZones());
    assertTrue(spec.spotAllowed());
    assertEquals(600.0, spec.estimateS());
    assertEquals(60.0, spec.checkpointS());
    assertEquals(7.5, spec.saveS());
    assertEquals(3600.0, spec.deadlineS());

    JobRecord record = job.record();
    assertEquals(1_764_000_000_000L, record.submittedMs());
    assertEquals(Phase.ACTIVE, record.phase());
    assertEquals(TaskSet.parse("0-1,5"), record.done());
    assertEquals(2, record.attempt());
    assertEquals(0, record.cancelledMs());
    assertEquals(4, record.placements().size());
    Placement first = record.placements().get(0);
    assertEquals("n-000001", first.machine());
    assertEquals(2, first.session());
    assertEquals(1, first.attempt());
    assertEquals(TaskSet.parse("2-4,6-7"), first.tasks());
    assertFalse(first.stop());
    Placement stopped = record.placements().get(2);
    assertEquals("n-000002", stopped.machine());
    assertEquals(1, stopped.session());
    assertEquals(1, stopped.attempt());
    assertEquals(TaskSet.parse("10-11"), stopped.tasks());
    assertTrue(stopped.stop());
    Placement last = record.placements().get(3);
    assertEquals("n-000003", last.machine());
    assertEquals(4, last.session());
    assertEquals(2, last.attempt());
    assertEquals(TaskSet.parse("9"), last.tasks());
    assertFalse(last.stop());
  }

  @Test
  void readsCancelledJob() throws Exception {
    JobRecord record = previousState().job("wk-000002").record();
    assertEquals(Phase.CANCELLED, record.phase());
    assertEquals(1_764_000_001_000L, record.submittedMs());
    assertEquals(1_764_000_009_000L, record.cancelledMs());
    assertEquals(1, record.attempt());
    assertEquals(TaskSet.EMPTY, record.done());
    assertEquals(List.of(placement("n-000003", 4, 1, "0-3", true)), record.placements());
    JobSpec spec = record.spec();
    assertEquals(JobKind.GANG, spec.kind());
    assertEquals(Priority.PRODUCTION, spec.priority());
    assertNull(spec.types());
    assertNull(spec.zone());
    assertNull(spec.deadlineS());
    assertFalse(spec.sameZone());
    assertTrue(spec.spreadZones());
    assertFalse(spec.spotAllowed());
  }

  @Test
  void readsFinishedJobs() throws Exception {
    assertEquals(Phase.DONE, previousState().finalPhase("wk-000003"));
    assertNull(previousState().job("wk-000003"));
    List<Change> changes = previousChanges();
    JobRecord done = JobRecord.read(changes.get(10).value());
    assertNull(done.spec());
    assertEquals(Phase.DONE, done.phase());
    assertEquals(1_764_000_002_000L, done.submittedMs());
    assertEquals(ClusterState.archiveKey("wk-000007"), changes.get(11).key());
    JobRecord archived = JobRecord.read(changes.get(11).value());
    assertNull(archived.spec());
    assertEquals(Phase.CANCELLED, archived.phase());
    assertEquals(1_764_000_003_000L, archived.submittedMs());
  }

  @Test
  void readsSubmissionBatch() throws Exception {
    ClusterState clusterState = previousState();
    ClusterState.Job service = clusterState.job("wk-000004");
    assertEquals(0, service.version());
    assertEquals(1_764_000_005_000L, service.record().submittedMs());
    assertTrue(service.record().neverPlaced());
    assertEquals(JobKind.SERVICE, service.record().spec().kind());
    assertEquals(Priority.NORMAL, service.record().spec().priority());
    assertEquals("b", service.record().spec().zone());
    ClusterState.Job low = clusterState.job("wk-000005");
    assertEquals(0, low.version());
    assertEquals(1_764_000_006_000L, low.record().submittedMs());
    assertEquals(Priority.LOW, low.record().spec().priority());
    assertEquals(4, clusterState.jobs().size(), "two of the batch and two placed ones");
  }

  /** The machines of {@code c} belong to the successors that its failover record names. */
  @Test
  void readsMachinesClaimBatchAndFailoverRecord() throws Exception {
    ClusterState clusterState = previousState();
    MachineRecord individual = clusterState.machine("n-000001");
    assertEquals("n-000001", individual.name());
    assertEquals("10.0.0.1:9000", individual.address());
    assertEquals("g8", individual.type());
    assertEquals("a", individual.zone());
    assertTrue(individual.spot());
    assertTrue(individual.drain());
    assertEquals(FIRST_VERSION, individual.version());
    assertFalse(individual.inClaimBatch());
    assertEquals("c", individual.claimant());
    assertEquals("d", individual.owner(), "successor in the zone");
    assertEquals(FIRST_VERSION + 3, individual.ownedSince());

    MachineRecord other = clusterState.machine("n-000002");
    assertEquals("10.0.0.2:9000", other.address());
    assertEquals("c16", other.type());
    assertEquals("b", other.zone());
    assertFalse(other.spot());
    assertFalse(other.drain());
    assertEquals(FIRST_VERSION + 1, other.version());
    assertTrue(other.inClaimBatch());
    assertEquals("c", other.claimant());
    assertEquals("e", other.owner(), "successor for all other zones");

    MachineRecord unchanged = clusterState.machine("n-000003");
    assertEquals("d", unchanged.owner());
    assertEquals("d", unchanged.claimant());
    assertTrue(unchanged.spot());
    assertEquals(FIRST_VERSION + 1, unchanged.ownedSince());

    assertNull(clusterState.machine("n-000004"), "has a tombstone");
    assertTrue(clusterState.isGoneMachine("n-000004"));
    assertEquals(3, clusterState.machines().size());

    assertEquals(FIRST_VERSION + 3, clusterState.failoverVersion("c"));
    FailoverRecord failover = FailoverRecord.read(previousChanges().get(3).value(), 9);
    assertEquals(
        Map.of("a", List.of("d"), FailoverRecord.OTHER_ZONES, List.of("e", "e")),
        failover.successorsByZone());
    assertEquals(9, failover.version());
  }

  @Test
  void readsControllersAndHolders() throws Exception {
    ClusterState clusterState = previousState();
    assertEquals(List.of("d"), List.copyOf(clusterState.controllers().keySet()));
    ClusterState.ControllerRecord controller = clusterState.controllers().get("d");
    assertEquals("boot-d", controller.incarnation());
    assertEquals("a", controller.zone());
    assertEquals(FIRST_VERSION + 4, controller.version());
    assertEquals("d", clusterState.slot(3).label());
    assertEquals("boot-d", clusterState.slot(3).incarnation());
    assertEquals("e", clusterState.autoscaler().label());
    assertEquals("boot-e", clusterState.autoscaler().incarnation());
  }

  private static JobSpec arraySpec() {
    return new JobSpec(
        "wk-000001", "train", "vision", JobKind.ARRAY, Priority.HIGH, 12, 1.5, 2, 3.25, "img-a",
        4.5, List.of("g8", "c16"), "a", true, false, true, 600, 60, 7.5, 3600.0);
  }

  private static JobSpec gangSpec() {
    return new JobSpec(
        "wk-000002", "tune", "speech", JobKind.GANG, Priority.PRODUCTION, 4, 8, 0, 16, "img-b",
        0.5, null, null, false, true, false, 0, 0, 0, null);
  }

  private static JobSpec serviceSpec() {
    return new JobSpec(
        "wk-000004", "serve", "web", JobKind.SERVICE, Priority.NORMAL, 2, 1, 0, 2, "img-c", 1,
        null, "b", false, false, false, 0, 0, 0, null);
  }

  private static JobSpec lowSpec() {
    return new JobSpec(
        "wk-000005", "batch", "web", JobKind.ARRAY, Priority.LOW, 1, 1, 0, 2, "img-d", 1, null,
        null, false, false, true, 5, 0, 0, null);
  }

  private static MachineRecord claimed(
      String name, String owner, String address, String type, String zone, boolean spot) {
    return new MachineRecord(name, owner, address, type, zone, spot, false, 0, false);
  }

  @Test
  void writesTheSameBytes() throws Exception {
    JobRecord active =
        new JobRecord(
            arraySpec(),
            1_764_000_000_000L,
            Phase.ACTIVE,
            TaskSet.parse("0-1,5"),
            2,
            List.of(
                placement("n-000001", 2, 1, "2-4,6-7", false),
                placement("n-000002", 1, 1, "8", false),
                placement("n-000002", 1, 1, "10-11", true),
                placement("n-000003", 4, 2, "9", false)),
            0);
    JobRecord cancelled =
        new JobRecord(
            gangSpec(),
            1_764_000_001_000L,
            Phase.CANCELLED,
            TaskSet.EMPTY,
            1,
            List.of(placement("n-000003", 4, 1, "0-3", true)),
            1_764_000_009_000L);
    JobRecord done =
        new JobRecord(null, 1_764_000_002_000L, Phase.DONE, TaskSet.EMPTY, 0, List.of(), 0);
    JobRecord archived =
        new JobRecord(null, 1_764_000_003_000L, Phase.CANCELLED, TaskSet.EMPTY, 0, List.of(), 0);
    Map<String, List<String>> successors = new LinkedHashMap<>();
    successors.put("a", List.of("d"));
    successors.put(FailoverRecord.OTHER_ZONES, List.of("e", "e"));

    List<Write> writes = new ArrayList<>();
    writes.add(
        new Write(
            ClusterState.machineKey("n-000001"),
            new MachineRecord(
                    "n-000001", "c", "10.0.0.1:9000", "g8", "a", true, true, 0, false)
                .write(),
            0));
    writes.add(
        new Write(
            ClusterState.claimBatchKey("boot-c-0"),
            ClusterState.claimBatch(
                List.of(
                    claimed("n-000002", "c", "10.0.0.2:9000", "c16", "b", false),
                    claimed("n-000003", "d", "10.0.0.3:9000", "g8", "a", true),
                    claimed("n-000004", "d", "10.0.0.4:9000", "g8", "a", false))),
            0));
    writes.add(
        new Write(ClusterState.machineKey("n-000004"), MachineRegistry.tombstone(), 0));
    writes.add(new Write(ClusterState.failoverKey("c"), FailoverRecord.write(successors), 0));
    writes.addAll(OwnershipConditions.registration("d", "boot-d", "a", 77));
    writes.add(new Write(ClusterState.slotKey(3), ClusterState.holder("d", "boot-d"), 77));
    writes.add(new Write(ClusterState.FLEET_KEY, ClusterState.holder("e", "boot-e"), 78));
    writes.add(new Write(ClusterState.jobKey("wk-000001"), active.write(), 0));
    writes.add(new Write(ClusterState.jobKey("wk-000002"), cancelled.write(), 0));
    writes.add(new Write(ClusterState.jobKey("wk-000003"), done.write(), 0));
    writes.add(new Write(ClusterState.archiveKey("wk-000007"), archived.write(), 0));
    writes.add(
        new Write(
            ClusterState.submissionBatchKey("boot-c-1"),
            ClusterState.submissionBatch(
                List.of(
                    JobRecord.created(serviceSpec(), 1_764_000_005_000L),
                    JobRecord.created(lowSpec(), 1_764_000_006_000L))),
            0));
    List<Condition> conditions = new ArrayList<>(ClusterState.unchanged("wk-000001", 0));
    conditions.add(new Condition(ClusterState.machineKey("n-000001"), 0));

    byte[] written = StoreProtocol.encodeTransaction(conditions, writes);
    // Compared as trees first: these are readable where they differ.
    assertEquals(
        Cbor.decodeMap(previousTransaction()).toPrettyString(),
        Cbor.decodeMap(written).toPrettyString());
    assertArrayEquals(previousTransaction(), written);
  }
}
