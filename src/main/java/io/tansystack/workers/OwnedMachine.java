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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What the owner of a machine knows of it, and what it has under way to it. */
final class OwnedMachine {
  private static final int ENOUGH = 2;

  final String name;
  final MachineHistory history;
  Report latest;

  /** The newest report that came as such, as it came: the next one often differs in its number only. */
  private byte[] lastBody;

  /** The newest message that came as a report: one that is no newer is a copy, or was held up. */
  private Report heard;

  private ReportHeader lastHead;
  private Report lastRead;
  private byte[] answer;
  private long answerToken = -1;

  /** The newest report's lines by attempt, made once for each report. */
  Map<TaskAttempt, TaskReport> listed = Map.of();

  InetSocketAddress address;

  /** Receipt of the last report that was answered with 200, copies of earlier ones aside. */
  Duration answeredAt;

  /** Signs that our answers don't reach it, since it last showed that they do. */
  private int unheeded;

  /** When the first of them was seen. */
  private Duration doubtedSince;

  /** The token under which that was answered. */
  long answeredUnder = -1;

  private Duration formerOwnerUntil;

  /** Nothing is wanted of it as things stand, until it reports or something is recorded on it. */
  boolean settled;

  /** Forgetting alone is not worth a request of its own before this. */
  Duration forgetAt;

  /**
   * The record's version that its deletion names, while that may still be applied. The worker may
   * come back meanwhile, in its next session: it must have another record before anything starts
   * on it, or what starts would count as gone with the old one.
   */
  long goneVersion = -1;

  /** The revision of the record by which it is held. */
  private long heldSince;

  /** Whether its last report was refused since cancelled work on it can't be stopped. */
  boolean leftToItsLease;

  boolean ordersInFlight;
  long doubtfulToken = -1;
  boolean claiming;
  int failures;
  Duration quietUntil = Duration.ZERO;
  final Map<TaskAttempt, Duration> halted = new HashMap<>();
  MachineView published;
  Duration publishedAt = Duration.ZERO;

  /**
   * @param heldSince the revision of the record by which it is this controller's
   * @param formerUntil the latest moment at which a former owner can answer its worker
   */
  OwnedMachine(
      String name, MachineHistory history, Duration now, long heldSince, Duration formerUntil) {
    this.name = name;
    this.history = history;
    this.heldSince = heldSince;
    this.answeredAt = now;
    this.formerOwnerUntil = formerUntil;
    this.forgetAt = now.plus(CommandSender.FORGET_WAIT);
  }

  /**
   * It is held by the record of this revision. Where that has changed, somebody else may have held it in
   * between, unseen where both changes came at once, and have answered its worker.
   */
  void heldSince(long revision, Duration formerUntil) {
    if (heldSince != revision) {
      heldSince = revision;
      formerOwnerUntil = formerUntil;
    }
  }

  /**
   * The worker has shown this controller's token, in whatever message: from now on it drops the answers of
   * former owners. Until now it may have taken them, whoever answered it before.
   */
  void tokenShown(Duration now) {
    if (now.compareTo(formerOwnerUntil) < 0) {
      formerOwnerUntil = now;
    }
  }

  /** The latest moment at which a former owner can have answered a report of the worker. */
  Duration formerOwnerUntil() {
    return formerOwnerUntil;
  }

  /** The latest moment from which the worker's lease can count: an answer of this owner or a former one. */
  Duration lastAnswerAt() {
    return formerOwnerUntil.compareTo(answeredAt) > 0 ? formerOwnerUntil : answeredAt;
  }

  /** Reads a report; one that repeats the one before is known by its bytes. */
  Report read(ReportHeader head, byte[] body) throws InvalidMessageException {
    if (lastBody != null && head.sameRest(body, lastHead, lastBody)) {
      return lastRead.numbered(head.seq());
    }
    lastRead = Report.read(body);
    lastHead = head;
    lastBody = body;
    return lastRead;
  }

  /**
   * A report came and is answered under the token. The worker's lease counts from the sending of a report
   * that it had an answer to. A copy gets no answer to where it counts, and what it repeats was answered
   * when it came first, or given up by the worker before it sent the newer one: it renews nothing.
   *
   * <p>Reports may arrive while no answer reaches the worker. Then it doesn't show the token that it was
   * told, reports to others between two reports to us, or begins a new session though it was answered.
   */
  void answered(Report report, long token, Duration now) {
    if (heard != null && !report.newerThan(heard)) {
      return;
    }
    boolean heeds = true;
    if (heard != null && answeredUnder >= 0) {
      long elsewhere = report.seq() - Math.max(heard.seq(), latest.seq()) - 1;
      boolean again = report.session() > heard.session();
      boolean ignores = report.token() < answeredUnder;
      heeds = elsewhere <= 0 && !again && !ignores;
      // Sent back by one other controller it may have been; who hears is not sent to a second one.
      if (!heeds) {
        doubt(again || elsewhere > 1 ? ENOUGH : 1, now);
      }
    }
    if (heeds && report.token() == token) {
      unheeded = 0;
    }
    heard = report.without();
    answeredAt = now;
    answeredUnder = token;
  }

  /** Commands to it had no answer. */
  void ignoredCommands(Duration now) {
    doubt(1, now);
  }

  private void doubt(int signs, Duration now) {
    doubtedSince = unheeded == 0 ? now : doubtedSince;
    unheeded += signs;
  }

  /** The last moment at which it was heard and nothing said that it doesn't hear. */
  Duration soundAt() {
    return unhearing() ? doubtedSince : answeredAt;
  }

  /** Whether it is heard, and does not hear this controller. */
  boolean unhearing() {
    return unheeded >= ENOUGH;
  }

  /** What its reports are answered with under the token. */
  byte[] answer(long token) {
    if (answerToken != token) {
      answerToken = token;
      answer = Cbor.encode(Responses.report(token));
    }
    return answer;
  }

  /** Takes in a report that says something new. */
  void take(Report report) {
    latest = report;
    listed = new LinkedHashMap<>();
    for (TaskReport task : report.tasks()) {
      listed.put(new TaskAttempt(task.task(), task.attempt()), task);
    }
    settled = false;
  }
}
