package io.tansystack.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.settings.PlatformSettings.Peer;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport.State;
import io.tansystack.workers.MachineView;
import io.tansystack.workers.MachineView.AbsentAttempt;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Exchanges messages with a controller of the previous version (commit 7ff9fad). Guards against a
 * renamed identifier that changes a field of a message, and against a moved constant that changes
 * an ordinal: while controllers are upgraded one by one, they would misread each other's machine
 * views.
 */
class PreviousPeerFormatTest {
  private static final Duration NOW = Duration.ofSeconds(10);

  private final List<MachineView> received = new ArrayList<>();
  private final List<ObjectNode> receivedBooting = new ArrayList<>();
  private final List<byte[]> sent = new ArrayList<>();
  private final List<HttpClient.ResponseHandler> handlers = new ArrayList<>();

  private static byte[] previous(String name) throws Exception {
    try (InputStream in =
        PreviousPeerFormatTest.class.getResourceAsStream("/formats-7ff9fad/" + name)) {
      return in.readAllBytes();
    }
  }

  private PeerLink link(
      String label, String peer, boolean canSchedule, boolean isolated, List<MachineView> views) {
    EventLoop loop =
        new EventLoop() {
          @Override
          public Duration now() {
            return NOW;
          }

          @Override
          public Timer after(Duration delay, Runnable task) {
            return () -> {};
          }

          @Override
          public void execute(Runnable task) {
            task.run();
          }
        };
    HttpClient httpClient =
        (address, method, path, body, timeout, handler) -> {
          assertEquals("POST /views", method + " " + path);
          sent.add(body);
          handlers.add(handler);
        };
    return new PeerLink(
        httpClient,
        loop,
        label,
        "boot-" + label,
        List.of(new Peer(peer, "a", new InetSocketAddress("127.0.0.1", 1))),
        () -> canSchedule,
        () -> isolated,
        received::add,
        () -> views,
        () -> Cbor.map().put("news", 5),
        receivedBooting::add,
        () -> Set.of(peer));
  }

  private static TaskReport exited(int index, Cause cause, boolean saved) {
    return new TaskReport(new TaskId("wk-000004", index), 5, State.EXITED, cause, saved);
  }

  private static TaskReport task(String job, int index, long attempt, State state) {
    return new TaskReport(new TaskId(job, index), attempt, state, null, false);
  }

  private static final List<TaskReport> TASKS =
      List.of(
          task("wk-000001", 0, 3, State.RUNNING),
          task("wk-000001", 1, 3, State.RUNNING),
          task("wk-000001", 4, 3, State.RUNNING),
          task("wk-000002", 0, 1, State.FETCHING),
          task("wk-000002", 1, 1, State.WAITING),
          task("wk-000003", 7, 2, State.SAVING),
          exited(10, Cause.DONE, false),
          exited(11, Cause.STOPPED, true),
          exited(12, Cause.PEERS, false),
          exited(13, Cause.ALONE, false),
          exited(14, Cause.ERROR, false),
          exited(15, Cause.NO_ROOM, false),
          exited(16, Cause.BUSY, false),
          exited(17, Cause.UNKNOWN, false),
          exited(18, Cause.OTHER, false));

  private static MachineView view() {
    Map<String, Double> images = new LinkedHashMap<>();
    images.put("img-a", 4.5);
    images.put("img-b", 0.5);
    return new MachineView(
        new Report("n-000001", "10.0.0.1:9000", "g8", "a", true, 2, 88, 41, 12.5, TASKS),
        43,
        List.of(new AbsentAttempt("wk-000005", 6, 9), new AbsentAttempt("wk-000006", 0, 1)),
        images,
        1.25,
        2.5,
        1500,
        true);
  }

  @Test
  void readsMessageOfPeer() throws Exception {
    PeerLink link = link("d", "c", false, false, List.of());
    List<byte[]> replies = new ArrayList<>();
    link.handle(
        "POST",
        "/views",
        previous("peer-message.msgpack"),
        (status, body, retryAfterS) -> {
          assertEquals(200, status);
          replies.add(body);
        });
    assertEquals(1, replies.size());
    assertArrayEquals(previous("peer-answer.msgpack"), replies.get(0));

    assertTrue(link.heardFrom("c"));
    assertTrue(link.anyPeerCanSchedule());
    assertFalse(link.looksDown("c"));
    assertTrue(link.unfitForWorkers("c"), "it says that it is isolated");
    assertEquals(List.of(Cbor.map().put("news", 5)), receivedBooting);

    assertEquals(1, received.size());
    MachineView view = received.get(0);
    assertEquals(43, view.token());
    assertEquals(1.25, view.fetchGbPerS());
    assertEquals(2.5, view.slowness());
    assertEquals(1500, view.silentMs());
    assertTrue(view.unfitForTasks());
    assertEquals(Map.of("img-a", 4.5, "img-b", 0.5), view.images());
    assertEquals(2, view.absentAttempts().size());
    assertEquals("wk-000005", view.absentAttempts().get(0).job());
    assertEquals(6, view.absentAttempts().get(0).task());
    assertEquals(9, view.absentAttempts().get(0).attempt());
    assertEquals(new AbsentAttempt("wk-000006", 0, 1), view.absentAttempts().get(1));
    Report report = view.report();
    assertEquals("n-000001", report.machine());
    assertEquals("10.0.0.1:9000", report.address());
    assertEquals("g8", report.type());
    assertEquals("a", report.zone());
    assertTrue(report.spot());
    assertEquals(2, report.session());
    assertEquals(88, report.seq());
    assertEquals(41, report.token());
    assertEquals(12.5, report.reclaimNoticeS());
    assertEquals(TASKS, report.tasks());
  }

  @Test
  void readsResponseOfPeer() throws Exception {
    PeerLink link = link("c", "d", true, true, List.of(view()));
    link.start();
    handlers.get(0).onResponse(200, previous("peer-answer.msgpack"));
    assertTrue(link.heardFrom("d"));
    assertTrue(link.looksDown("d"), "it says that it can't schedule");
    assertFalse(link.anyPeerCanSchedule());
  }

  @Test
  void sendsTheSameBytes() throws Exception {
    link("c", "d", true, true, List.of(view())).start();
    assertEquals(1, sent.size());
    ObjectMapper msgpack = new ObjectMapper(new MessagePackFactory());
    byte[] message = previous("peer-message.msgpack");
    // Compared as trees first: these are readable where they differ.
    assertEquals(
        msgpack.readTree(msgpack.readTree(message).get("views").get(0).binaryValue()).toString(),
        view().write().toString());
    assertArrayEquals(message, sent.get(0));
  }
}
