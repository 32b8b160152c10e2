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
 * The machines' records as they count. Machines that came up at once are claimed by one record, a lot.
 * Such a machine counts as its lot says until it has a record of its own; of two lots the earlier
 * counts. All that happens to it later (another owner, emptied, gone) is written under its own key, so
 * that a condition on that key alone ({@link MachineRecord#condition}) tells whether anything has. While
 * a lot still names it, a machine that is gone leaves a mark there instead of an absent key.
 *
 * <p>A lot may go once all its machines have own keys; a mark may go once no lot names the machine.
 */
final class MachineRegistry {
  private record Lot(long version, Map<String, MachineRecord> named) {}

  private static final int MAX_GONE = 5000;

  /** What stands under a machine's own key; {@code record} null: it is gone. */
  private record Own(long version, MachineRecord record) {}

  private final Map<String, Lot> lots = new TreeMap<>();
  private final ListMultimap<String, Lot> lotsOf = ArrayListMultimap.create();
  private final Map<String, Own> own = new HashMap<>();
  private final Map<String, FailoverRecord> heirs = new HashMap<>();

  /** Sorted, so that all controllers go through them in the same order; looked up in the index. */
  private final Map<String, MachineRecord> machines = new TreeMap<>();

  private final Map<String, MachineRecord> index = new HashMap<>();

  /** Names of machines that are gone; the cloud gives none twice. */
  private final Set<String> gone = new LinkedHashSet<>();

  static ObjectNode lot(Collection<MachineRecord> records) {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("machines");
    records.forEach(record -> list.add(record.write().put("name", record.name())));
    return map;
  }

  /** What is written under the key of a machine that is gone, while a lot names it. */
  static ObjectNode mark() {
    return Cbor.map().put("gone", true);
  }

  Map<String, MachineRecord> all() {
    return Collections.unmodifiableMap(machines);
  }

  MachineRecord get(String name) {
    return index.get(name);
  }

  /** Whether a machine of the name was seen to go, as far as is remembered. */
  boolean isGone(String name) {
    return gone.contains(name) && get(name) == null;
  }

  /** The version of the machine's own key; 0 if there is none. */
  long ownVersion(String name) {
    Own o = own.get(name);
    return o == null ? 0 : o.version;
  }

  boolean inLot(String name) {
    return lotsOf.containsKey(name);
  }

  /** Takes in what stands under a machine's own key; {@code value} null: nothing any more. */
  void putOwn(String name, ObjectNode value, long version, Set<String> touched)
      throws InvalidMessageException {
    if (value == null) {
      own.remove(name);
    } else if (FieldReader.flagOr(value, "gone", false)) {
      own.put(name, new Own(version, null));
    } else {
      own.put(name, new Own(version, MachineRecord.read(name, value, version, false)));
    }
    settle(name, touched);
  }

  /** Takes in a lot; {@code value} null: its removal. */
  void putLot(String name, ObjectNode value, long version, Set<String> touched)
      throws InvalidMessageException {
    Map<String, MachineRecord> named = new HashMap<>();
    if (value != null) {
      for (JsonNode node : FieldReader.list(value, "machines")) {
        ObjectNode map = FieldReader.map(node, "machines");
        String machine = FieldReader.text(map, "name");
        named.put(machine, MachineRecord.read(machine, map, version, true));
      }
    }
    Lot before = lots.remove(name);
    if (before != null) {
      for (String machine : before.named.keySet()) {
        lotsOf.remove(machine, before);
        settle(machine, touched);
      }
    }
    if (value != null) {
      Lot lot = new Lot(version, named);
      lots.put(name, lot);
      for (String machine : named.keySet()) {
        lotsOf.put(machine, lot);
        settle(machine, touched);
      }
    }
  }

  /** Takes in who keeps the machines that a controller claimed; {@code value} null: itself. */
  void putHeirs(String claimant, ObjectNode value, long version, Set<String> touched)
      throws InvalidMessageException {
    if (value == null) {
      heirs.remove(claimant);
    } else {
      heirs.put(claimant, FailoverRecord.read(value, version));
    }
    for (MachineRecord record : List.copyOf(index.values())) {
      if (record.claimant().equals(claimant)) {
        settle(record.name(), touched);
      }
    }
  }

  /** The version of the record that names the heirs of a controller; 0 if there is none. */
  long heirsVersion(String claimant) {
    FailoverRecord named = heirs.get(claimant);
    return named == null ? 0 : named.version();
  }

  private void settle(String name, Set<String> touched) {
    Own o = own.get(name);
    MachineRecord counts = o == null ? firstLot(name) : o.record;
    FailoverRecord named = counts == null ? null : heirs.get(counts.claimant());
    if (named != null) {
      counts = named.applied(counts);
    }
    if (counts == null) {
      machines.remove(name);
      if (index.remove(name) != null) {
        gone.add(name);
        if (gone.size() > MAX_GONE) {
          gone.remove(gone.iterator().next());
        }
      }
    } else {
      machines.put(name, counts);
      index.put(name, counts);
    }
    touched.add(name);
  }

  private MachineRecord firstLot(String name) {
    Lot first = null;
    for (Lot lot : lotsOf.get(name)) {
      first = first == null || lot.version < first.version ? lot : first;
    }
    return first == null ? null : first.named.get(name);
  }

  /** Lots all of whose machines have own keys, with their versions. */
  Map<String, Long> lotsOver() {
    Map<String, Long> over = new TreeMap<>();
    lots.forEach(
        (name, lot) -> {
          if (own.keySet().containsAll(lot.named.keySet())) {
            over.put(name, lot.version);
          }
        });
    return over;
  }

  /** Machines that are gone and that no lot names any more, with the versions of their marks. */
  Map<String, Long> marksOver() {
    Map<String, Long> over = new TreeMap<>();
    own.forEach(
        (name, o) -> {
          if (o.record == null && !lotsOf.containsKey(name)) {
            over.put(name, o.version);
          }
        });
    return over;
  }
}
