package io.tansystack.sim;

import io.tansystack.http.EventLoop;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: events run in the order of their moments, and of their making. */
public final class SimEventLoop implements EventLoop {
  private static final class Event implements Timer {
    final Duration at;
    final long order;
    Runnable task;

    Event(Duration at, long order, Runnable task) {
      this.at = at;
      this.order = order;
      this.task = task;
    }

    @Override
    public void cancel() {
      task = null;
    }
  }

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparing((Event e) -> e.at).thenComparingLong(e -> e.order));
  private Duration now = Duration.ofSeconds(1000);
  private long made;

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public Timer after(Duration delay, Runnable task) {
    Event event = new Event(now.plus(delay.isNegative() ? Duration.ZERO : delay), made++, task);
    events.add(event);
    return event;
  }

  @Override
  public void execute(Runnable task) {
    after(Duration.ZERO, task);
  }

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

  /** The loop of one process: nothing of it runs after its end. */
  ProcessLoop process() {
    return new ProcessLoop();
  }

  /** A view of the loop that can be killed without a sign. */
  final class ProcessLoop implements EventLoop {
    boolean dead;
    private Duration frozenUntil = Duration.ZERO;

    @Override
    public Duration now() {
      return SimEventLoop.this.now();
    }

    /** Stands still for so long while its clock runs on; what was due meanwhile runs afterwards. */
    void freeze(Duration time) {
      frozenUntil = now().plus(time);
    }

    /** Runs the task in this process: at once, or when it goes on again, or never. */
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
