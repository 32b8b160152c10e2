package io.tansystack.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;

/**
 * The first fields of a report, read without decoding the rest: the machine, the sequence number
 * and the position of that number in the body. Most reports repeat the one before except for the
 * sequence number. Their tasks are then already known and need not be decoded again, which for a
 * full machine costs more than all other processing of the report.
 *
 * @param seqStart the offset in the body at which the sequence number starts
 * @param seqEnd the offset at which it ends (exclusive)
 */
public record ReportHeader(String machine, long seq, int seqStart, int seqEnd) {

  /**
   * Reads the header; null if the body is malformed, or if the machine name doesn't come before the
   * sequence number or a list or map does. The caller then decodes the whole report.
   */
  public static ReportHeader read(byte[] body) {
    try (JsonParser parser = Cbor.parser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return null;
      }
      String machine = null;
      for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
        if (field.equals("Tick")) {
          int seqStart = (int) parser.currentLocation().getByteOffset();
          boolean isInteger = parser.nextToken() == JsonToken.VALUE_NUMBER_INT;
          int seqEnd = (int) parser.currentLocation().getByteOffset();
          return machine != null && isInteger
              ? new ReportHeader(machine, parser.getLongValue(), seqStart, seqEnd)
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
      return null; // Decoding the whole report says what is wrong.
    }
  }

  /** Whether two bodies have the same bytes except for their sequence numbers. */
  public boolean equalsExceptSequence(byte[] body, ReportHeader other, byte[] otherBody) {
    return Arrays.equals(body, 0, seqStart, otherBody, 0, other.seqStart)
        && Arrays.equals(body, seqEnd, body.length, otherBody, other.seqEnd, otherBody.length);
  }
}
