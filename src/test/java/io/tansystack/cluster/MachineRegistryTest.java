package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Explores all histories of up to six steps in which two controllers claim machines in batches and
 * individually, declare them gone, and delete obsolete records. Each step is decided from a cluster
 * state of any age, that is, its transaction is delayed arbitrarily; after each step a cluster
 * state is also loaded from two pages of different age. Guards against a recorded machine being
 * taken for gone or for unchanged, and against a batch claim that overrides an earlier claim.
 */
class MachineRegistryTest {
  private static final int DEPTH = 6;
  private static final String MACHINE = "n-1";
  private static final String OTHER_MACHINE = "n-2";

  /**
   * A transaction of the state service.
   *
   * @param kind "lot" (claim of a batch), "claim" (of one machine), "gone" and the machine's name,
   *     or "removal" (of an obsolete record)
   */
  private record Txn(String kind, List<Condition> conditions, Write write) {}

  private final Set<List<Change>> seen = new HashSet<>();
  private int histories;
  private int removals;

  private static MachineRecord claimed(String name, String owner) {
    return new MachineRecord(name, owner, "127.0.0.1:1", "g8", "a", false, false, 0, false);
  }

  /** All transactions that a controller with this cluster state may send. */
  private static List<Txn> possibleTransactions(ClusterState clusterState) {
    List<Txn> txns = new ArrayList<>();
    for (String owner : List.of("c", "d")) {
      if (clusterState.machine(MACHINE) == null && clusterState.machineVersion(MACHINE) == 0) {
        List<Condition> conditions = new ArrayList<>();
        conditions.add(new Condition(ClusterState.claimBatchKey(owner), 0));
        List<MachineRecord> records = new ArrayList<>();
        for (String name : List.of(MACHINE, OTHER_MACHINE)) {
          if (clusterState.machine(name) == null && clusterState.machineVersion(name) == 0) {
            conditions.add(new Condition(ClusterState.machineKey(name), 0));
            records.add(claimed(name, owner));
          }
        }
        txns.add(
            new Txn(
                "lot",
                conditions,
                new Write(ClusterState.claimBatchKey(owner), ClusterState.claimBatch(records), 0)));
      }
      MachineRecord record = clusterState.machine(MACHINE);
      Condition unchanged =
          record == null
              ? new Condition(
                  ClusterState.machineKey(MACHINE), clusterState.machineVersion(MACHINE))
              : record.condition();
      txns.add(
          new Txn(
              "claim",
              List.of(unchanged),
              new Write(ClusterState.machineKey(MACHINE), claimed(MACHINE, owner).write(), 0)));
    }
    for (String name : List.of(MACHINE, OTHER_MACHINE)) {
      MachineRecord record = clusterState.machine(name);
      if (record != null) {
        txns.add(new Txn("gone" + name, List.of(record.condition()), clusterState.deletion(name)));
      }
    }
    for (Condition obsolete : clusterState.obsoleteRecords()) {
      txns.add(new Txn("removal", List.of(obsolete), new Write(obsolete.key(), null, 0)));
    }
    return txns;
  }

  private void explore(List<Change> history) {
    histories++;
    checkInvariants(history);
    if (history.size() == DEPTH) {
      return;
    }
    Map<String, Change> present = ChangeSequences.present(history);
    for (int age = 0; age <= history.size(); age++) {
      for (Txn txn :
          possibleTransactions(
              ChangeSequences.clusterState(history.subList(0, history.size() - age)))) {
        boolean reused =
            txn.kind.equals("lot")
                && history.stream().anyMatch(c -> c.key().equals(txn.write.key()));
        boolean nothing = txn.write.value() == null && !present.containsKey(txn.write.key());
        if (reused
            || nothing
            || !txn.conditions.stream().allMatch(c -> ChangeSequences.holds(c, present))) {
          continue;
        }
        List<Change> next = new ArrayList<>(history);
        next.add(new Change(txn.write.key(), txn.write.value(), history.size() + 1));
        if (seen.add(next)) {
          checkStep(txn.kind, history, next);
          explore(next);
        }
      }
    }
  }

  private void checkStep(String kind, List<Change> history, List<Change> next) {
    ClusterState before = ChangeSequences.clusterState(history);
    ClusterState after = ChangeSequences.clusterState(next);
    String what = kind + " after " + history;
    switch (kind) {
      case "removal" -> {
        removals++;
        assertEquals(before.machine(MACHINE), after.machine(MACHINE), what);
        assertEquals(before.machine(OTHER_MACHINE), after.machine(OTHER_MACHINE), what);
      }
      case "lot" -> {
        assertNotNull(after.machine(MACHINE), what);
        if (before.machine(MACHINE) != null) {
          assertEquals(
              before.machine(MACHINE),
              after.machine(MACHINE),
              "the earlier claim applies: " + what);
        }
      }
      case "claim" -> {
        assertNotNull(after.machine(MACHINE), what);
        assertTrue(after.machine(MACHINE).version() == next.size(), "a higher token: " + what);
      }
      default -> {
        String gone = kind.substring("gone".length());
        String other = gone.equals(MACHINE) ? OTHER_MACHINE : MACHINE;
        assertNull(after.machine(gone), what);
        assertEquals(before.machine(other), after.machine(other), what);
      }
    }
  }

  private void checkInvariants(List<Change> history) {
    Map<String, Change> present = ChangeSequences.present(history);
    ClusterState now = ChangeSequences.clusterState(history);
    List<MachineRecord> effective = new ArrayList<>();
    for (int r = 0; r <= history.size(); r++) {
      effective.add(ChangeSequences.clusterState(history.subList(0, r)).machine(MACHINE));
    }
    for (int r = 0; r <= history.size(); r++) {
      MachineRecord earlier = effective.get(r);
      boolean throughout =
          effective.subList(r, effective.size()).stream().allMatch(Objects::nonNull);
      if (earlier != null && throughout && ChangeSequences.holds(earlier.condition(), present)) {
        assertEquals(earlier, now.machine(MACHINE), "unchanged since " + r + ": " + history);
      }
      Map<String, Change> early = ChangeSequences.present(history.subList(0, r));
      for (int late = r; late <= history.size(); late++) {
        List<Change> pages = new ArrayList<>();
        early.values().stream().filter(c -> c.key().contains("lots/")).forEach(pages::add);
        ChangeSequences.present(history.subList(0, late)).values().stream()
            .filter(c -> c.key().contains("machines/"))
            .forEach(pages::add);
        ClusterState loaded = new ClusterState(delta -> {});
        loaded.snapshot(pages, history.subList(r, late), late);
        assertEquals(
            effective.get(late),
            loaded.machine(MACHINE),
            "pages of " + r + " and " + late + " of " + history);
        loaded.changes(history.subList(late, history.size()), history.size());
        assertEquals(
            now.machine(MACHINE),
            loaded.machine(MACHINE),
            "after pages of " + r + " and " + late);
      }
    }
  }

  /** The history takes seven steps, one more than are explored. */
  @Test
  void removalDecidedOnAnEarlierClaimBatchDoesNotApplyToALaterOne() {
    List<Change> history = new ArrayList<>();
    add(history, ClusterState.claimBatchKey("c"), batch("c"));
    ClusterState claimed = ChangeSequences.clusterState(history);
    List<Condition> removal =
        OwnershipConditions.recordApplies(claimed, claimed.machine(MACHINE));
    assertTrue(holdsNow(removal, history));
    for (String name : List.of(MACHINE, OTHER_MACHINE)) {
      add(history, ClusterState.machineKey(name), MachineRegistry.tombstone());
    }
    add(history, ClusterState.claimBatchKey("c"), null);
    for (String name : List.of(MACHINE, OTHER_MACHINE)) {
      add(history, ClusterState.machineKey(name), null);
    }
    add(history, ClusterState.claimBatchKey("d"), batch("d"));
    assertNotNull(ChangeSequences.clusterState(history).machine(MACHINE));
    assertFalse(holdsNow(removal, history));
  }

  private static ObjectNode batch(String owner) {
    return ClusterState.claimBatch(List.of(claimed(MACHINE, owner), claimed(OTHER_MACHINE, owner)));
  }

  private static void add(List<Change> history, String key, ObjectNode value) {
    history.add(new Change(key, value, history.size() + 1));
  }

  private static boolean holdsNow(List<Condition> conditions, List<Change> history) {
    Map<String, Change> present = ChangeSequences.present(history);
    return conditions.stream().allMatch(c -> ChangeSequences.holds(c, present));
  }

  @Test
  void delaysAndOrderNeverMakeAMachineSeemGone() {
    explore(List.of());
    assertTrue(histories > 1000, histories + " histories");
    assertTrue(removals > 10, removals + " removals");
  }
}
