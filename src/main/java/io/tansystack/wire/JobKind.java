package io.tansystack.wire;

/** The three job shapes and their names on the wire. */
public enum JobKind {
  ARRAY("sweep"),
  GANG("group"),
  SERVICE("service");

  public final String wire;

  JobKind(String wire) {
    this.wire = wire;
  }

  static JobKind parse(String text) throws InvalidMessageException {
    for (JobKind shape : values()) {
      if (shape.wire.equals(text)) {
        return shape;
      }
    }
    throw new InvalidMessageException("Shape: unknown value");
  }
}
