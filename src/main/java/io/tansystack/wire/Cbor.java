package io.tansystack.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/** The body format of every published interface: CBOR maps keyed by text. */
public final class Cbor {
  private static final CBORMapper MAPPER = new CBORMapper();

  private Cbor() {}

  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  public static byte[] encode(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree always encodes", e);
    }
  }

  /** Decodes a body that has to be a map; anything else is bad input. */
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

  /** For those who read a part of a body only. */
  static JsonParser parser(byte[] body) throws IOException {
    return MAPPER.getFactory().createParser(body);
  }

  /** Size of a value in the form in which the protocol states its limits. */
  public static int jsonSize(JsonNode node) {
    return node.toString().length();
  }
}
