package io.tansystack.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.tansystack.wire.Addresses;
import io.tansystack.wire.InvalidMessageException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A TOML table. Each method reads one key, and its exception names the full key. Keys that are not
 * read are ignored.
 */
public final class TomlTable {
  /** Full key of this table; empty for the root. */
  private final String prefix;

  private final ObjectNode node;

  private TomlTable(String prefix, ObjectNode node) {
    this.prefix = prefix;
    this.node = node;
  }

  public static TomlTable load(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException(file + ": cannot be read: " + e);
    }
    return parse(file.toString(), text);
  }

  /** @param source names the text in error messages */
  public static TomlTable parse(String source, String text) throws SettingsException {
    try {
      return new TomlTable("", (ObjectNode) new TomlMapper().readTree(text));
    } catch (IOException e) {
      throw new SettingsException(source + ": not TOML: " + e.getMessage());
    }
  }

  public boolean has(String name) {
    return node.has(name);
  }

  /** The full key, as error messages name it. */
  public String fullKey(String name) {
    return prefix.isEmpty() ? name : prefix + "." + name;
  }

  private JsonNode require(String name) throws SettingsException {
    JsonNode value = node.get(name);
    if (value == null) {
      throw new SettingsException(fullKey(name) + ": missing");
    }
    return value;
  }

  public TomlTable table(String name) throws SettingsException {
    if (require(name) instanceof ObjectNode table) {
      return new TomlTable(fullKey(name), table);
    }
    throw new SettingsException(fullKey(name) + ": not a table");
  }

  /** Returns an empty table if there is none, so that every key in it has its default. */
  public TomlTable tableOrEmpty(String name) throws SettingsException {
    return node.has(name)
        ? table(name)
        : new TomlTable(fullKey(name), JsonNodeFactory.instance.objectNode());
  }

  /** Returns an array of tables; empty if there is none. */
  public List<TomlTable> tables(String name) throws SettingsException {
    List<TomlTable> tables = new ArrayList<>();
    JsonNode list = node.get(name);
    if (list == null) {
      return tables;
    }
    if (!list.isArray()) {
      throw new SettingsException(fullKey(name) + ": not a list of tables");
    }
    for (int i = 0; i < list.size(); i++) {
      String elementKey = fullKey(name) + "[" + i + "]";
      if (!(list.get(i) instanceof ObjectNode table)) {
        throw new SettingsException(elementKey + ": not a table");
      }
      tables.add(new TomlTable(elementKey, table));
    }
    return tables;
  }

  /** Returns a string that is not empty. */
  public String string(String name) throws SettingsException {
    JsonNode value = require(name);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new SettingsException(fullKey(name) + ": not a non-empty string");
    }
    return value.textValue();
  }

  public String stringOr(String name, String defaultValue) throws SettingsException {
    return node.has(name) ? string(name) : defaultValue;
  }

  /** Returns a number between the bounds, both included. */
  public double number(String name, double min, double max) throws SettingsException {
    JsonNode value = require(name);
    if (!value.isNumber()) {
      throw new SettingsException(fullKey(name) + ": not a number");
    }
    double number = value.doubleValue();
    if (!(number >= min && number <= max)) {
      throw new SettingsException(
          fullKey(name) + ": " + number + " is not between " + min + " and " + max);
    }
    return number;
  }

  public double numberOr(String name, double defaultValue, double min, double max)
      throws SettingsException {
    return node.has(name) ? number(name, min, max) : defaultValue;
  }

  public int integer(String name, int min, int max) throws SettingsException {
    double number = number(name, min, max);
    if (number != Math.rint(number)) {
      throw new SettingsException(fullKey(name) + ": not a whole number");
    }
    return (int) number;
  }

  public int integerOr(String name, int defaultValue, int min, int max) throws SettingsException {
    return node.has(name) ? integer(name, min, max) : defaultValue;
  }

  public boolean booleanOr(String name, boolean defaultValue) throws SettingsException {
    JsonNode value = node.get(name);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isBoolean()) {
      throw new SettingsException(fullKey(name) + ": not true or false");
    }
    return value.booleanValue();
  }

  public Duration seconds(String name, double min, double max) throws SettingsException {
    return Duration.ofNanos(Math.round(number(name, min, max) * 1e9));
  }

  public Duration secondsOr(String name, double defaultValue, double min, double max)
      throws SettingsException {
    return Duration.ofNanos(Math.round(numberOr(name, defaultValue, min, max) * 1e9));
  }

  public InetSocketAddress address(String name) throws SettingsException {
    try {
      return Addresses.parse(string(name));
    } catch (InvalidMessageException e) {
      throw new SettingsException(fullKey(name) + ": " + e.getMessage());
    }
  }

  public List<String> strings(String name) throws SettingsException {
    List<String> strings = new ArrayList<>();
    for (JsonNode value : require(name)) {
      if (!value.isTextual()) {
        throw new SettingsException(fullKey(name) + ": not a list of strings");
      }
      strings.add(value.textValue());
    }
    return List.copyOf(strings);
  }
}
