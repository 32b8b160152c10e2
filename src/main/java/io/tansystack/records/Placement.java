package io.tansystack.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.TaskId;

/**
 * Tasks of a job that may exist on a machine in one session of its worker, all under one attempt
 * number. A placement is recorded before the start command is sent, and removed only when there is
 * proof that its tasks have ended.
 *
 * @param session the session of the worker, which lasts from one lease expiry to the next
 * @param stop whether the tasks are no longer wanted: the owner of the machine stops them and never
 *     starts them
 */
public record Placement(String machine, long session, long attempt, TaskSet tasks, boolean stop) {
  private static final String STOP_SUFFIX = " stop";

  /**
   * Written by hand because the generated method is slow (see {@link TaskId}) and all placements of
   * a changed record are compared.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof Placement placement
        && session == placement.session
        && attempt == placement.attempt
        && stop == placement.stop
        && machine.equals(placement.machine)
        && tasks.equals(placement.tasks);
  }

  @Override
  public int hashCode() {
    return (machine.hashCode() * 31 + Long.hashCode(attempt)) * 31 + tasks.hashCode();
  }

  /**
   * Reads the stored form: machine, session, attempt and tasks, followed by {@code stop} if the
   * tasks are to be stopped.
   */
  static Placement read(JsonNode node) throws InvalidMessageException {
    String text = node.asText();
    try {
      int sessionSpace = text.indexOf(' ');
      int attemptSpace = text.indexOf(' ', sessionSpace + 1);
      int tasksSpace = text.indexOf(' ', attemptSpace + 1);
      boolean stop = text.endsWith(STOP_SUFFIX);
      return new Placement(
          text.substring(0, sessionSpace),
          Long.parseLong(text, sessionSpace + 1, attemptSpace, 10),
          Long.parseLong(text, attemptSpace + 1, tasksSpace, 10),
          TaskSet.parse(
              text.substring(tasksSpace + 1, text.length() - (stop ? STOP_SUFFIX.length() : 0))),
          stop);
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new InvalidMessageException("placed: not a placement");
    }
  }

  /** Reads a field that holds a task set in its stored form. */
  static TaskSet readTasks(ObjectNode map, String field) throws InvalidMessageException {
    try {
      return TaskSet.parse(FieldReader.text(map, field));
    } catch (IllegalArgumentException e) {
      throw new InvalidMessageException(field + ": not task ranges");
    }
  }

  /**
   * The stored form. It is a single text and not a map because a record holds up to hundreds of
   * placements, and every controller reads every record each time it changes. Spaces can separate
   * the parts because machine names contain none: reports with such a name are rejected.
   */
  String write() {
    return machine + ' ' + session + ' ' + attempt + ' ' + tasks + (stop ? STOP_SUFFIX : "");
  }

  public Placement withTasks(TaskSet remaining) {
    return new Placement(machine, session, attempt, remaining, stop);
  }
}
