package io.tansystack.cli;

import io.tansystack.http.HttpServer;
import io.tansystack.http.ServerTimeouts;
import io.tansystack.http.UndertowHttpClient;
import io.tansystack.http.XnioEventLoop;
import io.tansystack.peers.PeerLink;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.wire.Cbor;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.management.XnioServerMXBean;

/** Runs a controller in this process, all of it on one XNIO worker with one I/O thread. */
final class ControllerProcess {
  private static final Logger log = LoggerFactory.getLogger(ControllerProcess.class);
  private static final int BUFFER_BYTES = 8192;
  private static final int MAX_CONNECTIONS_PER_ADDRESS = 12;

  /** Connections to workers are idle for longer than this only while their tasks run on. */
  private static final Duration IDLE_CLIENT_CONNECTION_TIMEOUT = Duration.ofSeconds(30);

  private static final Duration CONNECTION_LOG_INTERVAL = Duration.ofSeconds(30);

  private ControllerProcess() {}

  /** Starts the controller and returns; the worker's threads keep the process running. */
  static void run(PlatformSettings settings, OperatorSettings operator) throws IOException {
    XnioWorker worker =
        Xnio.getInstance(ControllerProcess.class.getClassLoader())
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "tansystack")
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.STACK_SIZE, 256L * 1024)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);
    XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
    UndertowHttpClient httpClient =
        new UndertowHttpClient(
            worker.getIoThread(),
            loop,
            buffers,
            MAX_CONNECTIONS_PER_ADDRESS,
            IDLE_CLIENT_CONNECTION_TIMEOUT);
    Random random = new Random(new SecureRandom().nextLong() ^ System.nanoTime());
    Controller controller =
        new Controller(loop, httpClient, settings, operator, InstantSource.system(), random);
    HttpServer server =
        new HttpServer(
            worker,
            buffers,
            settings.front(),
            controller::handleFront,
            Cbor.MAX_BODY_BYTES,
            settings.peerBind(),
            controller::handlePeer,
            PeerLink.MAX_BODY,
            ServerTimeouts.ofController(settings.workerTimings().leaseDuration()));
    server.start();
    loop.execute(controller::start);
    logConnections(loop, worker, httpClient, settings.processLimits().maxConnections());
    log.info("listening on {} and {}", settings.front(), settings.peerBind());
  }

  /** Logs the open connections from time to time, beside the number that the platform allows. */
  private static void logConnections(
      XnioEventLoop loop, XnioWorker worker, UndertowHttpClient httpClient, int limit) {
    loop.after(
        CONNECTION_LOG_INTERVAL,
        () -> {
          logConnections(loop, worker, httpClient, limit);
          int accepted =
              worker.getMXBean().getServerMXBeans().stream()
                  .mapToInt(XnioServerMXBean::getConnectionCount)
                  .sum();
          log.info(
              "connections accepted={} opened={} limit={}",
              accepted,
              httpClient.openConnections(),
              limit);
        });
  }
}
