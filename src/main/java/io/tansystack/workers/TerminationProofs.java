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
 * The proofs that placements are over. Nothing else ends a placement: not silence, not a missing line
 * in a list, not a closed connection. The four kinds:
 *
 * <ol>
 *   <li>the machine reports that attempt as ended;
 *   <li>the machine reports a later session than the placement's: what it had was killed, and a
 *       launch names the session, so none can come any more;
 *   <li>the machine's record is gone: it is deleted only after the cloud confirmed the deletion, or
 *       after the worker's lease has run out for certain;
 *   <li>the owner says that an unwanted attempt is not there and that it won't launch it. This holds
 *       only while that owner holds the machine, so the write that drops the placement carries the
 *       machine's version as a condition. A restarted owner keeps the machine under a later token;
 *       it acts on records that show the attempt as unwanted too, so it won't launch it either.
 * </ol>
 *
 * @param over what is over
 * @param conditions versions that must still hold when this is written down
 * @param failures what went wrong with some of them
 * @param grounds what each of it rests on, for the log
 */
public record TerminationProofs(
    List<EndedAttempt> over,
    List<Condition> conditions,
    List<Failure> failures,
    List<Evidence> grounds) {

  /** An attempt that ended by something else than its completion or a stop. */
  public record Failure(int task, long attempt, String machine, Cause cause) {}

  /** Which of the four proofs. */
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
   * Why tasks of a placement are over.
   *
   * @param session the session that the machine reported; 0 if nothing is known of it
   * @param token under which its owner has told that
   */
  public record Evidence(
      ProofKind kind, String machine, long attempt, TaskSet tasks, long session, long token) {
    @Override
    public String toString() {
      return machine + "#" + attempt + "=" + tasks + " " + kind.text + " session=" + session
          + " token=" + token;
    }
  }

  /**
   * @param maxConditions a transaction holds so many only. Proofs beyond that are left for the next
   *     one: a job whose round could never be written would be stuck for ever
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
        collector.all(placement, view, ProofKind.RECORD_GONE);
      } else if (view != null && view.report().session() > placement.session()) {
        collector.all(placement, view, ProofKind.LATER_SESSION);
      } else if (view != null && view.report().session() == placement.session()) {
        if (!view.exitedOf(job).isEmpty()) {
          collector.ended(placement, view);
        }
        if (!view.voids().isEmpty() && view.token() == tokens.applyAsLong(machine)) {
          collector.saidAbsent(placement, view, machine.condition());
        }
      }
    }
    return collector.found();
  }

  /** Gathers the proofs for one job, placement by placement. */
  private static final class Collector {
    private final String job;
    private final int maxConditions;
    private final List<EndedAttempt> over = new ArrayList<>();
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Failure> failures = new ArrayList<>();
    private final List<Evidence> grounds = new ArrayList<>();

    Collector(String job, int maxConditions) {
      this.job = job;
      this.maxConditions = maxConditions;
    }

    TerminationProofs found() {
      return new TerminationProofs(over, conditions, failures, grounds);
    }

    /** Everything of the placement is over. */
    void all(Placement p, MachineView view, ProofKind kind) {
      p.tasks().forEach(task -> over.add(new EndedAttempt(task, p.attempt(), p.machine(), false)));
      ground(p, view, kind, p.tasks());
    }

    /** What the machine reports as ended, in the session of the placement. */
    void ended(Placement p, MachineView view) {
      BitSet ended = new BitSet();
      for (TaskReport task : view.exitedOf(job)) {
        int index = task.task().index();
        if (task.attempt() != p.attempt() || !p.tasks().contains(index)) {
          continue;
        }
        over.add(new EndedAttempt(index, p.attempt(), p.machine(), task.cause() == Cause.DONE));
        ended.set(index);
        if (task.cause() != Cause.DONE && task.cause() != Cause.STOPPED) {
          failures.add(new Failure(index, p.attempt(), p.machine(), task.cause()));
        }
      }
      ground(p, view, ProofKind.ENDED, TaskSet.of(ended));
    }

    /** What the machine's owner says is unwanted and not there; holds under the condition. */
    void saidAbsent(Placement p, MachineView view, Condition owner) {
      if (conditions.size() >= maxConditions && !conditions.contains(owner)) {
        return;
      }
      BitSet absent = new BitSet();
      for (MachineView.AbsentAttempt v : view.voids()) {
        if (v.job().equals(job) && v.attempt() == p.attempt() && p.tasks().contains(v.task())) {
          over.add(new EndedAttempt(v.task(), p.attempt(), p.machine(), false));
          absent.set(v.task());
        }
      }
      if (!absent.isEmpty() && !conditions.contains(owner)) {
        conditions.add(owner);
      }
      ground(p, view, ProofKind.OWNERS_WORD, TaskSet.of(absent));
    }

    private void ground(Placement p, MachineView view, ProofKind kind, TaskSet tasks) {
      if (!tasks.isEmpty()) {
        long session = view == null ? 0 : view.report().session();
        long token = view == null ? 0 : view.token();
        grounds.add(new Evidence(kind, p.machine(), p.attempt(), tasks, session, token));
      }
    }
  }
}
