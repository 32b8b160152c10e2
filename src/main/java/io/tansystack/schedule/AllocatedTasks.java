package io.tansystack.schedule;

import io.tansystack.records.JobRecord;
import io.tansystack.records.Placement;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;

/**
 * Tasks of a job that are recorded on a machine.
 *
 * @param submittedMs when the job was submitted, as its record says
 * @param active whether the job goes on; otherwise its tasks are about to leave
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

  int tasks() {
    return placement.tasks().size();
  }

  /** Whether they are being stopped, so that their room comes free soon. */
  boolean leaves() {
    return placement.stop() || !active;
  }

  boolean isService() {
    return spec.shape() == JobKind.SERVICE;
  }

  AllocatedTasks withPlacement(Placement rest) {
    return new AllocatedTasks(job, spec, submittedMs, active, rest);
  }
}
