package io.tansystack.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.StoreProtocol.Condition;

/**
 * A machine's record, as it counts.
 *
 * @param owner who gives it commands: who claimed it, or an heir of that one (see {@link FailoverRecord})
 * @param inLot whether it stands in a lot only, of which {@code version} is the version
 * @param claimant who claimed it under {@code version}
 * @param since the revision from which the owner holds it: that of the claim, or of the heirs' naming
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
    boolean inLot,
    String claimant,
    long since) {

  /** One that is held by who claimed it. */
  public MachineRecord(
      String name,
      String owner,
      String address,
      String type,
      String zone,
      boolean spot,
      boolean drain,
      long version,
      boolean inLot) {
    this(name, owner, address, type, zone, spot, drain, version, inLot, owner, version);
  }

  static MachineRecord read(String name, ObjectNode value, long version, boolean inLot)
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
        inLot);
  }

  /** Holds as long as nothing has happened to the machine since this record. */
  public Condition condition() {
    return new Condition(ClusterState.machineKey(name), inLot ? 0 : version);
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("owner", owner).put("addr", address).put("type", type);
    map.put("zone", zone).put("spot", spot).put("drain", drain);
    return map;
  }

  /** As it counts while an heir of its claimant keeps it. */
  MachineRecord keptBy(String heir, long from) {
    return new MachineRecord(
        name, heir, address, type, zone, spot, drain, version, inLot, claimant, from);
  }

  /** As it is to be written by a new owner; the version comes with the write. */
  public MachineRecord ownedBy(String label) {
    return new MachineRecord(name, label, address, type, zone, spot, drain, 0, false);
  }

  /** As it is to be written when the machine is to be emptied. */
  public MachineRecord draining() {
    return new MachineRecord(name, owner, address, type, zone, spot, true, 0, false);
  }
}
