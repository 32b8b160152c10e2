package io.tansystack.wire;

/**
 * Thrown if a message does not follow the published protocol. Its text names the field and what is
 * wrong with it. It has no stack trace.
 */
public final class InvalidMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidMessageException(String message) {
    super(message, null, false, false);
  }
}
