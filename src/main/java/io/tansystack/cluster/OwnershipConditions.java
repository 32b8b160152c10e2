package io.tansystack.cluster;

import io.tansystack.wire.Cbor;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.util.List;

/**
 * What transactions that concern the owner of machines rest on. Three things make a controller the
 * owner of a machine, and the latest of them counts: its claim of the machine, its being named an heir
 * of the claimant, and its own registration, which ends the naming of heirs in its place.
 */
public final class OwnershipConditions {
  private OwnershipConditions() {}

  /**
   * The writes by which a controller registers: whatever was handed over while it was away is its own
   * again. The heirs' record is removed whatever the copy shows: it would count again when this
   * registration ends.
   */
  static List<Write> registration(String label, String boot, String zone, long lease) {
    return List.of(
        new Write(
            ClusterState.controllerKey(label),
            Cbor.map().put("boot", boot).put("zone", zone),
            lease),
        new Write(ClusterState.heirsKey(label), null, 0));
  }

  /**
   * Hold while the controller, which has a record, is the owner by what its copy shows and has been all
   * the time. The second voids what an earlier start of its process may still have under way: the
   * machine may have come back since, under the same record. The third holds while nobody else has
   * become its owner by being named an heir, or by coming back.
   */
  public static List<Condition> held(ClusterState copy, MachineRecord machine, String label) {
    return List.of(
        machine.condition(),
        new Condition(ClusterState.controllerKey(label), copy.controllers().get(label).version()),
        new Condition(
            ClusterState.heirsKey(machine.claimant()), copy.heirsVersion(machine.claimant())));
  }

  /**
   * Hold while nobody has come to own what the claimant of the machine had claimed: it has no record,
   * and its heirs are those that the copy shows. Applied late, the heirs would be named as they were:
   * not after the controller that names them has ended.
   */
  public static List<Condition> left(ClusterState copy, MachineRecord machine, String label) {
    return List.of(
        new Condition(ClusterState.controllerKey(machine.claimant()), 0),
        new Condition(
            ClusterState.heirsKey(machine.claimant()), copy.heirsVersion(machine.claimant())),
        new Condition(ClusterState.controllerKey(label), copy.controllers().get(label).version()));
  }
}
