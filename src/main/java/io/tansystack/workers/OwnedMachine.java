package io.tansystack.workers;

import io.tansystack.recovery.TaskAttempt;
import io.tansystack.schedule.MachineHistory;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.Report;
import io.tansystack.wire.ReportHeader;
import io.tansystack.wire.Responses;
import io.tansystack.wire.TaskReport;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a machine's owner knows of it, and the commands and record writes in progress. */
final class OwnedMachine {
  /** From this number of signs on, responses are taken for lost. */
  private static final int MISSED_RESPONSES_LIMIT = 2;

  final String name;
  final MachineHistory history;

  /** The newest report, also from responses to commands; null before the first. */
  Report latest;

  /**
   * The body of the newest report that was not a response to commands. The next one often differs
   * from it only in its sequence number.
   */
  private byte[] lastBody;

  /**
   * The newest report that was not a response to commands. A later message that is no newer is a
   * copy, or was delayed.
   */
  private Report lastHeartbeat;

  private ReportHeader lastHeader;
  private Report lastParsed;
  private byte[] response;
  private long responseToken = -1;

  /** The tasks of the newest report by attempt, indexed once for each report. */
  Map<TaskAttempt, TaskReport> reportedTasks = Map.of();

  InetSocketAddress address;

  /** From when the worker's lease counts. */
  final WorkerLeaseStart leaseStart;

  /** Number of signs that responses don't reach the worker, since the last sign that they do. */
  private int missedResponses;

  /** When the first of these signs was seen. */
  private Duration missedResponsesSince;

  /** The token of the records when the last report was answered; -1 for none. */
  long answeredUnderToken = -1;

  /**
   * Whether the machine needs no commands until it reports something new or the records that
   * concern it change.
   */
  boolean nothingToSend;

  /** Before this moment, forget commands alone are not worth a request. */
  Duration forgetsDueAt;

  /**
   * The record version that a deletion has as its condition, while that deletion may still be
   * applied; -1 for none. The worker may come back meanwhile, in its next session: the machine must
   * have another record before any task starts on it, or the task would be taken for ended when the
   * old record is gone.
   */
  long deletionVersion = -1;

  /** The revision of the record that makes this controller the owner. */
  private long ownedSince;

  /** Whether its last report was refused because cancelled tasks on it can't be stopped. */
  boolean leftToExpire;

  boolean commandsInFlight;

  /**
   * The token of the records when commands got no response, which may still be executed; -1 for
   * none.
   */
  long unconfirmedToken = -1;

  /** The start commands that were sent under the newest token. */
  final SentStarts sentStarts = new SentStarts();

  /** The highest revision to which this controller has raised the token; -1 for none. */
  private long raisedToken = -1;

  /** Whether a claim or the deletion of its record is being written. */
  boolean recordWriteInFlight;

  /** Requests with commands that got no response, one after the other; counted up to 4. */
  int commandFailures;

  /** No commands are sent before this moment. */
  Duration backOffUntil = Duration.ZERO;

  /** When a stop command was last sent for an attempt. */
  final Map<TaskAttempt, Duration> stopSentAt = new HashMap<>();

  /** The last published view; null for none. */
  MachineView lastView;
  Duration publishedAt = Duration.ZERO;

  /**
   * @param ownedSince the revision of the record that makes this controller the owner
   * @param formerOwnerUntil the latest moment at which a former owner can answer its worker
   */
  OwnedMachine(
      String name,
      MachineHistory history,
      Duration now,
      long ownedSince,
      Duration formerOwnerUntil) {
    this.name = name;
    this.history = history;
    this.ownedSince = ownedSince;
    this.leaseStart = new WorkerLeaseStart(now, formerOwnerUntil);
    this.forgetsDueAt = now.plus(CommandSender.FORGET_DELAY);
  }

  /**
   * Updates the revision of the record that makes this controller the owner. If it has changed,
   * another controller may have owned the machine in between and answered its worker. This
   * controller has not seen that if both changes arrived at once.
   *
   * @param formerUntil the latest moment at which a former owner can answer the worker
   */
  void updateOwnedSince(long revision, Duration formerUntil) {
    if (ownedSince != revision) {
      ownedSince = revision;
      leaseStart.onFormerOwner(formerUntil);
    }
  }

  /**
   * Reads a report. One that repeats the report before it, but for the sequence number, is
   * recognized by its bytes and not decoded again.
   */
  Report read(ReportHeader header, byte[] body) throws InvalidMessageException {
    if (lastBody != null && header.equalsExceptSequence(body, lastHeader, lastBody)) {
      return lastParsed.withSequence(header.seq());
    }
    lastParsed = Report.read(body);
    lastHeader = header;
    lastBody = body;
    return lastParsed;
  }

  /**
   * Notes that a report has arrived and is answered under the token. The worker's lease counts from
   * when it sent a report that it got a response to. A copy of an earlier report renews nothing: no
   * request of the worker waits for the response to it, and the original was answered when it
   * arrived, or the worker had given up on it before it sent the newer report.
   *
   * <p>Reports may arrive while no response reaches the worker. Then it doesn't report the token
   * that it was given, it reports to other controllers between two reports to this one, or it
   * begins a new session although it was answered.
   */
  void onAnswered(Report report, long token, Duration now) {
    if (lastHeartbeat != null && !report.newerThan(lastHeartbeat)) {
      return;
    }
    boolean receivesResponses = true;
    if (lastHeartbeat != null && answeredUnderToken >= 0) {
      long reportsElsewhere = report.seq() - Math.max(lastHeartbeat.seq(), latest.seq()) - 1;
      boolean newSession = report.session() > lastHeartbeat.session();
      boolean reportsOldToken = report.token() < answeredUnderToken;
      receivesResponses = reportsElsewhere <= 0 && !newSession && !reportsOldToken;
      // A single report to another controller proves nothing: the worker may have been redirected
      // here again. A worker that receives responses is not redirected to a second controller.
      if (!receivesResponses) {
        countMissedResponses(newSession || reportsElsewhere > 1 ? MISSED_RESPONSES_LIMIT : 1, now);
      }
    }
    if (receivesResponses && report.token() >= token) {
      missedResponses = 0;
    }
    lastHeartbeat = report.withoutTasks();
    leaseStart.onAnswered(now);
    answeredUnderToken = token;
  }

  /** Notes that commands to the worker got no response. */
  void onCommandsUnanswered(Duration now) {
    countMissedResponses(1, now);
  }

  private void countMissedResponses(int count, Duration now) {
    missedResponsesSince = missedResponses == 0 ? now : missedResponsesSince;
    missedResponses += count;
  }

  /**
   * The last moment at which a report had arrived and nothing indicated that responses don't reach
   * the worker.
   */
  Duration lastHealthyAt() {
    return responsesLost() ? missedResponsesSince : leaseStart.answeredAt();
  }

  /** Whether reports of the worker arrive while responses and commands don't reach it. */
  boolean responsesLost() {
    return missedResponses >= MISSED_RESPONSES_LIMIT;
  }

  /**
   * Whether no report of the worker's newest session has been answered: the session is known only
   * from responses to commands or from refused reports, so nothing renews its lease.
   */
  boolean sessionUnanswered() {
    return latest != null
        && (lastHeartbeat == null || lastHeartbeat.session() < latest.session());
  }

  /** Whether new tasks should go elsewhere although messages of the worker arrive. */
  boolean unfitForTasks() {
    return responsesLost() || sessionUnanswered();
  }

  /** The encoded response to a report under the token. */
  byte[] response(long token) {
    if (responseToken != token) {
      responseToken = token;
      response = Cbor.encode(Responses.reportAccepted(token));
    }
    return response;
  }

  /**
   * The token under which the machine's worker is answered and commanded: that of its records, or
   * the revision to which this controller has raised it since.
   *
   * @param claimToken the token of {@link io.tansystack.cluster.ClusterState#token}
   */
  long token(long claimToken) {
    return Math.max(claimToken, raisedToken);
  }

  /**
   * Raises the token without a write. Another owner's token is the revision of a write that this
   * controller's cluster state doesn't show, hence higher than any revision that it shows.
   *
   * @param revision the revision of the cluster state, by which this controller owns the machine
   */
  void raiseToken(long revision) {
    raisedToken = Math.max(raisedToken, revision);
  }

  /**
   * Makes a report that contains something new the latest one.
   *
   * @param claimToken the token of {@link io.tansystack.cluster.ClusterState#token}, or a higher one
   *     than any if the machine has no record
   * @return attempts for which a start command was executed that this controller has not sent since
   *     the report before, although it was the owner then: a command of earlier has arrived again
   */
  List<TaskAttempt> apply(Report report, long claimToken) {
    boolean comparable =
        latest != null
            && latest.session() == report.session()
            && latest.token() >= claimToken
            && report.token() >= claimToken;
    List<TaskAttempt> startedByNobody = new ArrayList<>();
    Map<TaskAttempt, TaskReport> reported = new LinkedHashMap<>();
    for (TaskReport task : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
      reported.put(attempt, task);
      if (comparable
          && !reportedTasks.containsKey(attempt)
          && !sentStarts.sentUnder(token(claimToken), attempt)) {
        startedByNobody.add(attempt);
      }
    }
    latest = report;
    reportedTasks = reported;
    nothingToSend = false;
    return startedByNobody;
  }
}
