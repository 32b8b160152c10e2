package io.tansystack.wire;

/** A message can't be encoded, for instance because one of its texts has no form in UTF-8. */
public final class EncodingException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public EncodingException(String message, Throwable cause) {
    super(message, cause);
  }
}
