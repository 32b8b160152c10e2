package io.tansystack.wire;

/** A message that does not follow the published protocol; the text says which field and why. */
public final class InvalidMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidMessageException(String message) {
    super(message, null, false, false);
  }
}
