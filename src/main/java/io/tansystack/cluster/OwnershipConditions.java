package io.tansystack.cluster;

import io.tansystack.wire.Cbor;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.util.ArrayList;
import java.util.List;

/**
 * Conditions and writes of transactions that depend on the owner of machines. Three things make a
 * controller the owner of a machine, and the latest of them applies: its claim of the machine, a
 * failover record that names it as a successor of the claimant, and its own registration, which
 * removes the failover record for its own machines.
 */
public final class OwnershipConditions {
  private OwnershipConditions() {}

  /**
   * The writes by which a controller registers and becomes the owner again of all machines that
   * were taken over while it was down. The failover record is removed even if the cluster state
   * shows none: it would otherwise apply again once this registration ends.
   */
  static List<Write> registration(String label, String incarnation, String zone, long lease) {
    return List.of(
        new Write(
            ClusterState.controllerKey(label),
            Cbor.map().put("boot", incarnation).put("zone", zone),
            lease),
        new Write(ClusterState.failoverKey(label), null, 0));
  }

  /**
   * Conditions that hold only while this very record of the cluster state applies to its machine.
   * The condition on the individual key of a machine in a claim batch holds again after the machine
   * was gone, once its tombstone is deleted; by then another claim batch may name it.
   */
  static List<Condition> recordApplies(ClusterState clusterState, MachineRecord machine) {
    if (!machine.inClaimBatch()) {
      return List.of(machine.condition());
    }
    String batchKey = clusterState.claimBatchKeyOf(machine.name());
    return List.of(machine.condition(), new Condition(batchKey, machine.version()));
  }

  /**
   * Conditions that hold while the controller, which must have a record, is the machine's owner as
   * the cluster state shows and has been the owner without interruption. The first ones hold while
   * the machine's record applies, and not any later one. The next one invalidates transactions of
   * an earlier incarnation of the controller that may still be under way: the machine may have come
   * back since, under the same record. The last one holds while no other controller has become the
   * owner, as a successor by a failover record or by registering again.
   */
  public static List<Condition> stillOwnedBy(
      ClusterState clusterState, MachineRecord machine, String label) {
    List<Condition> conditions = new ArrayList<>(recordApplies(clusterState, machine));
    conditions.add(
        new Condition(
            ClusterState.controllerKey(label), clusterState.controllers().get(label).version()));
    conditions.add(
        new Condition(
            ClusterState.failoverKey(machine.claimant()),
            clusterState.failoverVersion(machine.claimant())));
    return conditions;
  }

  /**
   * Conditions that hold while no controller has become the owner of the claimant's machines: the
   * claimant has no record, and its failover record is the one in the cluster state. The third
   * condition holds while the controller that writes the failover record has not ended or
   * restarted: a delayed write would name successors as they were before.
   */
  public static List<Condition> failoverAllowed(
      ClusterState clusterState, MachineRecord machine, String label) {
    return List.of(
        new Condition(ClusterState.controllerKey(machine.claimant()), 0),
        new Condition(
            ClusterState.failoverKey(machine.claimant()),
            clusterState.failoverVersion(machine.claimant())),
        new Condition(
            ClusterState.controllerKey(label), clusterState.controllers().get(label).version()));
  }
}
