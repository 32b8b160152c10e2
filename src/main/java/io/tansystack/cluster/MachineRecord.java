package io.tansystack.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.StoreProtocol.Condition;

/**
 * A machine's effective record.
 *
 * @param owner the controller that sends it commands: the claimant, or a successor of the claimant
 *     (see {@link FailoverRecord})
 * @param version the version of the machine's individual key, or of the claim batch
 * @param inClaimBatch whether the machine is recorded in a claim batch only
 * @param claimant the controller that claimed the machine under {@code version}
 * @param ownedSince the revision from which the owner owns the machine: that of the claim or of the
 *     failover record
 */
public record MachineRecord(
    String name,
    String owner,
    String address,
    String type,
    String zone,
    boolean spot,
    boolean drain,
    long version,
    boolean inClaimBatch,
    String claimant,
    long ownedSince) {

  /** A record of a machine that is owned by its claimant. */
  public MachineRecord(
      String name,
      String owner,
      String address,
      String type,
      String zone,
      boolean spot,
      boolean drain,
      long version,
      boolean inClaimBatch) {
    this(name, owner, address, type, zone, spot, drain, version, inClaimBatch, owner, version);
  }

  static MachineRecord read(String name, ObjectNode value, long version, boolean inClaimBatch)
      throws InvalidMessageException {
    return new MachineRecord(
        name,
        FieldReader.text(value, "owner"),
        FieldReader.text(value, "addr"),
        FieldReader.text(value, "type"),
        FieldReader.text(value, "zone"),
        FieldReader.flag(value, "spot"),
        FieldReader.flagOr(value, "drain", false),
        version,
        inClaimBatch);
  }

  /** A condition that holds as long as the machine's record has not changed since this one. */
  public Condition condition() {
    return new Condition(ClusterState.machineKey(name), inClaimBatch ? 0 : version);
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("owner", owner).put("addr", address).put("type", type);
    map.put("zone", zone).put("spot", spot).put("drain", drain);
    return map;
  }

  /** The effective record while a successor of the claimant owns the machine. */
  MachineRecord failedOverTo(String successor, long revision) {
    return new MachineRecord(
        name, successor, address, type, zone, spot, drain, version, inClaimBatch, claimant,
        revision);
  }

  /** The record to be written by a new owner; its version results from the write. */
  public MachineRecord ownedBy(String label) {
    return new MachineRecord(name, label, address, type, zone, spot, drain, 0, false);
  }

  /** The record to be written when the machine is to be drained. */
  public MachineRecord draining() {
    return new MachineRecord(name, owner, address, type, zone, spot, true, 0, false);
  }
}
