package weldcross.config;

import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Flattens a TOML document to {@link ConfigValues} whose error messages contain line numbers. */
public final class TomlConfigParser {

  private final Map<String, String> values = new HashMap<>();
  private final Map<String, Integer> lines = new HashMap<>();

  private TomlConfigParser() {}

  /**
   * Parses a file.
   *
   * @param file path of the file, used in error messages
   * @throws InvalidConfigException if the file cannot be read or is not TOML; the message contains
   *     the path and, for a syntax error, the line
   */
  public static ConfigValues read(String file) {
    TomlParseResult document;
    try {
      document = Toml.parse(Path.of(file));
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfigException(
          file, e.getClass().getSimpleName(), "the path of a readable TOML file");
    }
    if (document.hasErrors()) {
      TomlParseError first = document.errors().get(0);
      throw new InvalidConfigException(
          file + " (line " + first.position().line() + ")", first.getMessage(), "TOML");
    }
    TomlConfigParser parser = new TomlConfigParser();
    parser.addTable(document, "");
    return ConfigValues.withLines(parser.values, parser.lines);
  }

  private void addTable(TomlTable table, String prefix) {
    for (String key : table.keySet()) {
      List<String> path = List.of(key);
      addValue(table.get(path), prefix + key, table.inputPositionOf(path));
    }
  }

  private void addValue(Object value, String key, TomlPosition position) {
    if (position != null) {
      lines.put(key, position.line());
    }
    if (value instanceof TomlTable table) {
      addTable(table, key + ".");
    } else if (value instanceof TomlArray array) {
      addArray(array, key);
    } else {
      values.put(key, String.valueOf(value));
    }
  }

  private void addArray(TomlArray array, String key) {
    StringBuilder joined = new StringBuilder();
    for (int index = 0; index < array.size(); index++) {
      Object item = array.get(index);
      if (item instanceof TomlTable || item instanceof TomlArray) {
        addValue(item, key + "." + index, array.inputPositionOf(index));
      } else {
        joined.append(joined.length() == 0 ? "" : ",").append(item);
      }
    }
    values.put(key, joined.toString());
    values.put(key + ConfigValues.COUNT_SUFFIX, Integer.toString(array.size()));
  }
}
