package io.tansystack.emulator;

/** Messages of all hollow workers of a cell, and their bytes with headers, both ways together. */
final class TrafficCounters {
  /** A request's line and headers, as Undertow's client writes them for these paths. */
  static final int REQUEST_HEADER_BYTES = 108;

  /** An answer's line and headers. */
  static final int ANSWER_HEADER_BYTES = 92;

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
