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
 * The link between controllers: MessagePack over HTTP, carrying machine views and whether the sender
 * may act. All of it are hints; no rule rests on any message to arrive.
 */
public final class PeerLink {
  private static final Duration BEAT = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** Messages grow with the square of the controllers, so each waits longer where there are more. */
  private static final Duration DELAY = Duration.ofMillis(10);

  /** Longer than one call lost and the beat that would follow from the other side. */
  private static final Duration SILENT_FOR = Duration.ofMillis(3500);

  private static final Duration REFUSED_FOR = Duration.ofMillis(900);
  private static final int MAX_BATCH = 100;
  private static final int MOST_SILENCES = 3;

  /** A body may hold this much: a batch of views of full machines. */
  public static final int MAX_BODY = 1 << 20;

  private final ThrottledLogger malformed =
      new ThrottledLogger(LoggerFactory.getLogger(PeerLink.class));
  private final ObjectMapper msgpack = new ObjectMapper(new MessagePackFactory());
  private final HttpClient caller;
  private final EventLoop loop;
  private final String label;
  private final BooleanSupplier valid;
  private final BooleanSupplier deaf;
  private final Consumer<MachineView> received;
  private final Supplier<List<MachineView>> told;
  private final String boot;
  private final Duration delay;
  private final Supplier<ObjectNode> fleetNews;
  private final Consumer<ObjectNode> fleetNewsReceived;
  private final Supplier<Set<String>> informed;
  private ObjectNode news;
  private final Map<String, Link> links = new LinkedHashMap<>();

  /** A view on its way; it is encoded once for all peers, and not at all if a newer one replaces it. */
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
    String boot = "";
    boolean inFlight;
    boolean scheduled;
    boolean said = true;
    Duration refusedSince;
    Duration heardAt;
    Duration sentAt = Duration.ZERO;

    /** Whether views go to it: only those who plan need them. */
    boolean informed;

    boolean toldValid;

    /** It says that it does not hear its workers. */
    boolean deaf;

    /** Calls in a row that found no answer; it is tried seldom then, and says itself when it is back. */
    int silences;

    Duration silentSince;

    Link(Peer peer) {
      this.peer = peer;
    }
  }

  public PeerLink(
      HttpClient caller,
      EventLoop loop,
      String label,
      String boot,
      List<Peer> peers,
      BooleanSupplier valid,
      BooleanSupplier deaf,
      Consumer<MachineView> received,
      Supplier<List<MachineView>> told,
      Supplier<ObjectNode> fleetNews,
      Consumer<ObjectNode> fleetNewsReceived,
      Supplier<Set<String>> informed) {
    this.caller = caller;
    this.loop = loop;
    this.label = label;
    this.boot = boot;
    this.told = told;
    this.delay = DELAY.multipliedBy((long) Math.max(1, peers.size() * peers.size()));
    this.valid = valid;
    this.deaf = deaf;
    this.received = received;
    this.fleetNews = fleetNews;
    this.fleetNewsReceived = fleetNewsReceived;
    this.informed = informed;
    peers.forEach(peer -> links.put(peer.label(), new Link(peer)));
  }

  /** The first word goes out at once: where all start anew, each waits to hear who is back. */
  public void start() {
    Set<String> names = informed.get();
    news = fleetNews.get();
    for (Link link : links.values()) {
      inform(link, names.contains(link.peer.label()));
      send(link);
    }
    loop.after(BEAT, this::start);
  }

  private void inform(Link link, boolean now) {
    if (now && !link.informed) {
      tellAll(link);
    } else if (!now) {
      link.pending.clear();
    }
    link.informed = now;
  }

  private void tellAll(Link link) {
    told.get().forEach(view -> link.pending.putIfAbsent(view.report().machine(), new Outgoing(view)));
  }

  /** Passes a view on; views of the same machine that wait are replaced. */
  public void publish(MachineView view) {
    Outgoing outgoing = new Outgoing(view);
    for (Link link : links.values()) {
      if (link.informed) {
        link.pending.put(view.report().machine(), outgoing);
        sendSoon(link);
      }
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
    Duration now = loop.now();
    if (link.inFlight || now.compareTo(link.sentAt.plus(pause(link))) < 0) {
      return;
    }
    boolean mayAct = valid.getAsBoolean();
    ObjectNode fleet = link.informed ? news : null;
    if (link.pending.isEmpty() && mayAct == link.toldValid && !beatDue(link, fleet, now)) {
      return;
    }
    ObjectNode message = about(mayAct).put("from", label);
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
    byte[] body = encode(message);
    link.inFlight = true;
    link.toldValid = mayAct;
    link.sentAt = now;
    caller.call(
        link.peer.address(),
        "POST",
        "/views",
        body,
        TIMEOUT,
        new HttpClient.ResponseHandler() {
          @Override
          public void answer(int status, byte[] answer) {
            link.inFlight = false;
            try {
              heard(link, FieldReader.map(msgpack.readTree(answer), "answer"));
            } catch (IOException | InvalidMessageException e) {
              malformed.tell("peer link: unreadable answer of " + link.peer.label(), e.getMessage());
            }
            if (!link.pending.isEmpty()) {
              sendSoon(link);
            }
          }

          @Override
          public void silence(boolean refused) {
            link.inFlight = false;
            batch.forEach(link.pending::putIfAbsent);
            if (link.silences++ == 0) {
              link.silentSince = link.sentAt;
            }
            link.silences = Math.min(link.silences, MOST_SILENCES);
            if (!refused) {
              link.refusedSince = null;
            } else if (link.refusedSince == null) {
              link.refusedSince = loop.now();
            }
          }
        });
  }

  /**
   * A peer that is silent, without an answer and without an error, holds every call up until it times
   * out. One call at a time is under way to it, and then none for a while.
   */
  private static Duration pause(Link link) {
    return link.refusedSince != null || link.silences == 0
        ? Duration.ZERO
        : TIMEOUT.plus(BEAT.multipliedBy(1L << link.silences));
  }

  /** With nothing to say, one of the two says so from time to time; the answer tells as much. */
  private static boolean beatDue(Link link, ObjectNode fleet, Duration now) {
    Duration quietSince =
        fleet == null && link.heardAt != null && link.heardAt.compareTo(link.sentAt) > 0
            ? link.heardAt
            : link.sentAt;
    return now.minus(quietSince).compareTo(BEAT.minusMillis(50)) >= 0;
  }

  private ObjectNode about(boolean mayAct) {
    return Cbor.map().put("boot", boot).put("valid", mayAct).put("deaf", deaf.getAsBoolean());
  }

  /** Takes in what every message and every answer says of its sender. */
  private void heard(Link link, ObjectNode about) throws InvalidMessageException {
    link.said = FieldReader.flag(about, "valid");
    link.deaf = FieldReader.flagOr(about, "deaf", false);
    String itsBoot = FieldReader.text(about, "boot");
    link.heardAt = loop.now();
    link.refusedSince = null;
    link.silences = 0;
    if (!link.boot.equals(itsBoot)) {
      // It has started anew and knows nothing of the machines here, and most have no news.
      link.boot = itsBoot;
      if (link.informed) {
        tellAll(link);
        sendSoon(link);
      }
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
      ObjectNode message = FieldReader.map(node, "body");
      Link link = links.get(FieldReader.text(message, "from"));
      if (link != null) {
        heard(link, message);
      }
      if (FieldReader.has(message, "fleet")) {
        fleetNewsReceived.accept(FieldReader.map(message, "fleet"));
      }
      for (JsonNode view : FieldReader.list(message, "views")) {
        received.accept(
            MachineView.read(FieldReader.map(msgpack.readTree(view.binaryValue()), "views")));
      }
      reply.send(200, encode(about(valid.getAsBoolean())));
    } catch (IOException | InvalidMessageException | RuntimeException e) {
      malformed.tell("peer link: unreadable message", e.getMessage());
      reply.send(400, new byte[0]);
    }
  }

  /**
   * Whether the peer looks as if its process had ended (its address has refused connections for a
   * while) or says itself that it may not act. A hint: claims made on it are safe if it is wrong.
   */
  public boolean looksDown(String peer) {
    Link link = links.get(peer);
    return link != null
        && ((link.refusedSince != null
                && loop.now().minus(link.refusedSince).compareTo(REFUSED_FOR) > 0)
            || (!link.said && heardWithin(link, Duration.ofSeconds(2))));
  }

  /** Whether the peer's address refuses connections: its process has ended, or there is a filter. */
  public boolean refuses(String peer) {
    Link link = links.get(peer);
    return link != null && link.refusedSince != null;
  }

  /** Whether the peer was heard of since this process has started. */
  public boolean heard(String peer) {
    Link link = links.get(peer);
    return link != null && link.heardAt != null;
  }

  /** Whether the peer has neither answered nor refused for a while: it stands still, or is cut off. */
  public boolean silent(String peer) {
    Link link = links.get(peer);
    return link != null
        && link.silences > 0
        && link.refusedSince == null
        && loop.now().minus(link.silentSince).compareTo(SILENT_FOR) > 0;
  }

  /**
   * Whether the peer is silent, looks down, or says that it does not hear its workers. Workers need not
   * be sent to it, while its slots are left to it until its record ends: were zones cut off from each
   * other, each would take the other's.
   */
  public boolean unfitForWorkers(String peer) {
    Link link = links.get(peer);
    return link != null && (looksDown(peer) || link.deaf || silent(peer));
  }

  private boolean heardWithin(Link link, Duration time) {
    return link.heardAt != null && loop.now().minus(link.heardAt).compareTo(time) < 0;
  }

  /** This process stood still itself: what it heard of nobody meanwhile says nothing of them. */
  public void listenAnew() {
    for (Link link : links.values()) {
      link.refusedSince = null;
      link.silences = 0;
    }
  }

  /** Whether some peer was heard of lately, or there is none. */
  public boolean somePeerHeard() {
    return links.isEmpty()
        || links.values().stream().anyMatch(link -> heardWithin(link, Duration.ofSeconds(3)));
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
