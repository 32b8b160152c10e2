package io.tansystack.cli;

import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpServer.Reply;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** How long answers and the loop's duties take, by kind, summed up now and then in one line. */
final class Latencies {
  private static final long HIGHEST_MICROS = 60_000_000;
  private final EventLoop loop;
  private final Map<String, Histogram> kinds = new TreeMap<>();

  Latencies(EventLoop loop) {
    this.loop = loop;
  }

  /** A reply that measures itself. */
  Reply timed(String kind, Reply reply) {
    Duration since = loop.now();
    return (status, body, retryAfterS) -> {
      record(kind, since);
      reply.send(status, body, retryAfterS);
    };
  }

  /** Runs a duty of the loop and records how long it held the loop up. */
  void measure(String kind, Runnable duty) {
    Duration since = loop.now();
    duty.run();
    record(kind, since);
  }

  private void record(String kind, Duration since) {
    long micros = loop.now().minus(since).toNanos() / 1000;
    kinds
        .computeIfAbsent(kind, k -> new Histogram(HIGHEST_MICROS, 2))
        .recordValue(Math.max(0, Math.min(HIGHEST_MICROS, micros)));
  }

  /** Count, median, 99th percentile and maximum of each kind in milliseconds; starts anew. */
  String summary() {
    StringBuilder text = new StringBuilder();
    kinds.forEach(
        (kind, h) -> {
          text.append(
              String.format(
                  " %s=%d/%.1f/%.1f/%.1fms",
                  kind,
                  h.getTotalCount(),
                  h.getValueAtPercentile(50) / 1000.0,
                  h.getValueAtPercentile(99) / 1000.0,
                  h.getMaxValue() / 1000.0));
          h.reset();
        });
    return text.toString();
  }
}
