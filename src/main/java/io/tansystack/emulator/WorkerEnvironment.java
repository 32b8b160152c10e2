package io.tansystack.emulator;

import io.tansystack.http.EventLoop;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.TaskId;
import java.time.Duration;

/** Supplies emulated workers with job data and durations, and receives their events. */
public interface WorkerEnvironment {
  EventLoop loop();

  /** The specification that the user submitted for the job; null if the job is unknown. */
  JobSpec jobSpec(String job);

  /** Time that the machine needs to fetch the job's image; zero if it has the image. */
  Duration fetchTime(EmulatedWorker worker, String job);

  /** Run time of the task. */
  Duration runTime(TaskId task);

  /** Time that a task takes to save its state when it is stopped; zero if it never saves. */
  Duration saveTime();

  /** Time for which a task of a gang waits for the others before it exits. */
  Duration gangWait();

  /** Time after which the tasks of a gang notice that one of them is lost. */
  Duration gangPeerTimeout();

  /** Whether the next start is rejected for lack of capacity although there is enough. */
  default boolean refusesLaunch() {
    return false;
  }

  /** Number of tasks of a gang, which start together; 0 if the job's tasks are independent. */
  int gangSize(String job);

  /** Whether the task completed on any machine; if started again, it ends once it has its image. */
  boolean hasCompleted(TaskId task);

  /** A start command was accepted. */
  default void onLaunched(EmulatedWorker worker, TaskId task) {}

  /** The task has its image; from now on it counts as running on the machine. */
  default void onStarted(EmulatedWorker worker, TaskId task) {}

  /** A task that had started is no longer on the machine. */
  default void onEnded(EmulatedWorker worker, TaskId task) {}

  /** The task has completed; its worker's next report shows it. */
  void onCompleted(TaskId task);

  /** Like {@link #onCompleted}, but after the worker's state shows it; only independent tasks. */
  default void onCompletionReported(EmulatedWorker worker, TaskId task) {}

  /** The state of the machine has changed; its next report shows the change. */
  void onChanged(EmulatedWorker worker);
}
