package io.tansystack.cluster;

import io.tansystack.wire.StoreWire.Condition;
import java.util.List;

/** Under which keys the records stand in the state service. */
public final class Keys {
  /** Everything of this service stands under one prefix; the state service may have other users. */
  public static final String PREFIX = "ts/";

  private static final String ENDED = "ts-ended/";

  /** Slots are claimed one by one; twelve divide evenly among two, three, four or six controllers. */
  public static final int SLOTS = 12;

  public static final String FLEET_KEY = PREFIX + "fleet";
  public static final String RENTALS_KEY = PREFIX + "rentals";
  public static final String TYPES_KEY = PREFIX + "types";

  /** What is added to revisions to make tokens, since the state service lost data: see {@link Base}. */
  public static final String BASE_KEY = PREFIX + "base";

  /** Rewritten by who notices that the state service has lost data: everybody is to read again. */
  public static final String LOSS_KEY = PREFIX + "loss";

  private Keys() {}

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

  public static String intakeKey(String name) {
    return PREFIX + "intake/" + name;
  }

  public static String lotKey(String name) {
    return PREFIX + "lots/" + name;
  }

  public static String machineKey(String machine) {
    return PREFIX + "machines/" + machine;
  }

  public static String controllerKey(String label) {
    return PREFIX + "controllers/" + label;
  }

  /** Who keeps the machines that a controller claimed, while it is away: see {@link Heirs}. */
  public static String heirsKey(String claimant) {
    return PREFIX + "heirs/" + claimant;
  }

  public static String slotKey(int slot) {
    return PREFIX + "slots/" + slot;
  }

  public static String teamKey(String team) {
    return PREFIX + "teams/" + team.replace(' ', '_');
  }

  /**
   * Hold while the job's own record has this version; for 0, while it never had one: it may have run and
   * be kept among those that are over by the time that a delayed transaction comes.
   */
  public static List<Condition> unchanged(String job, long version) {
    Condition own = new Condition(jobKey(job), version);
    return version > 0 ? List.of(own) : List.of(own, new Condition(endedKey(job), 0));
  }
}
