package io.tansystack.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.records.JobRecord;
import io.tansystack.store.Watcher;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.FieldReader;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.StoreProtocol.Change;
import io.tansystack.wire.StoreProtocol.Condition;
import io.tansystack.wire.StoreProtocol.Write;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's local cache of all records in the state service, as of one revision. All of them
 * are cached: owners of machines look up the tasks to start, and planners need all placements.
 */
public final class ClusterState implements Watcher.Listener {
  private static final Logger log = LoggerFactory.getLogger(ClusterState.class);

  /** Prefix of all keys of this service; the state service may have other users. */
  public static final String PREFIX = "ts/";

  /** Finished jobs have another prefix, or each startup would have to read every job ever run. */
  private static final String ARCHIVE_PREFIX = "ts-ended/";

  /** Number of hash slots, claimed one by one; 12 divide evenly among 2, 3, 4 or 6 controllers. */
  public static final int SLOTS = 12;

  /** A live controller's record. */
  public record ControllerRecord(String incarnation, String zone, long version) {}

  /** The controller that schedules a hash slot (a fixed partition of job IDs) or is autoscaler. */
  public record Holder(String label, String incarnation, long version) {}

  /** The recent requests to the cloud; read and written by the autoscaler only. */
  public record RentalJournal(ObjectNode value, long version) {}

  /** A job's record and the version of its individual key: 0 if only a submission batch has it. */
  public record Job(JobRecord record, long version, int slot) {
    public String id() {
      return record.spec().id();
    }

    /** Conditions that hold as long as the job's record has not been written since this version. */
    public List<Condition> unchanged() {
      return ClusterState.unchanged(id(), version);
    }
  }

  private final Map<String, ControllerRecord> controllers = new TreeMap<>();
  private final Holder[] slots = new Holder[SLOTS];

  /** Sorted, so that all controllers iterate in the same order; lookups use {@link #jobIndex}. */
  private final Map<String, Job> jobs = new TreeMap<>();
  private final Map<String, Job> jobIndex = new HashMap<>();
  private final MachineRegistry machines = new MachineRegistry();
  private final Map<String, Long> teams = new HashMap<>();
  private Holder autoscaler;
  private RentalJournal rentals;
  private ObjectNode machineTypes;
  private final FinishedJobs finishedJobs = new FinishedJobs();
  private final Map<String, Long> versions = new HashMap<>();
  private final PlacementIndex placements = new PlacementIndex(jobIndex::get);
  private final SubmissionBatches submissions = new SubmissionBatches(jobIndex::get);
  private Set<String> changedJobs = new HashSet<>();
  private Set<String> changedMachines = new HashSet<>();
  private Set<String> changedPlacements = new HashSet<>();
  private boolean controllersChanged;
  private long revision = -1;
  private final Consumer<ClusterStateDelta> listener;

  public ClusterState(Consumer<ClusterStateDelta> listener) {
    this.listener = listener;
  }

  public static int slotOf(String job) {
    // String.hashCode is fixed by the language, so every controller and version agrees.
    return Math.floorMod(job.hashCode() * 0x9E3779B1, SLOTS);
  }

  public static String jobKey(String job) {
    return PREFIX + "jobs/" + slotOf(job) + "/" + job;
  }

  /** The key under which a finished job is archived; it is read only to look up that job. */
  public static String archiveKey(String job) {
    return ARCHIVE_PREFIX + job;
  }

  /**
   * Conditions that hold while the job's individual record has this version or, for 0, while it has
   * never existed: before a delayed transaction arrives, the job may have run and been archived.
   */
  public static List<Condition> unchanged(String job, long version) {
    Condition condition = new Condition(jobKey(job), version);
    return version > 0 ? List.of(condition) : List.of(condition, new Condition(archiveKey(job), 0));
  }

  public static String submissionBatchKey(String name) {
    return PREFIX + "intake/" + name;
  }

  /** The value of a record that accepts several jobs at once. */
  public static ObjectNode submissionBatch(Collection<JobRecord> records) {
    return SubmissionBatches.write(records);
  }

  public static String claimBatchKey(String name) {
    return PREFIX + "lots/" + name;
  }

  /** The value of a record that claims several machines at once. */
  public static ObjectNode claimBatch(Collection<MachineRecord> records) {
    return MachineRegistry.claimBatch(records);
  }

  public static String machineKey(String machine) {
    return PREFIX + "machines/" + machine;
  }

  public static String controllerKey(String label) {
    return PREFIX + "controllers/" + label;
  }

  /** The key of the {@link FailoverRecord} for the machines that a controller claimed. */
  public static String failoverKey(String claimant) {
    return PREFIX + "heirs/" + claimant;
  }

  public static String slotKey(int slot) {
    return PREFIX + "slots/" + slot;
  }

  public static String teamKey(String team) {
    return PREFIX + "teams/" + team.replace(' ', '_');
  }

  /** The key of the holder of the autoscaler role. */
  public static final String FLEET_KEY = PREFIX + "fleet";
  public static final String RENTALS_KEY = PREFIX + "rentals";
  public static final String TYPES_KEY = PREFIX + "types";

  public static ObjectNode holder(String label, String incarnation) {
    return Cbor.map().put("label", label).put("boot", incarnation);
  }

  @Override
  public void snapshot(List<Change> pages, List<Change> since, long atRevision) {
    Set<String> seen = new HashSet<>();
    pages.forEach(change -> seen.add(change.key()));
    for (String key : List.copyOf(versions.keySet())) {
      if (!seen.contains(key)) {
        apply(new Change(key, null, Long.MAX_VALUE));
      }
    }
    pages.forEach(this::apply);
    since.forEach(this::apply);
    revision = Math.max(revision, atRevision);
    notifyListener();
  }

  @Override
  public void changes(List<Change> changes, long atRevision) {
    changes.forEach(this::apply);
    revision = Math.max(revision, atRevision);
    if (!changes.isEmpty()) {
      notifyListener();
    }
  }

  /** If the listener fails, the next notification contains these changes too. */
  private void notifyListener() {
    listener.accept(
        new ClusterStateDelta(changedJobs, changedMachines, changedPlacements, controllersChanged));
    changedJobs = new HashSet<>();
    changedMachines = new HashSet<>();
    changedPlacements = new HashSet<>();
    controllersChanged = false;
  }

  private void apply(Change change) {
    String key = change.key();
    if (!key.startsWith(PREFIX) || change.version() <= versions.getOrDefault(key, 0L)) {
      return;
    }
    Long previousVersion = versions.get(key);
    put(versions, key, change.value() == null ? null : change.version());
    try {
      applyTyped(key.substring(PREFIX.length()), change.value(), change.version());
    } catch (InvalidMessageException | NumberFormatException e) {
      log.error("ignoring unreadable record {}: {}", key, e.getMessage());
    } catch (RuntimeException e) {
      put(versions, key, previousVersion); // So that the record is applied when it is read again.
      throw e;
    }
  }

  private void applyTyped(String key, ObjectNode value, long version)
      throws InvalidMessageException {
    int slash = key.indexOf('/');
    String kind = slash < 0 ? key : key.substring(0, slash);
    String name = key.substring(slash + 1);
    switch (kind) {
      case "controllers" -> {
        put(
            controllers,
            name,
            value == null
                ? null
                : new ControllerRecord(
                    FieldReader.text(value, "boot"), FieldReader.text(value, "zone"), version));
        controllersChanged = true;
      }
      case "slots" -> {
        int slot = Integer.parseInt(name);
        if (slot >= 0 && slot < SLOTS) {
          slots[slot] = readHolder(value, version);
        }
      }
      case "fleet" -> autoscaler = readHolder(value, version);
      case "rentals" -> rentals = value == null ? null : new RentalJournal(value, version);
      case "types" -> machineTypes = value;
      case "teams" -> put(teams, key.substring(slash + 1), value == null ? null : version);
      case "heirs" -> machines.putFailover(name, value, version, changedMachines);
      case "lots" -> machines.putClaimBatch(name, value, version, changedMachines);
      case "machines" -> machines.putIndividual(name, value, version, changedMachines);
      case "intake" ->
          submissions.put(
              name, value, version, id -> finishedJobs.phase(id) != null, this::replaceJob);
      case "jobs" -> {
        String id = name.substring(name.indexOf('/') + 1);
        if (value == null) {
          finishedJobs.recordArchived(id);
          replaceJob(id, null);
          return;
        }
        Job previous = jobIndex.get(id);
        // A spec read from an individual record is final; one from a batch may still be replaced.
        boolean reuseSpec = previous != null && previous.version() > 0;
        JobRecord record =
            submissions.effectiveRecord(
                id, JobRecord.read(value, reuseSpec ? previous.record().spec() : null), version);
        if (!record.active()) {
          finishedJobs.recordFinished(id, record, version);
        }
        replaceJob(id, record.spec() == null ? null : new Job(record, version, slotOf(id)));
      }
      default -> log.debug("unknown record {}", key);
    }
  }

  private static Holder readHolder(ObjectNode value, long version) throws InvalidMessageException {
    return value == null
        ? null
        : new Holder(FieldReader.text(value, "label"), FieldReader.text(value, "boot"), version);
  }

  private static <V> void put(Map<String, V> map, String key, V value) {
    map.compute(key, (k, old) -> value); // A null value removes the entry.
  }

  /** Replaces a job's record (null removes it) and its entries in the placement index. */
  private void replaceJob(String id, Job job) {
    Job old = jobIndex.get(id);
    put(jobs, id, job);
    put(jobIndex, id, job);
    changedJobs.add(id);
    placements.replace(id, old, job, changedPlacements);
  }

  public long revision() {
    return revision;
  }

  public boolean loaded() {
    return revision >= 0;
  }

  public Map<String, ControllerRecord> controllers() {
    return Collections.unmodifiableMap(controllers);
  }

  public Holder slot(int slot) {
    return slots[slot];
  }

  public Holder autoscaler() {
    return autoscaler;
  }

  /** Null if no machine was ever rented. */
  public RentalJournal rentals() {
    return rentals;
  }

  public ObjectNode machineTypes() {
    return machineTypes;
  }

  /** Whether a machine of this name is known to be gone: reports of its first session are stale. */
  public boolean isGoneMachine(String name) {
    return machines.isGone(name);
  }

  /** Jobs with work or placements left, by ID; finished jobs without placements are left out. */
  public Map<String, Job> jobs() {
    return Collections.unmodifiableMap(jobs);
  }

  public Job job(String id) {
    return jobIndex.get(id);
  }

  /** The job's final phase, which never changes; null if the job is not known to have finished. */
  public JobRecord.Phase finalPhase(String id) {
    return finishedJobs.phase(id);
  }

  /** Unarchived outcomes of jobs that no submission batch names any more, by job ID. */
  Map<String, FinishedJobs.UnarchivedOutcome> unarchivedOutcomes() {
    return finishedJobs.unarchived(submissions::references);
  }

  public Map<String, MachineRecord> machines() {
    return machines.all();
  }

  public MachineRecord machine(String name) {
    return machines.get(name);
  }

  /** The version of the machine's individual key (a record or a tombstone); 0 if there is none. */
  public long machineVersion(String name) {
    return machines.individualVersion(name);
  }

  /** The version of the controller's failover record; 0 if there is none. */
  public long failoverVersion(String claimant) {
    return machines.failoverVersion(claimant);
  }

  /** The write for a machine that is gone: a tombstone if a claim batch names it, or a delete. */
  public Write deletion(String name) {
    return new Write(
        machineKey(name), machines.inClaimBatch(name) ? MachineRegistry.tombstone() : null, 0);
  }

  /** The key of the claim batch that applies to the machine; the machine must be in one. */
  String claimBatchKeyOf(String machine) {
    return claimBatchKey(machines.claimBatchOf(machine));
  }

  /** Keys and versions of batch records and tombstones that nothing refers to any more. */
  public List<Condition> obsoleteRecords() {
    List<Condition> result = new ArrayList<>();
    submissions.obsolete().forEach((n, v) -> result.add(new Condition(submissionBatchKey(n), v)));
    machines.obsoleteBatches().forEach((n, v) -> result.add(new Condition(claimBatchKey(n), v)));
    machines.obsoleteTombstones().forEach((n, v) -> result.add(new Condition(machineKey(n), v)));
    return result;
  }

  public long teamVersion(String team) {
    return teams.getOrDefault(team.replace(' ', '_'), 0L);
  }

  public List<PlacementIndex.IndexedPlacement> placedOn(String machine) {
    return placements.placementsOn(machine);
  }

  /**
   * The fencing token under which the owner sends commands: the revision from which it owns the
   * machine, or that of its own record if later. So every claim and every restart of the owner has
   * a higher token than all before. A restart needs no write for each machine: reclaiming hundreds
   * of machines would use up the write limit for many seconds.
   */
  public long token(MachineRecord machine) {
    ControllerRecord owner = controllers.get(machine.owner());
    return owner == null ? machine.ownedSince() : Math.max(machine.ownedSince(), owner.version());
  }

  /** Whether the controller has a record, under any incarnation of its process. */
  public boolean alive(String label) {
    return controllers.containsKey(label);
  }

  /** Whether the controller has a record under this incarnation of its process. */
  public boolean alive(String label, String incarnation) {
    ControllerRecord record = controllers.get(label);
    return record != null && record.incarnation().equals(incarnation);
  }
}
