package io.tansystack.http;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * The one event loop that owns all scheduling state. In the service it is the XNIO I/O thread, so
 * that an answer needs no change of thread on a fraction of a core; tests put simulated time here.
 */
public interface EventLoop extends Executor {
  /** Steady time since an arbitrary start; never goes back. */
  Duration now();

  /** Runs once after the delay, unless cancelled first. */
  Timer after(Duration delay, Runnable task);

  /** A pending timer. */
  interface Timer {
    void cancel();
  }
}
