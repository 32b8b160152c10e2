package io.tansystack.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The effective records of machines. Machines that came up together are claimed by one record, a
 * claim batch. The batch applies to a machine until the machine has an individual record; of two
 * batches the earlier one applies. All later changes (another owner, drained, gone) are written
 * under the machine's individual key, so that a condition on that key alone
 * ({@link MachineRecord#condition}) shows whether anything has changed. As long as a claim batch
 * names it, a machine that is gone has a tombstone under that key instead of an absent key.
 *
 * <p>A claim batch is obsolete once all its machines have individual keys; a tombstone is obsolete
 * once no claim batch names the machine.
 */
final class MachineRegistry {
  private record ClaimBatch(String name, long version, Map<String, MachineRecord> machines) {}

  private static final int MAX_GONE_NAMES = 5000;

  /** The value of a machine's individual key; {@code record} is null for a tombstone. */
  private record IndividualRecord(long version, MachineRecord record) {}

  private final Map<String, ClaimBatch> claimBatches = new TreeMap<>();
  private final ListMultimap<String, ClaimBatch> claimBatchesByMachine = ArrayListMultimap.create();
  private final Map<String, IndividualRecord> individualRecords = new HashMap<>();
  private final Map<String, FailoverRecord> failovers = new HashMap<>();

  /** Sorted, so that all controllers iterate in the same order; lookups use the index. */
  private final Map<String, MachineRecord> machines = new TreeMap<>();

  private final Map<String, MachineRecord> machineIndex = new HashMap<>();

  /** Names of machines that are gone; the cloud never reuses a name. */
  private final Set<String> goneNames = new LinkedHashSet<>();

  /** The value of a claim batch. */
  static ObjectNode claimBatch(Collection<MachineRecord> records) {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("machines");
    records.forEach(record -> list.add(record.write().put("name", record.name())));
    return map;
  }

  /** The value under the individual key of a machine that is gone while a claim batch names it. */
  static ObjectNode tombstone() {
    return Cbor.map().put("gone", true);
  }

  Map<String, MachineRecord> all() {
    return Collections.unmodifiableMap(machines);
  }

  MachineRecord get(String name) {
    return machineIndex.get(name);
  }

  /** Whether a machine of this name is known to be gone; only the latest names are remembered. */
  boolean isGone(String name) {
    return goneNames.contains(name) && get(name) == null;
  }

  /** The version of the machine's individual key; 0 if there is none. */
  long individualVersion(String name) {
    IndividualRecord individual = individualRecords.get(name);
    return individual == null ? 0 : individual.version;
  }

  boolean inClaimBatch(String name) {
    return claimBatchesByMachine.containsKey(name);
  }

  /**
   * Applies a change of a machine's individual key.
   *
   * @param value null if the key was deleted
   * @param changed the machine's name is added to it
   */
  void putIndividual(String name, ObjectNode value, long version, Set<String> changed)
      throws InvalidMessageException {
    if (value == null) {
      individualRecords.remove(name);
    } else if (FieldReader.flagOr(value, "gone", false)) {
      individualRecords.put(name, new IndividualRecord(version, null));
    } else {
      individualRecords.put(
          name, new IndividualRecord(version, MachineRecord.read(name, value, version, false)));
    }
    recompute(name, changed);
  }

  /**
   * Applies a change of a claim batch.
   *
   * @param value null if the batch was deleted
   * @param changed the names of the affected machines are added to it
   */
  void putClaimBatch(String name, ObjectNode value, long version, Set<String> changed)
      throws InvalidMessageException {
    Map<String, MachineRecord> records = new HashMap<>();
    if (value != null) {
      for (JsonNode node : FieldReader.list(value, "machines")) {
        ObjectNode map = FieldReader.map(node, "machines");
        String machine = FieldReader.text(map, "name");
        records.put(machine, MachineRecord.read(machine, map, version, true));
      }
    }
    ClaimBatch previous = claimBatches.remove(name);
    if (previous != null) {
      for (String machine : previous.machines.keySet()) {
        claimBatchesByMachine.remove(machine, previous);
        recompute(machine, changed);
      }
    }
    if (value != null) {
      ClaimBatch batch = new ClaimBatch(name, version, records);
      claimBatches.put(name, batch);
      for (String machine : records.keySet()) {
        claimBatchesByMachine.put(machine, batch);
        recompute(machine, changed);
      }
    }
  }

  /**
   * Applies a change of the failover record for a controller's machines.
   *
   * @param value null if the record was deleted, so that the claimant owns its machines itself
   * @param changed the names of the affected machines are added to it
   */
  void putFailover(String claimant, ObjectNode value, long version, Set<String> changed)
      throws InvalidMessageException {
    if (value == null) {
      failovers.remove(claimant);
    } else {
      failovers.put(claimant, FailoverRecord.read(value, version));
    }
    for (MachineRecord record : List.copyOf(machineIndex.values())) {
      if (record.claimant().equals(claimant)) {
        recompute(record.name(), changed);
      }
    }
  }

  /** The version of the controller's failover record; 0 if there is none. */
  long failoverVersion(String claimant) {
    FailoverRecord failover = failovers.get(claimant);
    return failover == null ? 0 : failover.version();
  }

  /** Recomputes the effective record of a machine. */
  private void recompute(String name, Set<String> changed) {
    IndividualRecord individual = individualRecords.get(name);
    MachineRecord effective = individual == null ? earliestClaim(name) : individual.record;
    FailoverRecord failover = effective == null ? null : failovers.get(effective.claimant());
    if (failover != null) {
      effective = failover.applyTo(effective);
    }
    if (effective == null) {
      machines.remove(name);
      if (machineIndex.remove(name) != null) {
        goneNames.add(name);
        if (goneNames.size() > MAX_GONE_NAMES) {
          goneNames.remove(goneNames.iterator().next());
        }
      }
    } else {
      machines.put(name, effective);
      machineIndex.put(name, effective);
    }
    changed.add(name);
  }

  private MachineRecord earliestClaim(String name) {
    ClaimBatch earliest = earliestBatch(name);
    return earliest == null ? null : earliest.machines.get(name);
  }

  private ClaimBatch earliestBatch(String machine) {
    ClaimBatch earliest = null;
    for (ClaimBatch batch : claimBatchesByMachine.get(machine)) {
      earliest = earliest == null || batch.version < earliest.version ? batch : earliest;
    }
    return earliest;
  }

  /** The name of the claim batch that applies to the machine; the machine must be in one. */
  String claimBatchOf(String machine) {
    return earliestBatch(machine).name;
  }

  /** The versions of claim batches all of whose machines have individual keys, by batch name. */
  Map<String, Long> obsoleteBatches() {
    Map<String, Long> obsolete = new TreeMap<>();
    claimBatches.forEach(
        (name, batch) -> {
          if (individualRecords.keySet().containsAll(batch.machines.keySet())) {
            obsolete.put(name, batch.version);
          }
        });
    return obsolete;
  }

  /** The versions of tombstones of machines that no claim batch names any more, by machine name. */
  Map<String, Long> obsoleteTombstones() {
    Map<String, Long> obsolete = new TreeMap<>();
    individualRecords.forEach(
        (name, individual) -> {
          if (individual.record == null && !claimBatchesByMachine.containsKey(name)) {
            obsolete.put(name, individual.version);
          }
        });
    return obsolete;
  }
}
