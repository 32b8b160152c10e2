package io.tansystack.sim;

import io.tansystack.emulator.EmulatedCloud;
import java.time.Duration;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;

/**
 * The faults of a simulated cluster, which tests switch on and off at any moment. Shares are
 * probabilities from 0 to 1.
 */
abstract class SimFaults {
  /** Whether the state service is down for all controllers. */
  boolean outage;

  /** The only controller that the state service refuses; -1 for none. */
  int refusedByStore = -1;

  /** Controllers whose traffic is dropped in both directions, without any error. */
  final Set<Integer> isolated = new HashSet<>();

  /** Whether connections between controllers are refused while all other connections work. */
  boolean refusePeerConnections;

  /** The controller that is cut off from the workers in both directions; -1 for none. */
  int cutOffFromWorkers = -1;

  /** The zone whose controllers and workers can only reach each other; null for none. */
  String partitionedZone;

  /** Workers whose reports are lost. */
  final Set<String> reportsBlocked = new HashSet<>();

  /** Workers whose reports arrive, but which receive neither the responses nor commands. */
  final Set<String> inboundBlocked = new HashSet<>();

  /** Share of reports of which a duplicate arrives 2 to 72 s later at any controller. */
  double duplicateReportShare;

  /** Controllers that reach users and workers, but not the state service or other controllers. */
  final Set<Integer> cutOffFromStoreAndPeers = new HashSet<>();

  /** By how long transactions that delete a machine's record are delayed. */
  Duration deletionDelay = Duration.ZERO;

  /** Whether a repeated deletion is refused, while the first request may still be in flight. */
  boolean refuseRepeatedDeletions;

  /** Transactions with deletions of machine records that have been requested so far. */
  final Set<String> requestedDeletions = new HashSet<>();

  /** Largest error of a controller's time of day in either direction, drawn at each start. */
  Duration maxClockError = Duration.ZERO;

  /** Share of executed requests whose response is unreadable or has a wrong status. */
  double invalidResponseShare;

  /** Share of launches that a machine refuses for lack of capacity although it has enough. */
  double launchRefusalShare;

  /** Sender of invalid responses: "store", "cloud", "workers", "peers", or "" for all. */
  String invalidResponseSource = "";

  /** Only responses to requests whose path has this prefix are invalid. */
  String invalidResponsePath = "";

  /** Which kind of invalid response is sent, 0 to 5; -1 for a random one each time. */
  int invalidResponseVariant = -1;

  /** Probability that a request is late, that a response is lost, and that a report is lost. */
  double exchangeFaultShare;

  /**
   * Share of transactions that get no response and are executed 2 to 12 s later, after newer ones.
   */
  double lateWriteShare;

  /** Share of transactions that are executed and visible at once, but whose response is lost. */
  double lostResponseShare;

  /** Only transactions on keys of this prefix are late, without response, or over the limit. */
  String faultyWritePrefix = "";

  /** Whether such transactions exceed the state service's limit: each gets status 429. */
  boolean writesOverLimit;

  /** Whether duplicate reports are held until the leader changes, and then sent to the new one. */
  boolean duplicatesToNextLeader;

  /** Share of rentals and deletions that get no response and are executed 5 to 60 s later. */
  double lateCloudCallShare;

  /** Share of rentals that are executed but whose response is lost. */
  double lostRentalShare;

  /** Kinds of requests for which the cloud's interface is down: it answers 503. */
  final Set<EmulatedCloud.RequestKind> cloudOutage = EnumSet.noneOf(EmulatedCloud.RequestKind.class);

  /** Zones in which the cloud has no machines available. */
  final Set<String> fullZones = new HashSet<>();

  /** For how long a new machine is missing from the cloud's list. */
  Duration listLag = Duration.ZERO;

  /** Largest delay of each request to the state service, and of each of its responses. */
  Duration maxStoreDelay = Duration.ZERO;

  /** Extra delay of responses to reads of single keys; other requests aren't delayed. */
  Duration readDelay = Duration.ZERO;

  /** Workers that receive no direct commands; their reports and the responses arrive. */
  final Set<String> commandsBlocked = new HashSet<>();

  /**
   * Share of commands, and of their responses, delayed by {@link #minCommandDelay} and up to {@link
   * #maxCommandDelay} more.
   */
  double delayedCommandShare;

  Duration minCommandDelay = Duration.ofMillis(2);
  Duration maxCommandDelay = Duration.ofSeconds(20);

  /**
   * Ends all faults; values that only qualify a fault, and the largest clock error, stay as set.
   */
  void clearFaults() {
    outage = false;
    refusedByStore = -1;
    isolated.clear();
    refusePeerConnections = false;
    cutOffFromWorkers = -1;
    partitionedZone = null;
    reportsBlocked.clear();
    inboundBlocked.clear();
    duplicateReportShare = 0;
    cutOffFromStoreAndPeers.clear();
    deletionDelay = Duration.ZERO;
    refuseRepeatedDeletions = false;
    exchangeFaultShare = 0;
    lateWriteShare = 0;
    lostResponseShare = 0;
    faultyWritePrefix = "";
    writesOverLimit = false;
    duplicatesToNextLeader = false;
    lostRentalShare = 0;
    lateCloudCallShare = 0;
    listLag = Duration.ZERO;
    fullZones.clear();
    cloudOutage.clear();
    maxStoreDelay = Duration.ZERO;
    readDelay = Duration.ZERO;
    commandsBlocked.clear();
    delayedCommandShare = 0;
    invalidResponseShare = 0;
    launchRefusalShare = 0;
  }
}
