package io.tansystack.wire;

/** A message that does not follow the published protocol; the text says which field and why. */
public final class BadInput extends Exception {
  private static final long serialVersionUID = 1L;

  public BadInput(String message) {
    super(message, null, false, false);
  }
}
