package io.tansystack.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.records.JobRecord;
import io.tansystack.store.Watcher;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Read;
import io.tansystack.wire.StoreWire.Change;
import io.tansystack.wire.StoreWire.Condition;
import io.tansystack.wire.StoreWire.Write;
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
public final class World implements Watcher.Listener {
  private static final Logger log = LoggerFactory.getLogger(World.class);

  /** A live controller's record. */
  public record ControllerRecord(String boot, String zone, long version) {}

  /** What was asked of the cloud lately; read and written by who deals with it. */
  public record Journal(ObjectNode value, long version) {}

  /** A job's record with the version of its own key: 0 while it only stands among others' intake. */
  public record Job(JobRecord record, long version, int slot) {
    public String id() {
      return record.spec().id();
    }

    /** Hold while nobody has written a record of the job since this one. */
    public List<Condition> unchanged() {
      return Keys.unchanged(id(), version);
    }
  }

  private final Map<String, ControllerRecord> controllers = new TreeMap<>();
  private final Holder[] slots = new Holder[Keys.SLOTS];

  /** Sorted, so that all controllers go through them in the same order; looked up in the index. */
  private final Map<String, Job> jobs = new TreeMap<>();

  private final Map<String, Job> jobIndex = new HashMap<>();
  private final Machines machines = new Machines();
  private final Map<String, Long> teams = new HashMap<>();
  private Holder fleet;
  private Journal rentals;
  private ObjectNode types;
  private Base base = Base.NONE;
  private long highestAdded;

  private final Lost lost = new Lost();
  private boolean distrusted;
  private final Outcomes outcomes = new Outcomes();
  private final Map<String, Long> versions = new HashMap<>();
  private final PlacementIndex placements = new PlacementIndex(jobIndex::get);
  private final Intakes intakes = new Intakes(jobIndex::get);
  private Touched touched = Touched.nothing();
  private long revision = -1;
  private final Consumer<Touched> changed;

  public World(Consumer<Touched> changed) {
    this.changed = changed;
  }

  /** The record that accepts several jobs at once. */
  public static ObjectNode intake(Collection<JobRecord> records) {
    return Intakes.write(records);
  }

  /** The record that claims several machines at once. */
  public static ObjectNode lot(Collection<MachineRecord> records) {
    return Machines.lot(records);
  }


  /** The state service has lost data: what is read next may be of before what the copy has seen. */
  public void distrust() {
    distrusted = true;
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
    if (distrusted) {
      versions.clear();
      lost.rewinding(true);
    }
    pages.forEach(this::apply);
    lost.rewinding(false);
    since.forEach(this::apply);
    revision = distrusted ? atRevision : Math.max(revision, atRevision);
    distrusted = false;
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
    Touched now = touched;
    touched = Touched.nothing();
    changed.accept(now);
  }

  private void apply(Change change) {
    String key = change.key();
    if (!key.startsWith(Keys.PREFIX) || change.version() <= versions.getOrDefault(key, 0L)) {
      return;
    }
    if (change.value() == null) {
      versions.remove(key);
    } else {
      versions.put(key, change.version());
    }
    try {
      applyTyped(key.substring(Keys.PREFIX.length()), change.value(), change.version());
    } catch (BadInput | NumberFormatException e) {
      log.error("record {} is unreadable and left alone: {}", key, e.getMessage());
    }
  }

  private void applyTyped(String key, ObjectNode value, long version) throws BadInput {
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
                    Read.text(value, "boot"), Read.text(value, "zone"), version));
        touched = touched.withControllers();
      }
      case "slots" -> {
        int slot = Integer.parseInt(name);
        if (slot >= 0 && slot < Keys.SLOTS) {
          slots[slot] = Holder.read(value, version);
        }
      }
      case "fleet" -> fleet = Holder.read(value, version);
      case "rentals" -> rentals = value == null ? null : new Journal(value, version);
      case "types" -> types = value;
      case "loss" -> log.debug("a loss was noticed, as of {}", version);
      case "base" -> {
        base = Base.read(value, version);
        highestAdded = Math.max(highestAdded, base.added());
        touched = touched.withControllers(); // Tokens depend on it.
      }
      case "teams" -> put(teams, key.substring(slash + 1), value == null ? null : version);
      case "heirs" -> machines.putHeirs(name, value, version, touched.machines());
      case "lots" -> machines.putLot(name, value, version, touched.machines());
      case "machines" -> machines.putOwn(name, value, version, touched.machines());
      case "intake" -> intakes.put(name, value, version, id -> outcomes.phase(id) != null, this::keep);
      case "jobs" -> {
        String id = name.substring(name.indexOf('/') + 1);
        if (value == null) {
          vanished(id);
          return;
        }
        Job before = jobIndex.get(id);
        long epoch = value.path("base").asLong();
        if (before != null && lost.older(id, epoch, before.version(), version)) {
          lost.put(id, version);
          return;
        }
        lost.seen(id, epoch);
        // What an own record says counts, whatever stood for it until then.
        boolean same = before != null && before.version() > 0;
        JobRecord record =
            intakes.own(id, JobRecord.read(value, same ? before.record().spec() : null), version);
        JobRecord.Phase over = outcomes.phase(id);
        if (over != null && record.active()) {
          record = record.over(over); // It went back; its users have been told.
          lost.put(id, version);
        }
        if (!record.active()) {
          outcomes.over(id, record, version);
        }
        keep(id, record.spec() == null ? null : new Job(record, version, Keys.slotOf(id)));
      }
      default -> log.debug("unknown record {}", key);
    }
  }

  /**
   * A job's own record goes when it is over, and has been put away. One of a job that is not over was
   * lost: the job goes on as it was seen last, until its record is there again.
   */
  private void vanished(String id) {
    Job job = jobIndex.get(id);
    if (job != null && job.version() > 0) {
      lost.put(id, 0);
      touched.jobs().add(id);
    } else {
      lost.forget(id);
      outcomes.putAway(id);
      keep(id, null);
    }
  }

  private static <V> void put(Map<String, V> map, String key, V value) {
    map.compute(key, (k, before) -> value);
  }

  /** Replaces what is known of a job (null: nothing), and what is recorded on its machines. */
  private void keep(String id, Job job) {
    Job old = jobIndex.get(id);
    put(jobs, id, job);
    put(jobIndex, id, job);
    touched.jobs().add(id);
    placements.replace(id, old, job, touched.placedOn());
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
  public Journal rentals() {
    return rentals;
  }

  public ObjectNode types() {
    return types;
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
  Map<String, Outcomes.Standing> outcomes() {
    return outcomes.standing(intakes::names);
  }

  /** Jobs whose records were lost and are not there again, with the versions that are there instead. */
  public Map<String, Long> lost() {
    return lost.jobs();
  }

  /** The job's outcome was found where it was put away: its record was not lost. */
  public void found(String id, JobRecord.Phase phase) {
    lost.forget(id);
    outcomes.remember(id, phase);
    keep(id, null);
    tell();
  }

  /** How jobs have ended, as far as is remembered. */
  public Map<String, JobRecord.Phase> remembered() {
    return outcomes.remembered();
  }

  /** What the deployment counts from since the state service lost data. */
  public Base base() {
    return base;
  }

  /** The most that it was ever seen to count from. */
  public long highestAdded() {
    return highestAdded;
  }

  /** The version of a record as the copy shows it; 0 for none. */
  public long version(String key) {
    return versions.getOrDefault(key, 0L);
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

  /** What says that a machine is gone. */
  public Write gone(String name) {
    return new Write(Keys.machineKey(name), Machines.mark(), 0);
  }

  /** Whether a machine is known to be gone; one without a record may be there nevertheless. */
  public boolean isGone(String name) {
    return machines.isGone(name);
  }

  /** Machines on which something is recorded, and that neither have a record nor are known to be gone. */
  public List<String> unrecorded() {
    return placements.machines().stream()
        .filter(name -> machines.get(name) == null && !machines.isGone(name))
        .toList();
  }

  /** Records that nobody needs any more: what accepted or claimed several, and marks of what is gone. */
  public List<Condition> needless() {
    List<Condition> needless = new ArrayList<>();
    intakes.over().forEach((name, version) -> needless.add(new Condition(Keys.intakeKey(name), version)));
    machines.lotsOver().forEach((name, version) -> needless.add(new Condition(Keys.lotKey(name), version)));
    machines
        .marksOver(name -> !placements.on(name).isEmpty())
        .forEach((name, version) -> needless.add(new Condition(Keys.machineKey(name), version)));
    return needless;
  }

  public long teamVersion(String team) {
    return teams.getOrDefault(team.replace(' ', '_'), 0L);
  }

  public List<PlacementIndex.Placed> placedOn(String machine) {
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
    return base.added()
        + (owner == null ? machine.since() : Math.max(machine.since(), owner.version()));
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
