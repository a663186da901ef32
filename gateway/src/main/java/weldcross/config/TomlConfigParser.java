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

/** TOML documents as {@link ConfigValues}, whose messages then name the line beside the key. */
public final class TomlConfigParser {

  private final Map<String, String> pairs = new HashMap<>();
  private final Map<String, Integer> lines = new HashMap<>();

  private TomlConfigParser() {}

  /**
   * @param file its path, as the operator gave it
   * @throws InvalidConfigException where it cannot be read or is no TOML, naming file and line
   */
  public static ConfigValues read(String file) {
    TomlParseResult result;
    try {
      result = Toml.parse(Path.of(file));
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfigException(
          file, e.getClass().getSimpleName(), "the path of a readable TOML file");
    }
    if (result.hasErrors()) {
      TomlParseError first = result.errors().get(0);
      throw new InvalidConfigException(
          file + " (line " + first.position().line() + ")", first.getMessage(), "TOML");
    }
    TomlConfigParser all = new TomlConfigParser();
    all.table(result, "");
    return ConfigValues.ofLines(all.pairs, all.lines);
  }

  private void table(TomlTable table, String path) {
    for (String key : table.keySet()) {
      List<String> at = List.of(key);
      value(table.get(at), path + key, table.inputPositionOf(at));
    }
  }

  private void value(Object value, String key, TomlPosition at) {
    if (at != null) {
      lines.put(key, at.line());
    }
    if (value instanceof TomlTable table) {
      table(table, key + ".");
    } else if (value instanceof TomlArray array) {
      StringBuilder joined = new StringBuilder();
      for (int k = 0; k < array.size(); k++) {
        Object item = array.get(k);
        if (item instanceof TomlTable || item instanceof TomlArray) {
          value(item, key + "." + k, array.inputPositionOf(k));
        } else {
          joined.append(joined.length() == 0 ? "" : ",").append(item);
        }
      }
      pairs.put(key, joined.toString());
      pairs.put(key + ".count", Integer.toString(array.size()));
    } else {
      pairs.put(key, String.valueOf(value));
    }
  }
}
