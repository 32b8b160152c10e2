package io.tansystack.recovery;

import io.tansystack.cluster.PlacementIndex.IndexedPlacement;
import io.tansystack.http.DelayedTask;
import io.tansystack.http.EventLoop;
import io.tansystack.store.RateBudget;
import io.tansystack.wire.JobSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Limits the rate of commands during startup. All tasks that ended and all capacity that became
 * free while the controllers were down are found within a second or two; sent at once, the commands
 * would be ten times as many as in any second before, on machines and controllers that have leases
 * to renew and reports to answer. During startup a controller sends at most a multiple of the
 * commands that its recorded work needs: stop commands at once, since cancelled work has to end
 * within a time limit, then start commands by priority, and forget commands last.
 */
public final class CommandThrottle {
  /**
   * The limit as a multiple of the mean command rate. Where jobs come in arrays, the busiest second
   * of a minute has about 2.5 times the mean rate, and startup may need twice that.
   */
  private static final double RATE_FACTOR = 6;

  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  private final EventLoop loop;
  private final Consumer<String> retry;

  /** The machines whose commands are held back, by urgency, each in the order of arrival. */
  private final List<Set<String>> waitingMachines = new ArrayList<>();

  private final DelayedTask nextTick;
  private RateBudget budget;
  private Duration activeUntil = Duration.ZERO;
  private String retriedMachine;

  /**
   * @param retry called with the name of a waiting machine once commands may be sent to it; it has
   *     to determine the commands again
   */
  public CommandThrottle(EventLoop loop, Consumer<String> retry) {
    this.loop = loop;
    this.retry = retry;
    this.nextTick = new DelayedTask(loop, this::tick);
    for (int i = 0; i <= Reconciliation.FORGET_URGENCY; i++) {
      waitingMachines.add(new LinkedHashSet<>());
    }
  }

  /**
   * The number of commands per second that the placements on a machine need in normal operation:
   * one start and one forget command for each task that ends; at least one command every 10 s.
   */
  public static double expectedRate(List<IndexedPlacement> placed) {
    double commandsPerSecond = 0.1;
    for (IndexedPlacement p : placed) {
      JobSpec spec = p.job().record().spec();
      if (spec != null && spec.estimateS() > 0) {
        commandsPerSecond += 2 * p.placement().tasks().size() / spec.estimateS();
      }
    }
    return commandsPerSecond;
  }

  /**
   * Begins a startup, during which commands are throttled.
   *
   * @param expectedRate the number of commands per second in normal operation
   * @param maxDuration the time after which throttling ends
   */
  public void begin(double expectedRate, Duration maxDuration) {
    double perSecond = expectedRate * RATE_FACTOR;
    budget = new RateBudget(perSecond, Math.max(1, perSecond / 4), loop.now());
    activeUntil = loop.now().plus(maxDuration);
  }

  /**
   * Whether commands are throttled. At the end of a startup all waiting commands are sent, since
   * new work may have arrived.
   */
  public boolean active() {
    return loop.now().compareTo(activeUntil) < 0;
  }

  /** The number of machines whose commands are held back; at most all of this controller's. */
  public int waitingMachines() {
    return waitingMachines.stream().mapToInt(Set::size).sum();
  }

  /**
   * Whether this many commands may be sent to the machine now. If not, the machine is queued and
   * retried later. Stop commands are always admitted.
   *
   * @param urgency the result of {@link Reconciliation#urgency}
   */
  public boolean admit(String machine, int urgency, int commandCount) {
    boolean unblocked = !active() || machine.equals(retriedMachine) || noneWaiting(urgency);
    boolean admitted =
        unblocked && (!active() || budget.tryAcquire(commandCount, true, loop.now()));
    if (admitted || urgency == Reconciliation.STOP_URGENCY) {
      waitingMachines.forEach(machines -> machines.remove(machine));
      return true;
    }
    if (waitingMachines.get(urgency).add(machine)) {
      for (int other = 0; other < waitingMachines.size(); other++) {
        if (other != urgency) {
          waitingMachines.get(other).remove(machine);
        }
      }
      nextTick.schedule(TICK_INTERVAL);
    }
    return false;
  }

  private boolean noneWaiting(int urgency) {
    return waitingMachines.subList(0, urgency + 1).stream().allMatch(Set::isEmpty);
  }

  private void tick() {
    for (Set<String> machines : waitingMachines) {
      while (!machines.isEmpty()) {
        if (active() && budget.available(loop.now()) < 1) {
          nextTick.schedule(TICK_INTERVAL);
          return;
        }
        retry(machines);
      }
    }
  }

  /** Retries the first of these machines; the others follow later if that throws an exception. */
  private void retry(Set<String> machines) {
    retriedMachine = machines.iterator().next();
    machines.remove(retriedMachine);
    boolean succeeded = false;
    try {
      retry.accept(retriedMachine);
      succeeded = true;
    } finally {
      retriedMachine = null;
      if (!succeeded) {
        nextTick.schedule(TICK_INTERVAL);
      }
    }
  }
}
