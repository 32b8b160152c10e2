package io.tansystack.sim;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** What goes wrong in a simulated cluster: tests switch it on and off at any moment. */
abstract class SimFaults {
  /** Whether the state service is away for everybody. */
  boolean outage;

  /** The controller that the state service alone refuses; -1 for none. */
  int refused = -1;

  /** Controllers that reach nobody and that nobody reaches, without any error; and those cut from peers. */
  final Set<Integer> silent = new HashSet<>();

  /** Whether connections between controllers are refused while all else works. */
  boolean peersRefuse;

  /** The controller cut off from the workers, both ways; -1 for none. */
  int deafTo = -1;

  /** The zone whose controllers and workers reach one another and nobody else; null for none. */
  String cutZone;

  /** Workers that no controller hears. */
  final Set<String> unheard = new HashSet<>();

  /** Workers whose reports arrive, while neither answers nor commands reach them. */
  final Set<String> unhearing = new HashSet<>();

  /** How often a copy of a report comes once more, seconds to minutes later, at any controller. */
  double copies;

  /** Controllers that have lost the state service and the other controllers, but not users and workers. */
  final Set<Integer> apart = new HashSet<>();

  /** For how long transactions that delete a machine's record are held up on their way. */
  Duration deletionsLate = Duration.ZERO;

  /** Whether a deletion that is asked for again is refused, while the first may still be under way. */
  boolean refuseRepeated;

  final Set<String> deletions = new HashSet<>();

  /** By how much the time of day of a controller may be wrong, either way; each start draws its own. */
  Duration clockOff = Duration.ZERO;

  /** How often an answer can't be read, or has a status that nobody knows, though the request was carried out. */
  double garbled;

  /** How often a machine refuses a launch for want of room, though there is some. */
  double launchesRefused;

  /** Whose answers: "store", "cloud", "workers", "peers", or "" for all. */
  String garbledBy = "";

  /** Only answers to requests to paths of this prefix; and in which of the ways, -1 for any. */
  String garbledPath = "";

  int garbledAs = -1;

  /** How often an exchange goes wrong. */
  double trouble;

  /** How often a transaction gets no answer and is carried out 2 to 12 s later, after newer ones. */
  double lateWrites;

  /** How often a transaction is carried out at once, while others read it, and only its answer is lost. */
  double answersLost;

  /** Only transactions that write to keys of this prefix are carried out late, unanswered, or over the limit. */
  String writeKind = "";

  /** Whether such transactions are over the state service's limit: answered 429, each time. */
  boolean overLimit;

  /** Copies of reports are kept until another controller has come to lead, and then all come to that one. */
  boolean copiesForNext;

  /** How often a rental is carried out and its answer lost. */
  double rentalsUnanswered;

  /** Zones in which the cloud has no machines left. */
  final Set<String> full = new HashSet<>();

  /** For how long new machines are missing from the cloud's list. */
  Duration listLag = Duration.ZERO;

  /** The longest time by which a request to the state service and its answer are held up each. */
  Duration storeSlow = Duration.ZERO;

  /** By how much longer answers to reads of single keys take, while all else is quick. */
  Duration slowReads = Duration.ZERO;

  /** Workers that no direct command reaches, while their reports and the answers to these do. */
  final Set<String> uncommanded = new HashSet<>();

  /** How often direct commands, and how often their answers, are held up for up to {@link #heldFor}. */
  double held;

  Duration heldFor = Duration.ofSeconds(20);

  /** All of it is over. */
  void calm() {
    outage = false;
    refused = -1;
    silent.clear();
    peersRefuse = false;
    deafTo = -1;
    cutZone = null;
    unheard.clear();
    unhearing.clear();
    copies = 0;
    apart.clear();
    deletionsLate = Duration.ZERO;
    refuseRepeated = false;
    trouble = 0;
    lateWrites = 0;
    answersLost = 0;
    writeKind = "";
    overLimit = false;
    copiesForNext = false;
    rentalsUnanswered = 0;
    listLag = Duration.ZERO;
    full.clear();
    storeSlow = Duration.ZERO;
    slowReads = Duration.ZERO;
    uncommanded.clear();
    held = 0;
    garbled = 0;
    launchesRefused = 0;
  }
}
