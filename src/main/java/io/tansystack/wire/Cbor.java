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

  /** A streaming parser, for callers that read only a part of a body or don't need a tree. */
  static JsonParser parser(byte[] body) throws IOException {
    return MAPPER.getFactory().createParser(body);
  }

  /** The number of characters of the value's JSON form, in which the protocol states its limits. */
  public static int jsonSize(JsonNode node) {
    return node.toString().length();
  }
}
