package io.tansystack.schedule;

import io.tansystack.wire.JobSpec;
import java.util.List;
import java.util.Objects;

/**
 * What a task asks of a machine. Jobs that ask the same are judged once in a pass, and what found no
 * room need not be tried again for a job that asks for more.
 */
record ResourceRequest(
    double cpus, double gpus, double memGb, List<String> types, String zone, boolean spotOk) {

  static ResourceRequest of(JobSpec spec) {
    return new ResourceRequest(
        spec.cpus(), spec.gpus(), spec.memGb(), spec.types(), spec.zone(), spec.spotOk());
  }

  // Written out: asks are keys that are looked up for every job, and generated ones cost several
  // times as much on the first compiler tier.

  @Override
  public boolean equals(Object other) {
    return other instanceof ResourceRequest ask
        && cpus == ask.cpus
        && gpus == ask.gpus
        && memGb == ask.memGb
        && spotOk == ask.spotOk
        && Objects.equals(types, ask.types)
        && Objects.equals(zone, ask.zone);
  }

  @Override
  public int hashCode() {
    return (Double.hashCode(cpus) * 31 + Double.hashCode(memGb)) * 31 + Double.hashCode(gpus);
  }

  /** Whether a machine of this kind is allowed. */
  boolean allows(String type, String inZone, boolean spot) {
    return (types == null || types.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spotOk || !spot);
  }

  /** Whether it fits only where CPUs are free. */
  boolean needsCpus() {
    return cpus > 2 * MachineCapacity.EPS;
  }

  /** Whether every machine that would do for this would do for the other too. */
  boolean asksNoLessThan(ResourceRequest other) {
    return cpus >= other.cpus
        && gpus >= other.gpus
        && memGb >= other.memGb
        && (other.types == null || other.types.equals(types))
        && (other.zone == null || other.zone.equals(zone))
        && (other.spotOk || !spotOk);
  }
}
