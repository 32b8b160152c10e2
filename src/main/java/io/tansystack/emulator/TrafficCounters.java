package io.tansystack.emulator;

/** Messages of all emulated workers of a cell, and their bytes in both directions, with headers. */
final class TrafficCounters {
  /** Size of request line and headers, as Undertow's client writes them for these paths. */
  static final int REQUEST_HEADER_BYTES = 108;

  /** Size of status line and headers of a response. */
  static final int RESPONSE_HEADER_BYTES = 92;

  long reports;
  long reportBytes;
  long commands;
  long commandBytes;

  TrafficCounters copy() {
    TrafficCounters copy = new TrafficCounters();
    copy.reports = reports;
    copy.reportBytes = reportBytes;
    copy.commands = commands;
    copy.commandBytes = commandBytes;
    return copy;
  }
}
