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

/** One emulated role on a thread of its own, so that its processor time can be told. */
final class RoleEventLoop {
  private static final int BUFFER = 8192;
  private static final int MAX_BODY = 1 << 20;
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

  private final XnioWorker worker;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER, 256, 0);
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
    server = new AddressServer(worker, buffers, MAX_BODY);
    loop.execute(() -> threadId.complete(Thread.currentThread().getId()));
  }

  EventLoop loop() {
    return loop;
  }

  AddressServer server() {
    return server;
  }

  /** A client with connections of its own. */
  UndertowHttpClient caller(int connectionsPerAddress) {
    return new UndertowHttpClient(worker.getIoThread(), loop, buffers, connectionsPerAddress);
  }

  /** What the loop's thread says of the state that it owns. */
  <T> T ask(Supplier<T> question) throws InterruptedException {
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.execute(() -> answer.complete(question.get()));
    return await(answer);
  }

  /** Processor time of the role's thread so far. */
  Duration processorTime() throws InterruptedException {
    return Duration.ofNanos(ManagementFactory.getThreadMXBean().getThreadCpuTime(await(threadId)));
  }

  private static <T> T await(CompletableFuture<T> answer) throws InterruptedException {
    try {
      return answer.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("a role of the scale run does not answer", e);
    }
  }

  void stop() {
    stopped = true;
    worker.shutdownNow();
  }

  /** What its tasks ask for after the stop is left undone. */
  private final class StoppableLoop implements EventLoop {
    private final EventLoop running;

    StoppableLoop(EventLoop running) {
      this.running = running;
    }

    @Override
    public Duration now() {
      return running.now();
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
      return stopped ? () -> {} : running.after(delay, task);
    }

    @Override
    public void execute(Runnable task) {
      if (!stopped) {
        running.execute(task);
      }
    }
  }
}
