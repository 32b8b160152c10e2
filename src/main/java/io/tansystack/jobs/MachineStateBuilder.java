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

/** Builds the state of a machine that a pass plans from, from its record and its owner's view. */
final class MachineStateBuilder {
  /** Added to two and a half report intervals; a machine silent for longer gets no new tasks. */
  private static final Duration SILENCE_MARGIN = Duration.ofMillis(500);

  private final ClusterState clusterState;
  private final Function<String, MachineView> views;
  private final Function<String, MachineType> machineTypes;
  private final long maxSilentMs;

  /** @param reportInterval how often workers report */
  MachineStateBuilder(
      ClusterState clusterState,
      Function<String, MachineView> views,
      Function<String, MachineType> machineTypes,
      Duration reportInterval) {
    this.clusterState = clusterState;
    this.views = views;
    this.machineTypes = machineTypes;
    this.maxSilentMs = reportInterval.multipliedBy(5).dividedBy(2).plus(SILENCE_MARGIN).toMillis();
  }

  /**
   * Returns the state of a machine; null if its type is not known.
   *
   * @param faulty whether tasks should be placed elsewhere
   */
  MachineState build(MachineRecord record, boolean faulty) {
    MachineType type = machineTypes.apply(record.type());
    return type == null ? null : build(record, type, views.apply(record.name()), faulty);
  }

  private MachineState build(
      MachineRecord record, MachineType type, MachineView view, boolean faulty) {
    Set<String> fetchingImages = new HashSet<>();
    double queuedGb = 0;
    if (view != null) {
      for (TaskReport task : view.report().tasks()) {
        if (task.state() == TaskReport.State.FETCHING) {
          Job job = clusterState.job(task.task().job());
          JobSpec spec = job == null ? null : job.record().spec();
          if (spec != null
              && !view.images().containsKey(spec.image())
              && fetchingImages.add(spec.image())) {
            queuedGb += spec.imageGb();
          }
        }
      }
    }
    boolean acceptsTasks =
        view != null
            && !record.drain()
            && !faulty
            && clusterState.alive(record.owner())
            && view.token() == clusterState.token(record)
            && view.report().token() > 0 // Else the only report may be a delayed copy.
            && view.report().reclaimNoticeS() == null
            && !view.unfitForTasks()
            && view.silentMs() < maxSilentMs;
    return new MachineState(
        record.name(),
        type,
        record.zone(),
        record.spot(),
        view == null ? 0 : view.report().session(),
        acceptsTasks,
        record.drain(),
        view == null ? Set.of() : view.images().keySet(),
        fetchingImages,
        queuedGb,
        view != null && view.fetchGbPerS() > 0
            ? view.fetchGbPerS()
            : Math.max(0.01, type.fetchGbPerS()),
        view != null && view.slowness() > 0 ? view.slowness() : 1);
  }
}
