package io.tansystack.wire;

/** The three job shapes and their names on the wire. */
public enum Shape {
  ARRAY("sweep"),
  GANG("group"),
  SERVICE("service");

  public final String wire;

  Shape(String wire) {
    this.wire = wire;
  }

  static Shape parse(String text) throws BadInput {
    for (Shape shape : values()) {
      if (shape.wire.equals(text)) {
        return shape;
      }
    }
    throw new BadInput("Shape: unknown value");
  }
}
