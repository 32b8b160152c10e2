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
 * Records that accept several jobs each. Such a job is accepted and never placed until it has an
 * individual record; among records that accept the same job the earliest applies, so that a
 * repeated submission never changes what was accepted first. A submission batch is obsolete once
 * each of its jobs has been placed, cancelled or finished under its individual key, which stays at
 * least as long as a batch names the job.
 */
final class SubmissionBatches {
  /**
   * A submission batch.
   *
   * @param openJobIds jobs that have not been placed, cancelled or finished individually yet
   */
  private record SubmissionBatch(long version, Set<String> jobIds, Set<String> openJobIds) {}

  private final Function<String, Job> jobs;
  private final Map<String, SubmissionBatch> batches = new TreeMap<>();
  private final ListMultimap<String, SubmissionBatch> openBatchesByJob = ArrayListMultimap.create();
  private final Multiset<String> batchCountByJob = HashMultiset.create();

  /** @param jobs returns the newest record of a job by its ID, or null if there is none */
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
   * Applies a change of a submission batch.
   *
   * @param value null if the batch was deleted
   * @param finished whether the job is known to have finished, with only its outcome left
   * @param replaceJob called for each job to which this batch's record now applies
   */
  void put(
      String name,
      ObjectNode value,
      long version,
      Function<String, Boolean> finished,
      BiConsumer<String, Job> replaceJob)
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
    SubmissionBatch batch = new SubmissionBatch(version, new HashSet<>(), new HashSet<>());
    batches.put(name, batch);
    for (JobRecord record : records) {
      String id = record.spec().id();
      batch.jobIds.add(id);
      batchCountByJob.add(id);
      Job known = jobs.apply(id);
      if (finished.apply(id) || (known != null && !known.record().neverPlaced())) {
        continue;
      }
      long earliestAcceptance = earliestAcceptance(id);
      batch.openJobIds.add(id);
      openBatchesByJob.put(id, batch);
      if (known == null || version < Math.min(earliestAcceptance, individualVersion(known))) {
        replaceJob.accept(
            id, new Job(record, known == null ? 0 : known.version(), ClusterState.slotOf(id)));
      }
    }
  }

  private static long individualVersion(Job job) {
    return job.version() == 0 ? Long.MAX_VALUE : job.version();
  }

  /**
   * The version of the earliest batch in which the job is open; {@link Long#MAX_VALUE} if there is
   * none.
   */
  private long earliestAcceptance(String id) {
    long earliest = Long.MAX_VALUE;
    for (SubmissionBatch batch : openBatchesByJob.get(id)) {
      earliest = Math.min(earliest, batch.version);
    }
    return earliest;
  }

  private void remove(String name) {
    SubmissionBatch batch = batches.remove(name);
    if (batch != null) {
      batch.openJobIds.forEach(id -> openBatchesByJob.remove(id, batch));
      batch.jobIds.forEach(batchCountByJob::remove);
    }
  }

  /**
   * The effective record for a changed individual record of a job. Two controllers may have
   * accepted different specs under one ID, one individually and the other in a batch. The earlier
   * one applies until a controller has acted on the job, and that controller has written the record
   * that applied.
   */
  JobRecord effectiveRecord(String id, JobRecord record, long version) {
    if (!record.neverPlaced()) {
      openBatchesByJob.removeAll(id).forEach(batch -> batch.openJobIds.remove(id));
      return record;
    }
    Job known = jobs.apply(id);
    return known != null && earliestAcceptance(id) < version ? known.record() : record;
  }

  /**
   * Whether a batch names the job, in whatever state the job is; its individual record has to stay
   * as long as that.
   */
  boolean references(String id) {
    return batchCountByJob.contains(id);
  }

  /** The versions of batches all of whose jobs have been acted on individually, by batch name. */
  Map<String, Long> obsolete() {
    Map<String, Long> obsolete = new TreeMap<>();
    batches.forEach(
        (name, batch) -> {
          if (batch.openJobIds.isEmpty()) {
            obsolete.put(name, batch.version);
          }
        });
    return obsolete;
  }
}
