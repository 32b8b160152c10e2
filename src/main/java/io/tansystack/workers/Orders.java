package io.tansystack.workers;

import io.tansystack.cluster.PlacementIndex.Placed;
import io.tansystack.cluster.World.Job;
import io.tansystack.cluster.World;
import io.tansystack.http.HttpCaller;
import io.tansystack.http.Loop;
import io.tansystack.records.Placement;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Command;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import io.tansystack.workers.OwnedMachine.Attempt;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commands to machines: what a machine lacks follows from the records and its newest report, and goes
 * out by {@code /orders} alone, one request at a time for each machine.
 */
final class Orders {
  private static final Logger log = LoggerFactory.getLogger(Orders.class);
  private static final Duration ORDERS_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration HALT_AGAIN = Duration.ofSeconds(5);
  private static final Duration FORGET_WAIT = Duration.ofSeconds(6);
  private static final int MANY_FORGETS = 40;
  private static final int MAX_COMMANDS = 300;

  /** Told of the report that answers commands. */
  interface Answered {
    void take(OwnedMachine machine, Report report);
  }

  private final Loop loop;
  private final HttpCaller caller;
  private final World world;
  private final Answered answered;
  private final Consumer<OwnedMachine> again;

  /** @param again asked to look at a machine once more, after its answer was taken in */
  Orders(
      Loop loop,
      HttpCaller caller,
      World world,
      Answered answered,
      Consumer<OwnedMachine> again) {
    this.loop = loop;
    this.caller = caller;
    this.world = world;
    this.answered = answered;
    this.again = again;
  }

  /** Sends what the machine lacks, whose newest report shows the token. */
  void tend(OwnedMachine machine, long token, Duration now) {
    Report latest = machine.latest;
    List<Command> commands = wanted(machine, latest, now);
    machine.settled = commands.isEmpty() && machine.halted.isEmpty();
    if (forgetsOnly(commands) && now.compareTo(machine.forgetAt) < 0) {
      return; // Where tasks end, others start soon: these go with the launches.
    }
    if (!commands.isEmpty()) {
      machine.forgetAt = now.plus(FORGET_WAIT);
      send(machine, token, latest.session(), commands);
    }
  }

  /**
   * Unwanted attempts that are recorded but not on the machine. They will not be launched under this
   * token: launches leave them out from the moment at which the record says that they are unwanted.
   */
  List<View.Void> voids(OwnedMachine machine, Report latest) {
    List<View.Void> voids = new ArrayList<>();
    for (Placed placed : world.placedOn(machine.name)) {
      Placement p = placed.placement();
      if ((!p.stop() && placed.job().record().active()) || p.session() != latest.session()) {
        continue;
      }
      String job = placed.job().id();
      p.tasks()
          .forEach(
              task -> {
                if (!machine.listed.containsKey(new Attempt(new TaskId(job, task), p.attempt()))) {
                  voids.add(new View.Void(job, task, p.attempt()));
                }
              });
    }
    return voids;
  }

  private List<Command> wanted(OwnedMachine machine, Report latest, Duration now) {
    List<Command> commands = new ArrayList<>();
    List<Command> halts = new ArrayList<>();
    Map<Attempt, TaskReport> listed = machine.listed;
    Map<Attempt, Placed> recorded = new LinkedHashMap<>();
    for (Placed placed : world.placedOn(machine.name)) {
      Placement p = placed.placement();
      String job = placed.job().id();
      p.tasks().forEach(t -> recorded.put(new Attempt(new TaskId(job, t), p.attempt()), placed));
    }
    machine.halted.keySet().retainAll(listed.keySet());
    for (Map.Entry<Attempt, TaskReport> entry : listed.entrySet()) {
      TaskReport task = entry.getValue();
      Placed placed = recorded.get(entry.getKey());
      Placement p = placed == null ? null : placed.placement();
      Job job = placed == null ? null : placed.job();
      if (task.exited()) {
        if (p == null) {
          // Its outcome is in the record, or nobody wants it: the report's line is no longer needed.
          commands.add(new Command(Command.Op.FORGET, task.task(), task.attempt(), 0));
        }
        continue;
      }
      if (p != null && !p.stop() && job.record().active()) {
        continue;
      }
      Duration haltedAt = machine.halted.get(entry.getKey());
      if (haltedAt != null && now.minus(haltedAt).compareTo(HALT_AGAIN) < 0) {
        continue;
      }
      boolean save =
          p != null && job.record().active() && job.record().spec().checkpointS() > 0;
      if (save && task.state() == TaskReport.State.SAVING) {
        continue;
      }
      double grace = save ? job.record().spec().saveS() * 2 + 2 : 0;
      machine.halted.put(entry.getKey(), now);
      halts.add(new Command(Command.Op.STOP, task.task(), task.attempt(), grace));
    }
    commands.addAll(halts);
    for (Map.Entry<Attempt, Placed> entry : recorded.entrySet()) {
      Placed placed = entry.getValue();
      Placement p = placed.placement();
      if (!listed.containsKey(entry.getKey())
          && !p.stop()
          && placed.job().record().active()
          && p.session() == latest.session()) {
        commands.add(new Command(Command.Op.START, entry.getKey().task(), p.attempt(), 0));
      }
    }
    return commands.size() > MAX_COMMANDS ? commands.subList(0, MAX_COMMANDS) : commands;
  }

  private static boolean forgetsOnly(List<Command> commands) {
    return !commands.isEmpty()
        && commands.size() < MANY_FORGETS
        && commands.stream().allMatch(c -> c.op() == Command.Op.FORGET);
  }

  private void send(OwnedMachine machine, long token, long session, List<Command> commands) {
    machine.ordersInFlight = true;
    if (log.isDebugEnabled()) {
      for (Command c : commands) {
        log.debug(
            "{} task={} attempt={} machine={} token={}",
            c.op(),
            c.task(),
            c.attempt(),
            machine.name,
            token);
      }
    }
    caller.call(
        machine.address,
        "POST",
        "/orders",
        Command.orders(token, session, commands),
        ORDERS_TIMEOUT,
        new HttpCaller.Outcome() {
          @Override
          public void answer(int status, byte[] body) {
            machine.ordersInFlight = false;
            machine.failures = 0;
            try {
              if (status == 200 || status == 409) {
                Report report = Report.read(body);
                if (report.machine().equals(machine.name)) {
                  answered.take(machine, report);
                }
              } else {
                log.warn("machine={} answered commands with {}", machine.name, status);
                machine.quietUntil = loop.now().plusSeconds(1);
              }
            } catch (BadInput e) {
              log.warn("machine={} sent an unreadable answer: {}", machine.name, e.getMessage());
              machine.doubtfulToken = token;
            }
            if (status == 409) {
              machine.quietUntil = loop.now().plusMillis(300);
            }
            again.accept(machine);
          }

          @Override
          public void silence(boolean refused) {
            machine.ordersInFlight = false;
            machine.halted.clear();
            machine.failures = Math.min(machine.failures + 1, 4);
            machine.quietUntil = loop.now().plusMillis(500L << machine.failures);
            if (!refused) {
              // They may still be carried out at any later time: only a higher token stops that.
              machine.doubtfulToken = token;
              log.info(
                  "no answer to {} commands machine={} token={}",
                  commands.size(),
                  machine.name,
                  token);
            }
          }
        });
  }
}
