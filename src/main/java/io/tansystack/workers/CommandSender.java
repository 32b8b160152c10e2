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
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands to workers. What a machine needs follows from the cluster state and its newest
 * report. Commands are sent by {@code /orders} only, one request at a time for each machine.
 */
final class CommandSender {
  private static final Logger log = LoggerFactory.getLogger(CommandSender.class);
  private static final Duration COMMANDS_TIMEOUT = Duration.ofSeconds(4);

  /** A stop command is sent again if the task still runs after this time. */
  private static final Duration STOP_RETRY_INTERVAL = Duration.ofSeconds(5);

  /** How long forget commands wait for other commands to the same machine. */
  static final Duration FORGET_DELAY = Duration.ofSeconds(6);

  /** This many forget commands are sent without waiting. */
  private static final int MIN_FORGET_BATCH = 40;

  private static final int MAX_COMMANDS = 300;

  /** Receives the report with which a worker responds to commands. */
  interface CommandReplyListener {
    void onReply(OwnedMachine machine, Report report);
  }

  private final ThrottledLogger invalidMessages = new ThrottledLogger(log);
  private final EventLoop loop;
  private final HttpClient httpClient;
  private final ClusterState clusterState;
  private final CommandReplyListener replyListener;
  private final Consumer<OwnedMachine> afterReply;
  private final CommandThrottle throttle;
  private final Map<Command.Op, Long> sentCount = new EnumMap<>(Command.Op.class);

  /**
   * @param throttle spreads the commands of a startup and decides when a machine gets its commands
   * @param afterReply called after a machine's response was handled, to reconcile it once more
   */
  CommandSender(
      EventLoop loop,
      HttpClient httpClient,
      ClusterState clusterState,
      CommandThrottle throttle,
      CommandReplyListener replyListener,
      Consumer<OwnedMachine> afterReply) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.clusterState = clusterState;
    this.throttle = throttle;
    this.replyListener = replyListener;
    this.afterReply = afterReply;
  }

  /** How many commands of the kind were sent. */
  long sentCount(Command.Op op) {
    return sentCount.getOrDefault(op, 0L);
  }

  /** Closes the idle connections to a machine that this controller does not command any more. */
  void release(OwnedMachine machine) {
    if (machine.address != null) {
      httpClient.release(machine.address);
    }
  }

  /** The differences between the machine's newest report and the cluster state. */
  Reconciliation reconciliation(OwnedMachine machine) {
    return Reconciliation.of(
        machine.latest.session(), machine.reportedTasks, clusterState.placedOn(machine.name));
  }

  /**
   * Unwanted attempts that are not on the machine and will not be started under this token: start
   * commands leave them out from the moment at which the record says that they are unwanted.
   */
  static List<MachineView.AbsentAttempt> absentAttempts(Reconciliation reconciliation) {
    List<MachineView.AbsentAttempt> attempts = new ArrayList<>();
    for (TaskAttempt a : reconciliation.absentAttempts()) {
      attempts.add(new MachineView.AbsentAttempt(a.task().job(), a.task().index(), a.number()));
    }
    return attempts;
  }

  /**
   * Sends the commands that the machine needs. Its newest report must show a token under which this
   * process owns it. Attempts that were started under the present token are forgotten under a
   * higher one, see {@link SentStarts}.
   *
   * @param claimToken the token of {@link ClusterState#token}
   */
  void sendCommands(OwnedMachine machine, Reconciliation needed, long claimToken, Duration now) {
    Predicate<Command> tooEarly = forget -> startedUnderToken(machine, claimToken, forget);
    if (needed.forgets().stream().anyMatch(tooEarly)) {
      machine.raiseToken(clusterState.revision());
    }
    Reconciliation reconciliation = needed.withoutForgets(tooEarly);
    machine.stopSentAt.keySet().retainAll(machine.reportedTasks.keySet());
    Reconciliation toSend =
        reconciliation.withoutStops(
            attempt -> {
              Duration stopSentAt = machine.stopSentAt.get(attempt);
              return stopSentAt != null && now.minus(stopSentAt).compareTo(STOP_RETRY_INTERVAL) < 0;
            });
    boolean forgetsOnly = toSend.stops().isEmpty() && toSend.starts().isEmpty();
    machine.nothingToSend =
        forgetsOnly && toSend.forgets().isEmpty() && reconciliation.stops().isEmpty();
    if (forgetsOnly
        && (toSend.forgets().isEmpty()
            || (toSend.forgets().size() < MIN_FORGET_BATCH
                && now.compareTo(machine.forgetsDueAt) < 0))) {
      return; // Where tasks end, others start soon: forget commands go with the start commands.
    }
    List<Command> commands = new ArrayList<>(toSend.stops());
    commands.addAll(toSend.starts());
    if (forgetsOnly || throttle.waitingMachines() == 0) {
      commands.addAll(toSend.forgets());
    }
    if (commands.size() > MAX_COMMANDS) {
      commands = commands.subList(0, MAX_COMMANDS);
    }
    if (throttle.admit(machine.name, toSend.urgency(), commands.size())) {
      toSend
          .stops()
          .forEach(
              stop -> machine.stopSentAt.put(new TaskAttempt(stop.task(), stop.attempt()), now));
      machine.forgetsDueAt = now.plus(FORGET_DELAY);
      send(machine, claimToken, machine.latest.session(), commands);
    }
  }

  private static boolean startedUnderToken(
      OwnedMachine machine, long claimToken, Command forget) {
    return machine.sentStarts.sentUnder(
        machine.token(claimToken), new TaskAttempt(forget.task(), forget.attempt()));
  }

  /**
   * Stops unwanted tasks on a machine that has not reported the token. No other command may be sent
   * before it has, since commands sent under an earlier token could still be executed. A stop
   * command is safe at any time.
   */
  void sendStops(OwnedMachine machine, long claimToken) {
    List<Command> stops = reconciliation(machine).stops().stream().limit(MAX_COMMANDS).toList();
    send(machine, claimToken, machine.latest.session(), stops);
  }

  private void send(
      OwnedMachine machine, long claimToken, long session, List<Command> commands) {
    long token = machine.token(claimToken);
    byte[] body = Command.encodeAll(token, session, commands);
    machine.commandsInFlight = true;
    machine.sentStarts.onSent(token, session, commands);
    commands.forEach(command -> sentCount.merge(command.op(), 1L, Long::sum));
    if (log.isDebugEnabled()) {
      for (Command c : commands) {
        log.debug(
            "{} task={} attempt={} machine={} session={} token={} shown={} copy={}",
            c.op(),
            c.task(),
            c.attempt(),
            machine.name,
            session,
            token,
            machine.latest.token(),
            clusterState.revision());
      }
    }
    httpClient.call(
        machine.address,
        "POST",
        "/orders",
        body,
        COMMANDS_TIMEOUT,
        new HttpClient.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {
            machine.commandsInFlight = false;
            machine.commandFailures = 0;
            try {
              if (status != 200 && status != 409) {
                throw new InvalidMessageException("status " + status);
              }
              Report report = Report.read(body);
              if (!report.machine().equals(machine.name)) {
                throw new InvalidMessageException("Berth: the report is about another machine");
              }
              replyListener.onReply(machine, report);
            } catch (InvalidMessageException e) {
              // It is unknown what became of the commands, and the newest report may be older than
              // they are: a task that it doesn't list would be taken for absent, although it has
              // just been started.
              invalidMessages.warn(
                  "machine=" + machine.name + " sent an invalid response to commands",
                  e.getMessage());
              machine.backOffUntil = loop.now().plusSeconds(1);
              machine.unconfirmedToken = claimToken;
            }
            if (status == 409) {
              machine.backOffUntil = loop.now().plusMillis(300);
            }
            afterReply.accept(machine);
          }

          @Override
          public void onNoResponse(boolean refused) {
            machine.commandsInFlight = false;
            machine.stopSentAt.clear();
            machine.commandFailures = Math.min(machine.commandFailures + 1, 4);
            machine.backOffUntil = loop.now().plusMillis(500L << machine.commandFailures);
            if (!refused) {
              // They may still be executed at any later time: only a higher token prevents that.
              machine.unconfirmedToken = claimToken;
              machine.onCommandsUnanswered(loop.now());
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
