package io.tansystack.workers;

import io.tansystack.cluster.ClusterState;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.recovery.CommandThrottle;
import io.tansystack.recovery.Reconciliation;
import io.tansystack.recovery.TaskAttempt;
import io.tansystack.wire.Command;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.Report;
import io.tansystack.wire.ThrottledLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commands to machines: what a machine lacks follows from the records and its newest report, and goes
 * out by {@code /orders} alone, one request at a time for each machine.
 */
final class CommandSender {
  private static final Logger log = LoggerFactory.getLogger(CommandSender.class);
  private static final Duration ORDERS_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration HALT_AGAIN = Duration.ofSeconds(5);
  static final Duration FORGET_WAIT = Duration.ofSeconds(6);
  private static final int MANY_FORGETS = 40;
  private static final int MAX_COMMANDS = 300;

  /** Told of the report that answers commands. */
  interface CommandReplyListener {
    void take(OwnedMachine machine, Report report);
  }

  private final ThrottledLogger malformed = new ThrottledLogger(log);
  private final EventLoop loop;
  private final HttpClient caller;
  private final ClusterState world;
  private final CommandReplyListener answered;
  private final Consumer<OwnedMachine> again;
  private final CommandThrottle pace;
  private final Map<Command.Op, Long> sent = new EnumMap<>(Command.Op.class);

  /**
   * @param pace tells when a machine's turn is
   * @param again asked to look at a machine once more, after its answer was taken in
   */
  CommandSender(
      EventLoop loop,
      HttpClient caller,
      ClusterState world,
      CommandThrottle pace,
      CommandReplyListener answered,
      Consumer<OwnedMachine> again) {
    this.loop = loop;
    this.caller = caller;
    this.world = world;
    this.pace = pace;
    this.answered = answered;
    this.again = again;
  }

  /** How many orders of the kind were sent. */
  long sent(Command.Op op) {
    return sent.getOrDefault(op, 0L);
  }

  /** What the machine's newest report and the records differ in. */
  Reconciliation difference(OwnedMachine machine) {
    return Reconciliation.of(machine.latest.session(), machine.listed, world.placedOn(machine.name));
  }

  /**
   * Attempts that will not be launched under this token: launches leave them out from the moment at
   * which the record says that they are unwanted.
   */
  static List<MachineView.AbsentAttempt> voids(Reconciliation difference) {
    List<MachineView.AbsentAttempt> voids = new ArrayList<>();
    for (TaskAttempt a : difference.absentAttempts()) {
      voids.add(new MachineView.AbsentAttempt(a.task().job(), a.task().index(), a.number()));
    }
    return voids;
  }

  /** Sends what the machine lacks, whose newest report shows the token. */
  void tend(OwnedMachine machine, Reconciliation difference, long token, Duration now) {
    machine.halted.keySet().retainAll(machine.listed.keySet());
    Reconciliation wanted =
        difference.withoutStops(
            attempt -> {
              Duration haltedAt = machine.halted.get(attempt);
              return haltedAt != null && now.minus(haltedAt).compareTo(HALT_AGAIN) < 0;
            });
    boolean forgetsOnly = wanted.stops().isEmpty() && wanted.starts().isEmpty();
    machine.settled =
        forgetsOnly && wanted.forgets().isEmpty() && difference.stops().isEmpty();
    if (forgetsOnly
        && (wanted.forgets().isEmpty()
            || (wanted.forgets().size() < MANY_FORGETS && now.compareTo(machine.forgetAt) < 0))) {
      return; // Where tasks end, others start soon: what is to be forgotten goes with the launches.
    }
    List<Command> commands = new ArrayList<>(wanted.stops());
    commands.addAll(wanted.starts());
    if (forgetsOnly || pace.waitingMachines() == 0) {
      commands.addAll(wanted.forgets());
    }
    if (commands.size() > MAX_COMMANDS) {
      commands = commands.subList(0, MAX_COMMANDS);
    }
    if (pace.admit(machine.name, wanted.urgency(), commands.size())) {
      wanted.stops().forEach(h -> machine.halted.put(new TaskAttempt(h.task(), h.attempt()), now));
      machine.forgetAt = now.plus(FORGET_WAIT);
      send(machine, token, machine.latest.session(), commands);
    }
  }

  /**
   * Stops what is unwanted on a machine that has not shown the token. Nothing else may be asked of it before
   * it has: what was sent under an earlier token could still be carried out. Stopping is right at any time.
   */
  void stop(OwnedMachine machine, long token) {
    List<Command> halts = difference(machine).stops().stream().limit(MAX_COMMANDS).toList();
    send(machine, token, machine.latest.session(), halts);
  }

  private void send(OwnedMachine machine, long token, long session, List<Command> commands) {
    machine.ordersInFlight = true;
    commands.forEach(command -> sent.merge(command.op(), 1L, Long::sum));
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
        new HttpClient.ResponseHandler() {
          @Override
          public void answer(int status, byte[] body) {
            machine.ordersInFlight = false;
            machine.failures = 0;
            try {
              if (status != 200 && status != 409) {
                throw new InvalidMessageException("status " + status);
              }
              Report report = Report.read(body);
              if (!report.machine().equals(machine.name)) {
                throw new InvalidMessageException("Berth: another machine's");
              }
              answered.take(machine, report);
            } catch (InvalidMessageException e) {
              // Nobody knows what became of the commands, and the newest report may be older than they are:
              // what it doesn't list would be taken for not there, though it has just been launched.
              malformed.tell("machine=" + machine.name + " answered commands", e.getMessage());
              machine.quietUntil = loop.now().plusSeconds(1);
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
              machine.ignoredCommands(loop.now());
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
