package io.tansystack.wire;

/** Job priorities, most urgent first, so that the ordinal orders them. */
public enum Priority {
  PRODUCTION("prod"),
  HIGH("urgent"),
  NORMAL("standard"),
  LOW("idle");

  public final String wire;

  Priority(String wire) {
    this.wire = wire;
  }

  static Priority parse(String text) throws InvalidMessageException {
    for (Priority priority : values()) {
      if (priority.wire.equals(text)) {
        return priority;
      }
    }
    throw new InvalidMessageException("Urgency: unknown value");
  }
}
