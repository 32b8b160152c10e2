package io.tansystack.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Makes a text in an encoded message invalid, which no encoder does. */
public final class InvalidText {
  private static final String PLACEHOLDER = "XXX";

  /** Half of a surrogate pair, which valid UTF-8 never contains. */
  private static final byte[] LONE_SURROGATE = {(byte) 0xED, (byte) 0xA0, (byte) 0xBD};

  private InvalidText() {}

  /** Replaces the bytes XXX after the first occurrence of the prefix; returns the changed body. */
  public static byte[] replaceIn(byte[] body, String prefix) {
    byte[] wanted = (prefix + PLACEHOLDER).getBytes(StandardCharsets.US_ASCII);
    for (int i = 0; i + wanted.length <= body.length; i++) {
      if (Arrays.equals(body, i, i + wanted.length, wanted, 0, wanted.length)) {
        System.arraycopy(LONE_SURROGATE, 0, body, i + prefix.length(), LONE_SURROGATE.length);
        return body;
      }
    }
    throw new IllegalArgumentException("no placeholder after " + prefix);
  }
}
