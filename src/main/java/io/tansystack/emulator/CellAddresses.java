package io.tansystack.emulator;

import java.net.InetSocketAddress;

/**
 * Loopback addresses of one cell: {@code 127.C.0.x} for its services, {@code 127.C.1.x} for its
 * controllers, and the other subnets of {@code 127.C} for its workers. Each worker has its own
 * address, as the protocol requires.
 *
 * @param network second octet of all addresses of the cell ({@code C} above)
 */
record CellAddresses(int network) {
  private static final int FIRST_NETWORK = 20;
  private static final int STATE_PORT = 2379;
  private static final int CLOUD_PORT = 8443;
  private static final int FRONT_PORT = 8080;
  private static final int PEER_PORT = 8081;
  private static final int WORKER_PORT = 9000;
  private static final int HOSTS_PER_SUBNET = 250;
  private static final int FIRST_WORKER_SUBNET = 2;

  static CellAddresses of(int cell) {
    return new CellAddresses(FIRST_NETWORK + cell);
  }

  InetSocketAddress state() {
    return address(0, 1, STATE_PORT);
  }

  InetSocketAddress cloud() {
    return address(0, 2, CLOUD_PORT);
  }

  InetSocketAddress front(int controller) {
    return address(1, controller + 1, FRONT_PORT);
  }

  InetSocketAddress peer(int controller) {
    return address(1, controller + 1, PEER_PORT);
  }

  /** @param number number of the machine; it is never reused for another machine */
  InetSocketAddress worker(int number) {
    return address(
        FIRST_WORKER_SUBNET + number / HOSTS_PER_SUBNET,
        1 + number % HOSTS_PER_SUBNET,
        WORKER_PORT);
  }

  private InetSocketAddress address(int subnet, int host, int port) {
    return new InetSocketAddress("127." + network + "." + subnet + "." + host, port);
  }

  /** The address as text, host:port. */
  static String hostAndPort(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
