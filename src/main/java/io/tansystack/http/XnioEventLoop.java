package io.tansystack.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The loop on an XNIO I/O thread. A task that fails is logged and never ends the thread. */
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
    thread.execute(() -> guarded(task));
  }

  @Override
  public Timer after(Duration delay, Runnable task) {
    XnioExecutor.Key key =
        thread.executeAfter(
            () -> guarded(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    return key::remove;
  }

  static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("a duty failed and is carried on with its next turn", e);
    }
  }
}
