package io.tansystack.jobs;

import io.tansystack.cluster.ClusterState.Job;
import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.SlotManager;
import io.tansystack.http.EventLoop;
import io.tansystack.records.JobRecord;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Names what somebody ought to look at, once each: work that makes no progress, work that no machine
 * can be had for, and deadlines about to be missed. Nobody need be awake to notice by chance.
 */
public final class JobHealthMonitor {
  private static final Logger log = LoggerFactory.getLogger(JobHealthMonitor.class);
  private static final Duration STUCK = Duration.ofSeconds(120);
  private static final Duration TURN = Duration.ofSeconds(5);

  private record Progress(int done, long attempt, int placed, Duration since) {}

  private final EventLoop loop;
  private final InstantSource clock;
  private final ClusterState world;
  private final SlotManager slots;
  private final Predicate<String> unmet;
  private final Map<String, Progress> progress = new HashMap<>();
  private final Set<String> warned = new HashSet<>();

  public JobHealthMonitor(
      EventLoop loop,
      InstantSource clock,
      ClusterState world,
      SlotManager slots,
      Predicate<String> unmet) {
    this.loop = loop;
    this.clock = clock;
    this.world = world;
    this.slots = slots;
    this.unmet = unmet;
  }

  public void start() {
    loop.after(
        TURN,
        () -> {
          start();
          look();
        });
  }

  private void look() {
    progress.keySet().retainAll(world.jobs().keySet());
    warned.removeIf(key -> world.job(key.substring(0, key.indexOf(' '))) == null);
    for (Job job : world.jobs().values()) {
      if (job.record().active() && slots.holds(job.slot())) {
        stuck(job);
        deadline(job);
      }
    }
  }

  private void stuck(Job job) {
    JobRecord record = job.record();
    JobSpec spec = record.spec();
    Duration now = loop.now();
    Progress last = progress.get(job.id());
    if (last == null
        || last.done != record.done().size()
        || last.attempt != record.attempt()
        || last.placed != record.placedCount()) {
      progress.put(
          job.id(),
          new Progress(record.done().size(), record.attempt(), record.placedCount(), now));
      return;
    }
    Duration still = now.minus(last.since);
    if (record.placedCount() == 0 && still.compareTo(STUCK.dividedBy(2)) > 0) {
      warn(
          job,
          unmet.test(job.id()) ? "no-machine" : "waiting",
          "nothing of it has been placed for " + still.toSeconds() + " s");
    }
    double expected = spec.estimateS() * 4 + STUCK.toSeconds();
    if (spec.shape() != JobKind.SERVICE
        && record.placedCount() > 0
        && still.toSeconds() > expected) {
      warn(job, "stuck", "no task has ended or started for " + still.toSeconds() + " s");
    }
  }

  private void deadline(Job job) {
    JobSpec spec = job.record().spec();
    if (spec.deadlineS() == null) {
      return;
    }
    double left = spec.deadlineS() - (clock.millis() - job.record().submittedMs()) / 1000.0;
    if (left < spec.estimateS() && job.record().done().size() < spec.tasks()) {
      warn(
          job,
          "deadline",
          String.format(
              "%.0f s left, %d of %d tasks done, a task takes about %.0f s",
              left, job.record().done().size(), spec.tasks(), spec.estimateS()));
    }
  }

  private void warn(Job job, String what, String text) {
    if (warned.add(job.id() + " " + what)) {
      JobSpec spec = job.record().spec();
      log.warn(
          "{} job={} class={} priority={}: {}",
          what,
          job.id(),
          spec.jobClass(),
          spec.priority(),
          text);
    }
  }
}
