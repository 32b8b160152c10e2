package io.tansystack.wire;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/**
 * Network addresses in the form that all interfaces use: an IP address and a port. Host names are
 * rejected, so that none is ever looked up.
 */
public final class Addresses {
  private Addresses() {}

  public static InetSocketAddress parse(String text) throws InvalidMessageException {
    try {
      HostAndPort address = HostAndPort.fromString(text);
      return new InetSocketAddress(
          InetAddresses.forString(address.getHost()), address.getPort());
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw new InvalidMessageException("not an IP address and a port: " + text);
    }
  }
}
