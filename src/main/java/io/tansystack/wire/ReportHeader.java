package io.tansystack.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;

/**
 * The start of a report's body, read without the rest: whose it is, its number, and where that number
 * stands. Most reports repeat the one before but for the number, and their tasks are then known
 * without being decoded again, which for a full machine costs more than everything else done with it.
 *
 * @param from where the number begins in the body
 * @param to where it ends
 */
public record ReportHeader(String machine, long seq, int from, int to) {

  /** Null where the fields come in an order in which that can't be told; all of it is read then. */
  public static ReportHeader read(byte[] body) {
    try (JsonParser parser = Cbor.parser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return null;
      }
      String machine = null;
      for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
        if (field.equals("Tick")) {
          int from = (int) parser.currentLocation().getByteOffset();
          boolean number = parser.nextToken() == JsonToken.VALUE_NUMBER_INT;
          int to = (int) parser.currentLocation().getByteOffset();
          return machine != null && number
              ? new ReportHeader(machine, parser.getLongValue(), from, to)
              : null;
        }
        JsonToken value = parser.nextToken();
        if (value.isStructStart()) {
          return null;
        }
        if (field.equals("Berth")) {
          machine = parser.getText();
        }
      }
      return null;
    } catch (IOException | RuntimeException e) {
      return null; // Whoever reads all of it says what is wrong.
    }
  }

  /** Whether two bodies are the same, byte by byte, but for the number. */
  public boolean sameRest(byte[] body, ReportHeader other, byte[] otherBody) {
    return Arrays.equals(body, 0, from, otherBody, 0, other.from)
        && Arrays.equals(body, to, body.length, otherBody, other.to, otherBody.length);
  }
}
