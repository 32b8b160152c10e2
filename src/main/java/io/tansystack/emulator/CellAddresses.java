package io.tansystack.emulator;

import java.net.InetSocketAddress;

/**
 * Loopback addresses of one cell: {@code 127.C.0.x} for its services, {@code 127.C.1.x} for its
 * controllers and the rest for its workers, so that each worker has an address of its own as the
 * protocol wants it.
 *
 * @param network the second number of all addresses of the cell
 */
record CellAddresses(int network) {
  private static final int FIRST_NETWORK = 20;
  private static final int STATE_PORT = 2379;
  private static final int CLOUD_PORT = 8443;
  private static final int FRONT_PORT = 8080;
  private static final int PEER_PORT = 8081;
  private static final int WORKER_PORT = 9000;
  private static final int HOSTS = 250;
  private static final int FIRST_WORKER_NET = 2;

  static CellAddresses of(int cell) {
    return new CellAddresses(FIRST_NETWORK + cell);
  }

  InetSocketAddress state() {
    return at(0, 1, STATE_PORT);
  }

  InetSocketAddress cloud() {
    return at(0, 2, CLOUD_PORT);
  }

  InetSocketAddress front(int controller) {
    return at(1, controller + 1, FRONT_PORT);
  }

  InetSocketAddress peer(int controller) {
    return at(1, controller + 1, PEER_PORT);
  }

  /** @param number of the machine, never used again for another */
  InetSocketAddress worker(int number) {
    return at(FIRST_WORKER_NET + number / HOSTS, 1 + number % HOSTS, WORKER_PORT);
  }

  private InetSocketAddress at(int net, int host, int port) {
    return new InetSocketAddress("127." + network + "." + net + "." + host, port);
  }

  static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
