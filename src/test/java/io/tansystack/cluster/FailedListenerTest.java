package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.tansystack.wire.Cbor;
import io.tansystack.wire.StoreProtocol.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes that those who follow the cluster state never learn of, because they, or
 * others, failed when it was told: a cancellation would be missed.
 */
class FailedListenerTest {
  private final List<Set<String>> told = new ArrayList<>();
  private boolean listenerFails;
  private final ClusterState clusterState =
      new ClusterState(
          delta -> {
            if (listenerFails) {
              throw new IllegalStateException("expected by this test");
            }
            told.add(Set.copyOf(delta.machines()));
          });

  private static Change machine(String name, long version) {
    MachineRecord record =
        new MachineRecord(name, "c-0", "127.0.0.1:9000", "small", "a", false, false, 0, false);
    return new Change(ClusterState.machineKey(name), record.write(), version);
  }

  @Test
  void changesOfAFailedNotificationAreToldWithTheNext() {
    listenerFails = true;
    assertThrows(
        IllegalStateException.class,
        () -> clusterState.changes(List.of(machine("n-1", 3)), 3));
    listenerFails = false;
    clusterState.snapshot(List.of(machine("n-1", 3), machine("n-2", 4)), List.of(), 4);
    clusterState.changes(
        List.of(new Change(ClusterState.teamKey("vision"), Cbor.map(), 5)), 5);
    assertEquals(List.of(Set.of("n-1", "n-2"), Set.of()), told);
  }
}
