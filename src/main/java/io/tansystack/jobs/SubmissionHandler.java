package io.tansystack.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.jobs.JobLookup.LookupCallback;
import io.tansystack.records.JobRecord;
import io.tansystack.records.RecordSizeLimit;
import io.tansystack.settings.PlatformSettings.Team;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.Responses.JobStatus;
import io.tansystack.wire.Responses;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Validates and accepts submitted jobs. Rejects those that are malformed or can never run, and
 * answers repeated submissions with the state of the job.
 */
final class SubmissionHandler {
  private static final Logger log = LoggerFactory.getLogger(SubmissionHandler.class);

  private final EventLoop loop;
  private final ClusterState clusterState;
  private final PlatformSettings settings;
  private final InstantSource clock;
  private final Supplier<Collection<MachineType>> machineTypes;
  private final JobLookup lookup;
  private final SubmissionWriter submissionWriter;
  private final RecordSizeLimit sizeLimit;

  SubmissionHandler(
      EventLoop loop,
      ClusterState clusterState,
      PlatformSettings settings,
      InstantSource clock,
      Supplier<Collection<MachineType>> machineTypes,
      JobLookup lookup,
      SubmissionWriter submissionWriter) {
    this.loop = loop;
    this.clusterState = clusterState;
    this.settings = settings;
    this.clock = clock;
    this.machineTypes = machineTypes;
    this.lookup = lookup;
    this.submissionWriter = submissionWriter;
    this.sizeLimit = new RecordSizeLimit(settings.stateServiceLimits().maxValueBytes());
  }

  /** Serves {@code POST /v1/jobs}. */
  void submit(byte[] body, TrackedReply reply) {
    ObjectNode map;
    String id;
    try {
      map = Cbor.decodeMap(body);
      id = FieldReader.text(map, "Uid");
    } catch (InvalidMessageException e) {
      reply.send(400, Responses.error(e.getMessage()));
      return;
    }
    if (!JobSpec.isValidId(id)) {
      reply.send(400, Responses.error("Uid: not of the form wk-000412"));
      return;
    }
    if (clusterState.finalPhase(id) != null) {
      reply.send(200, Responses.jobStatus(id, clusterState.finalPhase(id).status()));
      return;
    }
    if (Cbor.isTooLong(map, body.length)) {
      answerIfKnown(id, 400, "body: longer than 64 KiB", reply);
      return;
    }
    JobSpec spec;
    try {
      spec = JobSpec.read(map);
    } catch (InvalidMessageException e) {
      answerIfKnown(id, 400, e.getMessage(), reply);
      return;
    }
    if (clusterState.job(id) != null) {
      answerIfKnown(id, 0, null, reply);
      return;
    }
    Collection<MachineType> knownTypes = machineTypes.get();
    if (knownTypes.isEmpty()) {
      reply.sendUnavailable("machine types are not known yet");
      return;
    }
    String reason = whyImpossible(spec, settings.team(spec.team()), knownTypes);
    if (reason == null && spec.kind() != JobKind.ARRAY) {
      reason = whyUnrecordable(spec, knownTypes);
    }
    if (reason != null) {
      answerIfKnown(id, 422, reason, reply);
      return;
    }
    if (!sizeLimit.accepts(spec)) {
      answerIfKnown(id, 422, "the description is too long to be recorded", reply);
      return;
    }
    submissionWriter.accept(
        JobRecord.created(spec, clock.millis()),
        result -> {
          switch (result) {
            case DONE -> {
              log.info(
                  "accepted job={} class={} shape={} priority={} tasks={}",
                  id,
                  spec.jobClass(),
                  spec.kind(),
                  spec.priority(),
                  spec.tasks());
              reply.send(201, Responses.jobStatus(id, JobStatus.PENDING));
            }
            case CONFLICT -> answerIfKnown(id, 0, null, reply);
            default -> reply.sendUnavailable("the state service did not confirm");
          }
        });
  }

  /** Returns why the job can never run; null if it can. */
  private static String whyImpossible(JobSpec spec, Team team, Collection<MachineType> types) {
    if (team == null) {
      return "Crew: unknown team";
    }
    Set<String> zones = new HashSet<>();
    for (MachineType type : types) {
      if (type.fits(spec) && spec.allowsType(type.name())) {
        zones.addAll(type.zones());
      }
    }
    if (spec.zone() != null) {
      zones.retainAll(Set.of(spec.zone()));
    }
    if (zones.isEmpty()) {
      return "a task fits no allowed machine type";
    }
    int usableZones = spec.sameZone() ? 1 : zones.size();
    if (spec.kind() == JobKind.GANG && (long) spec.maxTasksPerZone() * usableZones < spec.tasks()) {
      return "Scatter: a gang's tasks must run at the same time, but may not all be in one zone";
    }
    int concurrentTasks = spec.kind() == JobKind.ARRAY ? 1 : spec.tasks();
    if ((team.cpusMax() > 0 && spec.cpus() * concurrentTasks > team.cpusMax() + 1e-6)
        || (team.gpusMax() > 0 && spec.gpus() * concurrentTasks > team.gpusMax() + 1e-6)) {
      return "needs more than the team's limit";
    }
    return null;
  }

  /**
   * Returns why the placements of a gang or service can't be recorded; null if they can. Tasks that
   * must run at the same time must be recorded together, and a record's size is limited.
   */
  private String whyUnrecordable(JobSpec spec, Collection<MachineType> types) {
    int maxPerMachine = 0;
    for (MachineType type : types) {
      maxPerMachine =
          Math.max(maxPerMachine, spec.allowsType(type.name()) ? type.capacityFor(spec) : 0);
    }
    int machines = (spec.tasks() + maxPerMachine - 1) / maxPerMachine;
    int maxMachines = sizeLimit.maxPlacementsAfterRound(spec);
    if (spec.kind() == JobKind.GANG) {
      maxMachines = Math.min(maxMachines, settings.stateServiceLimits().maxTxnOps() * 2);
    }
    return machines <= maxMachines
        ? null
        : "needs at least "
            + machines
            + " machines at once; at most "
            + maxMachines
            + " can be recorded";
  }

  /**
   * Answers with the state of the job if it was accepted before, whatever the body of the repeated
   * submission contains. This holds for every job that was ever accepted.
   *
   * @param statusIfUnknown the status for a job that was not accepted; 0 if the job appeared to be
   *     known, in which case the user is asked to try again
   * @param error the message for that status
   */
  private void answerIfKnown(String id, int statusIfUnknown, String error, TrackedReply reply) {
    lookup.find(
        id,
        loop.now(),
        new LookupCallback() {
          @Override
          public void found(JobRecord record, long version) {
            reply.send(200, Responses.jobStatus(id, record.status()));
          }

          @Override
          public void absent() {
            if (statusIfUnknown != 0) {
              reply.send(statusIfUnknown, Responses.error(error));
            } else {
              reply.sendUnavailable("try again");
            }
          }

          @Override
          public void unavailable(String reason) {
            reply.sendUnavailable(reason);
          }
        });
  }
}
