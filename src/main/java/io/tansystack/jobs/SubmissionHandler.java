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

/** Accepts jobs, or says why not: what is malformed, known already, or can never run. */
final class SubmissionHandler {
  private static final Logger log = LoggerFactory.getLogger(SubmissionHandler.class);

  private final EventLoop loop;
  private final ClusterState world;
  private final PlatformSettings settings;
  private final InstantSource clock;
  private final Supplier<Collection<MachineType>> types;
  private final JobLookup lookup;
  private final SubmissionWriter intake;
  private final RecordSizeLimit limit;

  SubmissionHandler(
      EventLoop loop,
      ClusterState world,
      PlatformSettings settings,
      InstantSource clock,
      Supplier<Collection<MachineType>> types,
      JobLookup lookup,
      SubmissionWriter intake) {
    this.loop = loop;
    this.world = world;
    this.settings = settings;
    this.clock = clock;
    this.types = types;
    this.lookup = lookup;
    this.intake = intake;
    this.limit = new RecordSizeLimit(settings.store().valueBytes());
  }

  /** {@code POST /v1/jobs}. */
  void submit(byte[] body, TrackedReply once) {
    ObjectNode map;
    String id;
    try {
      map = Cbor.decodeMap(body);
      id = FieldReader.text(map, "Uid");
    } catch (InvalidMessageException e) {
      once.send(400, Responses.error(e.getMessage()));
      return;
    }
    if (!JobSpec.validId(id)) {
      once.send(400, Responses.error("Uid: not of the form wk-000412"));
      return;
    }
    if (world.finalPhase(id) != null) {
      once.send(200, Responses.job(id, world.finalPhase(id).state()));
      return;
    }
    JobSpec spec;
    try {
      spec = JobSpec.read(map);
    } catch (InvalidMessageException e) {
      answerKnown(id, 400, e.getMessage(), once);
      return;
    }
    if (world.job(id) != null) {
      answerKnown(id, 0, null, once);
      return;
    }
    Collection<MachineType> known = types.get();
    if (known.isEmpty()) {
      once.unsure("machine types are not known yet");
      return;
    }
    String impossible = impossible(spec, settings.team(spec.team()), known);
    if (impossible == null && spec.shape() != JobKind.ARRAY) {
      impossible = unholdable(spec, known);
    }
    if (impossible != null) {
      answerKnown(id, 422, impossible, once);
      return;
    }
    if (!limit.accepts(spec)) {
      answerKnown(id, 422, "the description is too long to be recorded", once);
      return;
    }
    intake.accept(
        JobRecord.created(spec, clock.millis()),
        result -> {
          switch (result) {
            case DONE -> {
              log.info(
                  "accepted job={} class={} shape={} priority={} tasks={}",
                  id,
                  spec.jobClass(),
                  spec.shape(),
                  spec.priority(),
                  spec.tasks());
              once.send(201, Responses.job(id, JobStatus.PENDING));
            }
            case CONFLICT -> answerKnown(id, 0, null, once);
            default -> once.unsure("the state service did not confirm");
          }
        });
  }

  /** Why the job can never run; null if it can. */
  private static String impossible(JobSpec spec, Team team, Collection<MachineType> types) {
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
    int atOnce = spec.sameZone() ? 1 : zones.size();
    if (spec.shape() == JobKind.GANG && (long) spec.zoneCap() * atOnce < spec.tasks()) {
      return "Scatter: its tasks run together or not at all, and may not all stand in one zone";
    }
    int together = spec.shape() == JobKind.ARRAY ? 1 : spec.tasks();
    if ((team.cpusMax() > 0 && spec.cpus() * together > team.cpusMax() + 1e-6)
        || (team.gpusMax() > 0 && spec.gpus() * together > team.gpusMax() + 1e-6)) {
      return "needs more than the team's limit";
    }
    return null;
  }

  /** Tasks that have to run at once must be recorded at once, and a record holds so many only. */
  private String unholdable(JobSpec spec, Collection<MachineType> types) {
    int most = 0;
    for (MachineType type : types) {
      most = Math.max(most, spec.allowsType(type.name()) ? type.capacityFor(spec) : 0);
    }
    int machines = (spec.tasks() + most - 1) / most;
    int held = limit.placedAtOnce(spec);
    if (spec.shape() == JobKind.GANG) {
      held = Math.min(held, settings.store().txnOps() * 2);
    }
    return machines <= held
        ? null
        : "needs at least " + machines + " machines at once; " + held + " can be recorded";
  }

  /** A job that was accepted once is answered for ever, whatever the body of a repetition holds. */
  private void answerKnown(String id, int statusIfUnknown, String why, TrackedReply once) {
    lookup.find(
        id,
        loop.now(),
        new LookupCallback() {
          @Override
          public void take(JobRecord record, long version) {
            once.send(200, Responses.job(id, record.state()));
          }

          @Override
          public void absent() {
            if (statusIfUnknown != 0) {
              once.send(statusIfUnknown, Responses.error(why));
            } else {
              once.unsure("try again");
            }
          }

          @Override
          public void unsure(String reason) {
            once.unsure(reason);
          }
        });
  }
}
