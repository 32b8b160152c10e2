package io.tansystack.http;

import java.time.Duration;

/** A task that is run after a delay, with at most one run pending. */
public final class DelayedTask {
  private final EventLoop loop;
  private final Runnable task;
  private boolean pending;

  public DelayedTask(EventLoop loop, Runnable task) {
    this.loop = loop;
    this.task = task;
  }

  /** Schedules a run, unless one is pending already. */
  public void schedule(Duration delay) {
    if (!pending) {
      pending = true;
      loop.after(delay, this::run);
    }
  }

  private void run() {
    pending = false; // First: the task may schedule its next run, or fail.
    task.run();
  }
}
