package io.tansystack.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/** The body format of all published APIs: CBOR maps with text keys. */
public final class Cbor {
  /** The longest body of a request, in characters of its JSON form. */
  public static final int MAX_BODY_CHARS = 64 * 1024;

  /**
   * The longest encoding, in bytes, of a request body within that limit: a list of digits takes two
   * characters of JSON for each, and up to nine bytes.
   */
  public static final int MAX_BODY_BYTES = MAX_BODY_CHARS / 2 * 9;

  private static final CBORMapper MAPPER = new CBORMapper();

  private Cbor() {}

  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Encodes a tree; an {@link EncodingException} says why that is impossible. */
  public static byte[] encode(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new EncodingException("not encodable as CBOR: " + e.getOriginalMessage(), e);
    }
  }

  /** Decodes a body that must be a CBOR map. */
  public static ObjectNode decodeMap(byte[] body) throws InvalidMessageException {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (IOException | RuntimeException e) {
      throw new InvalidMessageException("body: not CBOR");
    }
    if (node instanceof ObjectNode map) {
      return map;
    }
    throw new InvalidMessageException("body: not a map");
  }

  /** Whether a request body that was decoded from this many bytes is longer than allowed. */
  public static boolean isTooLong(ObjectNode body, int encodedBytes) {
    // Only unusual encodings are longer than the JSON form.
    return encodedBytes > MAX_BODY_CHARS && jsonSize(body) > MAX_BODY_CHARS;
  }

  /** A streaming parser, for callers that read only a part of a body or don't need a tree. */
  static JsonParser parser(byte[] body) throws IOException {
    return MAPPER.getFactory().createParser(body);
  }

  /** The number of characters of the value's JSON form, in which the protocol states its limits. */
  public static int jsonSize(JsonNode node) {
    return node.toString().length();
  }
}
