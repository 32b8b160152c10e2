package io.tansystack.workers;

import io.tansystack.cluster.MachineRecord;
import io.tansystack.records.JobRecord.Over;
import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.TaskReport.Cause;
import io.tansystack.wire.TaskReport;
import java.util.ArrayList;
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
 */
public record Proofs(List<Over> over, List<Condition> conditions, List<Failure> failures) {

  /** An attempt that ended by something else than its completion or a stop. */
  public record Failure(int task, long attempt, String machine, Cause cause) {}

  /**
   * @param maxConditions a transaction holds so many only. Proofs beyond that are left for the next
   *     one: a job whose round could never be written would be stuck for ever
   */
  public static Proofs collect(
      String job,
      JobRecord record,
      Function<String, View> views,
      Function<String, MachineRecord> machines,
      ToLongFunction<MachineRecord> tokens,
      int maxConditions) {
    List<Over> over = new ArrayList<>();
    List<Condition> conditions = new ArrayList<>();
    List<Failure> failures = new ArrayList<>();
    for (Placement p : record.placements()) {
      MachineRecord machine = machines.apply(p.machine());
      View view = views.apply(p.machine());
      if (machine == null || (view != null && view.report().session() > p.session())) {
        p.tasks().forEach(task -> over.add(new Over(task, p.attempt(), p.machine(), false)));
        continue;
      }
      if (view == null || view.report().session() != p.session()) {
        continue;
      }
      for (TaskReport task : view.exitedOf(job)) {
        int index = task.task().index();
        if (task.attempt() == p.attempt() && p.tasks().contains(index)) {
          over.add(new Over(index, p.attempt(), p.machine(), task.cause() == Cause.DONE));
          if (task.cause() != Cause.DONE && task.cause() != Cause.STOPPED) {
            failures.add(new Failure(index, p.attempt(), p.machine(), task.cause()));
          }
        }
      }
      Condition owner = machine.condition();
      if (view.token() != tokens.applyAsLong(machine)
          || (conditions.size() >= maxConditions && !conditions.contains(owner))) {
        continue;
      }
      boolean used = false;
      for (View.Void v : view.voids()) {
        if (v.job().equals(job) && v.attempt() == p.attempt() && p.tasks().contains(v.task())) {
          over.add(new Over(v.task(), p.attempt(), p.machine(), false));
          used = true;
        }
      }
      if (used && !conditions.contains(owner)) {
        conditions.add(owner);
      }
    }
    return new Proofs(over, conditions, failures);
  }
}
