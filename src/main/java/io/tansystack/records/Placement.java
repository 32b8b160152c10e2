package io.tansystack.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.TaskId;

/**
 * Tasks of a job that may exist on a machine in one of its sessions, all under one attempt number.
 * Recorded before the launch goes out and dropped only on proof. With {@code stop} set they are no
 * longer wanted: whoever owns the machine stops them and never launches them.
 */
public record Placement(String machine, long session, long attempt, TaskSet tasks, boolean stop) {
  private static final String STOP = " stop";

  /** Written out for the reason given in {@link TaskId}: a changed record is compared part by part. */
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

  /** Reads the written form: machine, session, attempt, tasks, and a last word where it is to stop. */
  static Placement read(JsonNode node) throws InvalidMessageException {
    String text = node.asText();
    try {
      int session = text.indexOf(' ');
      int attempt = text.indexOf(' ', session + 1);
      int tasks = text.indexOf(' ', attempt + 1);
      boolean stop = text.endsWith(STOP);
      return new Placement(
          text.substring(0, session),
          Long.parseLong(text, session + 1, attempt, 10),
          Long.parseLong(text, attempt + 1, tasks, 10),
          TaskSet.parse(text.substring(tasks + 1, text.length() - (stop ? STOP.length() : 0))),
          stop);
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new InvalidMessageException("placed: not a placement");
    }
  }

  static TaskSet tasks(ObjectNode map, String field) throws InvalidMessageException {
    try {
      return TaskSet.parse(FieldReader.text(map, field));
    } catch (IllegalArgumentException e) {
      throw new InvalidMessageException(field + ": not task ranges");
    }
  }

  /**
   * One text for each placement: a record holds up to hundreds, and every controller reads every
   * record at each change. Machine names have no spaces; reports with such a name are refused.
   */
  String write() {
    return machine + ' ' + session + ' ' + attempt + ' ' + tasks + (stop ? STOP : "");
  }

  public Placement withTasks(TaskSet left) {
    return new Placement(machine, session, attempt, left, stop);
  }
}
