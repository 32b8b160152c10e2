package io.tansystack.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.http.UndertowHttpClient;
import io.tansystack.wire.Cbor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Random;

/**
 * Sends an emulated worker's reports to the controllers according to the protocol: to one node at a
 * time with one report in flight, at regular intervals and after changes, and to the next node if a
 * node does not respond.
 */
final class ReportSender {
  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration NEXT_NODE_DELAY = Duration.ofSeconds(1);

  /** Upper bound of the random delay before a report to the node named by a redirect. */
  private static final Duration MAX_REDIRECT_DELAY = Duration.ofMillis(500);

  /** Minimum time between two reports when the later one is triggered by a change. */
  private static final Duration MIN_CHANGE_INTERVAL = Duration.ofMillis(500);

  /** Largest relative deviation from the regular report interval, either way. */
  private static final double JITTER = 0.25;

  private static final String LABEL_PREFIX = "c-";

  private final EmulatedWorker worker;
  private final EventLoop loop;
  private final UndertowHttpClient httpClient;
  private final ScaleSettings settings;
  private final CellAddresses addresses;
  private final TrafficCounters traffic;
  private final Random random;
  private int target;
  private boolean inFlight;

  /** Incremented by each restart of the machine; responses to earlier reports are not received. */
  private int restarts;

  private boolean changePending;
  private boolean stopped;
  private Duration sentAt = Duration.ZERO;
  private EventLoop.Timer nextReport;

  ReportSender(
      EmulatedWorker worker,
      RoleEventLoop role,
      ScaleSettings settings,
      CellAddresses addresses,
      TrafficCounters traffic,
      Random random,
      int firstTarget) {
    this.worker = worker;
    this.loop = role.loop();
    this.httpClient = role.httpClient(1);
    this.settings = settings;
    this.addresses = addresses;
    this.traffic = traffic;
    this.random = random;
    this.target = firstTarget;
  }

  /** Label of a controller, by its index. */
  static String label(int controller) {
    return LABEL_PREFIX + controller;
  }

  /** Sends the first report after the delay. */
  void startIn(Duration delay) {
    schedule(delay);
  }

  /** The machine restarts: it gets no response to earlier reports, and reports when it is back. */
  void onRestart(Duration downTime) {
    restarts++;
    inFlight = false;
    changePending = false;
    schedule(downTime);
  }

  void stop() {
    stopped = true;
    if (nextReport != null) {
      nextReport.cancel();
    }
  }

  /** Brings the next report forward, because the worker's state has changed. */
  void onChanged() {
    changePending = true;
    if (!inFlight && nextReport != null) {
      Duration delay = sentAt.plus(MIN_CHANGE_INTERVAL).minus(loop.now());
      schedule(delay.isNegative() ? Duration.ZERO : delay);
    }
  }

  private void schedule(Duration delay) {
    if (nextReport != null) {
      nextReport.cancel();
    }
    nextReport = loop.after(delay, this::sendReport);
  }

  private void sendReport() {
    if (stopped) {
      return;
    }
    nextReport = null;
    inFlight = true;
    changePending = false;
    sentAt = loop.now();
    Duration reportSentAt = sentAt;
    long session = worker.session();
    int restartsBefore = restarts;
    byte[] body = Cbor.encode(worker.report().write());
    traffic.reports++;
    traffic.reportBytes += body.length + TrafficCounters.REQUEST_HEADER_BYTES;
    InetSocketAddress to = addresses.front(target);
    httpClient.call(
        to,
        "POST",
        "/v1/report",
        body,
        REPORT_TIMEOUT,
        new HttpClient.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] responseBody) {
            traffic.reportBytes += responseBody.length + TrafficCounters.RESPONSE_HEADER_BYTES;
            if (restarts != restartsBefore) {
              return;
            }
            inFlight = false;
            handleReportResponse(
                status, EmulatedFleet.decodeOrNull(responseBody), reportSentAt, session);
          }

          @Override
          public void onNoResponse(boolean refused) {
            if (restarts != restartsBefore) {
              return;
            }
            inFlight = false;
            tryNextNode();
          }
        });
  }

  private void handleReportResponse(
      int status, ObjectNode body, Duration reportSentAt, long session) {
    if (stopped) {
      return;
    }
    if (status == 200 && body != null) {
      worker.onReportResponse(status, body, reportSentAt, session);
      schedule(changePending ? untilChangeReport() : untilRegularReport());
      return;
    }
    int redirect = status == 421 && body != null ? redirectTarget(body) : -1;
    if (redirect >= 0 && redirect != target) {
      target = redirect;
      schedule(Duration.ofMillis(random.nextInt((int) MAX_REDIRECT_DELAY.toMillis())));
    } else {
      tryNextNode();
    }
  }

  private Duration untilChangeReport() {
    Duration delay = sentAt.plus(MIN_CHANGE_INTERVAL).minus(loop.now());
    return delay.isNegative() ? Duration.ZERO : delay;
  }

  private Duration untilRegularReport() {
    double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
    Duration due =
        sentAt.plusNanos((long) (settings.workerTimes().reportInterval().toNanos() * factor));
    Duration wait = due.minus(loop.now());
    return wait.isNegative() ? Duration.ZERO : wait;
  }

  /** Index of the controller named by a redirect; -1 if the controller is unknown. */
  private int redirectTarget(ObjectNode body) {
    String label = body.path("Dispatcher").asText("");
    if (!label.startsWith(LABEL_PREFIX)) {
      return -1;
    }
    int index = Integer.parseInt(label.substring(LABEL_PREFIX.length()));
    return index < settings.controllers() ? index : -1;
  }

  private void tryNextNode() {
    if (stopped) {
      return;
    }
    target = (target + 1) % settings.controllers();
    schedule(NEXT_NODE_DELAY);
  }
}
