package io.tansystack.recovery;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.PlacementIndex.IndexedPlacement;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.wire.Command;
import io.tansystack.wire.Priority;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The differences between the placements recorded on a machine and the tasks that its worker
 * reports, as the commands that resolve them. This is a pure function of both and is computed again
 * for every report and record, so no state has to survive a restart, and a command that was
 * executed is not sent again.
 *
 * <table>
 *   <caption>Record, report, and what follows</caption>
 *   <tr><td>placed, wanted<td>not reported, same session<td>start
 *   <tr><td>placed, wanted<td>reported in any state
 *       <td>nothing: if it has ended, this is first applied to the record
 *   <tr><td>placed, wanted<td>a later session<td>nothing: that session proves that it has ended
 *   <tr><td>placed, to be stopped or its job finished<td>reported, not ended
 *       <td>stop, with time to save a checkpoint if the job is still active
 *   <tr><td>placed, to be stopped or its job finished<td>not reported, same session
 *       <td>absent: the owner confirms that it does not run
 *   <tr><td>not placed, or another attempt<td>reported, not ended<td>stop at once
 *   <tr><td>not placed, or another attempt<td>reported, ended
 *       <td>forget: its outcome is recorded or not wanted
 * </table>
 *
 * @param starts highest priority first
 * @param highestPriority the priority of the first start command; null if there is none
 * @param absentAttempts attempts that are unwanted and not reported
 */
public record Reconciliation(
    List<Command> stops,
    List<Command> starts,
    Priority highestPriority,
    List<Command> forgets,
    List<TaskAttempt> absentAttempts) {
  /** The urgency of stop commands, which comes first. */
  public static final int STOP_URGENCY = 0;

  /**
   * The urgency of forget commands, which comes last; start commands are in between by priority.
   */
  public static final int FORGET_URGENCY = 1 + Priority.values().length;

  /** A recorded placement on the machine and its job. */
  private record RecordedTask(Placement placement, JobRecord job) {
    boolean wanted() {
      return !placement.stop() && job.active();
    }

    Priority priority() {
      return job.spec() == null ? Priority.LOW : job.spec().priority();
    }
  }

  /**
   * Compares the newest report of a machine with its recorded placements.
   *
   * @param session the session of the newest report
   * @param reported the tasks in that report
   * @param placed the placements recorded on the machine
   */
  public static Reconciliation of(
      long session, Map<TaskAttempt, TaskReport> reported, List<IndexedPlacement> placed) {
    Map<TaskAttempt, RecordedTask> recorded = new LinkedHashMap<>();
    for (IndexedPlacement indexed : placed) {
      Job job = indexed.job();
      RecordedTask expected = new RecordedTask(indexed.placement(), job.record());
      expected.placement
          .tasks()
          .forEach(
              task ->
                  recorded.put(
                      new TaskAttempt(new TaskId(job.id(), task), expected.placement.attempt()),
                      expected));
    }
    List<Command> stops = new ArrayList<>();
    List<Command> forgets = new ArrayList<>();
    reported.forEach(
        (attempt, task) -> {
          RecordedTask expected = recorded.get(attempt);
          if (task.exited()) {
            if (expected == null) {
              forgets.add(new Command(Command.Op.FORGET, attempt.task(), attempt.number(), 0));
            }
          } else if (expected == null || !expected.wanted()) {
            boolean saveFirst =
                expected != null
                    && expected.job.active()
                    && expected.job.spec().checkpointS() > 0;
            if (!saveFirst || task.state() != TaskReport.State.SAVING) {
              double graceS = saveFirst ? expected.job.spec().saveS() * 2 + 2 : 0;
              stops.add(new Command(Command.Op.STOP, attempt.task(), attempt.number(), graceS));
            }
          }
        });
    List<Map.Entry<TaskAttempt, RecordedTask>> missing = new ArrayList<>();
    List<TaskAttempt> absentAttempts = new ArrayList<>();
    for (Map.Entry<TaskAttempt, RecordedTask> entry : recorded.entrySet()) {
      RecordedTask expected = entry.getValue();
      if (!reported.containsKey(entry.getKey()) && expected.placement.session() == session) {
        if (expected.wanted()) {
          missing.add(entry);
        } else {
          absentAttempts.add(entry.getKey());
        }
      }
    }
    missing.sort(Comparator.comparing(entry -> entry.getValue().priority()));
    List<Command> starts = new ArrayList<>();
    for (Map.Entry<TaskAttempt, RecordedTask> entry : missing) {
      TaskAttempt attempt = entry.getKey();
      starts.add(new Command(Command.Op.START, attempt.task(), attempt.number(), 0));
    }
    Priority highestPriority = missing.isEmpty() ? null : missing.get(0).getValue().priority();
    return new Reconciliation(stops, starts, highestPriority, forgets, absentAttempts);
  }

  /**
   * The urgency of the most urgent command, lower values first: {@link #STOP_URGENCY}, then start
   * commands by priority, then {@link #FORGET_URGENCY}.
   */
  public int urgency() {
    return !stops.isEmpty()
        ? STOP_URGENCY
        : starts.isEmpty() ? FORGET_URGENCY : 1 + highestPriority.ordinal();
  }

  /** This without the forget commands to which the predicate applies. */
  public Reconciliation withoutForgets(Predicate<Command> notYet) {
    List<Command> remaining = forgets.stream().filter(notYet.negate()).toList();
    return new Reconciliation(stops, starts, highestPriority, remaining, absentAttempts);
  }

  /** This without the stop commands that were sent recently and may still be under way. */
  public Reconciliation withoutStops(Predicate<TaskAttempt> recentlyStopped) {
    List<Command> remaining =
        stops.stream()
            .filter(stop -> !recentlyStopped.test(new TaskAttempt(stop.task(), stop.attempt())))
            .toList();
    return new Reconciliation(remaining, starts, highestPriority, forgets, absentAttempts);
  }
}
