package io.tansystack.http;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * The single-threaded event loop that owns all scheduling state. In the service it is the XNIO I/O
 * thread, so that a response needs no thread switch, which matters on a fraction of a core. Tests
 * use an implementation with simulated time.
 */
public interface EventLoop extends Executor {
  /** Monotonic time since an arbitrary origin. */
  Duration now();

  /** Runs the task once after the delay, unless the timer is cancelled first. */
  Timer after(Duration delay, Runnable task);

  /** A pending timer. */
  interface Timer {
    void cancel();
  }
}
