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
 * Every difference between what the records place on a machine and what its worker reports, and what is
 * to be done about it. A pure function of both: it is asked anew for every report and record, so nothing
 * need be remembered over a restart, and what was done already is a difference no more.
 *
 * <table>
 *   <caption>What the records say, what the worker says, what follows</caption>
 *   <tr><td>placed, wanted<td>not there, same session<td>launch
 *   <tr><td>placed, wanted<td>there in any state<td>nothing: what has ended is taken into the record first
 *   <tr><td>placed, wanted<td>a later session<td>nothing: that session proves that it is over
 *   <tr><td>placed, to be stopped or its job over<td>there, not ended<td>halt, with time to save what is wanted
 *   <tr><td>placed, to be stopped or its job over<td>not there, same session<td>absent: the owner's word for it
 *   <tr><td>not placed, or another attempt<td>there, not ended<td>halt at once
 *   <tr><td>not placed, or another attempt<td>there, ended<td>forget: its outcome is recorded, or nobody wants it
 * </table>
 *
 * @param launches most urgent first
 * @param mostUrgent the priority of the first launch; null for none
 * @param absent attempts that are unwanted and not there
 */
public record Reconciliation(
    List<Command> halts,
    List<Command> launches,
    Priority mostUrgent,
    List<Command> forgets,
    List<TaskAttempt> absent) {
  public static final int HALTS = 0;
  public static final int FORGETS = 1 + Priority.values().length;

  /** What is recorded on the machine of one job. */
  private record Recorded(Placement placement, JobRecord job) {
    boolean wanted() {
      return !placement.stop() && job.active();
    }

    Priority priority() {
      return job.spec() == null ? Priority.LOW : job.spec().priority();
    }
  }

  /**
   * @param session of the newest report
   * @param listed that report's lines
   * @param placed what is recorded on the machine
   */
  public static Reconciliation of(
      long session, Map<TaskAttempt, TaskReport> listed, List<IndexedPlacement> placed) {
    Map<TaskAttempt, Recorded> recorded = new LinkedHashMap<>();
    for (IndexedPlacement p : placed) {
      Job job = p.job();
      Recorded r = new Recorded(p.placement(), job.record());
      r.placement
          .tasks()
          .forEach(
              task ->
                  recorded.put(
                      new TaskAttempt(new TaskId(job.id(), task), r.placement.attempt()), r));
    }
    List<Command> halts = new ArrayList<>();
    List<Command> forgets = new ArrayList<>();
    listed.forEach(
        (attempt, task) -> {
          Recorded r = recorded.get(attempt);
          if (task.exited()) {
            if (r == null) {
              forgets.add(new Command(Command.Op.FORGET, attempt.task(), attempt.number(), 0));
            }
          } else if (r == null || !r.wanted()) {
            boolean save = r != null && r.job.active() && r.job.spec().checkpointS() > 0;
            if (!save || task.state() != TaskReport.State.SAVING) {
              double grace = save ? r.job.spec().saveS() * 2 + 2 : 0;
              halts.add(new Command(Command.Op.STOP, attempt.task(), attempt.number(), grace));
            }
          }
        });
    List<Map.Entry<TaskAttempt, Recorded>> missing = new ArrayList<>();
    List<TaskAttempt> absent = new ArrayList<>();
    for (Map.Entry<TaskAttempt, Recorded> entry : recorded.entrySet()) {
      Recorded r = entry.getValue();
      if (!listed.containsKey(entry.getKey()) && r.placement.session() == session) {
        if (r.wanted()) {
          missing.add(entry);
        } else {
          absent.add(entry.getKey());
        }
      }
    }
    missing.sort(Comparator.comparing(entry -> entry.getValue().priority()));
    List<Command> launches = new ArrayList<>();
    for (Map.Entry<TaskAttempt, Recorded> entry : missing) {
      TaskAttempt attempt = entry.getKey();
      launches.add(new Command(Command.Op.START, attempt.task(), attempt.number(), 0));
    }
    Priority mostUrgent = missing.isEmpty() ? null : missing.get(0).getValue().priority();
    return new Reconciliation(halts, launches, mostUrgent, forgets, absent);
  }

  /** How urgent the most urgent of it is: {@link #HALTS}, then launches by priority, {@link #FORGETS}. */
  public int urgency() {
    return !halts.isEmpty() ? HALTS : launches.isEmpty() ? FORGETS : 1 + mostUrgent.ordinal();
  }

  /** Without the halts that were sent lately and may still be under way. */
  public Reconciliation without(Predicate<TaskAttempt> haltedLately) {
    List<Command> left =
        halts.stream()
            .filter(halt -> !haltedLately.test(new TaskAttempt(halt.task(), halt.attempt())))
            .toList();
    return new Reconciliation(left, launches, mostUrgent, forgets, absent);
  }
}
