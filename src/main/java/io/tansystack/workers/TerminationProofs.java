package io.tansystack.workers;

import io.tansystack.cluster.MachineRecord;
import io.tansystack.records.JobRecord.EndedAttempt;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.records.TaskSet;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * Proofs that attempts of a job's tasks have ended. Nothing else ends a placement: not silence, not
 * absence from a list of tasks, not a closed connection. There are four kinds of proof:
 *
 * <ol>
 *   <li>the machine reports the attempt as ended;
 *   <li>the machine reports a later session than the placement's: the tasks of the earlier session
 *       were killed, and a start command names its session, so none can be started in it any more;
 *   <li>the machine's record is gone: it is deleted only after the cloud has confirmed the
 *       machine's deletion, or after the worker's lease has certainly expired;
 *   <li>the owner confirms that an unwanted attempt is not on the machine and that it won't start
 *       it. This is true only while that owner owns the machine, so the write that removes the
 *       placement has the machine's version as a condition. A restarted owner keeps the machine
 *       under a higher token; it acts on records that show the attempt as unwanted too, so it won't
 *       start it either.
 * </ol>
 *
 * @param ended attempts that have ended
 * @param conditions versions that must still hold when the proofs are written to the job's record
 * @param failures those of the attempts that failed
 * @param evidence what proves that the attempts have ended, for the log
 */
public record TerminationProofs(
    List<EndedAttempt> ended,
    List<Condition> conditions,
    List<Failure> failures,
    List<Evidence> evidence) {

  /** An attempt that ended neither by its completion nor by a stop. */
  public record Failure(int task, long attempt, String machine, Cause cause) {}

  /** The four kinds of proof. */
  public enum ProofKind {
    ENDED("ended"),
    LATER_SESSION("later session"),
    RECORD_GONE("record gone"),
    OWNERS_WORD("owner's word");

    private final String text;

    ProofKind(String text) {
      this.text = text;
    }
  }

  /**
   * Why tasks of a placement have ended.
   *
   * @param placedSession the session in which the tasks were placed
   * @param session the session that the machine reported; 0 if no view of it is known
   * @param token the token under which its owner published that; 0 if no view of it is known
   */
  public record Evidence(
      ProofKind kind,
      String machine,
      long attempt,
      TaskSet tasks,
      long placedSession,
      long session,
      long token) {
    @Override
    public String toString() {
      return machine + "#" + attempt + "=" + tasks + " placed in=" + placedSession + " "
          + kind.text + " session=" + session + " token=" + token;
    }
  }

  /**
   * Collects the proofs for the placements of a job.
   *
   * @param tokens the current token of a machine
   * @param maxConditions the number of conditions that a transaction can hold. Proofs beyond that
   *     are left for the next transaction: a job would be stuck permanently if its proofs never
   *     fitted
   */
  public static TerminationProofs collect(
      String job,
      JobRecord record,
      Function<String, MachineView> views,
      Function<String, MachineRecord> machines,
      ToLongFunction<MachineRecord> tokens,
      int maxConditions) {
    Collector collector = new Collector(job, maxConditions);
    for (Placement placement : record.placements()) {
      MachineRecord machine = machines.apply(placement.machine());
      MachineView view = views.apply(placement.machine());
      if (machine == null) {
        collector.addAll(placement, view, ProofKind.RECORD_GONE);
      } else if (view != null && view.report().session() > placement.session()) {
        collector.addAll(placement, view, ProofKind.LATER_SESSION);
      } else if (view != null && view.report().session() == placement.session()) {
        if (!view.exitedOf(job).isEmpty()) {
          collector.addReported(placement, view);
        }
        if (!view.absentAttempts().isEmpty() && view.token() == tokens.applyAsLong(machine)) {
          collector.addConfirmedAbsent(placement, view, machine.condition());
        }
      }
    }
    return collector.result();
  }

  /** Collects the proofs for one job, placement by placement. */
  private static final class Collector {
    private final String job;
    private final int maxConditions;
    private final List<EndedAttempt> ended = new ArrayList<>();
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Failure> failures = new ArrayList<>();
    private final List<Evidence> evidence = new ArrayList<>();

    Collector(String job, int maxConditions) {
      this.job = job;
      this.maxConditions = maxConditions;
    }

    TerminationProofs result() {
      return new TerminationProofs(ended, conditions, failures, evidence);
    }

    /** Adds all tasks of the placement. */
    void addAll(Placement p, MachineView view, ProofKind kind) {
      p.tasks().forEach(task -> ended.add(new EndedAttempt(task, p.attempt(), p.machine(), false)));
      addEvidence(p, view, kind, p.tasks());
    }

    /** Adds the tasks that the machine reports as ended, in the session of the placement. */
    void addReported(Placement p, MachineView view) {
      BitSet indexes = new BitSet();
      for (TaskReport task : view.exitedOf(job)) {
        int index = task.task().index();
        if (task.attempt() != p.attempt() || !p.tasks().contains(index)) {
          continue;
        }
        ended.add(new EndedAttempt(index, p.attempt(), p.machine(), task.cause() == Cause.DONE));
        indexes.set(index);
        if (task.cause() != Cause.DONE && task.cause() != Cause.STOPPED) {
          failures.add(new Failure(index, p.attempt(), p.machine(), task.cause()));
        }
      }
      addEvidence(p, view, ProofKind.ENDED, TaskSet.of(indexes));
    }

    /** Adds the attempts that the owner confirms as absent, which is true under the condition. */
    void addConfirmedAbsent(Placement p, MachineView view, Condition ownerUnchanged) {
      if (conditions.size() >= maxConditions && !conditions.contains(ownerUnchanged)) {
        return;
      }
      BitSet indexes = new BitSet();
      for (MachineView.AbsentAttempt attempt : view.absentAttempts()) {
        if (attempt.job().equals(job)
            && attempt.attempt() == p.attempt()
            && p.tasks().contains(attempt.task())) {
          ended.add(new EndedAttempt(attempt.task(), p.attempt(), p.machine(), false));
          indexes.set(attempt.task());
        }
      }
      if (!indexes.isEmpty() && !conditions.contains(ownerUnchanged)) {
        conditions.add(ownerUnchanged);
      }
      addEvidence(p, view, ProofKind.OWNERS_WORD, TaskSet.of(indexes));
    }

    private void addEvidence(Placement p, MachineView view, ProofKind kind, TaskSet tasks) {
      if (!tasks.isEmpty()) {
        long session = view == null ? 0 : view.report().session();
        long token = view == null ? 0 : view.token();
        evidence.add(
            new Evidence(kind, p.machine(), p.attempt(), tasks, p.session(), session, token));
      }
    }
  }
}
