package io.tansystack.wire;

/** Job priorities, most urgent first: they are compared by their ordinals. */
public enum Priority {
  PRODUCTION("prod"),
  HIGH("urgent"),
  NORMAL("standard"),
  LOW("idle");

  /** The value of {@code Urgency} in job specifications. */
  public final String wireName;

  Priority(String wireName) {
    this.wireName = wireName;
  }

  static Priority parse(String text) throws InvalidMessageException {
    for (Priority priority : values()) {
      if (priority.wireName.equals(text)) {
        return priority;
      }
    }
    throw new InvalidMessageException("Urgency: unknown value");
  }
}
