package io.tansystack.recovery;

import io.tansystack.cluster.PlacementIndex.IndexedPlacement;
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
 * Spreads the orders that a start has held up. What ended and what came free while nobody listened is
 * all found within a second or two; sent at once it is ten times the orders of any second before, on
 * machines and controllers that have leases to renew and reports to answer. While a start lasts, a
 * controller sends no more than some times what its recorded work needs: halts at once, since
 * cancelled work has only so long, then launches by urgency, and what is only to be forgotten last.
 */
public final class CommandThrottle {
  /**
   * How many times the mean rate. The busiest second of a minute has some two and a half times the mean
   * where jobs come in arrays, and twice that a start may need.
   */
  private static final double TIMES = 6;

  private static final Duration TURN = Duration.ofMillis(50);

  private final EventLoop loop;
  private final Consumer<String> turn;
  private final List<Set<String>> waiting = new ArrayList<>();
  private RateBudget budget;
  private Duration until = Duration.ZERO;
  private boolean timed;
  private String turnOf;

  /** @param turn told of a machine whose turn has come; what it lacks is looked at anew then */
  public CommandThrottle(EventLoop loop, Consumer<String> turn) {
    this.loop = loop;
    this.turn = turn;
    for (int i = 0; i <= Reconciliation.FORGETS; i++) {
      waiting.add(new LinkedHashSet<>());
    }
  }

  /**
   * Orders a second that what is recorded on a machine needs as it goes on: a launch and a forget for
   * each task that ends. A machine has at least one every ten seconds.
   */
  public static double usual(List<IndexedPlacement> placed) {
    double usual = 0.1;
    for (IndexedPlacement p : placed) {
      JobSpec spec = p.job().record().spec();
      if (spec != null && spec.estimateS() > 0) {
        usual += 2 * p.placement().tasks().size() / spec.estimateS();
      }
    }
    return usual;
  }

  /** A start begins that takes so long at most; {@code usual} orders a second would be sent without it. */
  public void begin(double usual, Duration lasting) {
    double perSecond = usual * TIMES;
    budget = new RateBudget(perSecond, Math.max(1, perSecond / 4), loop.now());
    until = loop.now().plus(lasting);
  }

  /** Whether orders are spread. At the end of a start all goes that still waits: new work may have come. */
  public boolean active() {
    return loop.now().compareTo(until) < 0;
  }

  /** How many machines wait for their turn; at most all of this controller's. */
  public int waiting() {
    return waiting.stream().mapToInt(Set::size).sum();
  }

  /**
   * Whether so many orders may go to the machine now. If not, its turn comes.
   *
   * @param urgency as {@link Reconciliation#urgency} tells
   */
  public boolean mayGo(String machine, int urgency, int orders) {
    boolean first = !active() || machine.equals(turnOf) || nobodyWaits(urgency);
    boolean goes = first && (!active() || budget.take(orders, true, loop.now()));
    if (goes || urgency == Reconciliation.HALTS) {
      waiting.forEach(names -> names.remove(machine));
      return true;
    }
    if (waiting.get(urgency).add(machine)) {
      for (int other = 0; other < waiting.size(); other++) {
        if (other != urgency) {
          waiting.get(other).remove(machine);
        }
      }
      later();
    }
    return false;
  }

  private boolean nobodyWaits(int urgency) {
    return waiting.subList(0, urgency + 1).stream().allMatch(Set::isEmpty);
  }

  private void later() {
    if (!timed) {
      timed = true;
      loop.after(TURN, this::next);
    }
  }

  private void next() {
    timed = false;
    for (Set<String> names : waiting) {
      while (!names.isEmpty()) {
        if (active() && budget.available(loop.now()) < 1) {
          later();
          return;
        }
        turnOf = names.iterator().next();
        names.remove(turnOf);
        turn.accept(turnOf);
        turnOf = null;
      }
    }
  }
}
