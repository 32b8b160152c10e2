package io.tansystack.records;

import java.util.BitSet;
import java.util.function.IntConsumer;

/** An immutable set of task indices, written as ranges such as {@code 0-5,7}. */
public final class TaskSet {
  public static final TaskSet EMPTY = new TaskSet(new BitSet());

  /** The largest index that is read; it bounds the memory that a malformed text can take up. */
  private static final int MAX_TASK = 1_000_000;

  private final BitSet bits;
  private final int size;

  private TaskSet(BitSet bits) {
    this.bits = bits;
    this.size = bits.cardinality();
  }

  public static TaskSet of(BitSet bits) {
    return bits.isEmpty() ? EMPTY : new TaskSet((BitSet) bits.clone());
  }

  /** The tasks from {@code from} (inclusive) to {@code to} (exclusive). */
  public static TaskSet range(int from, int to) {
    BitSet bits = new BitSet();
    bits.set(from, to);
    return of(bits);
  }

  /**
   * Reads the written form. It is parsed in one pass, without splitting the text, because every
   * record and every machine view that arrives holds dozens of task sets.
   *
   * @throws IllegalArgumentException if the text is not a task set
   */
  public static TaskSet parse(String text) {
    BitSet bits = new BitSet();
    int start = 0;
    while (start < text.length()) {
      int comma = text.indexOf(',', start);
      int end = comma < 0 ? text.length() : comma;
      int dash = text.indexOf('-', start);
      boolean isRange = dash >= 0 && dash < end;
      int from = Integer.parseInt(text, start, isRange ? dash : end, 10);
      int to = isRange ? Integer.parseInt(text, dash + 1, end, 10) : from;
      if (from < 0 || to < from || to > MAX_TASK || end == text.length() - 1) {
        throw new IllegalArgumentException("invalid task range in " + text);
      }
      bits.set(from, to + 1);
      start = end + 1;
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

  /** The lowest task index that is not in the set. */
  public int firstMissing() {
    return bits.nextClearBit(0);
  }

  /** The lowest task index in the set that is at least {@code from}; -1 if there is none. */
  public int nextFrom(int from) {
    return bits.nextSetBit(from);
  }

  /** A copy of this set that contains {@code task} too. */
  public TaskSet with(int task) {
    BitSet result = toBitSet();
    result.set(task);
    return of(result);
  }

  /** A copy that the caller may modify. */
  public BitSet toBitSet() {
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
