package io.tansystack.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.StoreProtocol.Write;
import io.tansystack.wire.ThrottledLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.LoggerFactory;

/**
 * The machine types that the cloud offers. They are stored in the state service too, so that a
 * controller that starts while the cloud is unavailable still knows which tasks can run.
 */
public final class MachineTypeCatalog {
  private static final Duration REFRESH_INTERVAL = Duration.ofMinutes(3);

  private final ThrottledLogger invalidMessages =
      new ThrottledLogger(LoggerFactory.getLogger(MachineTypeCatalog.class));
  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState clusterState;
  private final CloudClient cloud;
  private Map<String, MachineType> types = Map.of();

  /** The stored record that was read last; null if none was read. */
  private ObjectNode loadedRecord;

  private boolean loadedFromCloud;

  public MachineTypeCatalog(
      EventLoop loop,
      StoreClient store,
      ClusterState clusterState,
      HttpClient httpClient,
      PlatformSettings settings) {
    this.loop = loop;
    this.store = store;
    this.clusterState = clusterState;
    this.cloud =
        new CloudClient(httpClient, loop, settings.cloudAddress(), settings.cloudLimits().rps());
  }

  /** Reads the types from the cloud now and then periodically. */
  public void start() {
    cloud.call(
        "GET",
        "/machine_types",
        null,
        (status, map) -> {
          boolean ok = status == 200 && load(map);
          loop.after(ok ? REFRESH_INTERVAL : Duration.ofSeconds(2), this::start);
          loadedFromCloud |= ok;
          if (ok && !map.equals(clusterState.machineTypes())) {
            persist(map);
          }
        });
  }

  private void persist(ObjectNode map) {
    if (clusterState.machineTypes() != null) {
      return; // Prices change all the time, but the machines' capacity doesn't.
    }
    store.commitUrgent(
        List.of(),
        List.of(new Write(ClusterState.TYPES_KEY, map, 0)),
        Duration.ofSeconds(2),
        (r, v) -> {});
  }

  /** Replaces the types by those in the map; false if it is unreadable or has none. */
  private boolean load(ObjectNode map) {
    try {
      Map<String, MachineType> next = new LinkedHashMap<>();
      for (MachineType type : MachineType.readAll(map)) {
        next.put(type.name(), type);
      }
      types = next;
      return !next.isEmpty();
    } catch (InvalidMessageException e) {
      invalidMessages.warn("machine types are unreadable", e.getMessage());
      return false;
    }
  }

  /** All types, from the stored record until the cloud has been read; empty if none are known. */
  public Collection<MachineType> all() {
    if (!loadedFromCloud
        && clusterState.machineTypes() != null
        && clusterState.machineTypes() != loadedRecord) {
      loadedRecord = clusterState.machineTypes();
      load(loadedRecord);
    }
    return types.values();
  }

  /** The type of this name; null if it is not known. */
  public MachineType get(String name) {
    all();
    return types.get(name);
  }

  public Map<String, MachineType> byName() {
    all();
    return types;
  }
}
