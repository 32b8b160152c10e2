package io.tansystack.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.sessions.IdleDecision.Step;
import io.tansystack.sessions.Keeper.Due;
import io.tansystack.sessions.Keeper.Session;
import io.tansystack.sessions.Keeper.Told;
import io.tansystack.sessions.SessionRecord.State;
import io.tansystack.settings.IdlePolicy;
import io.tansystack.settings.IdlePolicy.Activity;
import io.tansystack.settings.SessionSettings;
import io.tansystack.wire.Cbor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Sessions, their users and four controllers, second by second: controllers are killed, frozen and cut
 * from each other, their clocks differ, the holder changes. A session in use is never reclaimed, and an
 * idle one is in the end.
 */
class KeeperTest {
  private static final int CONTROLLERS = 4;
  private static final int SEEDS = 150;
  private static final int BEAT_S = 15;
  private static final int IDLE_S = 300;
  private static final int WARNING_S = 60;
  private static final int FAULTS_UNTIL_S = 2400;
  private static final int RECORD_ENDS_S = 8;
  private static final int END_S = 5000;
  private static final Duration SPAN = Duration.ofSeconds(WARNING_S / 2);

  private static IdlePolicy policy() throws Exception {
    String text =
        "[sessions]\nbeat_s = " + BEAT_S + "\nidle_s = " + IDLE_S + "\nidle_waiting_s = 120\n"
            + "warning_s = " + WARNING_S + "\ngrace_s = 20\n";
    return SessionSettings.parse(text).policy("c", "t", false);
  }

  private static final class Controller {
    int deadUntil = -1;
    int frozenUntil = -1;
    int cutUntil = -1;
    int actedAt;
    int offset;
    Beats beats;

    boolean up(int t) {
      return t >= deadUntil && t >= frozenUntil;
    }

    Duration now(int t) {
      return Duration.ofSeconds(offset + t);
    }
  }

  /** A session, and who uses it: until {@code busyUntil} they type, until {@code readsUntil} they read. */
  private static final class User {
    int busyUntil;
    int readsUntil;
    int at;
    int inputAt;
    int usedAt;
    int offeredAt;
    int doneAt = -1;
  }

  private final List<Controller> controllers = new ArrayList<>();
  private final Map<String, User> users = new TreeMap<>();
  private final Map<String, SessionRecord> records = new TreeMap<>();
  private final Map<String, Integer> versions = new HashMap<>();
  private ActivityMarks marks = ActivityMarks.none();
  private Random random;

  /** Seconds up to each at which a controller was, or had lately been, out of order; and holders so far. */
  private final int[] brokenS = new int[END_S];

  private final int[] holders = new int[END_S];
  private int brokenUntil;
  private int revision;
  private int holder = -1;
  private Keeper keeper;

  private void play(long seed) throws Exception {
    random = new Random(seed);
    IdlePolicy policy = policy();
    for (int c = 0; c < CONTROLLERS; c++) {
      Controller controller = new Controller();
      controller.offset = random.nextInt(100_000);
      controller.beats = new Beats(Duration.ofSeconds(BEAT_S), 100, controller.now(0));
      controllers.add(controller);
    }
    for (int i = 0; i < 10; i++) {
      User user = new User();
      user.busyUntil = random.nextInt(3000);
      user.readsUntil = user.busyUntil + (random.nextBoolean() ? random.nextInt(1500) : 0);
      user.at = random.nextInt(CONTROLLERS);
      users.put("wk-" + i, user);
      write(SessionRecord.opened("wk-" + i, "o", i, 0));
    }
    for (int t = 1; t < END_S; t++) {
      faults(t);
      brokenS[t] = brokenS[t - 1] + (t < brokenUntil ? 1 : 0);
      holders[t] = holders[t - 1];
      for (Map.Entry<String, User> entry : users.entrySet()) {
        use(entry.getKey(), entry.getValue(), t);
      }
      if (t % 2 == 0) {
        hold(t, policy, seed);
      }
    }
    for (Map.Entry<String, User> entry : users.entrySet()) {
      User user = entry.getValue();
      assertTrue(records.get(entry.getKey()).state().over(), "seed " + seed + " " + entry.getKey());
      // The clock stands still while something is broken; each change of holder may cost a warning.
      int stood = brokenS[user.doneAt] - brokenS[user.usedAt];
      int changed = holders[user.doneAt] - holders[user.usedAt];
      int due = user.usedAt + IDLE_S + WARNING_S + stood + changed * WARNING_S;
      assertTrue(
          user.doneAt <= due + BEAT_S + 10,
          "seed " + seed + " " + entry.getKey() + " done at " + user.doneAt + ", due " + due);
    }
  }

  private void write(SessionRecord record) {
    records.put(record.id(), record);
    versions.put(record.id(), ++revision);
  }

  private void faults(int t) {
    if (t >= FAULTS_UNTIL_S || random.nextInt(100) != 0) {
      return;
    }
    Controller victim = controllers.get(random.nextInt(CONTROLLERS));
    int fault = random.nextInt(3);
    // One that is cut off from the others still serves users; they may well stay there for long.
    int until = t + 1 + random.nextInt(fault == 2 ? 500 : 60);
    brokenUntil = Math.max(brokenUntil, until + RECORD_ENDS_S + BEAT_S);
    switch (fault) {
      case 0 -> victim.deadUntil = until;
      case 1 -> victim.frozenUntil = until;
      default -> victim.cutUntil = until;
    }
  }

  /** A user's client beats, and goes elsewhere where nobody answers; so does the session's own agent. */
  private void use(String id, User user, int t) {
    if (records.get(id).state().over()) {
      return;
    }
    if (t < user.busyUntil && random.nextInt(20) == 0) {
      user.inputAt = t;
      user.usedAt = t;
    }
    boolean watching = t < user.readsUntil || t < user.busyUntil;
    if (watching) {
      user.usedAt = t;
    }
    if (t % BEAT_S == id.hashCode() % BEAT_S) {
      Map<Activity, Duration> ages =
          user.inputAt == 0
              ? Map.of()
              : Map.of(Activity.INPUT, Duration.ofSeconds(t - user.inputAt));
      for (int tries = 0; tries < CONTROLLERS && !controllers.get(user.at).up(t); tries++) {
        user.at = (user.at + 1) % CONTROLLERS;
      }
      Controller controller = controllers.get(user.at);
      if (controller.up(t)) {
        assertTrue(controller.beats.heard(id, watching ? "w" : null, ages, controller.now(t)));
      }
    }
  }

  private boolean hasRecord(Controller controller, int t) {
    return t - controller.actedAt < RECORD_ENDS_S;
  }

  private void hold(int t, IdlePolicy policy, long seed) {
    for (Controller controller : controllers) {
      if (controller.up(t)) {
        if (t - controller.actedAt > 3) {
          boolean restarted = controller.deadUntil >= controller.actedAt;
          if (restarted) {
            controller.beats = new Beats(Duration.ofSeconds(BEAT_S), 100, controller.now(t));
          } else {
            controller.beats.listenAnew(controller.now(t));
          }
          if (holder == controllers.indexOf(controller)) {
            keeper = restarted ? null : keeper;
            if (keeper != null) {
              keeper.interrupted(controller.now(t));
            }
          }
        }
        controller.actedAt = t;
      }
    }
    if (holder >= 0 && !hasRecord(controllers.get(holder), t)) {
      holder = -1;
    }
    for (int c = 0; c < CONTROLLERS && holder < 0; c++) {
      if (controllers.get(c).up(t)) {
        holder = c;
        keeper = null;
      }
    }
    if (holder < 0 || !controllers.get(holder).up(t)) {
      return;
    }
    Controller at = controllers.get(holder);
    Duration now = at.now(t);
    if (keeper == null) {
      holders[t]++;
      keeper = new Keeper(Duration.ofSeconds(BEAT_S), SPAN, 30, marks, now);
    }
    records.forEach(
        (id, record) -> keeper.put(new Session(record, versions.get(id), policy)));
    Map<String, Told> told = new HashMap<>();
    Set<String> members = new TreeSet<>();
    for (int c = 0; c < CONTROLLERS; c++) {
      Controller controller = controllers.get(c);
      if (hasRecord(controller, t)) {
        members.add("c-" + c);
      }
      boolean cut = c != holder && (t < controller.cutUntil || t < at.cutUntil);
      if (controller.up(t) && !cut) {
        Digest digest =
            controller.beats.digest(keeper.window(now), id -> true, revision, controller.now(t));
        told.put("c-" + c, new Told(now, now.plusMillis(random.nextInt(900)), digest));
      }
    }
    keeper.round(told, members, now);
    Set<String> wanted = t % 1000 > 700 ? users.keySet() : Set.of();
    for (Due due : keeper.due(wanted)) {
      act(due, t, seed);
    }
    ActivityMarks next = keeper.nextMarks();
    if (next != null) {
      marks = next;
      keeper.written(next);
    }
  }

  private void act(Due due, int t, long seed) {
    String id = due.session().record().id();
    SessionRecord record = due.session().record();
    User user = users.get(id);
    if (due.decision().step() == Step.WARN) {
      user.offeredAt = t;
      write(record.warned(due.decision().reason()));
    } else if (due.decision().step() == Step.RESUME) {
      write(record.resumed());
    } else {
      String what = "seed " + seed + " " + id + " at " + t + ", last used at " + user.usedAt;
      assertTrue(t - user.usedAt >= 120, "in use: " + what);
      assertTrue(t - user.offeredAt >= WARNING_S, "warned too late: " + what);
      write(record.reclaiming());
      user.doneAt = t;
    }
  }

  @Test
  void noSessionInUseIsReclaimedAndEveryIdleOneIs() throws Exception {
    for (long seed = 1; seed <= SEEDS; seed++) {
      controllers.clear();
      users.clear();
      records.clear();
      versions.clear();
      marks = ActivityMarks.none();
      revision = 0;
      holder = -1;
      keeper = null;
      brokenUntil = 0;
      play(seed);
    }
  }

  @Test
  void aNewHolderGoesOnFromTheMarks() throws Exception {
    IdlePolicy policy = policy();
    Keeper first = new Keeper(Duration.ofSeconds(BEAT_S), SPAN, 30, ActivityMarks.none(), Duration.ZERO);
    SessionRecord record = SessionRecord.opened("wk-1", "o", 5, 0);
    first.put(new Session(record, 1, policy));
    Beats beats = new Beats(Duration.ofSeconds(BEAT_S), 10, Duration.ZERO);
    ActivityMarks written = ActivityMarks.none();
    for (int t = 2; t <= 200; t += 2) {
      Duration now = Duration.ofSeconds(t);
      if (t <= 20) {
        beats.heard("wk-1", null, Map.of(Activity.INPUT, Duration.ZERO), now);
      }
      Digest digest = beats.digest(first.window(now), id -> true, 1, now);
      first.round(Map.of("c-0", new Told(now, now, digest)), Set.of("c-0"), now);
      if (first.nextMarks() != null) {
        written = first.nextMarks();
        first.written(written);
      }
    }
    assertEquals(Duration.ofSeconds(180), first.idle("wk-1"));
    Keeper next = new Keeper(Duration.ofSeconds(BEAT_S), SPAN, 30, written, Duration.ofHours(7));
    next.put(new Session(record, 1, policy));
    Duration lost = first.idle("wk-1").minus(next.idle("wk-1"));
    assertFalse(lost.isNegative(), "never idle for longer than it was");
    assertTrue(lost.compareTo(SPAN.multipliedBy(2)) <= 0, "late by " + lost);
  }

  @Test
  void digestsKeepTheirWrittenFormAndMemoryIsBounded() throws Exception {
    Duration now = Duration.ofSeconds(100);
    Beats beats = new Beats(Duration.ofSeconds(BEAT_S), 2, Duration.ZERO);
    assertTrue(beats.attached("wk-1", "w", now));
    assertTrue(beats.heard("wk-2", null, Map.of(Activity.BUSY, Duration.ofSeconds(3)), now));
    assertFalse(beats.heard("wk-3", null, Map.of(), now), "no more than two are kept");
    Digest digest = beats.digest(Duration.ofSeconds(5), id -> true, 7, now.plusSeconds(1));
    assertEquals(digest, Digest.read(Cbor.decodeMap(Cbor.encode(digest.write()))));
    assertEquals(Duration.ofSeconds(1), digest.sessions().get("wk-1").returned());
    assertEquals(Duration.ofSeconds(4), digest.sessions().get("wk-2").ages().get(Activity.BUSY));
    assertEquals(Duration.ofSeconds(101), digest.keeps());
    Duration later = now.plus(Beats.KEPT).plusSeconds(1);
    assertEquals(Map.of(), beats.digest(Beats.KEPT, id -> true, 7, later).sessions());
    assertEquals(0, beats.size());
  }
}
