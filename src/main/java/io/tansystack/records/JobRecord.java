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
 * A job as the state service stores it. Every change is a pure function of the record and of
 * termination proofs, so that a compare-and-set on the record's version is enough to keep it
 * correct, whichever controller writes it. Once a job is finished and has no placement left, only
 * its outcome is kept ({@code spec} is null).
 *
 * @param spec the job's specification; null in an outcome
 * @param submittedMs the time at which the job was accepted, in milliseconds since the epoch
 * @param done the tasks that have completed
 * @param attempt the number of the last placement round; 0 if there was none
 * @param cancelledMs the time at which the controller that cancelled the job sent the cancellation
 *     to the state service, in milliseconds since the epoch; 0 if the job wasn't cancelled or the
 *     time isn't recorded
 */
public record JobRecord(
    JobSpec spec,
    long submittedMs,
    Phase phase,
    TaskSet done,
    long attempt,
    List<Placement> placements,
    long cancelledMs) {

  /** The phase of a job; DONE and CANCELLED are final. */
  public enum Phase {
    ACTIVE("active"),
    DONE("done"),
    CANCELLED("cancelled");

    /** The name in stored records. */
    final String storedName;

    Phase(String storedName) {
      this.storedName = storedName;
    }

    /** The status that users see of a job in this phase, which must be a final one. */
    public JobStatus status() {
      return this == DONE ? JobStatus.DONE : JobStatus.CANCELLED;
    }
  }

  /**
   * Proof that one attempt of a task does not run on a machine any more.
   *
   * @param done whether the task completed
   */
  public record EndedAttempt(int task, long attempt, String machine, boolean done) {}

  /** The tasks that a placement round assigns to a machine in a session of its worker. */
  public record Assignment(String machine, long session, TaskSet tasks) {}

  /** The record of a job that has just been accepted. */
  public static JobRecord created(JobSpec spec, long nowMs) {
    return new JobRecord(spec, nowMs, Phase.ACTIVE, TaskSet.EMPTY, 0, List.of(), 0);
  }

  /** The record of a finished job, without times. */
  public static JobRecord outcome(Phase phase) {
    return new JobRecord(null, 0, phase, TaskSet.EMPTY, 0, List.of(), 0);
  }

  private JobRecord withPlacements(List<Placement> newPlacements) {
    return new JobRecord(
        spec, submittedMs, phase, done, attempt, List.copyOf(newPlacements), cancelledMs);
  }

  public boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** Whether the job is still active and no task of it has ever been placed. */
  public boolean neverPlaced() {
    return active() && attempt == 0;
  }

  /** Cancels the job. Its placements remain until their tasks are proven to have ended. */
  public JobRecord cancelled(long nowMs) {
    return new JobRecord(spec, submittedMs, Phase.CANCELLED, done, attempt, placements, nowMs)
        .outcomeIfFinished();
  }

  /** Reduces the record to its outcome if the job is finished and has no placement left. */
  private JobRecord outcomeIfFinished() {
    if (active() || !placements.isEmpty()) {
      return this;
    }
    return new JobRecord(null, submittedMs, phase, TaskSet.EMPTY, 0, List.of(), 0);
  }

  /** Adds the placements of one round under the next attempt number. */
  public JobRecord placed(Collection<Assignment> round) {
    List<Placement> newPlacements = new ArrayList<>(placements);
    for (Assignment assignment : round) {
      newPlacements.add(
          new Placement(
              assignment.machine, assignment.session, attempt + 1, assignment.tasks, false));
    }
    return new JobRecord(
        spec, submittedMs, phase, done, attempt + 1, List.copyOf(newPlacements), cancelledMs);
  }

  /**
   * Marks the given tasks on a machine as to be stopped. A placement of which only some tasks are
   * meant is split in two.
   */
  public JobRecord stopped(String machine, TaskSet tasks) {
    List<Placement> newPlacements = new ArrayList<>();
    for (Placement p : placements) {
      BitSet toStop = p.tasks().toBitSet();
      toStop.and(tasks.toBitSet());
      if (p.stop() || !p.machine().equals(machine) || toStop.isEmpty()) {
        newPlacements.add(p);
        continue;
      }
      BitSet rest = p.tasks().toBitSet();
      rest.andNot(toStop);
      if (!rest.isEmpty()) {
        newPlacements.add(p.withTasks(TaskSet.of(rest)));
      }
      newPlacements.add(
          new Placement(p.machine(), p.session(), p.attempt(), TaskSet.of(toStop), true));
    }
    return withPlacements(newPlacements);
  }

  /** Marks every placement as to be stopped; the tasks of a gang run together or not at all. */
  public JobRecord allStopped() {
    JobRecord record = this;
    for (Placement p : placements) {
      record = record.stopped(p.machine(), p.tasks());
    }
    return record;
  }

  /**
   * Removes the tasks that are proven to have ended from their placements. A proof that matches no
   * placement changes nothing, so repeated and late proofs are harmless. Only this method makes a
   * job DONE, once its last task has completed.
   *
   * <p>The tasks of a gang complete together: if one has completed, the job is done; if one has
   * ended otherwise, all the others are stopped. A task of a service never completes; once it has
   * ended, it is just unplaced.
   */
  public JobRecord withProofsApplied(Collection<EndedAttempt> proofs) {
    Map<String, BitSet> endedTasks = new HashMap<>();
    BitSet doneTasks = done.toBitSet();
    boolean gangDone = false;
    boolean gangFailed = false;
    for (EndedAttempt proof : proofs) {
      if (!hasPlacement(proof.machine, proof.attempt, proof.task)) {
        continue;
      }
      endedTasks
          .computeIfAbsent(placementKey(proof.machine, proof.attempt), k -> new BitSet())
          .set(proof.task);
      if (active() && spec.kind() != JobKind.SERVICE) {
        if (proof.done) {
          doneTasks.set(proof.task);
          gangDone = spec.kind() == JobKind.GANG;
        } else {
          gangFailed = spec.kind() == JobKind.GANG;
        }
      }
    }
    if (endedTasks.isEmpty()) {
      return this;
    }
    List<Placement> remaining = new ArrayList<>();
    for (Placement p : placements) {
      BitSet ended = endedTasks.get(placementKey(p.machine(), p.attempt()));
      if (ended == null) {
        remaining.add(p);
        continue;
      }
      BitSet rest = p.tasks().toBitSet();
      rest.andNot(ended);
      if (!rest.isEmpty()) {
        remaining.add(p.withTasks(TaskSet.of(rest)));
      }
    }
    if (gangDone) {
      doneTasks.set(0, spec.tasks());
    }
    Phase nextPhase = phase;
    if (active() && spec.kind() != JobKind.SERVICE && doneTasks.cardinality() >= spec.tasks()) {
      nextPhase = Phase.DONE;
    }
    JobRecord result =
        new JobRecord(
            spec,
            submittedMs,
            nextPhase,
            TaskSet.of(doneTasks),
            attempt,
            List.copyOf(remaining),
            cancelledMs);
    if (gangFailed && result.active()) {
      result = result.allStopped();
    }
    return result.outcomeIfFinished();
  }

  private static String placementKey(String machine, long attempt) {
    return machine + "#" + attempt;
  }

  /** Whether this attempt of the task may exist on the machine. */
  public boolean hasPlacement(String machine, long attempt, int task) {
    return findPlacement(machine, attempt, task) != null;
  }

  /** The placement that contains this attempt of the task; null if there is none. */
  public Placement findPlacement(String machine, long attempt, int task) {
    for (Placement p : placements) {
      if (p.attempt() == attempt && p.machine().equals(machine) && p.tasks().contains(task)) {
        return p;
      }
    }
    return null;
  }

  /** The tasks that are neither done nor in any placement. */
  public TaskSet unplaced() {
    BitSet bits = new BitSet(spec.tasks());
    bits.set(0, spec.tasks());
    bits.andNot(done.toBitSet());
    for (Placement p : placements) {
      bits.andNot(p.tasks().toBitSet());
    }
    return TaskSet.of(bits);
  }

  /** The number of tasks in all placements, those to be stopped included. */
  public int placedTaskCount() {
    int count = 0;
    for (Placement p : placements) {
      count += p.tasks().size();
    }
    return count;
  }

  /** The status that users see. */
  public JobStatus status() {
    if (!active()) {
      return phase.status();
    }
    return placements.isEmpty() ? JobStatus.PENDING : JobStatus.RUNNING;
  }

  public static JobRecord read(ObjectNode map) throws InvalidMessageException {
    return read(map, null);
  }

  /**
   * Reads a stored record.
   *
   * @param knownSpec the job's specification if it has been read before, otherwise null; a
   *     specification never changes, so it isn't parsed again
   */
  public static JobRecord read(ObjectNode map, JobSpec knownSpec) throws InvalidMessageException {
    Phase phase = null;
    String phaseName = FieldReader.text(map, "phase");
    for (Phase candidate : Phase.values()) {
      if (candidate.storedName.equals(phaseName)) {
        phase = candidate;
      }
    }
    if (phase == null) {
      throw new InvalidMessageException("phase: unknown value");
    }
    long submittedMs = FieldReader.integer(map, "at");
    if (!FieldReader.has(map, "spec")) {
      if (phase == Phase.ACTIVE) {
        throw new InvalidMessageException("spec: missing");
      }
      return new JobRecord(null, submittedMs, phase, TaskSet.EMPTY, 0, List.of(), 0);
    }
    List<Placement> placements = new ArrayList<>();
    for (JsonNode node : FieldReader.list(map, "placed")) {
      placements.add(Placement.read(node));
    }
    return new JobRecord(
        knownSpec != null ? knownSpec : JobSpec.read(FieldReader.map(map, "spec")),
        submittedMs,
        phase,
        Placement.readTasks(map, "done"),
        FieldReader.integer(map, "attempt"),
        List.copyOf(placements),
        FieldReader.has(map, "cancelledAt") ? FieldReader.integer(map, "cancelledAt") : 0);
  }

  public ObjectNode write() {
    ObjectNode map = Cbor.map();
    map.put("phase", phase.storedName).put("at", submittedMs);
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
