package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Ways to encode the same map in CBOR (RFC 8949) that differ from the encoder of the product. */
public enum CborSpelling {
  /** Maps, lists and texts of indefinite length, texts in chunks of three bytes. */
  INDEFINITE_LENGTHS,
  /** All lengths and integers in eight bytes. */
  LONG_INTEGERS,
  /** Decimal numbers in four bytes. */
  SINGLE_PRECISION,
  /** Decimal numbers in two bytes; the amounts must be representable in it. */
  HALF_PRECISION,
  /** Decimal numbers without a fraction as integers. */
  WHOLE_AMOUNTS_AS_INTEGERS,
  /** Fields in the opposite order. */
  REVERSED_FIELDS,
  /** A leading tag that says that this is CBOR. */
  SELF_DESCRIBED;

  private static final int UNSIGNED = 0;
  private static final int NEGATIVE = 1;
  private static final int TEXT = 3;
  private static final int LIST = 4;
  private static final int MAP = 5;
  private static final int BREAK = 0xff;
  private static final int INDEFINITE = 31;
  private static final int CHUNK_BYTES = 3;
  private static final byte[] SELF_DESCRIPTION = {(byte) 0xd9, (byte) 0xd9, (byte) 0xf7};

  /** Encodes the map. */
  public byte[] encode(ObjectNode map) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    if (this == SELF_DESCRIBED) {
      out.writeBytes(SELF_DESCRIPTION);
    }
    write(out, map);
    return out.toByteArray();
  }

  private void write(ByteArrayOutputStream out, JsonNode node) {
    if (node.isObject()) {
      List<String> names = new ArrayList<>();
      node.fieldNames().forEachRemaining(names::add);
      if (this == REVERSED_FIELDS) {
        Collections.reverse(names);
      }
      begin(out, MAP, names.size());
      for (String name : names) {
        writeText(out, name);
        write(out, node.get(name));
      }
      end(out);
    } else if (node.isArray()) {
      begin(out, LIST, node.size());
      node.forEach(element -> write(out, element));
      end(out);
    } else if (node.isTextual()) {
      writeText(out, node.textValue());
    } else if (node.isNumber()) {
      writeNumber(out, node);
    } else {
      out.write(node.isNull() ? 0xf6 : node.booleanValue() ? 0xf5 : 0xf4);
    }
  }

  private void begin(ByteArrayOutputStream out, int majorType, int size) {
    if (this == INDEFINITE_LENGTHS) {
      out.write(majorType << 5 | INDEFINITE);
    } else {
      writeHead(out, majorType, size);
    }
  }

  private void end(ByteArrayOutputStream out) {
    if (this == INDEFINITE_LENGTHS) {
      out.write(BREAK);
    }
  }

  private void writeText(ByteArrayOutputStream out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    begin(out, TEXT, bytes.length);
    int chunk = this == INDEFINITE_LENGTHS ? CHUNK_BYTES : Math.max(1, bytes.length);
    for (int from = 0; from < bytes.length; from += chunk) {
      int length = Math.min(chunk, bytes.length - from);
      if (this == INDEFINITE_LENGTHS) {
        writeHead(out, TEXT, length);
      }
      out.write(bytes, from, length);
    }
    end(out);
  }

  private void writeNumber(ByteArrayOutputStream out, JsonNode node) {
    double value = node.doubleValue();
    boolean whole = value == Math.rint(value);
    if (node.isIntegralNumber() || (whole && this == WHOLE_AMOUNTS_AS_INTEGERS)) {
      long integer = node.longValue();
      writeHead(out, integer < 0 ? NEGATIVE : UNSIGNED, integer < 0 ? -1 - integer : integer);
    } else if (this == HALF_PRECISION) {
      out.write(0xf9);
      out.writeBytes(ByteBuffer.allocate(2).putShort(toHalf(value)).array());
    } else if (this == SINGLE_PRECISION) {
      out.write(0xfa);
      out.writeBytes(ByteBuffer.allocate(4).putFloat((float) value).array());
    } else {
      out.write(0xfb);
      out.writeBytes(ByteBuffer.allocate(8).putDouble(value).array());
    }
  }

  /** The bits of a half-precision number; only for positive values in its normal range, and 0. */
  private static short toHalf(double value) {
    if (value == 0) {
      return 0;
    }
    int exponent = Math.getExponent(value);
    int mantissa = (int) ((value / Math.pow(2, exponent) - 1) * 1024);
    return (short) (exponent + 15 << 10 | mantissa);
  }

  private void writeHead(ByteArrayOutputStream out, int majorType, long value) {
    int type = majorType << 5;
    if (this == LONG_INTEGERS) {
      out.write(type | 27);
      out.writeBytes(ByteBuffer.allocate(8).putLong(value).array());
    } else if (value < 24) {
      out.write(type | (int) value);
    } else if (value < 256) {
      out.write(type | 24);
      out.write((int) value);
    } else {
      out.write(type | 26);
      out.writeBytes(ByteBuffer.allocate(4).putInt((int) value).array());
    }
  }
}
