package io.tansystack.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.Multiset;
import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.records.JobRecord;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Jobs that were accepted several in one record. Such a job counts as accepted and untouched until it
 * has a record of its own; among records that accept the same job the earliest counts, so that a
 * repeated submission never changes what was accepted first. The record that accepted it may go once
 * each of its jobs has been placed, cancelled or finished under its own key, which stays at least for as
 * long as an intake names the job.
 */
final class SubmissionBatches {
  private record Intake(long version, Set<String> named, Set<String> open) {}

  private final Function<String, Job> jobs;
  private final Map<String, Intake> intakes = new TreeMap<>();
  private final ListMultimap<String, Intake> byJob = ArrayListMultimap.create();
  private final Multiset<String> naming = HashMultiset.create();

  /** @param jobs the newest record of a job; null for none */
  SubmissionBatches(Function<String, Job> jobs) {
    this.jobs = jobs;
  }

  static ObjectNode write(Collection<JobRecord> records) {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("jobs");
    records.forEach(record -> list.add(record.write()));
    return map;
  }

  /**
   * Takes in an intake, or its removal ({@code value} null).
   *
   * @param over whether the job is known to be over, with no more than its outcome left
   * @param keep told of each job that counts as this record says
   */
  void put(
      String name,
      ObjectNode value,
      long version,
      Function<String, Boolean> over,
      BiConsumer<String, Job> keep)
      throws InvalidMessageException {
    if (value == null) {
      remove(name);
      return;
    }
    List<JobRecord> records = new ArrayList<>();
    for (JsonNode node : FieldReader.list(value, "jobs")) {
      records.add(JobRecord.read(FieldReader.map(node, "jobs")));
    }
    remove(name);
    Intake intake = new Intake(version, new HashSet<>(), new HashSet<>());
    intakes.put(name, intake);
    for (JobRecord record : records) {
      String id = record.spec().id();
      intake.named.add(id);
      naming.add(id);
      Job known = jobs.apply(id);
      if (over.apply(id) || (known != null && !known.record().untouched())) {
        continue;
      }
      long earliest = acceptedBy(id);
      intake.open.add(id);
      byJob.put(id, intake);
      if (known == null || version < Math.min(earliest, ownVersion(known))) {
        keep.accept(
            id, new Job(record, known == null ? 0 : known.version(), ClusterState.slotOf(id)));
      }
    }
  }

  private static long ownVersion(Job job) {
    return job.version() == 0 ? Long.MAX_VALUE : job.version();
  }

  /** The version of the intake that accepted the job first; the largest number if there is none. */
  private long acceptedBy(String id) {
    long earliest = Long.MAX_VALUE;
    for (Intake intake : byJob.get(id)) {
      earliest = Math.min(earliest, intake.version);
    }
    return earliest;
  }

  private void remove(String name) {
    Intake intake = intakes.remove(name);
    if (intake != null) {
      intake.open.forEach(id -> byJob.remove(id, intake));
      intake.named.forEach(naming::remove);
    }
  }

  /**
   * The job's own record as it counts: two controllers may have accepted different descriptions under
   * one id, one alone and the other among several. The earlier one stands until somebody has acted on
   * the record, and who does so has written what stood.
   */
  JobRecord own(String id, JobRecord record, long version) {
    if (!record.untouched()) {
      byJob.removeAll(id).forEach(intake -> intake.open.remove(id));
      return record;
    }
    Job known = jobs.apply(id);
    return known != null && acceptedBy(id) < version ? known.record() : record;
  }

  /** Whether an intake names the job, whatever has become of it: its own record has to stay for so long. */
  boolean names(String id) {
    return naming.contains(id);
  }

  /** Those of which every job has gone on under its own key, with their versions. */
  Map<String, Long> over() {
    Map<String, Long> over = new TreeMap<>();
    intakes.forEach(
        (name, intake) -> {
          if (intake.open.isEmpty()) {
            over.put(name, intake.version);
          }
        });
    return over;
  }
}
