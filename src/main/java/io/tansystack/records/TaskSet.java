package io.tansystack.records;

import java.util.BitSet;
import java.util.function.IntConsumer;

/** An immutable set of task numbers, written as ranges such as {@code 0-5,7}. */
public final class TaskSet {
  public static final TaskSet EMPTY = new TaskSet(new BitSet());

  private final BitSet bits;
  private final int size;

  private TaskSet(BitSet bits) {
    this.bits = bits;
    this.size = bits.cardinality();
  }

  public static TaskSet of(BitSet bits) {
    return bits.isEmpty() ? EMPTY : new TaskSet((BitSet) bits.clone());
  }

  public static TaskSet range(int from, int to) {
    BitSet bits = new BitSet();
    bits.set(from, to);
    return of(bits);
  }

  /**
   * Reads the written form; throws IllegalArgumentException if it is not one. Read in one go: every
   * record and view that arrives holds dozens of these.
   */
  public static TaskSet parse(String text) {
    BitSet bits = new BitSet();
    int at = 0;
    while (at < text.length()) {
      int comma = text.indexOf(',', at);
      int end = comma < 0 ? text.length() : comma;
      int dash = text.indexOf('-', at);
      boolean range = dash >= 0 && dash < end;
      int from = Integer.parseInt(text, at, range ? dash : end, 10);
      int to = range ? Integer.parseInt(text, dash + 1, end, 10) : from;
      if (from < 0 || to < from || to > 1_000_000 || end == text.length() - 1) {
        throw new IllegalArgumentException("bad range in " + text);
      }
      bits.set(from, to + 1);
      at = end + 1;
    }
    return bits.isEmpty() ? EMPTY : new TaskSet(bits);
  }

  public boolean contains(int task) {
    return bits.get(task);
  }

  public int size() {
    return size;
  }

  public boolean isEmpty() {
    return size == 0;
  }

  public void forEach(IntConsumer action) {
    for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
      action.accept(i);
    }
  }

  /** The lowest number not in the set. */
  public int firstMissing() {
    return bits.nextClearBit(0);
  }

  public int next(int from) {
    return bits.nextSetBit(from);
  }

  public TaskSet with(int task) {
    BitSet result = toBits();
    result.set(task);
    return of(result);
  }

  public BitSet toBits() {
    return (BitSet) bits.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskSet set && bits.equals(set.bits);
  }

  @Override
  public int hashCode() {
    return bits.hashCode();
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (int from = bits.nextSetBit(0); from >= 0; ) {
      int end = bits.nextClearBit(from);
      if (text.length() > 0) {
        text.append(',');
      }
      text.append(from);
      if (end - 1 > from) {
        text.append('-').append(end - 1);
      }
      from = bits.nextSetBit(end);
    }
    return text.toString();
  }
}
