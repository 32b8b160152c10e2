package io.tansystack.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.World;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.Loop;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Malformed;
import io.tansystack.wire.StoreWire.Write;
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
public final class TypeDuty {
  private static final Duration REFRESH = Duration.ofMinutes(3);

  private final Malformed malformed = new Malformed(LoggerFactory.getLogger(TypeDuty.class));
  private final Loop loop;
  private final StoreClient store;
  private final World world;
  private final Cloud cloud;
  private Map<String, MachineType> types = Map.of();
  private ObjectNode readFrom;
  private boolean asked;

  public TypeDuty(
      Loop loop, StoreClient store, World world, HttpCaller caller, PlatformSettings settings) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.cloud = new Cloud(caller, loop, settings.cloud(), settings.cloudLimits().rps());
  }

  public void start() {
    cloud.call(
        "GET",
        "/machine_types",
        null,
        (status, map) -> {
          boolean ok = status == 200 && take(map);
          if (ok && !map.equals(world.types())) {
            keep(map);
          }
          asked |= ok;
          loop.after(ok ? REFRESH : Duration.ofSeconds(2), this::start);
        });
  }

  private void keep(ObjectNode map) {
    if (world.types() != null) {
      return; // Prices move all the time; what a machine holds does not.
    }
    store.commitUrgent(
        List.of(), List.of(new Write(World.TYPES_KEY, map, 0)), Duration.ofSeconds(2), (r, v) -> {});
  }

  private boolean take(ObjectNode map) {
    try {
      Map<String, MachineType> next = new LinkedHashMap<>();
      for (MachineType type : MachineType.readAll(map)) {
        next.put(type.name(), type);
      }
      types = next;
      return !next.isEmpty();
    } catch (BadInput e) {
      malformed.tell("machine types are unreadable", e.getMessage());
      return false;
    }
  }

  public Collection<MachineType> all() {
    if (!asked && world.types() != null && world.types() != readFrom) {
      readFrom = world.types();
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
