package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Explores all histories in which two controllers register, end, claim a machine, fail over each
 * other's machines and declare it gone, in up to six steps from an empty state and from an owned
 * machine. Each step is decided from a cluster state of any age, that is, its transaction is
 * delayed arbitrarily. Guards against two owners with the same fencing token and against a machine
 * being declared gone by a controller that doesn't own it.
 */
class FailoverRecordTest {
  private static final int DEPTH = 6;
  private static final String MACHINE = "n-1";
  private static final List<String> LABELS = List.of("c", "d");

  /** A transaction of the state service. */
  private record Txn(String kind, List<Condition> conditions, List<Write> writes) {}

  /** The controller that may send commands, and its fencing token. */
  private record Grant(String owner, long token) {}

  private int depth = DEPTH;
  private final Set<List<Change>> seen = new HashSet<>();
  private int histories;
  private int failedOver;
  private int declaredGone;
  private int takenBack;

  private static List<Change> upTo(List<Change> history, long revision) {
    return history.stream().filter(change -> change.version() <= revision).toList();
  }

  private static Condition unchanged(ClusterState clusterState) {
    MachineRecord record = clusterState.machine(MACHINE);
    return record == null ? new Condition(ClusterState.machineKey(MACHINE), 0) : record.condition();
  }

  /**
   * The transactions that a controller with this cluster state may send; it may have ended since.
   */
  private static List<Txn> possibleTransactions(ClusterState clusterState, String label) {
    List<Txn> txns = new ArrayList<>();
    txns.add(
        new Txn(
            "registers " + label,
            List.of(),
            OwnershipConditions.registration(label, label, "a", 0)));
    if (!clusterState.alive(label)) {
      return txns;
    }
    MachineRecord claimed =
        new MachineRecord(MACHINE, label, "127.0.0.1:1", "g8", "a", false, false, 0, false);
    txns.add(
        new Txn(
            "claims",
            List.of(unchanged(clusterState)),
            List.of(new Write(ClusterState.machineKey(MACHINE), claimed.write(), 0))));
    MachineRecord record = clusterState.machine(MACHINE);
    if (record == null) {
      return txns;
    }
    if (record.owner().equals(label)) {
      txns.add(
          new Txn(
              "gone",
              OwnershipConditions.stillOwnedBy(clusterState, record, label),
              List.of(clusterState.deletion(MACHINE))));
    } else if (!clusterState.alive(record.owner())) {
      txns.add(
          new Txn(
              "failover of " + record.claimant(),
              OwnershipConditions.failoverAllowed(clusterState, record, label),
              List.of(
                  new Write(
                      ClusterState.failoverKey(record.claimant()),
                      FailoverRecord.write(Map.of(FailoverRecord.OTHER_ZONES, List.of(label))),
                      0))));
    }
    return txns;
  }

  private static Grant grant(List<Change> history) {
    ClusterState clusterState = ChangeSequences.clusterState(history);
    MachineRecord record = clusterState.machine(MACHINE);
    return record != null && clusterState.alive(record.owner())
        ? new Grant(record.owner(), clusterState.token(record))
        : null;
  }

  private void explore(List<Change> history) {
    histories++;
    long revision = ChangeSequences.revision(history);
    if (revision == depth) {
      return;
    }
    Map<String, Change> present = ChangeSequences.present(history);
    for (String label : LABELS) {
      if (present.containsKey(ClusterState.controllerKey(label))) {
        apply(
            history,
            0,
            new Txn(
                "ends",
                List.of(),
                List.of(new Write(ClusterState.controllerKey(label), null, 0))));
      }
      for (long age = 0; age <= revision; age++) {
        for (Txn txn :
            possibleTransactions(
                ChangeSequences.clusterState(upTo(history, revision - age)), label)) {
          boolean holds =
              txn.conditions.stream().allMatch(c -> ChangeSequences.holds(c, present));
          if (holds) {
            apply(history, age, txn);
          }
        }
      }
    }
  }

  private void apply(List<Change> history, long age, Txn txn) {
    long revision = ChangeSequences.revision(history) + 1;
    List<Change> next = new ArrayList<>(history);
    txn.writes.forEach(w -> next.add(new Change(w.key(), w.value(), revision)));
    if (!seen.add(next)) {
      return;
    }
    Grant before = grant(history);
    if (txn.kind.equals("gone")) {
      declaredGone++;
      Grant decided = grant(upTo(history, revision - 1 - age));
      for (long r = revision - 1 - age; r < revision; r++) {
        assertEquals(decided, grant(upTo(history, r)), "another owned it meanwhile: " + next);
      }
    }
    MachineRecord record = ChangeSequences.clusterState(next).machine(MACHINE);
    if (record != null && txn.kind.equals("registers " + record.claimant())) {
      takenBack += before == null || !before.owner.equals(record.claimant()) ? 1 : 0;
      assertEquals(record.claimant(), record.owner(), "owned by its claimant again: " + next);
    }
    if (txn.kind.startsWith("failover of ")) {
      String claimant = txn.kind.substring("failover of ".length());
      assertFalse(
          ChangeSequences.clusterState(history).alive(claimant),
          "taken from a controller that is back: " + next);
    }
    Grant after = grant(next);
    if (after != null && !after.equals(before)) {
      failedOver += txn.kind.startsWith("failover of ") ? 1 : 0;
      for (long r = 0; r < revision; r++) {
        Grant earlier = grant(upTo(history, r));
        assertTrue(
            earlier == null || earlier.token < after.token,
            txn.kind
                + ": commands of "
                + earlier
                + " would be valid together with those of "
                + after
                + ": "
                + next);
      }
    }
    explore(next);
  }

  @Test
  void ownersNeverShareATokenAndOnlyTheOwnerDeclaresAMachineGone() {
    explore(List.of());
    // The same from a state in which both have registered and one has claimed the machine.
    List<Change> from = new ArrayList<>();
    for (String label : LABELS) {
      long revision = ChangeSequences.revision(from) + 1;
      OwnershipConditions.registration(label, label, "a", 0)
          .forEach(w -> from.add(new Change(w.key(), w.value(), revision)));
    }
    MachineRecord claimed =
        new MachineRecord(MACHINE, "c", "127.0.0.1:1", "g8", "a", false, false, 0, false);
    from.add(new Change(ClusterState.machineKey(MACHINE), claimed.write(), 3));
    depth = 3 + DEPTH;
    explore(from);
    assertTrue(histories > 3000, histories + " histories");
    assertTrue(failedOver > 50, failedOver + " failed over");
    assertTrue(declaredGone > 50, declaredGone + " declared gone");
    assertTrue(takenBack > 50, takenBack + " taken back");
  }

  @Test
  void successorsAreInTheMachinesZoneWherePossible() throws Exception {
    FailoverRecord failover =
        FailoverRecord.read(
            FailoverRecord.write(
                Map.of(
                    "a", List.of("c"),
                    "b", List.of("d", "e"),
                    FailoverRecord.OTHER_ZONES, List.of("f"))),
            9);
    Set<String> successorsInB = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      String name = "n-" + i;
      MachineRecord a = new MachineRecord(name, "x", "h:1", "t", "a", false, false, 8, false);
      MachineRecord b = new MachineRecord(name, "x", "h:1", "t", "b", false, false, 8, true);
      MachineRecord z = new MachineRecord(name, "x", "h:1", "t", "z", false, false, 8, false);
      assertEquals("c", failover.applyTo(a).owner());
      assertEquals(9, failover.applyTo(a).ownedSince());
      assertEquals("f", failover.applyTo(z).owner());
      successorsInB.add(failover.applyTo(b).owner());
      MachineRecord claimedLater =
          new MachineRecord(name, "x", "h:1", "t", "a", false, false, 10, false);
      assertEquals(claimedLater, failover.applyTo(claimedLater), "claimed since");
    }
    assertEquals(Set.of("d", "e"), successorsInB, "spread over the controllers of the zone");
  }
}
