package io.tansystack.cli;

import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpServer.Reply;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Durations of responses and event loop tasks by kind, reported in the summary log line. */
final class Latencies {
  private static final long MAX_MICROS = 60_000_000;
  private final EventLoop loop;
  private final Map<String, Histogram> histograms = new TreeMap<>();

  Latencies(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns a reply that records the time from now until it is sent. */
  Reply timed(String kind, Reply reply) {
    Duration start = loop.now();
    return (status, body, retryAfterS) -> {
      record(kind, start);
      reply.send(status, body, retryAfterS);
    };
  }

  /** Runs the task and records how long it occupied the event loop. */
  void measure(String kind, Runnable task) {
    Duration start = loop.now();
    task.run();
    record(kind, start);
  }

  private void record(String kind, Duration start) {
    long micros = loop.now().minus(start).toNanos() / 1000;
    histograms
        .computeIfAbsent(kind, k -> new Histogram(MAX_MICROS, 2))
        .recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
  }

  /**
   * Returns count, median, 99th percentile and maximum of each kind since the last call, in
   * milliseconds.
   */
  String summaryAndReset() {
    StringBuilder text = new StringBuilder();
    histograms.forEach(
        (kind, histogram) -> {
          text.append(
              String.format(
                  " %s=%d/%.1f/%.1f/%.1fms",
                  kind,
                  histogram.getTotalCount(),
                  histogram.getValueAtPercentile(50) / 1000.0,
                  histogram.getValueAtPercentile(99) / 1000.0,
                  histogram.getMaxValue() / 1000.0));
          histogram.reset();
        });
    return text.toString();
  }
}
