package io.tansystack.http;

import io.undertow.client.ClientConnection;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import org.xnio.IoUtils;

/**
 * The connections to one address, and the calls that wait for one. Idle connections are used last
 * in, first out, so that those that are not needed become old.
 */
final class ConnectionPool {
  private static final int MAX_WAITING_CALLS = 256;
  private static final int MAX_ABANDONED_CONNECTS = 4;

  private record IdleConnection(ClientConnection connection, Duration since) {}

  final InetSocketAddress address;
  private final EventLoop loop;
  private final int maxConnections;
  private final ArrayDeque<IdleConnection> idle = new ArrayDeque<>();
  private final ArrayDeque<ClientCall> waiting = new ArrayDeque<>();

  /** Connection attempts in progress, without the abandoned ones. */
  private int activeConnects;

  /** Connection attempts whose calls have timed out; they may hang in the network for minutes. */
  private int abandonedConnects;

  private int openConnections;

  ConnectionPool(InetSocketAddress address, EventLoop loop, int maxConnections) {
    this.address = address;
    this.loop = loop;
    this.maxConnections = maxConnections;
  }

  int openConnections() {
    return openConnections;
  }

  /** Whether the pool holds nothing, so that it can be forgotten. */
  boolean unused() {
    return openConnections + activeConnects + abandonedConnects == 0 && waiting.isEmpty();
  }

  /** Takes an idle connection; null if there is none. */
  ClientConnection pollIdle() {
    IdleConnection last;
    while ((last = idle.pollLast()) != null) {
      if (last.connection.isOpen()) {
        return last.connection;
      }
    }
    return null;
  }

  /** Lets the call wait for a connection; false if too many calls wait already. */
  boolean enqueue(ClientCall call) {
    return waiting.size() < MAX_WAITING_CALLS && waiting.add(call);
  }

  /** The call that has waited longest, which waits no longer; null if none waits. */
  ClientCall pollWaiting() {
    return waiting.poll();
  }

  /** Whether calls wait for a further connection and the limit allows one; it is counted then. */
  boolean beginConnect() {
    boolean begin =
        activeConnects < waiting.size() && openConnections + activeConnects < maxConnections;
    activeConnects += begin ? 1 : 0;
    return begin;
  }

  /** Counts a connection attempt as ended: as an abandoned one while there are any. */
  void endConnect() {
    if (abandonedConnects > 0) {
      abandonedConnects--;
    } else {
      activeConnects--;
    }
  }

  /** Ends the waiting of a call that has failed, and with it one connection attempt. */
  void abandon(ClientCall call) {
    if (waiting.remove(call)
        && activeConnects > 0
        && abandonedConnects < MAX_ABANDONED_CONNECTS) {
      activeConnects--;
      abandonedConnects++;
    }
  }

  void opened() {
    openConnections++;
  }

  void closed(ClientConnection connection) {
    openConnections--;
    idle.removeIf(entry -> entry.connection == connection);
  }

  /** Gives a free connection to the call that has waited longest, or keeps it for later calls. */
  void assignOrKeepIdle(ClientConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    ClientCall call;
    while ((call = waiting.poll()) != null) {
      if (!call.finished()) {
        call.send(connection);
        return;
      }
    }
    idle.addLast(new IdleConnection(connection, loop.now()));
  }

  /** Closes the connections that have been idle since the given time or longer. */
  void closeIdleSince(Duration latest) {
    while (!idle.isEmpty() && idle.peekFirst().since.compareTo(latest) <= 0) {
      IoUtils.safeClose(idle.pollFirst().connection);
    }
  }
}
