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

/** A TOML table whose errors name the full key. Unknown keys are ignored by never being asked. */
public final class TomlTable {
  private final String path;
  private final ObjectNode node;

  private TomlTable(String path, ObjectNode node) {
    this.path = path;
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

  public static TomlTable parse(String what, String text) throws SettingsException {
    try {
      return new TomlTable("", (ObjectNode) new TomlMapper().readTree(text));
    } catch (IOException e) {
      throw new SettingsException(what + ": not TOML: " + e.getMessage());
    }
  }

  public boolean has(String name) {
    return node.has(name);
  }

  /** The full key, as errors name it. */
  public String key(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private JsonNode need(String name) throws SettingsException {
    JsonNode value = node.get(name);
    if (value == null) {
      throw new SettingsException(key(name) + ": missing");
    }
    return value;
  }

  public TomlTable table(String name) throws SettingsException {
    if (need(name) instanceof ObjectNode table) {
      return new TomlTable(key(name), table);
    }
    throw new SettingsException(key(name) + ": not a table");
  }

  /** A table that may be left out; then every key in it has its default. */
  public TomlTable tableOrEmpty(String name) throws SettingsException {
    return node.has(name) ? table(name) : new TomlTable(key(name), JsonNodeFactory.instance.objectNode());
  }

  public List<TomlTable> tables(String name) throws SettingsException {
    List<TomlTable> tables = new ArrayList<>();
    JsonNode list = node.get(name);
    if (list == null) {
      return tables;
    }
    if (!list.isArray()) {
      throw new SettingsException(key(name) + ": not a list of tables");
    }
    for (int i = 0; i < list.size(); i++) {
      String at = key(name) + "[" + i + "]";
      if (!(list.get(i) instanceof ObjectNode table)) {
        throw new SettingsException(at + ": not a table");
      }
      tables.add(new TomlTable(at, table));
    }
    return tables;
  }

  public String text(String name) throws SettingsException {
    JsonNode value = need(name);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new SettingsException(key(name) + ": not a text");
    }
    return value.textValue();
  }

  public String textOr(String name, String fallback) throws SettingsException {
    return node.has(name) ? text(name) : fallback;
  }

  public double number(String name, double min, double max) throws SettingsException {
    JsonNode value = need(name);
    if (!value.isNumber()) {
      throw new SettingsException(key(name) + ": not a number");
    }
    double number = value.doubleValue();
    if (!(number >= min && number <= max)) {
      throw new SettingsException(
          key(name) + ": " + number + " is not between " + min + " and " + max);
    }
    return number;
  }

  public double numberOr(String name, double fallback, double min, double max) throws SettingsException {
    return node.has(name) ? number(name, min, max) : fallback;
  }

  public int integer(String name, int min, int max) throws SettingsException {
    double number = number(name, min, max);
    if (number != Math.rint(number)) {
      throw new SettingsException(key(name) + ": not a whole number");
    }
    return (int) number;
  }

  public int integerOr(String name, int fallback, int min, int max) throws SettingsException {
    return node.has(name) ? integer(name, min, max) : fallback;
  }

  public boolean flagOr(String name, boolean fallback) throws SettingsException {
    JsonNode value = node.get(name);
    if (value == null) {
      return fallback;
    }
    if (!value.isBoolean()) {
      throw new SettingsException(key(name) + ": not true or false");
    }
    return value.booleanValue();
  }

  public Duration seconds(String name, double min, double max) throws SettingsException {
    return Duration.ofNanos(Math.round(number(name, min, max) * 1e9));
  }

  public Duration secondsOr(String name, double fallback, double min, double max)
      throws SettingsException {
    return Duration.ofNanos(Math.round(numberOr(name, fallback, min, max) * 1e9));
  }

  public InetSocketAddress address(String name) throws SettingsException {
    try {
      return Addresses.parse(text(name));
    } catch (InvalidMessageException e) {
      throw new SettingsException(key(name) + ": " + e.getMessage());
    }
  }

  public List<String> texts(String name) throws SettingsException {
    List<String> texts = new ArrayList<>();
    for (JsonNode value : need(name)) {
      if (!value.isTextual()) {
        throw new SettingsException(key(name) + ": not a list of texts");
      }
      texts.add(value.textValue());
    }
    return List.copyOf(texts);
  }
}
