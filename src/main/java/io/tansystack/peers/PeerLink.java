package io.tansystack.peers;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.http.HttpServer;
import io.tansystack.settings.PlatformSettings.Peer;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.ThrottledLogger;
import io.tansystack.workers.MachineView;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.slf4j.LoggerFactory;

/**
 * The link between controllers: MessagePack over HTTP. Messages carry machine views and whether the
 * sender is able to schedule. All of them are hints; nothing relies on the arrival of a message.
 */
public final class PeerLink {
  private static final Duration HEARTBEAT = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** Send delay; multiplied by the squared number of peers, as the message count grows with it. */
  private static final Duration BASE_DELAY = Duration.ofMillis(10);

  /** Longer than one lost call plus the heartbeat that would then follow from the other side. */
  private static final Duration UNRESPONSIVE_AFTER = Duration.ofMillis(3500);

  private static final Duration DOWN_AFTER = Duration.ofMillis(900);
  private static final int MAX_BATCH = 100;
  private static final int MAX_MISSED = 3;

  /** Maximum size of a message in bytes; a batch of views of full machines fits into it. */
  public static final int MAX_BODY = 1 << 20;

  private final ThrottledLogger invalidMessages =
      new ThrottledLogger(LoggerFactory.getLogger(PeerLink.class));
  private final ObjectMapper msgpack = new ObjectMapper(new MessagePackFactory());
  private final HttpClient httpClient;
  private final EventLoop loop;
  private final String label;
  private final BooleanSupplier canSchedule;
  private final BooleanSupplier isolated;
  private final Consumer<MachineView> viewReceiver;
  private final Supplier<List<MachineView>> allViews;
  private final String incarnation;
  private final Duration delay;
  private final Supplier<ObjectNode> bootingUpdates;
  private final Consumer<ObjectNode> bootingUpdateReceiver;
  private final Supplier<Set<String>> viewSubscribers;
  private ObjectNode bootingUpdate;
  private final Map<String, Link> links = new LinkedHashMap<>();

  /** A view to be sent: encoded once for all peers, and not at all if a newer one replaces it. */
  private final class Outgoing {
    final MachineView view;
    private byte[] encoded;

    Outgoing(MachineView view) {
      this.view = view;
    }

    byte[] encoded() {
      if (encoded == null) {
        encoded = encode(view.write());
      }
      return encoded;
    }
  }

  private static final class Link {
    final Peer peer;
    final Map<String, Outgoing> pending = new LinkedHashMap<>();
    String incarnation = "";
    boolean inFlight;
    boolean sendScheduled;
    boolean reportsCanSchedule = true;
    Duration refusedSince;
    Duration lastHeardAt;
    Duration sentAt = Duration.ZERO;
    boolean subscribed; // Whether the peer gets views, which only planners need.
    boolean sentCanSchedule;
    boolean isolated; // Whether the peer says that it gets no reports from its workers.

    /** Successive calls without a response; the peer is called rarely until it calls by itself. */
    int missedResponses;

    Duration unresponsiveSince;

    Link(Peer peer) {
      this.peer = peer;
    }
  }

  public PeerLink(
      HttpClient httpClient,
      EventLoop loop,
      String label,
      String incarnation,
      List<Peer> peers,
      BooleanSupplier canSchedule,
      BooleanSupplier isolated,
      Consumer<MachineView> viewReceiver,
      Supplier<List<MachineView>> allViews,
      Supplier<ObjectNode> bootingUpdates,
      Consumer<ObjectNode> bootingUpdateReceiver,
      Supplier<Set<String>> viewSubscribers) {
    this.httpClient = httpClient;
    this.loop = loop;
    this.label = label;
    this.incarnation = incarnation;
    this.allViews = allViews;
    this.delay = BASE_DELAY.multipliedBy((long) Math.max(1, peers.size() * peers.size()));
    this.canSchedule = canSchedule;
    this.isolated = isolated;
    this.viewReceiver = viewReceiver;
    this.bootingUpdates = bootingUpdates;
    this.bootingUpdateReceiver = bootingUpdateReceiver;
    this.viewSubscribers = viewSubscribers;
    peers.forEach(peer -> links.put(peer.label(), new Link(peer)));
  }

  /** Sends heartbeats, the first at once: in a full restart, controllers wait for each other's. */
  public void start() {
    loop.after(HEARTBEAT, this::start);
    Set<String> subscribers = viewSubscribers.get();
    bootingUpdate = bootingUpdates.get();
    for (Link link : links.values()) {
      setSubscribed(link, subscribers.contains(link.peer.label()));
      send(link);
    }
  }

  private void setSubscribed(Link link, boolean subscribed) {
    if (subscribed && !link.subscribed) {
      queueAllViews(link);
    } else if (!subscribed) {
      link.pending.clear();
    }
    link.subscribed = subscribed;
  }

  private void queueAllViews(Link link) {
    allViews.get().forEach(v -> link.pending.putIfAbsent(v.report().machine(), new Outgoing(v)));
  }

  /** Queues a view for all subscribers; it replaces queued views of the same machine. */
  public void publish(MachineView view) {
    Outgoing outgoing = new Outgoing(view);
    for (Link link : links.values()) {
      if (link.subscribed) {
        link.pending.put(view.report().machine(), outgoing);
        scheduleSend(link);
      }
    }
  }

  private void scheduleSend(Link link) {
    if (!link.sendScheduled) {
      link.sendScheduled = true;
      loop.after(
          delay,
          () -> {
            link.sendScheduled = false;
            send(link);
          });
    }
  }

  private void send(Link link) {
    Duration now = loop.now();
    if (link.inFlight || now.compareTo(link.sentAt.plus(retryPause(link))) < 0) {
      return;
    }
    boolean ableToSchedule = canSchedule.getAsBoolean();
    ObjectNode update = link.subscribed ? bootingUpdate : null;
    if (link.pending.isEmpty()
        && ableToSchedule == link.sentCanSchedule
        && !heartbeatDue(link, update, now)) {
      return;
    }
    ObjectNode message = status(ableToSchedule).put("from", label);
    if (update != null) {
      message.set("fleet", update);
    }
    ArrayNode views = message.putArray("views");
    Map<String, Outgoing> batch = new HashMap<>();
    int bytes = 0;
    var iterator = link.pending.entrySet().iterator();
    while (iterator.hasNext() && views.size() < MAX_BATCH && bytes < MAX_BODY / 2) {
      Outgoing next = iterator.next().getValue();
      views.add(next.encoded());
      bytes += next.encoded().length;
      batch.put(next.view.report().machine(), next);
      iterator.remove();
    }
    byte[] body = encode(message);
    link.inFlight = true;
    link.sentCanSchedule = ableToSchedule;
    link.sentAt = now;
    httpClient.call(
        link.peer.address(),
        "POST",
        "/views",
        body,
        TIMEOUT,
        new HttpClient.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] answer) {
            link.inFlight = false;
            try {
              applyStatus(link, FieldReader.map(msgpack.readTree(answer), "answer"));
            } catch (IOException | InvalidMessageException e) {
              invalidMessages.warn(
                  "peer link: unreadable response of " + link.peer.label(), e.getMessage());
            }
            if (!link.pending.isEmpty()) {
              scheduleSend(link);
            }
          }

          @Override
          public void onNoResponse(boolean refused) {
            link.inFlight = false;
            batch.forEach(link.pending::putIfAbsent);
            if (link.missedResponses++ == 0) {
              link.unresponsiveSince = link.sentAt;
            }
            link.missedResponses = Math.min(link.missedResponses, MAX_MISSED);
            if (!refused) {
              link.refusedSince = null;
            } else if (link.refusedSince == null) {
              link.refusedSince = loop.now();
            }
          }
        });
  }

  /**
   * Pause before the next call. An unresponsive peer, with neither response nor error, blocks each
   * call until the timeout, so it gets one call at a time and then none for a while.
   */
  private static Duration retryPause(Link link) {
    return link.refusedSince != null || link.missedResponses == 0
        ? Duration.ZERO
        : TIMEOUT.plus(HEARTBEAT.multipliedBy(1L << link.missedResponses));
  }

  /** Of two idle peers only one sends heartbeats, because the response carries the same status. */
  private static boolean heartbeatDue(Link link, ObjectNode update, Duration now) {
    Duration quietSince =
        update == null && link.lastHeardAt != null && link.lastHeardAt.compareTo(link.sentAt) > 0
            ? link.lastHeardAt
            : link.sentAt;
    return now.minus(quietSince).compareTo(HEARTBEAT.minusMillis(50)) >= 0;
  }

  private ObjectNode status(boolean ableToSchedule) {
    return Cbor.map()
        .put("boot", incarnation)
        .put("valid", ableToSchedule)
        .put("deaf", isolated.getAsBoolean());
  }

  /** Applies what each message and each response says about its sender. */
  private void applyStatus(Link link, ObjectNode status) throws InvalidMessageException {
    link.reportsCanSchedule = FieldReader.flag(status, "valid");
    link.isolated = FieldReader.flagOr(status, "deaf", false);
    String peerIncarnation = FieldReader.text(status, "boot");
    link.lastHeardAt = loop.now();
    link.refusedSince = null;
    link.missedResponses = 0;
    if (!link.incarnation.equals(peerIncarnation)) {
      // The peer restarted without this controller's views, and most of these get no update soon.
      link.incarnation = peerIncarnation;
      if (link.subscribed) {
        queueAllViews(link);
        scheduleSend(link);
      }
    }
  }

  private byte[] encode(JsonNode tree) {
    try {
      return msgpack.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("encoding a message tree failed", e);
    }
  }

  /** Handles a request to the peer address. */
  public void handle(String method, String path, byte[] body, HttpServer.Reply reply) {
    try {
      JsonNode node = msgpack.readTree(body);
      ObjectNode message = FieldReader.map(node, "body");
      Link link = links.get(FieldReader.text(message, "from"));
      if (link != null) {
        applyStatus(link, message);
      }
      if (FieldReader.has(message, "fleet")) {
        bootingUpdateReceiver.accept(FieldReader.map(message, "fleet"));
      }
      for (JsonNode view : FieldReader.list(message, "views")) {
        viewReceiver.accept(
            MachineView.read(FieldReader.map(msgpack.readTree(view.binaryValue()), "views")));
      }
      reply.send(200, encode(status(canSchedule.getAsBoolean())));
    } catch (IOException | InvalidMessageException | RuntimeException e) {
      invalidMessages.warn("peer link: unreadable message", e.getMessage());
      reply.send(400, new byte[0]);
    }
  }

  /**
   * Whether the peer seems to have ended (its address has refused connections for a while), or says
   * that it can't schedule. A hint: claims based on it are safe even if it is wrong.
   */
  public boolean looksDown(String peer) {
    Link link = links.get(peer);
    return link != null
        && ((link.refusedSince != null
                && loop.now().minus(link.refusedSince).compareTo(DOWN_AFTER) > 0)
            || (!link.reportsCanSchedule && heardWithin(link, Duration.ofSeconds(2))));
  }

  /** Whether the peer's address refuses connections: its process ended, or a filter blocks it. */
  public boolean refusesConnections(String peer) {
    Link link = links.get(peer);
    return link != null && link.refusedSince != null;
  }

  /** Whether a message or response of the peer has arrived since this process started. */
  public boolean heardFrom(String peer) {
    Link link = links.get(peer);
    return link != null && link.lastHeardAt != null;
  }

  /** Whether the peer has neither responded nor refused for a while: it is paused or cut off. */
  public boolean unresponsive(String peer) {
    Link link = links.get(peer);
    return link != null
        && link.missedResponses > 0
        && link.refusedSince == null
        && loop.now().minus(link.unresponsiveSince).compareTo(UNRESPONSIVE_AFTER) > 0;
  }

  /**
   * Whether the peer is unresponsive, looks down, or is isolated from its workers. Workers are not
   * redirected to it then. Its slots stay with it until its record expires: if zones were cut off
   * from each other, each would take the other's slots.
   */
  public boolean unfitForWorkers(String peer) {
    Link link = links.get(peer);
    return link != null && (looksDown(peer) || link.isolated || unresponsive(peer));
  }

  private boolean heardWithin(Link link, Duration time) {
    return link.lastHeardAt != null && loop.now().minus(link.lastHeardAt).compareTo(time) < 0;
  }

  /** For use after a pause of this process: missing messages of that time don't show failures. */
  public void restartSilenceTimers() {
    for (Link link : links.values()) {
      link.refusedSince = null;
      link.missedResponses = 0;
    }
  }

  /** Whether any peer was heard from recently, or there are no peers. */
  public boolean heardFromAnyPeer() {
    return links.isEmpty()
        || links.values().stream().anyMatch(link -> heardWithin(link, Duration.ofSeconds(3)));
  }

  /** Whether any peer that was heard from recently reports that it can schedule. */
  public boolean anyPeerCanSchedule() {
    for (Link link : links.values()) {
      if (link.reportsCanSchedule && heardWithin(link, Duration.ofSeconds(2))) {
        return true;
      }
    }
    return false;
  }
}
