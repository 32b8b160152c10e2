package io.tansystack.sim;

import io.tansystack.http.EventLoop;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Event loop in simulated time: events run by due time, and in creation order at equal times. */
public final class SimEventLoop implements EventLoop {
  private static final class Event implements Timer {
    final Duration at;
    final long sequence;
    Runnable task;

    Event(Duration at, long order, Runnable task) {
      this.at = at;
      this.sequence = order;
      this.task = task;
    }

    @Override
    public void cancel() {
      task = null;
    }
  }

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparing((Event e) -> e.at).thenComparingLong(e -> e.sequence));
  private Duration now = Duration.ofSeconds(1000);
  private long eventCount;

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public Timer after(Duration delay, Runnable task) {
    Event event = new Event(now.plus(delay.isNegative() ? Duration.ZERO : delay), eventCount++, task);
    events.add(event);
    return event;
  }

  @Override
  public void execute(Runnable task) {
    after(Duration.ZERO, task);
  }

  /** Runs all events that are due within the given time and advances the clock by it. */
  public void runFor(Duration time) {
    Duration end = now.plus(time);
    while (!events.isEmpty() && events.peek().at.compareTo(end) <= 0) {
      Event event = events.poll();
      now = event.at;
      if (event.task != null) {
        event.task.run();
      }
    }
    now = end;
  }

  /** Returns the loop of a new simulated process; once it is killed, none of its tasks run. */
  ProcessLoop process() {
    return new ProcessLoop();
  }

  /** The event loop of one process, which can be killed or paused without notice. */
  final class ProcessLoop implements EventLoop {
    boolean dead;
    private Duration frozenUntil = Duration.ZERO;

    @Override
    public Duration now() {
      return SimEventLoop.this.now();
    }

    /** Pauses the process while the clock runs on; tasks that come due meanwhile run afterwards. */
    void freeze(Duration time) {
      frozenUntil = now().plus(time);
    }

    /** Runs the task at once, after the pause if the process is paused, or never if it is dead. */
    void run(Runnable task) {
      if (dead) {
        return;
      }
      if (now().compareTo(frozenUntil) < 0) {
        SimEventLoop.this.after(frozenUntil.minus(now()), () -> run(task));
      } else {
        task.run();
      }
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
      boolean[] cancelled = {false};
      Timer timer =
          SimEventLoop.this.after(
              delay,
              () ->
                  run(
                      () -> {
                        if (!cancelled[0]) {
                          task.run();
                        }
                      }));
      return () -> {
        cancelled[0] = true;
        timer.cancel();
      };
    }

    @Override
    public void execute(Runnable task) {
      after(Duration.ZERO, task);
    }
  }
}
