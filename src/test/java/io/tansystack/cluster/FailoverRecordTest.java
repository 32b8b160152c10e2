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
 * Who owns a machine, walked through: two controllers that register, end, claim it, name heirs for each
 * other and declare it gone, each step decided from a copy of any age, that is, delayed for as long as
 * one likes, to six steps from nothing and from a machine that is owned.
 */
class FailoverRecordTest {
  private static final int DEPTH = 6;
  private static final String M = "n-1";
  private static final List<String> LABELS = List.of("c", "d");

  /** What is asked of the state service at once. */
  private record Txn(String kind, List<Condition> conditions, List<Write> writes) {}

  /** Who may give commands, and under which token. */
  private record Grant(String owner, long token) {}

  private int depth = DEPTH;
  private final Set<List<Change>> seen = new HashSet<>();
  private int histories;
  private int handedOver;
  private int declaredGone;
  private int takenBack;

  private static List<Change> upTo(List<Change> history, long revision) {
    return history.stream().filter(change -> change.version() <= revision).toList();
  }

  private static Condition unchanged(ClusterState copy) {
    MachineRecord record = copy.machine(M);
    return record == null ? new Condition(ClusterState.machineKey(M), 0) : record.condition();
  }

  /** What a controller asks for that has this copy; it may have ended meanwhile. */
  private static List<Txn> possible(ClusterState copy, String me) {
    List<Txn> txns = new ArrayList<>();
    txns.add(
        new Txn(
            "registers " + me,
            List.of(),
            OwnershipConditions.registration(me, me, "a", 0)));
    if (!copy.alive(me)) {
      return txns;
    }
    MachineRecord claimed =
        new MachineRecord(M, me, "127.0.0.1:1", "g8", "a", false, false, 0, false);
    txns.add(
        new Txn(
            "claims",
            List.of(unchanged(copy)),
            List.of(new Write(ClusterState.machineKey(M), claimed.write(), 0))));
    MachineRecord record = copy.machine(M);
    if (record == null) {
      return txns;
    }
    if (record.owner().equals(me)) {
      txns.add(
          new Txn(
              "gone",
              OwnershipConditions.held(copy, record, me),
              List.of(copy.gone(M))));
    } else if (!copy.alive(record.owner())) {
      txns.add(
          new Txn(
              "heir of " + record.claimant(),
              OwnershipConditions.left(copy, record, me),
              List.of(
                  new Write(
                      ClusterState.heirsKey(record.claimant()),
                      FailoverRecord.write(Map.of(FailoverRecord.ELSEWHERE, List.of(me))),
                      0))));
    }
    return txns;
  }

  private static Grant grant(List<Change> history) {
    ClusterState world = ChangeSequences.copy(history);
    MachineRecord record = world.machine(M);
    return record != null && world.alive(record.owner())
        ? new Grant(record.owner(), world.token(record))
        : null;
  }

  private void walk(List<Change> history) {
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
        for (Txn txn : possible(ChangeSequences.copy(upTo(history, revision - age)), label)) {
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
        assertEquals(decided, grant(upTo(history, r)), "somebody else held it meanwhile: " + next);
      }
    }
    MachineRecord record = ChangeSequences.copy(next).machine(M);
    if (record != null && txn.kind.equals("registers " + record.claimant())) {
      takenBack += before == null || !before.owner.equals(record.claimant()) ? 1 : 0;
      assertEquals(record.claimant(), record.owner(), "back with its claimant: " + next);
    }
    if (txn.kind.startsWith("heir of ")) {
      String claimant = txn.kind.substring("heir of ".length());
      assertFalse(
          ChangeSequences.copy(history).alive(claimant), "taken from one that is back: " + next);
    }
    Grant after = grant(next);
    if (after != null && !after.equals(before)) {
      handedOver += txn.kind.startsWith("heir of ") ? 1 : 0;
      for (long r = 0; r < revision; r++) {
        Grant earlier = grant(upTo(history, r));
        assertTrue(
            earlier == null || earlier.token < after.token,
            txn.kind + ": commands of " + earlier + " would count beside those of " + after + ": " + next);
      }
    }
    walk(next);
  }

  @Test
  void ownersNeverShareATokenAndNobodyDeclaresAnothersMachineGone() {
    walk(List.of());
    // And on from where both have registered and one has claimed it.
    List<Change> from = new ArrayList<>();
    for (String label : LABELS) {
      long revision = ChangeSequences.revision(from) + 1;
      OwnershipConditions.registration(label, label, "a", 0)
          .forEach(w -> from.add(new Change(w.key(), w.value(), revision)));
    }
    MachineRecord claimed =
        new MachineRecord(M, "c", "127.0.0.1:1", "g8", "a", false, false, 0, false);
    from.add(new Change(ClusterState.machineKey(M), claimed.write(), 3));
    depth = 3 + DEPTH;
    walk(from);
    assertTrue(histories > 3000, histories + " histories");
    assertTrue(handedOver > 50, handedOver + " handed over");
    assertTrue(declaredGone > 50, declaredGone + " declared gone");
    assertTrue(takenBack > 50, takenBack + " taken back");
  }

  @Test
  void heirsAreOfTheMachinesZoneWhereTheyCanBe() throws Exception {
    FailoverRecord heirs =
        FailoverRecord.read(
            FailoverRecord.write(
                Map.of(
                    "a", List.of("c"),
                    "b", List.of("d", "e"),
                    FailoverRecord.ELSEWHERE, List.of("f"))),
            9);
    Set<String> ofB = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      String name = "n-" + i;
      MachineRecord a = new MachineRecord(name, "x", "h:1", "t", "a", false, false, 8, false);
      MachineRecord b = new MachineRecord(name, "x", "h:1", "t", "b", false, false, 8, true);
      MachineRecord z = new MachineRecord(name, "x", "h:1", "t", "z", false, false, 8, false);
      assertEquals("c", heirs.applied(a).owner());
      assertEquals(9, heirs.applied(a).since());
      assertEquals("f", heirs.applied(z).owner());
      ofB.add(heirs.applied(b).owner());
      MachineRecord since = new MachineRecord(name, "x", "h:1", "t", "a", false, false, 10, false);
      assertEquals(since, heirs.applied(since), "claimed since");
    }
    assertEquals(Set.of("d", "e"), ofB, "spread over those of the zone");
  }
}
