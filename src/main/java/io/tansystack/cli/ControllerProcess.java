package io.tansystack.cli;

import io.tansystack.http.HttpServer;
import io.tansystack.http.UndertowHttpClient;
import io.tansystack.http.XnioEventLoop;
import io.tansystack.peers.PeerLink;
import io.tansystack.settings.OperatorSettings;
import io.tansystack.settings.PlatformSettings;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Runs a controller in this process, all of it on one XNIO worker with one I/O thread. */
final class ControllerProcess {
  private static final Logger log = LoggerFactory.getLogger(ControllerProcess.class);
  private static final int BUFFER_BYTES = 8192;
  private static final int MAX_CONNECTIONS_PER_ADDRESS = 12;

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
            worker.getIoThread(), loop, buffers, MAX_CONNECTIONS_PER_ADDRESS);
    Random random = new Random(new SecureRandom().nextLong() ^ System.nanoTime());
    Controller controller =
        new Controller(loop, httpClient, settings, operator, InstantSource.system(), random);
    HttpServer server =
        new HttpServer(
            worker,
            buffers,
            settings.front(),
            controller::handleFront,
            settings.peerBind(),
            controller::handlePeer,
            PeerLink.MAX_BODY);
    server.start();
    loop.execute(controller::start);
    log.info("listening on {} and {}", settings.front(), settings.peerBind());
  }
}
