package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;

/**
 * Tasks of a job that are recorded on a machine.
 *
 * @param job ID of the job
 * @param submittedMs when the job was submitted, according to its record
 * @param active whether the job is active; otherwise its tasks are being stopped
 * @param placement the placement that contains the tasks
 */
record AllocatedTasks(
    String job, JobSpec spec, long submittedMs, boolean active, Placement placement) {
  static AllocatedTasks of(JobRecord record, Placement placement) {
    JobSpec spec = record.spec();
    return new AllocatedTasks(spec.id(), spec, record.submittedMs(), record.active(), placement);
  }

  Priority priority() {
    return spec.priority();
  }

  int taskCount() {
    return placement.tasks().size();
  }

  /** Whether the tasks are being stopped, so that their resources will soon be free. */
  boolean isReleasing() {
    return placement.stop() || !active;
  }

  boolean isService() {
    return spec.kind() == JobKind.SERVICE;
  }

  /** The same tasks with another placement, after a part of them was stopped. */
  AllocatedTasks withPlacement(Placement rest) {
    return new AllocatedTasks(job, spec, submittedMs, active, rest);
  }
}
