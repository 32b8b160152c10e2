package io.tansystack.settings;

/** Thrown for a settings file that cannot be used; the message names the key and the reason. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public SettingsException(String message) {
    super(message);
  }
}
