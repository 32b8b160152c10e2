package io.tansystack.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Delivers requests of a simulated cluster once more after they were executed and answered. Nobody
 * waits for the response to such a copy.
 */
final class RequestRepeater {
  /** The kinds of receivers of requests. */
  enum Receiver { WORKER, STORE, CLOUD, PEER, USER_API }

  /** An executed request that can be delivered again. */
  private record Repeatable(Receiver receiver, Runnable deliver) {}

  private final SimNetwork network;
  private final List<Repeatable> answered = new ArrayList<>();
  private final Map<Receiver, Integer> repeated = new EnumMap<>(Receiver.class);

  /** Share of the answered requests of which a copy arrives later. */
  double share;

  /** The shortest and the longest time from the answer to the arrival of the copy. */
  Duration minDelay = Duration.ofSeconds(2);
  Duration maxDelay = Duration.ofSeconds(72);

  /** Receivers whose requests are repeated. */
  Set<Receiver> receivers = EnumSet.allOf(Receiver.class);

  /** Whether answered requests are kept for {@link #repeatAll}. */
  boolean keepsAll;

  /** Attempts for which a copy of a start command was executed, refused ones included. */
  final List<String> executedAgain = new ArrayList<>();

  RequestRepeater(SimNetwork network) {
    this.network = network;
  }

  /** Returns how many copies have been delivered to receivers of this kind. */
  int repeatedCount(Receiver receiver) {
    return repeated.getOrDefault(receiver, 0);
  }

  /** Notes that a request was executed and answered; a copy of it may be delivered later. */
  void onAnswered(Receiver receiver, Runnable deliver) {
    if (!receivers.contains(receiver)) {
      return;
    }
    Repeatable request = new Repeatable(receiver, deliver);
    if (keepsAll) {
      answered.add(request);
    }
    if (network.occurs(share)) {
      int rangeMs = (int) maxDelay.minus(minDelay).toMillis();
      Duration delay = minDelay.plusMillis(network.random.nextInt(rangeMs + 1));
      network.loop.after(delay, () -> repeat(request));
    }
  }

  /** Delivers a copy of every request that has been answered so far, in the same order. */
  void repeatAll() {
    List.copyOf(answered).forEach(this::repeat);
  }

  private void repeat(Repeatable request) {
    repeated.merge(request.receiver, 1, Integer::sum);
    request.deliver.run();
  }
}
