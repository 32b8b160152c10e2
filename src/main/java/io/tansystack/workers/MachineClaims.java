package io.tansystack.workers;

import io.tansystack.cluster.ClusterState;
import io.tansystack.cluster.MachineRecord;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.recovery.OwnerLiveness.Verdict;
import io.tansystack.recovery.RecoveryContext;
import io.tansystack.store.RateBudget;
import io.tansystack.store.StoreClient.CommitCallback;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Report;
import io.tansystack.wire.Responses;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Claims of machines: whose worker comes is sent to its owner, or taken over if there is none. */
final class MachineClaims {
  private static final Logger log = LoggerFactory.getLogger(MachineClaims.class);
  private static final Duration CLAIM_WAIT = Duration.ofMillis(3500);

  /**
   * Who was sent to its owner and can't reach it is back within this: 4 s without an answer, and a second.
   * One that hears nobody goes round all controllers first, and a claim of it would only be followed by
   * the next one's.
   */
  private static final Duration SENT_BACK = Duration.ofSeconds(8);

  private static final double CLAIM_SHARE = 0.25;
  private static final int MAX_SENT_AWAY = 10_000;
  private static final long FIRST = 1;
  static final int COME_AGAIN_S = 1;

  /** Told of a worker whose claim has come true, to be answered as the owner's. */
  interface ClaimListener {
    void accept(MachineRecord record, Report report, Reply reply);
  }

  private record Claiming(Report report, Reply reply, Duration until) {}

  /** A claim under way, with who waits for it; {@code revision} is that of the write, 0 until it is done. */
  private static final class Open {
    final List<Claiming> waiting = new ArrayList<>();
    long revision;
  }

  private record SentAway(int times, Duration at) {}

  private final EventLoop loop;
  private final StoreClient store;
  private final ClusterState world;
  private final String label;
  private final String zone;
  private final Predicate<String> unfit;
  private final RecoveryContext recovery;
  private final Predicate<MachineRecord> usable;
  private final ClaimListener claimed;
  private final Map<String, Open> claims = new HashMap<>();
  private final ClaimBatcher lots;
  private final Map<String, SentAway> sentAway = new HashMap<>();

  /** Claims may use a part of the write limit only: after a crash every machine asks at once. */
  private final RateBudget claimPace;

  /**
   * @param unfit controllers to which no worker should be sent
   * @param recovery what to make of owners that don't act, and how their machines are handed over
   * @param usable whether a record is this controller's own and its worker may be answered under it
   */
  MachineClaims(
      EventLoop loop,
      StoreClient store,
      ClusterState world,
      String label,
      String boot,
      String zone,
      double writesPerSecond,
      Predicate<String> unfit,
      RecoveryContext recovery,
      Predicate<MachineRecord> usable,
      ClaimListener claimed) {
    this.loop = loop;
    this.store = store;
    this.world = world;
    this.label = label;
    this.zone = zone;
    this.unfit = unfit;
    this.recovery = recovery;
    this.usable = usable;
    this.claimed = claimed;
    this.lots = new ClaimBatcher(loop, store, boot);
    this.claimPace =
        new RateBudget(
            writesPerSecond * CLAIM_SHARE, Math.max(2, writesPerSecond * CLAIM_SHARE * 2), loop.now());
  }

  /**
   * Whether the worker's owner is awaited, or this controller's own copy, which is about to show under
   * which token the worker is to be answered: then it is asked to come again. The machines of one that
   * is late are handed over.
   */
  boolean awaits(MachineRecord record, Reply reply) {
    Verdict verdict = verdict(record);
    if (verdict == Verdict.LATE) {
      recovery
          .failoverCoordinator()
          .failOver(record, record.owner() + " is late and its workers come here");
    } else if (verdict != Verdict.AWAITED) {
      return false;
    }
    reply.send(503, Cbor.encode(Responses.error(record.owner() + " is awaited")), COME_AGAIN_S);
    return true;
  }

  private Verdict verdict(MachineRecord record) {
    return record.owner().equals(label)
        ? Verdict.AWAITED
        : recovery.ownerLiveness().verdict(record.owner());
  }

  /**
   * A worker that is not ours, and whose owner is not awaited: it is sent to its owner if that one lives
   * and is no worse for its zone, and claimed if there is none or if it keeps coming although it was
   * sent away.
   */
  void claimOrRedirect(MachineRecord record, Report report, Reply reply) {
    Duration now = loop.now();
    if (record == null && report.session() <= FIRST && world.isGoneMachine(report.machine())) {
      // A machine counts as gone once its session is over, so this is a late copy of what it said before.
      reply.send(503, Cbor.encode(Responses.error("the machine is gone")), COME_AGAIN_S);
      return;
    }
    boolean ownerLives = record != null && verdict(record) == Verdict.HERE;
    String to = null;
    if (ownerLives) {
      boolean ownerNear = inZone(record.owner(), report.zone());
      if (ownerNear || !zone.equals(report.zone())) {
        to = record.owner();
      }
    } else if (!zone.equals(report.zone())) {
      to = nearController(report.machine(), report.zone());
    }
    if (to != null) {
      SentAway before = sentAway.get(report.machine());
      boolean recent = before != null && now.minus(before.at).compareTo(SENT_BACK) < 0;
      int times = recent ? before.times + 1 : 1;
      if (times <= 2) {
        if (sentAway.size() >= MAX_SENT_AWAY) {
          sentAway.clear();
        }
        sentAway.put(report.machine(), new SentAway(times, now));
        reply.send(421, Cbor.encode(Responses.redirect(to)));
        return;
      }
    }
    inTurn(record, report, reply);
  }

  /** Claims the machine, if it is its turn, and answers the worker after that. */
  void inTurn(MachineRecord record, Report report, Reply reply) {
    boolean fresh = record == null && world.machineVersion(report.machine()) == 0;
    if (!fresh && !claims.containsKey(report.machine()) && !claimPace.take(1, true, loop.now())) {
      // Its former owner may be back before its turn comes, and then nobody need claim it.
      reply.send(503, Cbor.encode(Responses.error("too many machines to claim")));
      return;
    }
    sentAway.remove(report.machine());
    claim(record, fresh, report, reply);
  }

  private boolean inZone(String controller, String wanted) {
    ClusterState.ControllerRecord record = world.controllers().get(controller);
    return record != null && record.zone().equals(wanted);
  }

  /** A controller of the zone, by the machine's name: all machines at one of them would be its end. */
  private String nearController(String machine, String wanted) {
    List<String> near = new ArrayList<>();
    for (Map.Entry<String, ClusterState.ControllerRecord> entry : world.controllers().entrySet()) {
      if (entry.getValue().zone().equals(wanted)
          && !entry.getKey().equals(label)
          && !unfit.test(entry.getKey())) {
        near.add(entry.getKey());
      }
    }
    return near.isEmpty() ? null : near.get(Math.floorMod(machine.hashCode(), near.size()));
  }

  private void claim(MachineRecord before, boolean fresh, Report report, Reply reply) {
    String name = report.machine();
    Open open = claims.computeIfAbsent(name, k -> new Open());
    open.waiting.add(new Claiming(report, reply, loop.now().plus(CLAIM_WAIT)));
    if (open.waiting.size() > 1) {
      return;
    }
    MachineRecord next =
        new MachineRecord(
            name,
            label,
            report.address(),
            report.type(),
            report.zone(),
            report.spot(),
            before != null && before.drain(),
            0,
            false);
    CommitCallback then =
        (result, revision) -> {
          if (result != CommitResult.DONE) {
            dropClaims(name);
          } else {
            open.revision = revision;
            settle(name);
          }
        };
    if (!fresh) {
      write(before, next, "report of session " + report.session() + " token " + report.token(), then);
    } else if (!lots.claim(next, then)) {
      dropClaims(name);
    }
  }

  private void dropClaims(String name) {
    Open open = claims.remove(name);
    if (open != null) {
      open.waiting.forEach(
          c -> c.reply.send(503, Cbor.encode(Responses.error("the claim did not succeed"))));
    }
  }

  /** Claims a machine that is this controller's own once more: commands without an answer are void then. */
  void anew(OwnedMachine machine, MachineRecord record) {
    machine.claiming = true;
    write(
        record,
        record.ownedBy(label),
        "commands without an answer under token " + machine.doubtfulToken,
        (result, revision) -> {
          machine.claiming = false;
          if (result != CommitResult.DONE) {
            machine.quietUntil = loop.now().plusMillis(500);
          }
        });
  }

  /** Writes a new owner, on the condition that nobody else has. */
  void write(
      MachineRecord before, MachineRecord next, String why, CommitCallback then) {
    String key = ClusterState.machineKey(next.name());
    Condition unchanged =
        before == null
            ? new Condition(key, world.machineVersion(next.name())) // The mark of one that was gone.
            : before.condition();
    store.commitUrgent(
        List.of(unchanged),
        List.of(new Write(key, next.write(), 0)),
        Duration.ofSeconds(2),
        (result, revision) -> {
          if (result == CommitResult.DONE) {
            log.info(
                "claim machine={} token={} former={} because={}",
                next.name(),
                revision,
                before == null ? "none" : before.owner() + "@" + before.version(),
                why);
          } else {
            log.info("claim failed machine={} result={} because={}", next.name(), result, why);
          }
          then.done(result, revision);
        });
  }

  /** The records have changed: claims may have come true. */
  void worldChanged() {
    List.copyOf(claims.keySet()).forEach(this::settle);
  }

  /** Another's lot may have named the machine earlier: then this claim never comes true. */
  private void settle(String name) {
    Open open = claims.get(name);
    MachineRecord record = world.machine(name);
    if (open == null) {
      return;
    }
    if (usable.test(record)) {
      claims.remove(name);
      open.waiting.forEach(c -> claimed.accept(record, c.report, c.reply));
    } else if (open.revision > 0 && world.revision() >= open.revision) {
      dropClaims(name);
    }
  }

  /** Gives up on what has taken too long. */
  void tick(Duration now) {
    for (String name : List.copyOf(claims.keySet())) {
      List<Claiming> waiting = claims.get(name).waiting;
      if (!waiting.isEmpty() && now.compareTo(waiting.get(0).until) > 0) {
        dropClaims(name);
      }
    }
  }

  /** Finds a new owner for a machine whose owner has ended, if that one is late. */
  void adopt(MachineRecord orphan) {
    if (recovery.ownerLiveness().verdict(orphan.owner()) == Verdict.LATE) {
      recovery.failoverCoordinator().failOver(orphan, orphan.owner() + " is late and has machines");
    }
  }
}
