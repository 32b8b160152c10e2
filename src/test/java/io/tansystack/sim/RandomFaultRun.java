package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.emulator.EmulatedCloud.RequestKind;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.settings.SettingsTest;
import io.tansystack.sim.RandomFaults.Fault;
import io.tansystack.sim.RandomFaults.FaultKind;
import io.tansystack.sim.SimUsers.UserJob;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * A simulated run with several overlapping faults while users submit, poll and cancel all the time.
 * The seed alone determines it; a fault can be left out without changing the times of the others.
 */
final class RandomFaultRun extends SimCluster {
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(280);

  private final long seed;
  private final List<Fault> faults;
  private SimUsers users;
  private int jobCount;

  private RandomFaultRun(long seed, List<Fault> faults) {
    this.seed = seed;
    this.faults = faults;
  }

  /** Runs the seed with the given faults and returns the violations. */
  static Set<String> simulate(long seed, List<Fault> faults) throws Exception {
    return new RandomFaultRun(seed, faults).simulate();
  }

  /** Removes each fault without which a rule is still violated, and returns the remaining ones. */
  static List<Fault> minimize(long seed, List<Fault> failing) throws Exception {
    List<Fault> remaining = new ArrayList<>(failing);
    for (Fault fault : failing) {
      List<Fault> candidate = new ArrayList<>(remaining);
      candidate.remove(fault);
      if (!simulate(seed, candidate).isEmpty()) {
        remaining = candidate;
      }
    }
    return remaining;
  }

  private Set<String> simulate() throws Exception {
    random = new Random(seed);
    boolean shortLease = random.nextBoolean();
    settings =
        SettingsTest.VALID
            .replace("cpus_max = 40.0", "cpus_max = " + (random.nextBoolean() ? "30.0" : "0.0"))
            .replace("lease_s = 36.0", shortLease ? "lease_s = 18.0" : "lease_s = 36.0")
            .replace("cancel_s = 61.0", shortLease ? "cancel_s = 43.0" : "cancel_s = 61.0");
    zones = List.of("a", "b");
    controllerCount = 3 + random.nextInt(5);
    maxMachines = 10 + random.nextInt(10);
    taskRunTime = Duration.ofSeconds(random.nextBoolean() ? 15 : 70);
    imageFetchTime = Duration.ofSeconds(random.nextInt(3) * 4L);
    if (seed > RandomFaults.LAST_NARROW_SEED) {
      configureWide();
    }
    users = new SimUsers(this);
    for (int i = 0; i < controllerCount; i++) {
      boot(i);
    }
    loop.runFor(Duration.ofSeconds(12));
    for (int i = 0; i < 10; i++) {
      submit();
    }
    loop.runFor(Duration.ofSeconds(16));
    int lastEndMs = 0;
    for (Fault fault : faults) {
      loop.after(Duration.ofMillis(fault.startMs()), () -> beginFault(fault));
      loop.after(Duration.ofMillis(fault.startMs() + fault.durationMs()), () -> endFault(fault));
      lastEndMs = Math.max(lastEndMs, fault.startMs() + fault.durationMs());
    }
    // Users stay active until the last fault ends.
    for (int atMs = 0; atMs < lastEndMs; atMs += 500 + random.nextInt(4000)) {
      loop.after(Duration.ofMillis(atMs), this::userAction);
    }
    loop.runFor(Duration.ofMillis(lastEndMs + 500));
    clearFaults();
    for (int i = 0; i < controllerCount; i++) {
      bootIfDown(i);
    }
    loop.runFor(Duration.ofSeconds(13)); // Late writes (up to 12 s) have been executed.
    users.faultsOver();
    // Services never end and would keep their teams at their limits; only other jobs must finish.
    users.jobs.forEach((id, job) -> {
      if (job.spec.kind() == JobKind.SERVICE && !job.cancelRequested) {
        users.cancel(id, SimUsers.ANY);
      }
    });
    loop.runFor(seed > RandomFaults.LAST_NARROW_SEED ? RECOVERY_TIME.dividedBy(2) : RECOVERY_TIME);
    // A team may have far more work than its limit; starvation of others is checked all the time.
    for (int i = 0; seed > RandomFaults.LAST_NARROW_SEED && i < 30
        && !users.jobs.values().stream().allMatch(UserJob::isFinished); i++) {
      loop.runFor(Duration.ofSeconds(30));
    }
    users.queryAllOnChange = false;
    users.cancelAtEndShare = 0;
    Set<String> violations = new LinkedHashSet<>(users.checker().finalViolations());
    repeater.executedAgain.forEach(attempt -> violations.add("executed again: " + attempt));
    users.jobs.forEach((id, job) -> {
      if (!job.isFinished()) {
        violations.add("not finished: " + id + " " + job.lastState);
      }
    });
    return violations;
  }

  /** Configures two teams with limits, two machine types, and controllers in one zone or both. */
  private void configureWide() {
    settings =
        settings
            .replace("gpus_max = 8.0", "gpus_max = " + 2 * (2 + random.nextInt(3)) + ".0")
            .replace(
                "[cluster.workers]",
                "[[cluster.teams]]\nname = \"ops\"\ncpus_max = " + (8 + random.nextInt(20))
                    + ".0\ngpus_max = 0.0\n\n[cluster.workers]");
    types = List.of(new SimType("small", 4, 0, 16), new SimType("large", 8, 2, 32));
    controllersInAllZones = random.nextBoolean();
    boot = Duration.ofMillis(300 + random.nextInt(6000));
  }

  private JobSpec wideSpec() {
    boolean scatter = random.nextInt(5) == 0;
    boolean sameZone = !scatter && random.nextInt(4) == 0;
    JobKind kind = JobKind.values()[random.nextInt(10) == 0 ? 2 : random.nextInt(2)];
    int gpus = random.nextInt(6) == 0 ? 1 : 0;
    int tasks = 1 + (random.nextInt(12) == 0 ? 5 + random.nextInt(3) : random.nextInt(4));
    tasks = kind == JobKind.ARRAY ? tasks : Math.min(tasks, 2 + random.nextInt(2));
    return new JobSpec(
        String.format("wk-%06d", jobCount++), "c" + random.nextInt(3),
        gpus == 0 && random.nextBoolean() ? "ops" : "vision",
        kind, Priority.values()[random.nextInt(Priority.values().length)], gpus > 0 ? Math.min(2, tasks) : tasks,
        1 + random.nextInt(2), gpus, 1, "img" + random.nextInt(3), 1,
        random.nextInt(5) == 0 ? List.of("large") : null,
        !scatter && random.nextInt(5) == 0 ? "b" : null, sameZone, scatter, random.nextBoolean(),
        kind == JobKind.SERVICE ? 0 : 20, random.nextInt(2) * 5, 2,
        random.nextInt(3) == 0 ? 100.0 : null);
  }

  private void submit() {
    if (seed > RandomFaults.LAST_NARROW_SEED) {
      users.submit(wideSpec(), SimUsers.ANY);
      return;
    }
    boolean scatter = random.nextInt(4) == 0;
    boolean sameZone = !scatter && random.nextInt(4) == 0;
    String zone = !scatter && random.nextInt(6) == 0 ? "b" : null;
    int tasks = 1 + random.nextInt(4);
    users.submit(
        new JobSpec(
            String.format("wk-%06d", jobCount++), "c", "vision",
            random.nextInt(4) == 0 ? JobKind.GANG : JobKind.ARRAY,
            Priority.values()[random.nextInt(Priority.values().length)], tasks, 1, 0, 1,
            "img" + random.nextInt(3), 1, null, zone, sameZone, scatter, false, 20,
            random.nextInt(2) * 5, 2, null),
        SimUsers.ANY);
  }

  private void userAction() {
    switch (random.nextInt(4)) {
      case 0 -> users.cancel(String.format("wk-%06d", random.nextInt(jobCount)), SimUsers.ANY);
      case 1 -> users.pollUnknown("wk-999999");
      default -> submit();
    }
  }

  /** Cancels jobs of running tasks within 200 ms, and makes up to eight of their machines hang. */
  private void cancelNow(int maxTasks, Duration hang) {
    List<EmulatedWorker> affected = new ArrayList<>();
    for (EmulatedWorker worker : workers.values()) {
      for (String task : worker.liveTasks()) {
        UserJob job = users.jobs.get(task.substring(0, task.indexOf('/')));
        if (affected.size() < maxTasks && job != null && !job.cancelRequested && job.accepted != null) {
          affected.add(worker);
          loop.after(Duration.ofMillis(random.nextInt(200)),
              () -> users.cancel(job.spec.id(), SimUsers.ANY));
        }
      }
    }
    affected.subList(0, Math.min(8, affected.size())).forEach(worker -> worker.hangUntil(loop.now().plus(hang)));
  }

  /** Repeats submissions, cancels ended jobs, submits jobs that fit no machine or lack a field. */
  private void submitUnusualRequests(Fault fault, Duration until) {
    if (loop.now().compareTo(until) >= 0 || jobCount == 0) {
      return;
    }
    UserJob job = users.jobs.get(String.format("wk-%06d", random.nextInt(jobCount)));
    ObjectNode body = job.spec.write();
    switch (random.nextInt(4)) {
      case 0 -> users.resubmit(job, SimUsers.ANY, Cbor.encode(body));
      case 1 -> users.resubmit(job, SimUsers.ANY, Cbor.encode(body.put("Wagons", "many")));
      case 2 -> {
        if (job.done != null || job.cancelRequested) {
          users.cancelOnce(job, SimUsers.ANY);
        }
      }
      default -> {
        String id = "wk-8" + String.format("%05d", random.nextInt(100_000));
        body.put("Uid", id).put("Cpus", 64.0);
        users.submitInvalid(id, Cbor.encode(random.nextBoolean() ? body : body.without("Cargo")));
      }
    }
    loop.after(Duration.ofMillis(150 + fault.draw()), () -> submitUnusualRequests(fault, until));
  }

  /** Submits four one-task jobs per second and cancels a quarter of them within 9 s. */
  private void submitStream(int remaining) {
    if (remaining > 0) {
      String id = String.format("wk-%06d", jobCount++);
      users.submit(spec(id, 1), SimUsers.ANY);
      if (random.nextInt(4) == 0) {
        loop.after(Duration.ofMillis(random.nextInt(9000)), () -> users.cancel(id, SimUsers.ANY));
      }
      loop.after(Duration.ofMillis(250), () -> submitStream(remaining - 1));
    }
  }

  private void killIfRunning(int index) {
    if (controllers.containsKey(index)) {
      kill(index);
    }
  }

  /** Returns the controller that the fault hits: for half of the draws the leader, if any. */
  private int victim(Fault fault) {
    return fault.draw() % 2 == 0 && store.value("ts/fleet") != null
        ? holder("ts/fleet")
        : fault.draw() % controllerCount;
  }

  /** Restarts a machine in place one to three times while the fault lasts. */
  private void restartRepeatedly(EmulatedWorker worker, Fault fault) {
    for (int i = 0; i < 1 + fault.draw() % 3; i++) {
      loop.after(
          Duration.ofMillis(random.nextInt(fault.durationMs())),
          () -> restartInPlace(worker, Duration.ofMillis(100 + random.nextInt(1901))));
    }
  }

  private List<EmulatedWorker> affectedWorkers(Fault fault) {
    List<EmulatedWorker> all = List.copyOf(workers.values());
    return all.subList(0, all.size() * (1 + fault.draw() % 3) / 3);
  }

  private void beginFault(Fault fault) {
    int victim = victim(fault);
    Duration duration = Duration.ofMillis(fault.durationMs());
    switch (fault.kind()) {
      case OUTAGE -> outage = true;
      case REFUSED_BY_STORE -> refusedByStore = victim;
      case SLOW_STORE -> maxStoreDelay = Duration.ofMillis(200 + fault.draw() * 2);
      case LATE_WRITES -> lateWriteShare = 0.1 + fault.draw() % 5 * 0.15;
      case CUT_OFF_FROM_STORE_AND_PEERS -> cutOffFromStoreAndPeers.add(victim);
      case ISOLATED -> isolated.add(victim);
      case CUT_OFF_FROM_WORKERS -> cutOffFromWorkers = victim;
      case PEERS_REFUSE_CONNECTIONS -> refusePeerConnections = true;
      case PAUSED -> processes.get(victim).freeze(duration);
      case CRASHED -> {
        killIfRunning(victim);
        loop.after(duration, () -> bootIfDown(victim));
      }
      case REPEATED_RESTARTS -> {
        for (int i = 0; i < 1 + fault.draw() % 4; i++) {
          loop.after(Duration.ofMillis(i * 1300L), () -> killIfRunning(victim));
          loop.after(Duration.ofMillis(i * 1300L + 30 + fault.draw() % 800), () -> bootIfDown(victim));
        }
      }
      case ALL_CRASHED, ALL_CRASHED_ONE_BACK -> {
        for (int i = 0; i < controllerCount; i++) {
          int index = i;
          boolean quickRestart =
              fault.kind() == FaultKind.ALL_CRASHED_ONE_BACK ? i == victim : fault.draw() % 2 == 0;
          killIfRunning(i);
          loop.after(quickRestart ? Duration.ofMillis(100 + 40L * i) : duration.plusMillis(300L * i),
              () -> bootIfDown(index));
        }
      }
      case RESPONSES_LOST -> lostResponseShare = 0.1 + fault.draw() % 5 * 0.15;
      case DUPLICATES_TO_NEXT_LEADER -> {
        duplicateReportShare = 0.6;
        duplicatesToNextLeader = true;
      }
      case CANCEL_NOW -> cancelNow(1 + fault.draw() % 8, duration);
      case CANCEL_AT_END -> users.cancelAtEndShare = 0.8;
      case UNUSUAL_REQUESTS -> submitUnusualRequests(fault, loop.now().plus(duration));
      case QUERIES_ON_CHANGE -> users.queryAllOnChange = true;
      case QUICK_BOOTS -> {
        boot = Duration.ofMillis(200 + fault.draw() % 1500);
        listLag = Duration.ofSeconds(fault.draw() % 12);
        lostRentalShare = fault.draw() % 2 * 0.5;
      }
      case JOB_STREAM -> submitStream(Math.min(fault.durationMs() / 250, 160));
      case LEADER_CRASHES -> {
        for (int i = 0; i < 10; i++) {
          loop.after(duration.multipliedBy(i).dividedBy(10), () -> {
            int leader = Math.max(0, leader());
            killIfRunning(leader);
            bootAfter(leader, Duration.ofMillis(100 + fault.draw() * 9L));
          });
        }
      }
      case ZONE_PARTITION -> partitionedZone = fault.draw() % 2 == 0 ? "a" : "b";
      case ROLLING_RESTART -> {
        for (int i = 0; i < controllerCount; i++) {
          int index = i;
          loop.after(Duration.ofMillis(i * (1500L + fault.draw() * 4L)), () -> {
            killIfRunning(index);
            bootAfter(index, Duration.ofMillis(200 + fault.draw() * 3L));
          });
        }
      }
      case REQUESTS_REPEATED -> repeater.share = 0.2 + fault.draw() % 5 * 0.2;
      case MACHINES_RESTARTED ->
          affectedWorkers(fault).forEach(worker -> restartRepeatedly(worker, fault));
      case CLOUD_OUTAGE -> {
        List<RequestKind> kinds = List.of(RequestKind.values());
        cloudOutage.addAll(
            fault.draw() % 5 == 4 ? kinds : List.of(kinds.get(fault.draw() % kinds.size())));
      }
      case CLOUD_CALLS_LATE -> lateCloudCallShare = 0.3 + fault.draw() % 3 * 0.3;
      case WRITE_LIMIT -> store.limits(store.limits().withWrites(15 + fault.draw() % 25));
      case REPORTS_BLOCKED -> affectedWorkers(fault).forEach(worker -> reportsBlocked.add(worker.name()));
      case INBOUND_BLOCKED -> affectedWorkers(fault).forEach(worker -> inboundBlocked.add(worker.name()));
      case HUNG -> affectedWorkers(fault).forEach(worker -> worker.hangUntil(loop.now().plus(duration)));
      case DUPLICATE_REPORTS -> duplicateReportShare = 0.6;
      case COMMANDS_DELAYED -> {
        delayedCommandShare = 0.4;
        maxCommandDelay = duration;
      }
      case EXCHANGE_FAULTS -> this.exchangeFaultShare = 0.05;
      case DELETIONS_DELAYED -> deletionDelay = Duration.ofMillis(fault.draw() * 8);
      default -> affectedWorkers(fault).forEach(worker -> commandsBlocked.add(worker.name()));
    }
  }

  private void endFault(Fault fault) {
    switch (fault.kind()) {
      case RESPONSES_LOST -> lostResponseShare = 0;
      case REQUESTS_REPEATED -> repeater.share = 0;
      case DUPLICATES_TO_NEXT_LEADER -> duplicatesToNextLeader = false;
      case CANCEL_AT_END -> users.cancelAtEndShare = 0;
      case QUERIES_ON_CHANGE -> users.queryAllOnChange = false;
      case QUICK_BOOTS -> {
        lostRentalShare = 0;
        listLag = Duration.ZERO;
      }
      case ZONE_PARTITION -> partitionedZone = null;
      case WRITE_LIMIT -> store.limits(store.limits().withWrites(Double.MAX_VALUE));
      case CLOUD_OUTAGE -> cloudOutage.clear();
      case CLOUD_CALLS_LATE -> lateCloudCallShare = 0;
      case OUTAGE -> outage = false;
      case REFUSED_BY_STORE -> refusedByStore = -1;
      case SLOW_STORE -> maxStoreDelay = Duration.ZERO;
      case LATE_WRITES -> lateWriteShare = 0;
      case CUT_OFF_FROM_STORE_AND_PEERS -> cutOffFromStoreAndPeers.clear();
      case ISOLATED -> isolated.clear();
      case CUT_OFF_FROM_WORKERS -> cutOffFromWorkers = -1;
      case PEERS_REFUSE_CONNECTIONS -> refusePeerConnections = false;
      case REPORTS_BLOCKED -> reportsBlocked.clear();
      case INBOUND_BLOCKED -> inboundBlocked.clear();
      case DUPLICATE_REPORTS -> duplicateReportShare = 0;
      case COMMANDS_DELAYED -> delayedCommandShare = 0;
      case EXCHANGE_FAULTS -> this.exchangeFaultShare = 0;
      case DELETIONS_DELAYED -> deletionDelay = Duration.ZERO;
      case COMMANDS_BLOCKED -> commandsBlocked.clear();
      default -> { }
    }
  }
}
