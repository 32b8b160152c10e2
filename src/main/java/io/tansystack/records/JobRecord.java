package io.tansystack.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Responses.JobStatus;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A job as the state service keeps it. Every change is a pure function of the record and of proofs,
 * so that a compare-and-set on its version is enough to keep it right, whoever writes it. A job that
 * is over and has no placement left keeps its outcome alone ({@code spec} null).
 *
 * @param cancelledMs the time of day at which whoever cancelled it sent that to the state service; 0 if it
 *     wasn't cancelled, or nobody said when
 */
public record JobRecord(
    JobSpec spec,
    long submittedMs,
    Phase phase,
    TaskSet done,
    long attempt,
    List<Placement> placements,
    long cancelledMs) {

  /** Where a job is in its life; the last two are for ever. */
  public enum Phase {
    ACTIVE("active"),
    DONE("done"),
    CANCELLED("cancelled");

    final String text;

    Phase(String text) {
      this.text = text;
    }

    /** What users are told of a job in a final phase. */
    public JobStatus state() {
      return this == DONE ? JobStatus.DONE : JobStatus.CANCELLED;
    }
  }

  /** Proof that one attempt of a task on a machine is over; {@code done} if it completed. */
  public record EndedAttempt(int task, long attempt, String machine, boolean done) {}

  /** One machine's part of a placement round. */
  public record Assignment(String machine, long session, TaskSet tasks) {}

  public static JobRecord created(JobSpec spec, long nowMs) {
    return new JobRecord(spec, nowMs, Phase.ACTIVE, TaskSet.EMPTY, 0, List.of(), 0);
  }

  /** What is left of a job that is over. */
  public static JobRecord outcome(Phase phase) {
    return new JobRecord(null, 0, phase, TaskSet.EMPTY, 0, List.of(), 0);
  }

  private JobRecord with(List<Placement> placed) {
    return new JobRecord(spec, submittedMs, phase, done, attempt, List.copyOf(placed), cancelledMs);
  }

  public boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** Whether nobody has acted on it since it was accepted. */
  public boolean untouched() {
    return active() && attempt == 0;
  }

  public JobRecord cancelled(long nowMs) {
    return new JobRecord(spec, submittedMs, Phase.CANCELLED, done, attempt, placements, nowMs).shrunk();
  }

  private JobRecord shrunk() {
    if (active() || !placements.isEmpty()) {
      return this;
    }
    return new JobRecord(null, submittedMs, phase, TaskSet.EMPTY, 0, List.of(), 0);
  }

  /** Adds a round of placements under the next attempt number. */
  public JobRecord placed(Collection<Assignment> round) {
    List<Placement> next = new ArrayList<>(placements);
    for (Assignment part : round) {
      next.add(new Placement(part.machine, part.session, attempt + 1, part.tasks, false));
    }
    return new JobRecord(spec, submittedMs, phase, done, attempt + 1, List.copyOf(next), cancelledMs);
  }

  /** Marks tasks as no longer wanted where they are. */
  public JobRecord stopped(String machine, TaskSet tasks) {
    List<Placement> next = new ArrayList<>();
    for (Placement p : placements) {
      BitSet hit = p.tasks().toBits();
      hit.and(tasks.toBits());
      if (p.stop() || !p.machine().equals(machine) || hit.isEmpty()) {
        next.add(p);
        continue;
      }
      BitSet rest = p.tasks().toBits();
      rest.andNot(hit);
      if (!rest.isEmpty()) {
        next.add(p.withTasks(TaskSet.of(rest)));
      }
      next.add(new Placement(p.machine(), p.session(), p.attempt(), TaskSet.of(hit), true));
    }
    return with(next);
  }

  /** Marks every placement as no longer wanted: a gang lives or ends as a whole. */
  public JobRecord allStopped() {
    JobRecord record = this;
    for (Placement p : placements) {
      record = record.stopped(p.machine(), p.tasks());
    }
    return record;
  }

  /**
   * Takes in proofs. A proof that matches no placement changes nothing, so repeated and late ones do
   * no harm. The job becomes done only here, when its last task has completed.
   */
  public JobRecord absorbed(Collection<EndedAttempt> proofs) {
    Map<String, BitSet> over = new HashMap<>();
    BitSet nowDone = done.toBits();
    boolean gangDone = false;
    boolean gangBroken = false;
    for (EndedAttempt proof : proofs) {
      if (!holds(proof.machine, proof.attempt, proof.task)) {
        continue;
      }
      over.computeIfAbsent(key(proof.machine, proof.attempt), k -> new BitSet()).set(proof.task);
      if (active() && spec.shape() != JobKind.SERVICE) {
        if (proof.done) {
          nowDone.set(proof.task);
          gangDone = spec.shape() == JobKind.GANG;
        } else {
          gangBroken = spec.shape() == JobKind.GANG;
        }
      }
    }
    if (over.isEmpty()) {
      return this;
    }
    List<Placement> left = new ArrayList<>();
    for (Placement p : placements) {
      BitSet gone = over.get(key(p.machine(), p.attempt()));
      if (gone == null) {
        left.add(p);
        continue;
      }
      BitSet rest = p.tasks().toBits();
      rest.andNot(gone);
      if (!rest.isEmpty()) {
        left.add(p.withTasks(TaskSet.of(rest)));
      }
    }
    if (gangDone) {
      nowDone.set(0, spec.tasks());
    }
    Phase next = phase;
    if (active() && spec.shape() != JobKind.SERVICE && nowDone.cardinality() >= spec.tasks()) {
      next = Phase.DONE;
    }
    JobRecord result =
        new JobRecord(
            spec, submittedMs, next, TaskSet.of(nowDone), attempt, List.copyOf(left), cancelledMs);
    if (gangBroken && result.active()) {
      result = result.allStopped();
    }
    return result.shrunk();
  }

  private static String key(String machine, long attempt) {
    return machine + "#" + attempt;
  }

  /** Whether this attempt of the task may exist on the machine. */
  public boolean holds(String machine, long attempt, int task) {
    return find(machine, attempt, task) != null;
  }

  public Placement find(String machine, long attempt, int task) {
    for (Placement p : placements) {
      if (p.attempt() == attempt && p.machine().equals(machine) && p.tasks().contains(task)) {
        return p;
      }
    }
    return null;
  }

  /** Tasks that are neither done nor may exist anywhere. */
  public TaskSet unplaced() {
    BitSet bits = new BitSet(spec.tasks());
    bits.set(0, spec.tasks());
    bits.andNot(done.toBits());
    for (Placement p : placements) {
      bits.andNot(p.tasks().toBits());
    }
    return TaskSet.of(bits);
  }

  public int placedCount() {
    int count = 0;
    for (Placement p : placements) {
      count += p.tasks().size();
    }
    return count;
  }

  public JobStatus state() {
    if (!active()) {
      return phase.state();
    }
    return placements.isEmpty() ? JobStatus.PENDING : JobStatus.RUNNING;
  }

  public static JobRecord read(ObjectNode map) throws InvalidMessageException {
    return read(map, null);
  }

  /** @param known the job's specification if it is known; it never changes and need not be read again */
  public static JobRecord read(ObjectNode map, JobSpec known) throws InvalidMessageException {
    Phase phase = null;
    String text = FieldReader.text(map, "phase");
    for (Phase candidate : Phase.values()) {
      if (candidate.text.equals(text)) {
        phase = candidate;
      }
    }
    if (phase == null) {
      throw new InvalidMessageException("phase: unknown value");
    }
    long at = FieldReader.integer(map, "at");
    if (!FieldReader.has(map, "spec")) {
      if (phase == Phase.ACTIVE) {
        throw new InvalidMessageException("spec: missing");
      }
      return new JobRecord(null, at, phase, TaskSet.EMPTY, 0, List.of(), 0);
    }
    List<Placement> placements = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "placed")) {
      placements.add(Placement.read(node));
    }
    return new JobRecord(
        known != null ? known : JobSpec.read(FieldReader.map(map, "spec")),
        at,
        phase,
        Placement.tasks(map, "done"),
        FieldReader.integer(map, "attempt"),
        List.copyOf(placements),
        FieldReader.has(map, "cancelledAt") ? FieldReader.integer(map, "cancelledAt") : 0);
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("phase", phase.text).put("at", submittedMs);
    if (spec != null) {
      map.set("spec", spec.write());
      map.put("done", done.toString()).put("attempt", attempt);
      if (cancelledMs > 0) {
        map.put("cancelledAt", cancelledMs);
      }
      ArrayNode list = map.putArray("placed");
      placements.forEach(p -> list.add(p.write()));
    }
    return map;
  }
}
