package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * The claim of a machine, walked through: two claimants with lots and single claims, deletions by lease
 * and by the cloud, removals of what is needless, each decided from a copy of any age, that is, each
 * delayed for as long as one likes; and a copy loaded in two pages of different age after each step.
 */
class MachineRegistryTest {
  private static final int DEPTH = 6;
  private static final String M = "n-1";
  private static final String N = "n-2";

  /** What happens, as one transaction. */
  private record Txn(String kind, List<Condition> conditions, Write write) {}

  private final Set<List<Change>> seen = new HashSet<>();
  private int histories;
  private int removals;

  private static MachineRecord claimed(String name, String owner) {
    return new MachineRecord(name, owner, "127.0.0.1:1", "g8", "a", false, false, 0, false);
  }

  /** All that a controller with this copy may ask for. */
  private static List<Txn> possible(ClusterState copy) {
    List<Txn> txns = new ArrayList<>();
    for (String owner : List.of("c", "d")) {
      if (copy.machine(M) == null && copy.machineVersion(M) == 0) {
        List<Condition> conditions = new ArrayList<>();
        conditions.add(new Condition(ClusterState.lotKey(owner), 0));
        List<MachineRecord> records = new ArrayList<>();
        for (String name : List.of(M, N)) {
          if (copy.machine(name) == null && copy.machineVersion(name) == 0) {
            conditions.add(new Condition(ClusterState.machineKey(name), 0));
            records.add(claimed(name, owner));
          }
        }
        txns.add(
            new Txn(
                "lot",
                conditions,
                new Write(ClusterState.lotKey(owner), ClusterState.lot(records), 0)));
      }
      MachineRecord record = copy.machine(M);
      Condition unchanged =
          record == null
              ? new Condition(ClusterState.machineKey(M), copy.machineVersion(M))
              : record.condition();
      txns.add(
          new Txn(
              "claim",
              List.of(unchanged),
              new Write(ClusterState.machineKey(M), claimed(M, owner).write(), 0)));
    }
    for (String name : List.of(M, N)) {
      MachineRecord record = copy.machine(name);
      if (record != null) {
        txns.add(new Txn("gone" + name, List.of(record.condition()), copy.gone(name)));
      }
    }
    for (Condition needless : copy.needless()) {
      txns.add(new Txn("removal", List.of(needless), new Write(needless.key(), null, 0)));
    }
    return txns;
  }

  private void walk(List<Change> history) {
    histories++;
    invariants(history);
    if (history.size() == DEPTH) {
      return;
    }
    Map<String, Change> present = ChangeSequences.present(history);
    for (int age = 0; age <= history.size(); age++) {
      for (Txn txn : possible(ChangeSequences.copy(history.subList(0, history.size() - age)))) {
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
          step(txn.kind, history, next);
          walk(next);
        }
      }
    }
  }

  private void step(String kind, List<Change> history, List<Change> next) {
    ClusterState before = ChangeSequences.copy(history);
    ClusterState after = ChangeSequences.copy(next);
    String what = kind + " after " + history;
    switch (kind) {
      case "removal" -> {
        removals++;
        assertEquals(before.machine(M), after.machine(M), what);
        assertEquals(before.machine(N), after.machine(N), what);
      }
      case "lot" -> {
        assertNotNull(after.machine(M), what);
        if (before.machine(M) != null) {
          assertEquals(before.machine(M), after.machine(M), "the earlier counts: " + what);
        }
      }
      case "claim" -> {
        assertNotNull(after.machine(M), what);
        assertTrue(after.machine(M).version() == next.size(), "a higher token: " + what);
      }
      default -> {
        String gone = kind.substring("gone".length());
        String other = gone.equals(M) ? N : M;
        assertNull(after.machine(gone), what);
        assertEquals(before.machine(other), after.machine(other), what);
      }
    }
  }

  private void invariants(List<Change> history) {
    Map<String, Change> present = ChangeSequences.present(history);
    ClusterState now = ChangeSequences.copy(history);
    List<MachineRecord> counted = new ArrayList<>();
    for (int r = 0; r <= history.size(); r++) {
      counted.add(ChangeSequences.copy(history.subList(0, r)).machine(M));
    }
    for (int r = 0; r <= history.size(); r++) {
      MachineRecord then = counted.get(r);
      boolean throughout = counted.subList(r, counted.size()).stream().allMatch(Objects::nonNull);
      if (then != null && throughout && ChangeSequences.holds(then.condition(), present)) {
        assertEquals(then, now.machine(M), "nothing has happened to it since " + r + ": " + history);
      }
      Map<String, Change> early = ChangeSequences.present(history.subList(0, r));
      for (int late = r; late <= history.size(); late++) {
        List<Change> pages = new ArrayList<>();
        early.values().stream().filter(c -> c.key().contains("lots/")).forEach(pages::add);
        ChangeSequences.present(history.subList(0, late)).values().stream()
            .filter(c -> c.key().contains("machines/"))
            .forEach(pages::add);
        ClusterState loaded = new ClusterState(touched -> {});
        loaded.snapshot(pages, history.subList(r, late), late);
        assertEquals(counted.get(late), loaded.machine(M), "pages of " + r + " and " + late + " of " + history);
        loaded.changes(history.subList(late, history.size()), history.size());
        assertEquals(now.machine(M), loaded.machine(M), "after pages of " + r + " and " + late);
      }
    }
  }

  @Test
  void neitherDelayNorOrderMakesAMachineSeemGone() {
    walk(List.of());
    assertTrue(histories > 1000, histories + " histories");
    assertTrue(removals > 10, removals + " removals");
  }
}
