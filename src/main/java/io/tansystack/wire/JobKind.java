package io.tansystack.wire;

/** The kind of a job ({@code Shape} in the protocol). */
public enum JobKind {
  /** Independent tasks; the job is done once all have completed. */
  ARRAY("sweep"),
  /** Tasks that run at the same time or not at all, and complete together. */
  GANG("group"),
  /** Replicas that run until the job is cancelled. */
  SERVICE("service");

  /** The value of {@code Shape} in job specifications. */
  public final String wireName;

  JobKind(String wireName) {
    this.wireName = wireName;
  }

  static JobKind parse(String text) throws InvalidMessageException {
    for (JobKind kind : values()) {
      if (kind.wireName.equals(text)) {
        return kind;
      }
    }
    throw new InvalidMessageException("Shape: unknown value");
  }
}
