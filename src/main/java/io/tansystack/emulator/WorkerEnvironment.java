package io.tansystack.emulator;

import io.tansystack.http.EventLoop;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.TaskId;
import java.time.Duration;

/** What emulated workers take from the cluster around them, and what they tell it. */
public interface WorkerEnvironment {
  EventLoop loop();

  /** The description that the job's user uploaded; null if nobody did. */
  JobSpec description(String job);

  /** How long the machine takes to fetch the job's image; zero if it has it. */
  Duration fetchTime(EmulatedWorker worker, String job);

  /** How long the task runs. */
  Duration runTime(TaskId task);

  /** How long a task takes to save when it is stopped; zero for one that never saves. */
  Duration saveTime();

  /** For how long a task of a gang waits for the others. */
  Duration gangWait();

  /** After how long the tasks of a gang notice that one of them is gone. */
  Duration gangPeerTimeout();

  /** Whether a launch is refused for want of room although there is some. */
  default boolean refusesLaunch() {
    return false;
  }

  /** How many tasks start together; 0 for a job whose tasks are independent. */
  int gangSize(String job);

  /** Whether the task has completed on some machine: started again, it ends with its image. */
  boolean hasCompleted(TaskId task);

  /** A launch was accepted. */
  default void launched(EmulatedWorker worker, TaskId task) {}

  /** The task has its image: from now on it counts as being on the machine. */
  default void began(EmulatedWorker worker, TaskId task) {}

  /** A task that had begun is no longer on the machine. */
  default void ended(EmulatedWorker worker, TaskId task) {}

  /** The task has completed; its worker's next report shows it. */
  void completed(TaskId task);

  /** As {@link #completed}, once the worker's state shows it; of independent tasks alone. */
  default void completionReported(EmulatedWorker worker, TaskId task) {}

  /** Something on the machine is other than before; its next report shows it. */
  void changed(EmulatedWorker worker);
}
