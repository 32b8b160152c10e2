package io.tansystack.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Event loop on an XNIO I/O thread. A task that throws is logged and never ends the thread. */
public final class XnioEventLoop implements EventLoop {
  private static final Logger log = LoggerFactory.getLogger(XnioEventLoop.class);
  private final XnioIoThread thread;

  public XnioEventLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime());
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(() -> runLoggingErrors(task));
  }

  @Override
  public Timer after(Duration delay, Runnable task) {
    XnioExecutor.Key key =
        thread.executeAfter(
            () -> runLoggingErrors(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    return key::remove;
  }

  /** Runs the task; an exception that it throws is only logged. */
  static void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("event loop task failed; periodic tasks continue with their next run", e);
    }
  }
}
