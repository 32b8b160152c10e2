package io.tansystack.emulator;

import io.tansystack.http.AddressServer;
import io.tansystack.http.EventLoop;
import io.tansystack.http.UndertowHttpClient;
import io.tansystack.http.XnioEventLoop;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Runs one emulated role on its own thread, so that the CPU time of the role can be measured. */
final class RoleEventLoop {
  private static final int BUFFER_SIZE = 8192;
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

  private final XnioWorker worker;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_SIZE, 256, 0);
  private final EventLoop loop;
  private final AddressServer server;
  private volatile boolean stopped;
  private final CompletableFuture<Long> threadId = new CompletableFuture<>();

  RoleEventLoop(String name) throws IOException {
    worker =
        Xnio.getInstance(RoleEventLoop.class.getClassLoader())
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, name)
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    loop = new StoppableLoop(new XnioEventLoop(worker.getIoThread()));
    server = new AddressServer(worker, buffers, MAX_BODY_BYTES);
    loop.execute(() -> threadId.complete(Thread.currentThread().getId()));
  }

  EventLoop loop() {
    return loop;
  }

  AddressServer server() {
    return server;
  }

  /** Creates a client with its own connections. */
  UndertowHttpClient httpClient(int connectionsPerAddress) {
    return new UndertowHttpClient(worker.getIoThread(), loop, buffers, connectionsPerAddress);
  }

  /**
   * Runs the supplier on the loop's thread, which owns the role's state, and waits for the result.
   *
   * @throws IllegalStateException if there is no result within {@link #CALL_TIMEOUT}
   */
  <T> T call(Supplier<T> supplier) throws InterruptedException {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(supplier.get()));
    return await(result);
  }

  /** CPU time used by the role's thread so far. */
  Duration cpuTime() throws InterruptedException {
    return Duration.ofNanos(ManagementFactory.getThreadMXBean().getThreadCpuTime(await(threadId)));
  }

  private static <T> T await(CompletableFuture<T> future) throws InterruptedException {
    try {
      return future.get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("an emulated role of the scale run does not respond", e);
    }
  }

  void stop() {
    stopped = true;
    worker.shutdownNow();
  }

  /** Ignores tasks and timers that are submitted after the stop. */
  private final class StoppableLoop implements EventLoop {
    private final EventLoop delegate;

    StoppableLoop(EventLoop delegate) {
      this.delegate = delegate;
    }

    @Override
    public Duration now() {
      return delegate.now();
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
      return stopped ? () -> {} : delegate.after(delay, task);
    }

    @Override
    public void execute(Runnable task) {
      if (!stopped) {
        delegate.execute(task);
      }
    }
  }
}
