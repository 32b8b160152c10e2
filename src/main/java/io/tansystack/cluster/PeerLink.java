package io.tansystack.cluster;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.HttpServer;
import io.tansystack.http.Loop;
import io.tansystack.settings.PlatformSettings.Peer;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Read;
import io.tansystack.workers.View;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The link between controllers: MessagePack over HTTP, carrying machine views and whether the sender
 * may act. All of it are hints; no rule rests on any message to arrive.
 */
public final class PeerLink {
  private static final Logger log = LoggerFactory.getLogger(PeerLink.class);
  private static final Duration BEAT = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** Messages grow with the square of the controllers, so each waits longer where there are more. */
  private static final Duration DELAY = Duration.ofMillis(10);

  private static final int MAX_BATCH = 100;

  /** A body may hold this much: a batch of views of full machines. */
  public static final int MAX_BODY = 1 << 20;

  private final ObjectMapper msgpack = new ObjectMapper(new MessagePackFactory());
  private final HttpCaller caller;
  private final Loop loop;
  private final String label;
  private final BooleanSupplier valid;
  private final Consumer<View> received;
  private final Supplier<List<View>> told;
  private final String boot;
  private final Duration delay;
  private final Supplier<ObjectNode> fleetNews;
  private final Consumer<ObjectNode> fleetNewsReceived;
  private final Map<String, Link> links = new LinkedHashMap<>();

  /** A view on its way; it is encoded once for all peers, and not at all if a newer one replaces it. */
  private final class Outgoing {
    final View view;
    private byte[] encoded;

    Outgoing(View view) {
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
    String boot = "";
    boolean inFlight;
    boolean scheduled;
    boolean said = true;
    Duration refusedSince;
    Duration heardAt;
    Duration sentAt = Duration.ZERO;

    Link(Peer peer) {
      this.peer = peer;
    }
  }

  public PeerLink(
      HttpCaller caller,
      Loop loop,
      String label,
      String boot,
      List<Peer> peers,
      BooleanSupplier valid,
      Consumer<View> received,
      Supplier<List<View>> told,
      Supplier<ObjectNode> fleetNews,
      Consumer<ObjectNode> fleetNewsReceived) {
    this.caller = caller;
    this.loop = loop;
    this.label = label;
    this.boot = boot;
    this.told = told;
    this.delay = DELAY.multipliedBy((long) Math.max(1, peers.size() * peers.size()));
    this.valid = valid;
    this.received = received;
    this.fleetNews = fleetNews;
    this.fleetNewsReceived = fleetNewsReceived;
    peers.forEach(peer -> links.put(peer.label(), new Link(peer)));
  }

  public void start() {
    loop.after(
        BEAT,
        () -> {
          links.values().forEach(this::send);
          start();
        });
  }

  /** Passes a view on; views of the same machine that wait are replaced. */
  public void publish(View view) {
    Outgoing outgoing = new Outgoing(view);
    for (Link link : links.values()) {
      link.pending.put(view.report().machine(), outgoing);
      sendSoon(link);
    }
  }

  private void sendSoon(Link link) {
    if (!link.scheduled) {
      link.scheduled = true;
      loop.after(
          delay,
          () -> {
            link.scheduled = false;
            send(link);
          });
    }
  }

  private void send(Link link) {
    if (link.inFlight) {
      return;
    }
    ObjectNode message =
        Cbor.map().put("from", label).put("boot", boot).put("valid", valid.getAsBoolean());
    ObjectNode fleet = fleetNews.get();
    if (fleet != null) {
      message.set("fleet", fleet);
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
    if (views.isEmpty() && loop.now().minus(link.sentAt).compareTo(BEAT.minusMillis(50)) < 0) {
      return;
    }
    byte[] body = encode(message);
    link.inFlight = true;
    link.sentAt = loop.now();
    caller.call(
        link.peer.address(),
        "POST",
        "/views",
        body,
        TIMEOUT,
        new HttpCaller.Outcome() {
          @Override
          public void answer(int status, byte[] answer) {
            link.inFlight = false;
            link.refusedSince = null;
            link.heardAt = loop.now();
            if (!link.pending.isEmpty()) {
              sendSoon(link);
            }
          }

          @Override
          public void silence(boolean refused) {
            link.inFlight = false;
            batch.forEach(link.pending::putIfAbsent);
            if (!refused) {
              link.refusedSince = null;
            } else if (link.refusedSince == null) {
              link.refusedSince = loop.now();
            }
          }
        });
  }

  /** A peer that has started anew knows nothing of the machines here, and most have no news. */
  private void greet(Link link, String itsBoot) {
    if (!link.boot.equals(itsBoot)) {
      link.boot = itsBoot;
      told.get().forEach(view -> link.pending.putIfAbsent(view.report().machine(), new Outgoing(view)));
      sendSoon(link);
    }
  }

  private byte[] encode(JsonNode tree) {
    try {
      return msgpack.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree always encodes", e);
    }
  }

  /** Serves the peer address. */
  public void handle(String method, String path, byte[] body, HttpServer.Reply reply) {
    try {
      JsonNode node = msgpack.readTree(body);
      ObjectNode message = Read.map(node, "body");
      Link link = links.get(Read.text(message, "from"));
      if (link != null) {
        link.said = Read.flag(message, "valid");
        greet(link, Read.text(message, "boot"));
        link.heardAt = loop.now();
        link.refusedSince = null;
      }
      if (Read.has(message, "fleet")) {
        fleetNewsReceived.accept(Read.map(message, "fleet"));
      }
      for (JsonNode view : Read.list(message, "views")) {
        received.accept(View.read(Read.map(msgpack.readTree(view.binaryValue()), "views")));
      }
      reply.send(200, new byte[0]);
    } catch (IOException | BadInput | RuntimeException e) {
      log.warn("peer link: unreadable message: {}", e.getMessage());
      reply.send(400, new byte[0]);
    }
  }

  /**
   * Whether the peer looks as if its process had ended (its address has refused connections for a
   * while) or says itself that it may not act. A hint: claims made on it are safe if it is wrong.
   */
  public boolean looksDown(String peer) {
    Link link = links.get(peer);
    if (link == null) {
      return false;
    }
    Duration now = loop.now();
    if (link.refusedSince != null
        && now.minus(link.refusedSince).compareTo(Duration.ofMillis(900)) > 0) {
      return true;
    }
    return !link.said && heardWithin(link, Duration.ofSeconds(2));
  }

  private boolean heardWithin(Link link, Duration time) {
    return link.heardAt != null && loop.now().minus(link.heardAt).compareTo(time) < 0;
  }

  /** Whether some peer that was heard of lately says that it may act. */
  public boolean somePeerValid() {
    for (Link link : links.values()) {
      if (link.said && heardWithin(link, Duration.ofSeconds(2))) {
        return true;
      }
    }
    return false;
  }
}
