package io.tansystack.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Utf8;

/** Typed, checked access to the fields of a decoded map. Every exception names the field. */
public final class FieldReader {
  private FieldReader() {}

  private static JsonNode required(ObjectNode map, String field) throws InvalidMessageException {
    JsonNode node = map.get(field);
    if (node == null || node.isNull()) {
      throw new InvalidMessageException(field + ": missing");
    }
    return node;
  }

  /** Whether the field is present and not null. */
  public static boolean has(ObjectNode map, String field) {
    JsonNode node = map.get(field);
    return node != null && !node.isNull();
  }

  public static String text(ObjectNode map, String field) throws InvalidMessageException {
    return text(required(map, field), field);
  }

  /** Reads a text, for instance an element of the list in the field. */
  public static String text(JsonNode node, String fieldName) throws InvalidMessageException {
    if (!node.isTextual()) {
      throw new InvalidMessageException(fieldName + ": not text");
    }
    checkEncodable(node.textValue(), fieldName);
    return node.textValue();
  }

  /**
   * Rejects a text with half of a surrogate pair: the decoder accepts such bytes although they are
   * not valid UTF-8, and the text could not be written anywhere.
   */
  static void checkEncodable(String text, String fieldName) throws InvalidMessageException {
    try {
      Utf8.encodedLength(text);
    } catch (IllegalArgumentException e) {
      throw new InvalidMessageException(fieldName + ": not valid UTF-8");
    }
  }

  public static String textOrNull(ObjectNode map, String field) throws InvalidMessageException {
    return has(map, field) ? text(map, field) : null;
  }

  public static boolean flag(ObjectNode map, String field) throws InvalidMessageException {
    JsonNode node = required(map, field);
    if (!node.isBoolean()) {
      throw new InvalidMessageException(field + ": not a boolean");
    }
    return node.booleanValue();
  }

  public static boolean flagOr(ObjectNode map, String field, boolean defaultValue)
      throws InvalidMessageException {
    return has(map, field) ? flag(map, field) : defaultValue;
  }

  /** Reads a decimal amount, which must be finite and not negative. Integers are accepted too. */
  public static double amount(ObjectNode map, String field) throws InvalidMessageException {
    JsonNode node = required(map, field);
    if (!node.isNumber()) {
      throw new InvalidMessageException(field + ": not a number");
    }
    double value = node.doubleValue();
    if (!Double.isFinite(value) || value < 0) {
      throw new InvalidMessageException(field + ": out of range");
    }
    return value;
  }

  public static double amountOr(ObjectNode map, String field, double defaultValue)
      throws InvalidMessageException {
    return has(map, field) ? amount(map, field) : defaultValue;
  }

  /** Reads an integer, such as a count, version, token or attempt; both bounds are inclusive. */
  public static long integer(ObjectNode map, String field, long min, long max)
      throws InvalidMessageException {
    JsonNode node = required(map, field);
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new InvalidMessageException(field + ": not an integer in range");
    }
    long value = node.longValue();
    if (value < min || value > max) {
      throw new InvalidMessageException(field + ": out of range");
    }
    return value;
  }

  /** Reads an integer that must not be negative. */
  public static long integer(ObjectNode map, String field) throws InvalidMessageException {
    return integer(map, field, 0, Long.MAX_VALUE);
  }

  public static ArrayNode list(ObjectNode map, String field) throws InvalidMessageException {
    JsonNode node = required(map, field);
    if (node instanceof ArrayNode list) {
      return list;
    }
    throw new InvalidMessageException(field + ": not a list");
  }

  public static ObjectNode map(JsonNode node, String fieldName) throws InvalidMessageException {
    if (node instanceof ObjectNode map) {
      return map;
    }
    throw new InvalidMessageException(fieldName + ": not a map");
  }

  public static ObjectNode map(ObjectNode map, String field) throws InvalidMessageException {
    return map(required(map, field), field);
  }
}
