package io.tansystack.cli;

import io.tansystack.http.HttpServer;
import io.tansystack.http.UndertowCaller;
import io.tansystack.http.XnioLoop;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.SettingsException;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

final class Controller {
  private static final Logger log = LoggerFactory.getLogger(Controller.class);
  static void start(PlatformSettings s) throws SettingsException {
    try {
      XnioWorker worker =
          Xnio.getInstance(Controller.class.getClassLoader())
              .createWorker(
                  OptionMap.builder()
                      .set(Options.WORKER_IO_THREADS, 1)
                      .set(Options.WORKER_TASK_CORE_THREADS, 1)
                      .set(Options.WORKER_TASK_MAX_THREADS, 1)
                      .set(Options.STACK_SIZE, 256L * 1024)
                      .set(Options.TCP_NODELAY, true)
                      .getMap());
      DefaultByteBufferPool pool = new DefaultByteBufferPool(false, 8192, 64, 0);
      XnioLoop loop = new XnioLoop(worker.getIoThread());
      UndertowCaller c = new UndertowCaller(worker.getIoThread(), loop, pool, 8);
      HttpServer server = new HttpServer(worker, pool, s.front(), (m, p, b, r) -> { log.info("{} {} {}", m, p, b.length); r.send(200, new byte[] {(byte) 0xa0}); }, s.peerBind(), (m, p, b, r) -> r.send(200, b), 1 << 20);
      server.start();
      loop.execute(() -> tick(loop, c, s));
      log.info("started");
    } catch (IOException e) {
      throw new SettingsException(e.toString());
    }
  }
  static void tick(XnioLoop loop, UndertowCaller c, PlatformSettings s) {
    for (String p : new String[]{"/store/x", "/watch?Starts=ts/&Since=0&HoldMs=500"}) 
    c.call(s.state(), "GET", p, null, Duration.ofSeconds(2), new io.tansystack.http.HttpCaller.Outcome() {
      public void answer(int st, byte[] b) { 
       try { log.info("state {} {}", st, io.tansystack.wire.Cbor.decodeMap(b)); } catch (Exception e) { log.error("x", e);} }
      public void silence(boolean r) { log.info("silence {}", r); }
    });
    loop.after(Duration.ofMillis(1000), () -> tick(loop, c, s));
  }
}
