package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.schedule.Snapshot.MachineState;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.TaskReport;
import io.tansystack.workers.MachineView;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;

/** What a pass sees of a machine, from its record and from what its owner tells of it. */
final class MachineStateBuilder {
  private static final Duration PATIENCE = Duration.ofMillis(500);

  private final ClusterState world;
  private final Function<String, MachineView> views;
  private final Function<String, MachineType> types;
  private final long patienceMs;

  /** @param report how often workers report */
  MachineStateBuilder(
      ClusterState world,
      Function<String, MachineView> views,
      Function<String, MachineType> types,
      Duration report) {
    this.world = world;
    this.views = views;
    this.types = types;
    this.patienceMs = report.multipliedBy(5).dividedBy(2).plus(PATIENCE).toMillis();
  }

  /**
   * Null for a machine of a type that is not known.
   *
   * @param faulty whether work had better go elsewhere
   */
  MachineState of(MachineRecord record, boolean faulty) {
    MachineType type = types.apply(record.type());
    return type == null ? null : of(record, type, views.apply(record.name()), faulty);
  }

  private MachineState of(
      MachineRecord record, MachineType type, MachineView view, boolean faulty) {
    Set<String> coming = new HashSet<>();
    double queued = 0;
    if (view != null) {
      for (TaskReport task : view.report().tasks()) {
        if (task.state() == TaskReport.State.FETCHING) {
          Job job = world.job(task.task().job());
          JobSpec spec = job == null ? null : job.record().spec();
          if (spec != null && !view.images().containsKey(spec.image()) && coming.add(spec.image())) {
            queued += spec.imageGb();
          }
        }
      }
    }
    boolean open =
        view != null
            && !record.drain()
            && !faulty
            && world.alive(record.owner())
            && view.token() == world.token(record)
            && view.report().token() > 0 // Else a late copy of a report may be all there is of it.
            && view.report().noticeS() == null
            && !view.responsesLost()
            && view.silentMs() < patienceMs;
    return new MachineState(
        record.name(),
        type,
        record.zone(),
        record.spot(),
        view == null ? 0 : view.report().session(),
        open,
        record.drain(),
        view == null ? Set.of() : view.images().keySet(),
        coming,
        queued,
        view != null && view.fetchGbPerS() > 0 ? view.fetchGbPerS() : Math.max(0.01, type.fetchGbPerS()),
        view != null && view.slowness() > 0 ? view.slowness() : 1);
  }
}
