package io.tansystack.wire;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Addresses as all interfaces write them: an IP number and a port. Names are never looked up. */
public final class Addresses {
  private Addresses() {}

  public static InetSocketAddress parse(String text) throws InvalidMessageException {
    try {
      HostAndPort address = HostAndPort.fromString(text);
      return new InetSocketAddress(
          InetAddresses.forString(address.getHost()), address.getPort());
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw new InvalidMessageException("not an IP number and a port: " + text);
    }
  }
}
