package io.tansystack.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cli.Controller;
import io.tansystack.wire.Cbor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against malformed requests that end a controller, block it, or stay unanswered. */
class MalformedRequestsTest extends SimCluster {
  private static final int CONTROLLERS = 3;
  private static final int MUTATIONS = 400;

  @BeforeEach
  void bootControllers() throws Exception {
    random = new Random(1);
    controllerCount = CONTROLLERS;
    for (int i = 0; i < CONTROLLERS; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(12));
  }

  /** Bodies that claim to be longer, deeper or larger than they are. */
  private static List<byte[]> extremeBodies() {
    List<byte[]> bodies = new ArrayList<>();
    bodies.add(new byte[0]);
    for (int listMapOrTag : new int[] {0x81, 0x9f, 0xbf, 0xc1, 0}) {
      bodies.add(filled(listMapOrTag));
    }
    byte[] field = Arrays.copyOf(Cbor.encode(Cbor.map().put("Uid", "x")), 5);
    for (int majorType : new int[] {0x5b, 0x7b, 0x9b, 0xbb}) {
      for (int top : new int[] {0x00, 0x7f, 0xff}) {
        byte[] length = {
          (byte) majorType, (byte) top, 0, 0, 0, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 'x'
        };
        bodies.add(length);
        bodies.add(prefixed(new byte[] {(byte) 0xa1}, length)); // The key of a map.
        bodies.add(prefixed(field, length)); // The value of a field.
      }
    }
    return bodies;
  }

  private static byte[] filled(int value) {
    byte[] body = new byte[Cbor.MAX_BODY_CHARS];
    Arrays.fill(body, (byte) value);
    return body;
  }

  private static byte[] prefixed(byte[] prefix, byte[] rest) {
    byte[] joined = Arrays.copyOf(prefix, prefix.length + rest.length);
    System.arraycopy(rest, 0, joined, prefix.length, rest.length);
    return joined;
  }

  /** The body with bytes replaced, removed or repeated, or without its end. */
  private byte[] mutated(byte[] body) {
    byte[] result = body.clone();
    for (int changes = 1 + random.nextInt(4); changes > 0; changes--) {
      int at = random.nextInt(result.length);
      result =
          switch (random.nextInt(4)) {
            case 0 -> Arrays.copyOf(result, Math.max(1, at));
            case 1 -> prefixed(Arrays.copyOf(result, at), Arrays.copyOfRange(result, at / 2, result.length));
            default -> {
              result[at] = (byte) random.nextInt(256);
              yield result;
            }
          };
    }
    return result;
  }

  private byte[] soundBody(String path) {
    if (path.equals("/v1/report")) {
      return Cbor.encode(workers.values().iterator().next().report().write());
    }
    ObjectNode job = spec("wk-000900", 2).write();
    job.putArray("Fleets").add("small");
    return Cbor.encode(job);
  }

  @ParameterizedTest
  @CsvSource({
    "POST, /v1/jobs", "POST, /v1/report", "POST, /v1/jobs/wk-000001/abort", "GET, /v1/jobs/wk-000001",
    "GET, /v1/jobs/%00", "PUT, /v1/jobs", "POST, /", "POST, /peer/views", "GET, /peer/views"
  })
  void malformedRequestIsAnsweredAndControllersGoOn(String method, String path) {
    submit("wk-000001", 1);
    List<byte[]> bodies = extremeBodies();
    byte[] sound = soundBody(path);
    for (int i = 0; i < MUTATIONS; i++) {
      bodies.add(mutated(sound));
    }
    for (byte[] body : bodies) {
      assertAnswered(method, path, body);
    }
    submit("wk-000002", 2);
    loop.runFor(Duration.ofSeconds(40));
    assertEquals(path.endsWith("/abort") ? "withdrawn" : "done", state("wk-000001"));
    assertEquals("done", state("wk-000002"));
    assertEquals(List.of(), List.copyOf(violations));
  }

  private void assertAnswered(String method, String path, byte[] body) {
    List<Integer> statuses = new ArrayList<>();
    Controller controller = controllers.get(0);
    processes
        .get(0)
        .run(
            () -> {
              if (path.startsWith("/peer")) {
                controller.handlePeer(method, path.substring("/peer".length()), body, (s, b, r) -> statuses.add(s));
              } else {
                controller.handleFront(method, path, body, (s, b, r) -> statuses.add(s));
              }
            });
    loop.runFor(Duration.ofMillis(path.endsWith("/v1/jobs") ? 300 : 20));
    if (statuses.isEmpty()) {
      loop.runFor(Duration.ofSeconds(5));
    }
    String what = method + " " + path + " " + Arrays.toString(Arrays.copyOf(body, 20));
    assertEquals(1, statuses.size(), what);
    assertTrue(statuses.get(0) >= 200 && statuses.get(0) < 600, what);
  }
}
