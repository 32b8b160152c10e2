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
 * Carries an emulated worker's reports to the controllers, as the protocol has it: to one node at a
 * time with one report in flight, regularly and after changes, and to the next node where one does
 * not answer.
 */
final class ReportSender {
  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final Duration NEXT_NODE = Duration.ofSeconds(1);
  private static final Duration REDIRECT_WAIT = Duration.ofMillis(500);
  private static final Duration CHANGE_GAP = Duration.ofMillis(500);
  private static final double JITTER = 0.25;
  private static final String LABEL = "c-";

  private final EmulatedWorker worker;
  private final EventLoop loop;
  private final UndertowHttpClient caller;
  private final ScaleSettings settings;
  private final CellAddresses addresses;
  private final TrafficCounters traffic;
  private final Random random;
  private int target;
  private boolean inFlight;
  private boolean changed;
  private boolean stopped;
  private Duration sentAt = Duration.ZERO;
  private EventLoop.Timer next;

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
    this.caller = role.caller(1);
    this.settings = settings;
    this.addresses = addresses;
    this.traffic = traffic;
    this.random = random;
    this.target = firstTarget;
  }

  static String label(int controller) {
    return LABEL + controller;
  }

  void startIn(Duration delay) {
    schedule(delay);
  }

  void stop() {
    stopped = true;
    if (next != null) {
      next.cancel();
    }
  }

  /** Its next report follows soon. */
  void changed() {
    changed = true;
    if (!inFlight && next != null) {
      Duration gap = sentAt.plus(CHANGE_GAP).minus(loop.now());
      schedule(gap.isNegative() ? Duration.ZERO : gap);
    }
  }

  private void schedule(Duration delay) {
    if (next != null) {
      next.cancel();
    }
    next = loop.after(delay, this::report);
  }

  private void report() {
    if (stopped) {
      return;
    }
    next = null;
    inFlight = true;
    changed = false;
    sentAt = loop.now();
    Duration at = sentAt;
    long session = worker.session();
    byte[] body = Cbor.encode(worker.report().write());
    traffic.reports++;
    traffic.reportBytes += body.length + TrafficCounters.REQUEST_HEADER_BYTES;
    InetSocketAddress to = addresses.front(target);
    caller.call(
        to,
        "POST",
        "/v1/report",
        body,
        TIMEOUT,
        new HttpClient.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] answer) {
            traffic.reportBytes += answer.length + TrafficCounters.ANSWER_HEADER_BYTES;
            inFlight = false;
            answered(status, EmulatedFleet.decode(answer), at, session);
          }

          @Override
          public void onNoResponse(boolean refused) {
            inFlight = false;
            tryNextNode();
          }
        });
  }

  private void answered(int status, ObjectNode body, Duration at, long session) {
    if (stopped) {
      return;
    }
    if (status == 200 && body != null) {
      worker.answered(status, body, at, session);
      schedule(changed ? untilChangeReport() : regular());
      return;
    }
    int redirect = status == 421 && body != null ? controller(body) : -1;
    if (redirect >= 0 && redirect != target) {
      target = redirect;
      schedule(Duration.ofMillis(random.nextInt((int) REDIRECT_WAIT.toMillis())));
    } else {
      tryNextNode();
    }
  }

  private Duration untilChangeReport() {
    Duration gap = sentAt.plus(CHANGE_GAP).minus(loop.now());
    return gap.isNegative() ? Duration.ZERO : gap;
  }

  private Duration regular() {
    double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
    Duration due = sentAt.plusNanos((long) (settings.workerTimes().report().toNanos() * factor));
    Duration wait = due.minus(loop.now());
    return wait.isNegative() ? Duration.ZERO : wait;
  }

  private int controller(ObjectNode body) {
    String label = body.path("Dispatcher").asText("");
    if (!label.startsWith(LABEL)) {
      return -1;
    }
    int index = Integer.parseInt(label.substring(LABEL.length()));
    return index < settings.controllers() ? index : -1;
  }

  private void tryNextNode() {
    if (stopped) {
      return;
    }
    target = (target + 1) % settings.controllers();
    schedule(NEXT_NODE);
  }
}
