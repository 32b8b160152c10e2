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
 * The copy of all records in the state service, as of one revision. Every controller has the whole of
 * it: whoever owns a machine reads its launches here, whoever plans sees every placement of all.
 */
public final class ClusterState implements Watcher.Listener {
  private static final Logger log = LoggerFactory.getLogger(ClusterState.class);

  /** Everything of this service stands under one prefix; the state service may have other users. */
  public static final String PREFIX = "ts/";

  private static final String ENDED = "ts-ended/";

  /** Slots are claimed one by one; twelve divide evenly among two, three, four or six controllers. */
  public static final int SLOTS = 12;

  /** A live controller's record. */
  public record ControllerRecord(String boot, String zone, long version) {}

  /** Who schedules a slot's jobs, or holds the fleet duty. */
  public record Holder(String label, String boot, long version) {}

  /** What was asked of the cloud lately; read and written by who deals with it. */
  public record RentalJournal(ObjectNode value, long version) {}

  /** A job's record with the version of its own key: 0 while it only stands among others' intake. */
  public record Job(JobRecord record, long version, int slot) {
    public String id() {
      return record.spec().id();
    }

    /** Hold while nobody has written a record of the job since this one. */
    public List<Condition> unchanged() {
      return ClusterState.unchanged(id(), version);
    }
  }

  private final Map<String, ControllerRecord> controllers = new TreeMap<>();
  private final Holder[] slots = new Holder[SLOTS];

  /** Sorted, so that all controllers go through them in the same order; looked up in the index. */
  private final Map<String, Job> jobs = new TreeMap<>();

  private final Map<String, Job> jobIndex = new HashMap<>();
  private final MachineRegistry machines = new MachineRegistry();
  private final Map<String, Long> teams = new HashMap<>();
  private Holder fleet;
  private RentalJournal rentals;
  private ObjectNode types;
  private final FinishedJobs outcomes = new FinishedJobs();
  private final Map<String, Long> versions = new HashMap<>();
  private final PlacementIndex placements = new PlacementIndex(jobIndex::get);
  private final SubmissionBatches intakes = new SubmissionBatches(jobIndex::get);
  private Set<String> touchedJobs = new HashSet<>();
  private Set<String> touchedMachines = new HashSet<>();
  private Set<String> touchedPlacedOn = new HashSet<>();
  private boolean touchedControllers;
  private long revision = -1;
  private final Consumer<ClusterStateDelta> changed;

  public ClusterState(Consumer<ClusterStateDelta> changed) {
    this.changed = changed;
  }

  public static int slotOf(String job) {
    // String.hashCode is fixed by the language, so every controller and version agrees.
    return Math.floorMod(job.hashCode() * 0x9E3779B1, SLOTS);
  }

  public static String jobKey(String job) {
    return PREFIX + "jobs/" + slotOf(job) + "/" + job;
  }

  /**
   * Where a job that is over is kept in the end: under a prefix of its own, which nobody reads but to
   * answer for that job. What has to be read at a start would grow with all that was ever done.
   */
  public static String endedKey(String job) {
    return ENDED + job;
  }

  /**
   * Hold while the job's own record has this version; for 0, while it never had one: it may have run and
   * be kept among those that are over by the time that a delayed transaction comes.
   */
  public static List<Condition> unchanged(String job, long version) {
    Condition own = new Condition(jobKey(job), version);
    return version > 0 ? List.of(own) : List.of(own, new Condition(endedKey(job), 0));
  }

  public static String intakeKey(String name) {
    return PREFIX + "intake/" + name;
  }

  /** The record that accepts several jobs at once. */
  public static ObjectNode intake(Collection<JobRecord> records) {
    return SubmissionBatches.write(records);
  }

  public static String lotKey(String name) {
    return PREFIX + "lots/" + name;
  }

  /** The record that claims several machines at once. */
  public static ObjectNode lot(Collection<MachineRecord> records) {
    return MachineRegistry.lot(records);
  }

  public static String machineKey(String machine) {
    return PREFIX + "machines/" + machine;
  }

  public static String controllerKey(String label) {
    return PREFIX + "controllers/" + label;
  }

  /** Who keeps the machines that a controller claimed, while it is away: see {@link FailoverRecord}. */
  public static String heirsKey(String claimant) {
    return PREFIX + "heirs/" + claimant;
  }

  public static String slotKey(int slot) {
    return PREFIX + "slots/" + slot;
  }

  public static String teamKey(String team) {
    return PREFIX + "teams/" + team.replace(' ', '_');
  }

  public static final String FLEET_KEY = PREFIX + "fleet";
  public static final String RENTALS_KEY = PREFIX + "rentals";
  public static final String TYPES_KEY = PREFIX + "types";

  public static ObjectNode holder(String label, String boot) {
    return Cbor.map().put("label", label).put("boot", boot);
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
    tell();
  }

  @Override
  public void changes(List<Change> changes, long atRevision) {
    revision = Math.max(revision, atRevision);
    if (changes.isEmpty()) {
      return;
    }
    changes.forEach(this::apply);
    tell();
  }

  private void tell() {
    ClusterStateDelta touched =
        new ClusterStateDelta(touchedJobs, touchedMachines, touchedPlacedOn, touchedControllers);
    touchedJobs = new HashSet<>();
    touchedMachines = new HashSet<>();
    touchedPlacedOn = new HashSet<>();
    touchedControllers = false;
    changed.accept(touched);
  }

  private void apply(Change change) {
    String key = change.key();
    if (!key.startsWith(PREFIX) || change.version() <= versions.getOrDefault(key, 0L)) {
      return;
    }
    if (change.value() == null) {
      versions.remove(key);
    } else {
      versions.put(key, change.version());
    }
    try {
      applyTyped(key.substring(PREFIX.length()), change.value(), change.version());
    } catch (InvalidMessageException | NumberFormatException e) {
      log.error("record {} is unreadable and left alone: {}", key, e.getMessage());
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
        touchedControllers = true;
      }
      case "slots" -> {
        int slot = Integer.parseInt(name);
        if (slot >= 0 && slot < SLOTS) {
          slots[slot] = readHolder(value, version);
        }
      }
      case "fleet" -> fleet = readHolder(value, version);
      case "rentals" -> rentals = value == null ? null : new RentalJournal(value, version);
      case "types" -> types = value;
      case "teams" -> put(teams, key.substring(slash + 1), value == null ? null : version);
      case "heirs" -> machines.putHeirs(name, value, version, touchedMachines);
      case "lots" -> machines.putLot(name, value, version, touchedMachines);
      case "machines" -> machines.putOwn(name, value, version, touchedMachines);
      case "intake" -> intakes.put(name, value, version, id -> outcomes.phase(id) != null, this::keep);
      case "jobs" -> {
        String id = name.substring(name.indexOf('/') + 1);
        if (value == null) {
          outcomes.putAway(id);
          keep(id, null);
          return;
        }
        Job before = jobIndex.get(id);
        // What an own record says counts, whatever stood for it until then.
        boolean same = before != null && before.version() > 0;
        JobRecord record =
            intakes.own(id, JobRecord.read(value, same ? before.record().spec() : null), version);
        if (!record.active()) {
          outcomes.over(id, record, version);
        }
        keep(id, record.spec() == null ? null : new Job(record, version, slotOf(id)));
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
    map.compute(key, (k, old) -> value); // With null it is removed.
  }

  /** Replaces what is known of a job (null: nothing), and what is recorded on its machines. */
  private void keep(String id, Job job) {
    Job old = jobIndex.get(id);
    put(jobs, id, job);
    put(jobIndex, id, job);
    touchedJobs.add(id);
    placements.replace(id, old, job, touchedPlacedOn);
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

  public Holder fleet() {
    return fleet;
  }

  /** Null if nothing was ever rented. */
  public RentalJournal rentals() {
    return rentals;
  }

  public ObjectNode types() {
    return types;
  }

  /** Whether a machine of the name was seen to go: no report of its first session is news of it. */
  public boolean wasMachine(String name) {
    return machines.isGone(name);
  }

  /** Jobs with work or placements left; those that are over and empty are not among them. */
  public Map<String, Job> jobs() {
    return Collections.unmodifiableMap(jobs);
  }

  public Job job(String id) {
    return jobIndex.get(id);
  }

  /** The final state, if the job is known to have one; it never changes again. */
  public JobRecord.Phase finalPhase(String id) {
    return outcomes.phase(id);
  }

  /** Jobs whose own records hold an outcome only and that no intake names, with their versions. */
  Map<String, FinishedJobs.UnarchivedOutcome> outcomes() {
    return outcomes.standing(intakes::names);
  }

  public Map<String, MachineRecord> machines() {
    return machines.all();
  }

  public MachineRecord machine(String name) {
    return machines.get(name);
  }

  /** The version of a machine's own key, be it a record or the mark of one that is gone; else 0. */
  public long machineVersion(String name) {
    return machines.ownVersion(name);
  }

  /** The version of the record that names a controller's heirs; 0 if there is none. */
  public long heirsVersion(String claimant) {
    return machines.heirsVersion(claimant);
  }

  /** What says that a machine is gone, whichever way it was claimed. */
  public Write gone(String name) {
    return new Write(machineKey(name), machines.inLot(name) ? MachineRegistry.mark() : null, 0);
  }

  /** Records that nobody needs any more: what accepted or claimed several, and marks of what is gone. */
  public List<Condition> needless() {
    List<Condition> needless = new ArrayList<>();
    intakes.over().forEach((name, version) -> needless.add(new Condition(intakeKey(name), version)));
    machines.lotsOver().forEach((name, version) -> needless.add(new Condition(lotKey(name), version)));
    machines
        .marksOver()
        .forEach((name, version) -> needless.add(new Condition(machineKey(name), version)));
    return needless;
  }

  public long teamVersion(String team) {
    return teams.getOrDefault(team.replace(' ', '_'), 0L);
  }

  public List<PlacementIndex.IndexedPlacement> placedOn(String machine) {
    return placements.on(machine);
  }

  /**
   * The token under which the machine's owner gives commands: the revision from which it holds the
   * machine, or that of its own record if that is later. So every claim has a higher token than all
   * before, and so has every start of the owner's process, without a write for each of its machines:
   * claiming hundreds of machines anew after a restart would use up the write limit for many seconds.
   */
  public long token(MachineRecord machine) {
    ControllerRecord owner = controllers.get(machine.owner());
    return owner == null ? machine.since() : Math.max(machine.since(), owner.version());
  }

  /** Whether the controller has a record, whichever start of its process wrote it. */
  public boolean alive(String label) {
    return controllers.containsKey(label);
  }

  /** Whether the controller's record is there under this very start of its process. */
  public boolean alive(String label, String boot) {
    ControllerRecord record = controllers.get(label);
    return record != null && record.boot().equals(boot);
  }
}
