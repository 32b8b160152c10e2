package io.tansystack.schedule;

import io.tansystack.wire.JobSpec;
import java.util.List;
import java.util.Objects;

/**
 * The resources that a task requests and the machines that it allows. Jobs with equal requests are
 * evaluated once in a pass, and a request that could not be satisfied need not be tried again for a
 * job that requests more.
 *
 * @param types allowed machine types; null allows all
 * @param zone required zone; null allows all
 * @param spotOk whether spot machines are allowed
 */
record ResourceRequest(
    double cpus, double gpus, double memGb, List<String> types, String zone, boolean spotOk) {

  static ResourceRequest of(JobSpec spec) {
    return new ResourceRequest(
        spec.cpus(), spec.gpus(), spec.memGb(), spec.types(), spec.zone(), spec.spotAllowed());
  }

  // Written by hand: requests are map keys that are looked up for every job, and the methods that
  // are generated for records cost several times as much on the JIT's first compilation tier.

  @Override
  public boolean equals(Object other) {
    return other instanceof ResourceRequest request
        && cpus == request.cpus
        && gpus == request.gpus
        && memGb == request.memGb
        && spotOk == request.spotOk
        && Objects.equals(types, request.types)
        && Objects.equals(zone, request.zone);
  }

  @Override
  public int hashCode() {
    return (Double.hashCode(cpus) * 31 + Double.hashCode(memGb)) * 31 + Double.hashCode(gpus);
  }

  /** Whether a machine of this type and zone, spot or on-demand, is allowed. */
  boolean allows(String type, String inZone, boolean spot) {
    return (types == null || types.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spotOk || !spot);
  }

  /** Whether the request can be satisfied only by a machine that has free CPUs. */
  boolean needsCpus() {
    return cpus > 2 * MachineCapacity.EPS;
  }

  /**
   * Whether this request is at least as demanding as the other: every machine that satisfies this
   * one satisfies the other too.
   */
  boolean isAtLeast(ResourceRequest other) {
    return cpus >= other.cpus
        && gpus >= other.gpus
        && memGb >= other.memGb
        && (other.types == null || other.types.equals(types))
        && (other.zone == null || other.zone.equals(zone))
        && (other.spotOk || !spotOk);
  }
}
