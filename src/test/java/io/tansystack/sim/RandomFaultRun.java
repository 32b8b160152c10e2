package io.tansystack.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.settings.SettingsTest;
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
 * A day on which some troubles meet, played with users who submit, ask and cancel all the time. What
 * happens follows from a seed alone; a trouble can be left out without changing when the others come.
 */
final class RandomFaultRun extends SimCluster {
  private static final Duration CALM = Duration.ofSeconds(280);

  /** What may happen. */
  enum FaultKind {
    OUTAGE, REFUSED, SLOW_STORE, LATE_WRITES, APART, SILENT, DEAF, PEERS_REFUSE, FROZEN, ENDS, BLINKS, ALL_END,
    ONE_OF_ALL_BACK, UNHEARD, UNHEARING, HUNG, COPIES, HELD, LOSSES, DELETIONS_LATE, UNCOMMANDED,
    // From here on in wide days only: what later pages told of.
    ANSWERS_LOST, COPIES_FOR_NEXT, CANCEL_NOW, CANCEL_AT_END, ODD, CLOSE_LOOKS, QUICK_BOOTS, STREAM, LEADERS,
    ZONE_CUT, ROLLING, FEW_WRITES
  }

  /** Seeds above this draw from all troubles and jobs; those below draw what they always did. */
  static final long WIDE = 100_000;

  /** A trouble, from a moment on for a while, in milliseconds; {@code draw} chooses whom it strikes. */
  record Fault(FaultKind kind, int atMs, int lastsMs, int draw) {}

  private final long seed;
  private final List<Fault> troubles;
  private SimUsers users;
  private int jobs;

  private RandomFaultRun(long seed, List<Fault> troubles) {
    this.seed = seed;
    this.troubles = troubles;
  }

  /** Two to four troubles that overlap, end together, or follow each other by milliseconds. */
  static List<Fault> draw(long seed) {
    Random draws = new Random(seed);
    // Around the bounds of the settings: of a record, of validity, of a worker's lease, of a cancellation.
    int[] bounds = {300, 2500, 4500, 8000, 17_000, 18_000, 36_000, 43_000, 61_000};
    List<Fault> drawn = new ArrayList<>();
    int at = 1000 + draws.nextInt(4000);
    int end = at;
    for (int left = 2 + draws.nextInt(3); left > 0; left--) {
      int lasts = Math.max(50, bounds[draws.nextInt(bounds.length)] + draws.nextInt(1600) - 800);
      int from =
          switch (draws.nextInt(3)) {
            case 0 -> at + draws.nextInt(Math.max(1, end - at)); // While another lasts.
            case 1 -> Math.max(0, end - lasts); // Both end at once.
            default -> end + draws.nextInt(30) - 15; // Just after the other, or just before its end.
          };
      int kinds = seed > WIDE ? FaultKind.values().length : FaultKind.ANSWERS_LOST.ordinal();
      FaultKind kind = FaultKind.values()[draws.nextInt(kinds)];
      drawn.add(new Fault(kind, Math.max(0, from), lasts, draws.nextInt(1000)));
      end = Math.max(end, Math.max(0, from) + lasts);
    }
    return drawn;
  }

  /** Plays the seed's day with these of its troubles; tells which rules were broken. */
  static Set<String> play(long seed, List<Fault> troubles) throws Exception {
    return new RandomFaultRun(seed, troubles).play();
  }

  /** The shortest sequence found that still breaks a rule, by leaving out one trouble after the other. */
  static List<Fault> shortest(long seed, List<Fault> failing) throws Exception {
    List<Fault> left = new ArrayList<>(failing);
    for (Fault trouble : failing) {
      List<Fault> without = new ArrayList<>(left);
      without.remove(trouble);
      if (!play(seed, without).isEmpty()) {
        left = without;
      }
    }
    return left;
  }

  private Set<String> play() throws Exception {
    random = new Random(seed);
    boolean short18 = random.nextBoolean();
    settings =
        SettingsTest.VALID
            .replace("cpus_max = 40.0", "cpus_max = " + (random.nextBoolean() ? "30.0" : "0.0"))
            .replace("lease_s = 36.0", short18 ? "lease_s = 18.0" : "lease_s = 36.0")
            .replace("cancel_s = 61.0", short18 ? "cancel_s = 43.0" : "cancel_s = 61.0");
    zones = List.of("a", "b");
    controllerCount = 3 + random.nextInt(5);
    maxMachines = 10 + random.nextInt(10);
    run = Duration.ofSeconds(random.nextBoolean() ? 15 : 70);
    fetch = Duration.ofSeconds(random.nextInt(3) * 4L);
    if (seed > WIDE) {
      widen();
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
    int last = 0;
    for (Fault trouble : troubles) {
      loop.after(Duration.ofMillis(trouble.atMs), () -> begin(trouble));
      loop.after(Duration.ofMillis(trouble.atMs + trouble.lastsMs), () -> end(trouble));
      last = Math.max(last, trouble.atMs + trouble.lastsMs);
    }
    // Users go on as long as there is trouble, whichever of it is left out.
    for (int at = 0; at < last; at += 500 + random.nextInt(4000)) {
      loop.after(Duration.ofMillis(at), this::visit);
    }
    loop.runFor(Duration.ofMillis(last + 500));
    calm();
    for (int i = 0; i < controllerCount; i++) {
      bootIfAway(i);
    }
    loop.runFor(Duration.ofSeconds(13)); // What is still carried out late has come.
    users.calm();
    // Services run for ever and would keep their teams at their limits: what ends by itself is owed an end.
    users.jobs.forEach((id, told) -> {
      if (told.spec.kind() == JobKind.SERVICE && !told.asksToCancel) {
        users.cancel(id, SimUsers.ANY);
      }
    });
    loop.runFor(seed > WIDE ? CALM.dividedBy(2) : CALM);
    // A team may have far more work than its limit; whether others wait meanwhile is judged all the time.
    for (int i = 0;
        seed > WIDE && i < 30 && !users.jobs.values().stream().allMatch(UserJob::over);
        i++) {
      loop.runFor(Duration.ofSeconds(30));
    }
    users.closeLooks = false;
    users.cancelAtEnd = 0;
    Set<String> broken = new LinkedHashSet<>(users.judge().atTheEnd());
    users.jobs.forEach((id, told) -> {
      if (!told.over()) {
        broken.add("never over: " + id + " " + told.last);
      }
    });
    return broken;
  }

  /** Two teams with limits on CPUs and GPUs, machines of two types, controllers in both zones. */
  private void widen() {
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
    boolean spread = random.nextInt(5) == 0;
    boolean together = !spread && random.nextInt(4) == 0;
    JobKind shape = JobKind.values()[random.nextInt(10) == 0 ? 2 : random.nextInt(2)];
    int gpus = random.nextInt(6) == 0 ? 1 : 0;
    int tasks = 1 + (random.nextInt(12) == 0 ? 5 + random.nextInt(3) : random.nextInt(4));
    tasks = shape == JobKind.ARRAY ? tasks : Math.min(tasks, 2 + random.nextInt(2));
    return new JobSpec(
        String.format("wk-%06d", jobs++), "c" + random.nextInt(3), gpus == 0 && random.nextBoolean() ? "ops" : "vision",
        shape, Priority.values()[random.nextInt(Priority.values().length)], gpus > 0 ? Math.min(2, tasks) : tasks,
        1 + random.nextInt(2), gpus, 1, "img" + random.nextInt(3), 1,
        random.nextInt(5) == 0 ? List.of("large") : null,
        !spread && random.nextInt(5) == 0 ? "b" : null, together, spread, random.nextBoolean(),
        shape == JobKind.SERVICE ? 0 : 20, random.nextInt(2) * 5, 2,
        random.nextInt(3) == 0 ? 100.0 : null);
  }

  private void submit() {
    if (seed > WIDE) {
      users.submit(wideSpec(), SimUsers.ANY);
      return;
    }
    boolean spread = random.nextInt(4) == 0;
    boolean together = !spread && random.nextInt(4) == 0;
    String zone = !spread && random.nextInt(6) == 0 ? "b" : null;
    int tasks = 1 + random.nextInt(4);
    users.submit(
        new JobSpec(
            String.format("wk-%06d", jobs++), "c", "vision",
            random.nextInt(4) == 0 ? JobKind.GANG : JobKind.ARRAY,
            Priority.values()[random.nextInt(Priority.values().length)], tasks, 1, 0, 1,
            "img" + random.nextInt(3), 1, null, zone, together, spread, false, 20,
            random.nextInt(2) * 5, 2, null),
        SimUsers.ANY);
  }

  private void visit() {
    switch (random.nextInt(4)) {
      case 0 -> users.cancel(String.format("wk-%06d", random.nextInt(jobs)), SimUsers.ANY);
      case 1 -> users.askForNone("wk-999999");
      default -> submit();
    }
  }

  /** Within a fifth of a second; up to eight of the machines on which they run hang as long as told. */
  private void cancelNow(int count, Duration hang) {
    List<EmulatedWorker> hit = new ArrayList<>();
    for (EmulatedWorker worker : workers.values()) {
      for (String task : worker.liveTasks()) {
        UserJob told = users.jobs.get(task.substring(0, task.indexOf('/')));
        if (hit.size() < count && told != null && !told.asksToCancel && told.accepted != null) {
          hit.add(worker);
          loop.after(
              Duration.ofMillis(random.nextInt(200)),
              () -> users.cancel(told.spec.id(), SimUsers.ANY));
        }
      }
    }
    hit.subList(0, Math.min(8, hit.size())).forEach(worker -> worker.hangUntil(loop.now().plus(hang)));
  }

  /** Repetitions of what is under way, cancellations of what is done, and what fits no machine or lacks a field. */
  private void odd(Fault trouble, Duration until) {
    if (loop.now().compareTo(until) >= 0 || jobs == 0) {
      return;
    }
    UserJob told = users.jobs.get(String.format("wk-%06d", random.nextInt(jobs)));
    ObjectNode body = told.spec.write();
    switch (random.nextInt(4)) {
      case 0 -> users.repeat(told, SimUsers.ANY, Cbor.encode(body));
      case 1 -> users.repeat(told, SimUsers.ANY, Cbor.encode(body.put("Wagons", "many")));
      case 2 -> {
        if (told.done != null || told.asksToCancel) {
          users.cancelOnce(told, SimUsers.ANY);
        }
      }
      default -> {
        String id = "wk-8" + String.format("%05d", random.nextInt(100_000));
        body.put("Uid", id).put("Cpus", 64.0);
        users.submitImpossible(id, Cbor.encode(random.nextBoolean() ? body : body.without("Cargo")));
      }
    }
    loop.after(Duration.ofMillis(150 + trouble.draw), () -> odd(trouble, until));
  }

  /** One-task jobs, four a second, a quarter of them cancelled soon. */
  private void stream(int left) {
    if (left > 0) {
      String id = String.format("wk-%06d", jobs++);
      users.submit(spec(id, 1), SimUsers.ANY);
      if (random.nextInt(4) == 0) {
        loop.after(Duration.ofMillis(random.nextInt(9000)), () -> users.cancel(id, SimUsers.ANY));
      }
      loop.after(Duration.ofMillis(250), () -> stream(left - 1));
    }
  }

  private void killIfThere(int index) {
    if (controllers.containsKey(index)) {
      kill(index);
    }
  }

  /** The leader as often as another. */
  private int victim(Fault trouble) {
    return trouble.draw % 2 == 0 && store.value("ts/fleet") != null
        ? holder("ts/fleet")
        : trouble.draw % controllerCount;
  }

  private List<EmulatedWorker> some(Fault trouble) {
    List<EmulatedWorker> all = List.copyOf(workers.values());
    return all.subList(0, all.size() * (1 + trouble.draw % 3) / 3);
  }

  private void begin(Fault trouble) {
    int victim = victim(trouble);
    Duration lasts = Duration.ofMillis(trouble.lastsMs);
    switch (trouble.kind) {
      case OUTAGE -> outage = true;
      case REFUSED -> refused = victim;
      case SLOW_STORE -> storeSlow = Duration.ofMillis(200 + trouble.draw * 2);
      case LATE_WRITES -> lateWrites = 0.1 + trouble.draw % 5 * 0.15;
      case APART -> apart.add(victim);
      case SILENT -> silent.add(victim);
      case DEAF -> deafTo = victim;
      case PEERS_REFUSE -> peersRefuse = true;
      case FROZEN -> processes.get(victim).freeze(lasts);
      case ENDS -> {
        killIfThere(victim);
        loop.after(lasts, () -> bootIfAway(victim));
      }
      case BLINKS -> {
        for (int i = 0; i < 1 + trouble.draw % 4; i++) {
          loop.after(Duration.ofMillis(i * 1300L), () -> killIfThere(victim));
          loop.after(Duration.ofMillis(i * 1300L + 30 + trouble.draw % 800), () -> bootIfAway(victim));
        }
      }
      case ALL_END, ONE_OF_ALL_BACK -> {
        for (int i = 0; i < controllerCount; i++) {
          int index = i;
          boolean soon =
              trouble.kind == FaultKind.ONE_OF_ALL_BACK ? i == victim : trouble.draw % 2 == 0;
          killIfThere(i);
          loop.after(soon ? Duration.ofMillis(100 + 40L * i) : lasts.plusMillis(300L * i), () -> bootIfAway(index));
        }
      }
      case ANSWERS_LOST -> answersLost = 0.1 + trouble.draw % 5 * 0.15;
      case COPIES_FOR_NEXT -> {
        copies = 0.6;
        copiesForNext = true;
      }
      case CANCEL_NOW -> cancelNow(1 + trouble.draw % 8, lasts);
      case CANCEL_AT_END -> users.cancelAtEnd = 0.8;
      case ODD -> odd(trouble, loop.now().plus(lasts));
      case CLOSE_LOOKS -> users.closeLooks = true;
      case QUICK_BOOTS -> {
        boot = Duration.ofMillis(200 + trouble.draw % 1500);
        listLag = Duration.ofSeconds(trouble.draw % 12);
        rentalsUnanswered = trouble.draw % 2 * 0.5;
      }
      case STREAM -> stream(Math.min(trouble.lastsMs / 250, 160));
      case LEADERS -> {
        for (int i = 0; i < 10; i++) {
          loop.after(lasts.multipliedBy(i).dividedBy(10), () -> {
            int now = Math.max(0, leader());
            killIfThere(now);
            bootIn(now, Duration.ofMillis(100 + trouble.draw * 9L));
          });
        }
      }
      case ZONE_CUT -> cutZone = trouble.draw % 2 == 0 ? "a" : "b";
      case ROLLING -> {
        for (int i = 0; i < controllerCount; i++) {
          int index = i;
          loop.after(Duration.ofMillis(i * (1500L + trouble.draw * 4L)), () -> {
            killIfThere(index);
            bootIn(index, Duration.ofMillis(200 + trouble.draw * 3L));
          });
        }
      }
      case FEW_WRITES -> store.limits(store.limits().withWrites(15 + trouble.draw % 25));
      case UNHEARD -> some(trouble).forEach(worker -> unheard.add(worker.name()));
      case UNHEARING -> some(trouble).forEach(worker -> unhearing.add(worker.name()));
      case HUNG -> some(trouble).forEach(worker -> worker.hangUntil(loop.now().plus(lasts)));
      case COPIES -> copies = 0.6;
      case HELD -> {
        held = 0.4;
        heldFor = lasts;
      }
      case LOSSES -> this.trouble = 0.05;
      case DELETIONS_LATE -> deletionsLate = Duration.ofMillis(trouble.draw * 8);
      default -> some(trouble).forEach(worker -> uncommanded.add(worker.name()));
    }
  }

  private void end(Fault trouble) {
    switch (trouble.kind) {
      case ANSWERS_LOST -> answersLost = 0;
      case COPIES_FOR_NEXT -> copiesForNext = false;
      case CANCEL_AT_END -> users.cancelAtEnd = 0;
      case CLOSE_LOOKS -> users.closeLooks = false;
      case QUICK_BOOTS -> {
        rentalsUnanswered = 0;
        listLag = Duration.ZERO;
      }
      case ZONE_CUT -> cutZone = null;
      case FEW_WRITES -> store.limits(store.limits().withWrites(Double.MAX_VALUE));
      case OUTAGE -> outage = false;
      case REFUSED -> refused = -1;
      case SLOW_STORE -> storeSlow = Duration.ZERO;
      case LATE_WRITES -> lateWrites = 0;
      case APART -> apart.clear();
      case SILENT -> silent.clear();
      case DEAF -> deafTo = -1;
      case PEERS_REFUSE -> peersRefuse = false;
      case UNHEARD -> unheard.clear();
      case UNHEARING -> unhearing.clear();
      case COPIES -> copies = 0;
      case HELD -> held = 0;
      case LOSSES -> this.trouble = 0;
      case DELETIONS_LATE -> deletionsLate = Duration.ZERO;
      case UNCOMMANDED -> uncommanded.clear();
      default -> { }
    }
  }
}
