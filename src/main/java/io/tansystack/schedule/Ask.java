package io.tansystack.schedule;

import io.tansystack.wire.JobSpec;
import java.util.List;

/**
 * What a task asks of a machine. Jobs that ask the same are judged once in a pass, and what found no
 * room need not be tried again for a job that asks for more.
 */
record Ask(
    double cpus, double gpus, double memGb, List<String> types, String zone, boolean spotOk) {

  static Ask of(JobSpec spec) {
    return new Ask(
        spec.cpus(), spec.gpus(), spec.memGb(), spec.types(), spec.zone(), spec.spotOk());
  }

  /** Whether every machine that would do for this would do for the other too. */
  boolean asksNoLessThan(Ask other) {
    return cpus >= other.cpus
        && gpus >= other.gpus
        && memGb >= other.memGb
        && (other.types == null || other.types.equals(types))
        && (other.zone == null || other.zone.equals(zone))
        && (other.spotOk || !spotOk);
  }
}
