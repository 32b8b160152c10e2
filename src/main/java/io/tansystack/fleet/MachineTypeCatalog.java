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
 * Knows the machine types. They are kept in the state service too, so that a controller that starts
 * while the cloud is away can still tell what can run.
 */
public final class MachineTypeCatalog {
  private static final Duration REFRESH = Duration.ofMinutes(3);

  private final ThrottledLogger malformed =
      new ThrottledLogger(LoggerFactory.getLogger(MachineTypeCatalog.class));
  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final CloudClient cloud;
  private Map<String, MachineType> types = Map.of();
  private ObjectNode readFrom;
  private boolean asked;

  public MachineTypeCatalog(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      HttpClient caller,
      PlatformSettings settings) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.cloud = new CloudClient(caller, loop, settings.cloud(), settings.cloudLimits().rps());
  }

  public void start() {
    cloud.call(
        "GET",
        "/machine_types",
        null,
        (status, map) -> {
          boolean ok = status == 200 && take(map);
          if (ok && !map.equals(world.machineTypes())) {
            keep(map);
          }
          asked |= ok;
          loop.after(ok ? REFRESH : Duration.ofSeconds(2), this::start);
        });
  }

  private void keep(ObjectNode map) {
    if (world.machineTypes() != null) {
      return; // Prices move all the time; what a machine holds does not.
    }
    store.commitUrgent(
        List.of(),
        List.of(new Write(ClusterState.TYPES_KEY, map, 0)),
        Duration.ofSeconds(2),
        (r, v) -> {});
  }

  private boolean take(ObjectNode map) {
    try {
      Map<String, MachineType> next = new LinkedHashMap<>();
      for (MachineType type : MachineType.readAll(map)) {
        next.put(type.name(), type);
      }
      types = next;
      return !next.isEmpty();
    } catch (InvalidMessageException e) {
      malformed.tell("machine types are unreadable", e.getMessage());
      return false;
    }
  }

  public Collection<MachineType> all() {
    if (!asked && world.machineTypes() != null && world.machineTypes() != readFrom) {
      readFrom = world.machineTypes();
      take(readFrom);
    }
    return types.values();
  }

  public MachineType get(String name) {
    all();
    return types.get(name);
  }

  public Map<String, MachineType> byName() {
    all();
    return types;
  }
}
